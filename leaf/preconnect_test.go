package leaf_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/leaf"
)

// TestPreconnectedAndClosed guards against a request that fails because the leaf closed a connection opened in advance.
func TestPreconnectedAndClosed(t *testing.T) {
	for name, closes := range map[string]bool{"left open": false, "closed by the leaf": true} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			var opened atomic.Int64
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					if opened.Add(1) == 1 && closes {
						_ = c.Close()
						continue
					}
					go func() {
						defer c.Close()
						b := make([]byte, 4096)
						if _, err := c.Read(b); err != nil {
							return
						}
						fmt.Fprintf(c, "HTTP/1.1 503 Full\r\n%s: true\r\n%s: q\r\nContent-Length: 0\r\n\r\n", leaf.HeaderNotRun, leaf.HeaderRequest)
					}()
				}
			}()
			clock := samphirepass.SystemClock{}
			r := leaf.NewRegistry(clock)
			a := newAnnouncement("a", 1, 1, samphirepass.LeafServing)
			a.Address, a.Service = l.Addr().String(), "desk"
			r.Apply(a, 0, true)
			pool := leaf.NewPool(clock, fixedShares(1))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() {
				_ = leaf.NewPreconnector(r, pool, func(samphirepass.Announcement) bool { return true }).Serve(ctx)
			}()
			require.Eventually(t, func() bool { return opened.Load() == 1 }, 5*time.Second, 5*time.Millisecond)
			time.Sleep(50 * time.Millisecond)
			_, err = leaf.NewSender(pool, leaf.Native{}, clock).Send(ctx, a, samphirepass.Attempt{Request: "q", ExpiresAtMs: clock.Now() + 500})
			var failure *samphirepass.AttemptError
			require.ErrorAs(t, err, &failure)
			require.Equal(t, samphirepass.FailureShed, failure.Kind, "the leaf's own refusal, not a failed connection")
			want := int64(1)
			if closes {
				want = 2
			}
			require.Equal(t, want, opened.Load())
		})
	}
}
