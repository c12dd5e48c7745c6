package leaf_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/leaf"
	"samphirepass/policy"
	"samphirepass/standin"
)

// pathRig is some leaves behind links, with a monitor and a sender.
type pathRig struct {
	links   []*standin.Relay
	leaves  []samphirepass.Announcement
	monitor *leaf.PathMonitor
	sender  *leaf.Sender
	// connections counts those that the leaves have accepted.
	requests, connections, losses atomic.Int64
}

func newPathRig(t *testing.T, leaves int) *pathRig {
	t.Helper()
	clock := samphirepass.SystemClock{}
	r := &pathRig{}
	registry := leaf.NewRegistry(clock)
	pool := leaf.NewPool(clock, pathShares{})
	for i := range leaves {
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			r.requests.Add(1)
			_, _ = w.Write([]byte("{}"))
		}))
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				r.connections.Add(1)
			}
		}
		server.Start()
		link, err := standin.NewRelay("127.0.0.1:0", strings.TrimPrefix(server.URL, "http://"))
		require.NoError(t, err)
		t.Cleanup(func() {
			link.Close()
			server.Close()
		})
		a := samphirepass.Announcement{Leaf: samphirepass.Leaf(string(rune('a' + i))), Service: "desk", Address: link.Address(), DataCentre: "derby", Slots: 2, Connections: 10, State: samphirepass.LeafServing, Incarnation: 1, Sequence: 1}
		registry.Apply(a, 0, true)
		r.links, r.leaves = append(r.links, link), append(r.leaves, a)
	}
	r.monitor = leaf.NewPathMonitor(leaf.PathMonitorOptions{Registry: registry, Pool: pool, Protocol: leaf.Native{}, DataCentre: "derby", Clock: clock, OnChange: func(c leaf.PathChange) {
		if c.Condition == policy.PathLost || c.Condition == policy.PathMute {
			r.losses.Add(1)
		}
	}})
	r.sender = leaf.NewSender(pool, leaf.Native{}, clock)
	r.sender.Path = r.monitor
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.monitor.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return r
}

// pathShares are shares without limits.
type pathShares struct{}

func (pathShares) Share(samphirepass.Announcement) int   { return 10 }
func (pathShares) Senders(samphirepass.Announcement) int { return 1 }
func (pathShares) Version() uint64                       { return 1 }

// sendToAll sends a request to each leaf and does not wait for the answers.
func (r *pathRig) sendToAll(ctx context.Context) {
	for _, a := range r.leaves {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
			defer cancel()
			_, _ = r.sender.Send(ctx, a, samphirepass.Attempt{Request: "r1", ExpectedMs: 20, ExpiresAtMs: samphirepass.SystemClock{}.Now() + 3000})
		}()
	}
}

func (r *pathRig) lost() bool { return samphirepass.PathLost(r.monitor) }

// TestLostPathIsFoundOut guards against a cut that goes unnoticed, whatever it does to connections, and one whose end does.
func TestLostPathIsFoundOut(t *testing.T) {
	for name, link := range map[string]standin.Link{"connections are reset": standin.LinkCut, "leaves do not answer": standin.LinkSilent, "leaves are frozen": standin.LinkHeld} {
		t.Run(name, func(t *testing.T) {
			r := newPathRig(t, 4)
			r.sendToAll(t.Context())
			time.Sleep(100 * time.Millisecond)
			require.False(t, r.lost())
			for _, l := range r.links {
				l.SetDefault(link)
			}
			r.sendToAll(t.Context())
			require.Eventually(t, r.lost, 2*time.Second, 10*time.Millisecond)
			for _, l := range r.links {
				l.SetDefault(standin.LinkPass)
			}
			require.Eventually(t, func() bool { return !r.lost() }, time.Second, 10*time.Millisecond)
			require.Equal(t, int64(1), r.losses.Load(), "the path is lost once")
		})
	}
}

