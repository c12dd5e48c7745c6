package web_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass/web"
)

// TestProofEndlessRequest guards against a client whose request never ends: it must be refused after a bounded number of bytes.
func TestProofEndlessRequest(t *testing.T) {
	tests := map[string]struct {
		prefix, repeated string
		status           int
	}{
		"request line":       {"GET /", "x", http.StatusRequestHeaderFieldsTooLarge},
		"one header line":    {"GET / HTTP/1.1\r\nHost: a\r\nX-More: ", "x", http.StatusRequestHeaderFieldsTooLarge},
		"header lines":       {"GET / HTTP/1.1\r\nHost: a\r\n", "X-More: 0123456789\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"chunked body":       {"PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", "a\r\n0123456789\r\n", http.StatusBadRequest},
		"body with a length": {"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000000\r\n\r\n", "0123456789", http.StatusBadRequest},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			server, err := web.Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if _, err := web.ReadBody(w, r); err != nil {
					web.WriteError(w, err)
				}
			}))
			require.NoError(t, err)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() { _ = server.Serve(ctx) }()
			c, err := net.Dial("tcp", server.Address())
			require.NoError(t, err)
			defer c.Close()
			require.NoError(t, c.SetDeadline(time.Now().Add(4*time.Second)))
			ended := make(chan error, 1)
			go func() {
				chunk := []byte(strings.Repeat(tt.repeated, 4096/len(tt.repeated)))
				_, err := c.Write([]byte(tt.prefix))
				for err == nil {
					_, err = c.Write(chunk)
				}
				ended <- err
			}()
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			require.Equal(t, tt.status, resp.StatusCode)
			require.NotErrorIs(t, <-ended, os.ErrDeadlineExceeded, "the server reads on")
		})
	}
}
