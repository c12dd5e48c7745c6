package web_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/web"
)

// TestProofPipelinedRequestsAreUnchanged guards against a line break inside the head of a pipelined request that is taken for an empty line
// before it: two headers became one, or the request was refused.
func TestProofPipelinedRequestsAreUnchanged(t *testing.T) {
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/2" {
			// net/http reads ahead meanwhile.
			time.Sleep(150 * time.Millisecond)
		}
		_, _ = io.WriteString(w, r.URL.Path+" "+r.Header.Get("A")+"|"+r.Header.Get("B"))
	})
	s, err := web.ListenDoor("127.0.0.1:0", h, web.Door{Guard: web.NewGuard(web.GuardOptions{}), Limits: func() samphirepass.ClientLimits {
		return samphirepass.ClientLimits{HeaderTimeoutMs: 1000}
	}})
	require.NoError(t, err)
	go func() { _ = s.Serve(t.Context()) }()
	one := func(path string) string { return "GET /" + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }
	tests := map[string]struct{ first, rest, want string }{
		"two headers": {one("1") + one("2") + "GET /3 HTTP/1.1\r\nHost: a\r\nA: x", "\r\nB: y\r\n\r\n", "/3 x|y"},
		"end of head": {one("1") + one("2") + "GET /3 HTTP/1.1\r\nHost: a\r\nA: x", "\r\n\r\n", "/3 x|"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", s.Address())
			require.NoError(t, err)
			defer c.Close()
			require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
			_, err = c.Write([]byte(tt.first))
			require.NoError(t, err)
			time.Sleep(50 * time.Millisecond)
			_, err = c.Write([]byte(tt.rest))
			require.NoError(t, err)
			r := bufio.NewReader(c)
			for i, want := range []string{"/1 |", "/2 |", tt.want} {
				resp, err := http.ReadResponse(r, nil)
				require.NoError(t, err, "answer %d", i+1)
				body, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.Equal(t, want, string(body))
			}
		})
	}
}
