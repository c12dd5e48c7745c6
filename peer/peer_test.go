package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"samphirepass"
	"samphirepass/cbor"
	"samphirepass/peer"
	"samphirepass/standin"
)

type message struct {
	Text string
	N    int
}

// serve runs a server behind a relay and returns a client of it.
func serve(t *testing.T) (*peer.Client, *standin.Relay, chan message) {
	t.Helper()
	notified := make(chan message, 10)
	h := peer.NewHandlers()
	peer.HandleCall(h, "echo", func(_ context.Context, m message) (message, error) { return m, nil })
	peer.HandleCall(h, "refuse", func(context.Context, message) (message, error) {
		return message{}, samphirepass.Refuse(samphirepass.CodeConflict, "no")
	})
	peer.HandleCall(h, "slow", func(ctx context.Context, _ message) (message, error) {
		<-ctx.Done()
		return message{}, ctx.Err()
	})
	peer.HandleCall(h, "ended", func(ctx context.Context, _ message) (message, error) {
		<-ctx.Done()
		notified <- message{Text: ctx.Err().Error()}
		return message{}, ctx.Err()
	})
	peer.HandleNotify(h, "tell", func(m message) { notified <- m })
	ws := peer.NewServer(h)
	mux := http.NewServeMux()
	mux.Handle(peer.Path, ws)
	server := httptest.NewServer(mux)
	relay, err := standin.NewRelay("127.0.0.1:0", strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	pool := &peer.Pool{}
	t.Cleanup(func() {
		pool.Close()
		ws.Close()
		server.Close()
		relay.Close()
	})
	return pool.Get(relay.Address()), relay, notified
}

func limited(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestCalls(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("all", func(t *testing.T) {
		c, _, notified := serve(t)
		var reply message
		require.NoError(t, c.Call(limited(t, 5*time.Second), "echo", message{Text: "a", N: 1}, &reply))
		require.Equal(t, message{Text: "a", N: 1}, reply)
		err := c.Call(t.Context(), "refuse", message{}, &reply)
		require.Equal(t, samphirepass.CodeConflict, samphirepass.AsRefusal(err).Code)
		require.True(t, samphirepass.AsRefusal(err).NotRun)
		require.Equal(t, samphirepass.CodeNotFound, samphirepass.AsRefusal(c.Call(t.Context(), "nothing", message{}, &reply)).Code)
		require.Error(t, c.Call(limited(t, 50*time.Millisecond), "slow", message{}, &reply))
		c.Notify("tell", message{N: 2})
		require.Equal(t, 2, (<-notified).N)
	})
}

// TestConnectionsArriveWhileTheServerCloses has peers connect again and again while servers are closed; the race detector looks on.
func TestConnectionsArriveWhileTheServerCloses(t *testing.T) {
	for range 30 {
		ws := peer.NewServer(peer.NewHandlers())
		mux := http.NewServeMux()
		mux.Handle(peer.Path, ws)
		server := httptest.NewServer(mux)
		address := strings.TrimPrefix(server.URL, "http://")
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				pool := &peer.Pool{}
				defer pool.Close()
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
				defer cancel()
				// Whether it connects or not depends on the moment.
				_ = pool.Get(address).Call(ctx, "nothing", message{}, &message{})
			})
		}
		time.Sleep(time.Millisecond)
		ws.Close()
		wg.Wait()
		server.Close()
	}
}

// TestCallerThatGoesEndsItsRequest has a caller stop waiting long before its request's own time is over.
func TestCallerThatGoesEndsItsRequest(t *testing.T) {
	c, _, notified := serve(t)
	var reply message
	require.NoError(t, c.Call(limited(t, 5*time.Second), "echo", message{}, &reply))
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	time.AfterFunc(50*time.Millisecond, cancel)
	require.ErrorIs(t, c.Call(ctx, "ended", message{}, &reply), context.Canceled)
	select {
	case m := <-notified:
		require.Equal(t, context.Canceled.Error(), m.Text)
	case <-time.After(5 * time.Second):
		t.Fatal("the other end still works on a request that nobody waits for")
	}
}

// TestProofSilentPeerConnectionIsReplaced has an open connection go silent for good while new ones work.
func TestProofSilentPeerConnectionIsReplaced(t *testing.T) {
	c, relay, _ := serve(t)
	var reply message
	require.NoError(t, c.Call(t.Context(), "echo", message{N: 1}, &reply))
	relay.SilenceOpen()
	err := c.Call(limited(t, 20*time.Second), "echo", message{N: 2}, &reply)
	require.ErrorIs(t, err, peer.ErrLost, "the silent connection is not given up")
	require.NoError(t, c.Call(t.Context(), "echo", message{N: 3}, &reply))
	require.Equal(t, 3, reply.N)
}

func FuzzMessage(f *testing.F) {
	good, err := cbor.Marshal(message{Text: "a", N: 1})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Fuzz(func(t *testing.T, data []byte) {
		var m message
		if cbor.Unmarshal(data, &m) != nil {
			return
		}
		again, err := cbor.Marshal(m)
		require.NoError(t, err)
		var n message
		require.NoError(t, cbor.Unmarshal(again, &n))
		require.Equal(t, m, n)
	})
}