// TestRefusedConnectionsAreFoundOut guards against a cut that goes unnoticed as connections are refused at once.
func TestRefusedConnectionsAreFoundOut(t *testing.T) {
	r := newPathRig(t, 4)
	for _, l := range r.links {
		l.Close()
	}
	r.sendToAll(t.Context())
	require.Eventually(t, r.lost, 2*time.Second, 10*time.Millisecond)
}

// TestSilentLeafIsNoLostPath guards against a path that counts as lost for one leaf, or costs connections while other leaves answer.
func TestSilentLeafIsNoLostPath(t *testing.T) {
	r := newPathRig(t, 4)
	r.links[0].SetDefault(standin.LinkSilent)
	until := time.Now().Add(2 * time.Second)
	for time.Now().Before(until) {
		r.sendToAll(t.Context())
		time.Sleep(20 * time.Millisecond)
		require.False(t, r.lost())
	}
}

// TestQuietPathIsNotProbed guards against probes of leaves while requests are answered, or there are none.
func TestQuietPathIsNotProbed(t *testing.T) {
	r := newPathRig(t, 3)
	for range 5 {
		r.sendToAll(t.Context())
		time.Sleep(200 * time.Millisecond)
	}
	require.Equal(t, int64(15), r.requests.Load())
	require.LessOrEqual(t, r.connections.Load(), r.requests.Load(), "each connection was opened for a request")
}

// TestProofCutIsNoCrash guards against leaves that seem to have crashed under a request, which is then kept from all leaves, as a cut
// broke the connections and refuses new ones.
func TestProofCutIsNoCrash(t *testing.T) {
	for name, cut := range map[string]bool{"all leaves are cut off": true, "one leaf has ended": false} {
		t.Run(name, func(t *testing.T) {
			r := newPathRig(t, 3)
			for _, l := range r.links[1:] {
				l.SetDefault(standin.LinkPass)
			}
			ended, _ := net.Listen("tcp", "127.0.0.1:0")
			to := r.leaves[0]
			to.Leaf, to.Address = "ended", ended.Addr().String()
			go func() {
				c, err := ended.Accept()
				if err != nil {
					return
				}
				_, _ = c.Read(make([]byte, 1))
				if cut {
					for _, l := range r.links {
						l.Close()
					}
				}
				_ = ended.Close()
				_ = c.Close()
			}()
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			_, err := r.sender.Send(ctx, to, samphirepass.Attempt{Request: "r1", ExpectedMs: 20, ExpiresAtMs: samphirepass.SystemClock{}.Now() + 2000})
			var failure *samphirepass.AttemptError
			require.ErrorAs(t, err, &failure)
			want := samphirepass.FailureCrashed
			if cut {
				want = samphirepass.FailureLost
			}
			require.Equal(t, want, failure.Kind)
		})
	}
}

// TestNarrowPathOpensNoConnections guards against requests that are lost on connections that links refuse while open ones serve.
func TestNarrowPathOpensNoConnections(t *testing.T) {
	r := newPathRig(t, 4)
	r.sendToAll(t.Context())
	time.Sleep(100 * time.Millisecond)
	for _, l := range r.links {
		l.SetDefault(standin.LinkRefused)
	}
	send := func(i int) error {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := r.sender.Send(ctx, r.leaves[i], samphirepass.Attempt{Request: "r1", ExpectedMs: 20, ExpiresAtMs: samphirepass.SystemClock{}.Now() + 1000})
		return err
	}
	// The answers of these leaves end their connections.
	require.Eventually(t, func() bool {
		for i := range r.leaves {
			_ = send(i)
		}
		return r.monitor.Narrow() || r.lost()
	}, 2*time.Second, 20*time.Millisecond)
	before := r.requests.Load()
	for i := range r.leaves {
		var failure *samphirepass.AttemptError
		require.ErrorAs(t, send(i), &failure)
		if r.monitor.Narrow() {
			require.Equal(t, samphirepass.FailureNotSent, failure.Kind)
		}
	}
	require.Equal(t, before, r.requests.Load())
	for _, l := range r.links {
		l.SetDefault(standin.LinkPass)
	}
	require.Eventually(t, func() bool { return !r.monitor.Narrow() && !r.lost() }, time.Second, 10*time.Millisecond)
}
