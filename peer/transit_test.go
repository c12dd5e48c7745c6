package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/peer"
	"samphirepass/standin"
)

// handled is what a handler sees of a request.
type handled struct {
	age, remaining samphirepass.Millis
}

// startTimedServer starts a server behind a relay, whose handler of kind "timed" records what it sees, and whose handler of the
// message "block" keeps the connection from being read for a while.
func startTimedServer(t *testing.T, block time.Duration) (*peer.Client, *standin.Relay, chan handled) {
	t.Helper()
	seen := make(chan handled, 10)
	h := peer.NewHandlers()
	peer.HandleCall(h, "timed", func(ctx context.Context, m message) (message, error) {
		deadline, _ := ctx.Deadline()
		seen <- handled{age: peer.Age(ctx), remaining: samphirepass.MillisOf(time.Until(deadline))}
		return m, nil
	})
	peer.HandleNotify(h, "block", func(message) { time.Sleep(block) })
	server := peer.NewServer(h)
	mux := http.NewServeMux()
	mux.Handle(peer.Path, server)
	httpServer := httptest.NewServer(mux)
	relay, err := standin.NewRelay("127.0.0.1:0", strings.TrimPrefix(httpServer.URL, "http://"))
	require.NoError(t, err)
	pool := &peer.Pool{}
	t.Cleanup(func() {
		pool.Close()
		server.Close()
		httpServer.Close()
		relay.Close()
	})
	c := pool.Get(relay.Address())
	require.NoError(t, c.Call(withTimeout(t, 5*time.Second), "timed", message{}, &message{}))
	<-seen
	return c, relay, seen
}

// TestProofDelayOnTheWayCounts delays a request on each part of its way: on the link and before the receiver reads it. The time
// left to the handler must shrink with the delay, and a request that has no time left must not be handled. The caller's cancel
// message does not help, as it is delayed as well.
func TestProofDelayOnTheWayCounts(t *testing.T) {
	const delay = 300 * time.Millisecond
	tests := map[string]func(c *peer.Client, relay *standin.Relay){
		"slow link":       func(_ *peer.Client, relay *standin.Relay) { relay.SetDelay(samphirepass.MillisOf(delay)) },
		"paused receiver": func(c *peer.Client, _ *standin.Relay) { c.Notify("block", message{}) },
	}
	for name, hold := range tests {
		t.Run(name, func(t *testing.T) {
			c, relay, seen := startTimedServer(t, delay)
			hold(c, relay)
			require.NoError(t, c.Call(withTimeout(t, 2*time.Second), "timed", message{}, &message{}))
			got := <-seen
			require.Greater(t, got.age, samphirepass.Millis(200))
			require.Less(t, got.remaining, samphirepass.Millis(1800))
		})
		t.Run(name+", longer than the time left", func(t *testing.T) {
			c, relay, seen := startTimedServer(t, delay)
			hold(c, relay)
			require.Error(t, c.Call(withTimeout(t, 100*time.Millisecond), "timed", message{}, &message{}))
			select {
			case <-seen:
				t.Fatal("a request was handled after its time had passed")
			case <-time.After(time.Second):
			}
		})
	}
}

// TestAgeOfPromptRequestIsSmall guards against taking the difference between the two ends' clocks for a delay.
func TestAgeOfPromptRequestIsSmall(t *testing.T) {
	c, _, seen := startTimedServer(t, 0)
	for range 5 {
		require.NoError(t, c.Call(withTimeout(t, 5*time.Second), "timed", message{}, &message{}))
		require.Less(t, (<-seen).age, samphirepass.Millis(100))
	}
}
