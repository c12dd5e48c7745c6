package peer_test

import (
	"context"
	"fmt"
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

// startServer starts a server behind a relay. It returns a client for it, the relay and the received notifications.
func startServer(t *testing.T) (*peer.Client, *standin.Relay, chan message) {
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
	peer.HandleCall(h, "wait-for-cancel", func(ctx context.Context, _ message) (message, error) {
		<-ctx.Done()
		notified <- message{Text: ctx.Err().Error()}
		return message{}, ctx.Err()
	})
	peer.HandleCall(h, "panic", func(context.Context, message) (message, error) { panic("no such thing") })
	peer.HandleNotify(h, "panic", func(message) { panic("no such thing") })
	h.OnPanic = func(kind string, reason any, _ []byte) {
		notified <- message{Text: fmt.Sprintf("%s: %v", kind, reason)}
	}
	peer.HandleNotify(h, "notify", func(m message) { notified <- m })
	peerServer := peer.NewServer(h)
	mux := http.NewServeMux()
	mux.Handle(peer.Path, peerServer)
	server := httptest.NewServer(mux)
	relay, err := standin.NewRelay("127.0.0.1:0", strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	pool := &peer.Pool{}
	t.Cleanup(func() {
		pool.Close()
		peerServer.Close()
		server.Close()
		relay.Close()
	})
	return pool.Get(relay.Address()), relay, notified
}

func withTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestCalls(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("all", func(t *testing.T) {
		c, _, notified := startServer(t)
		var reply message
		require.NoError(t, c.Call(withTimeout(t, 5*time.Second), "echo", message{Text: "a", N: 1}, &reply))
		require.Equal(t, message{Text: "a", N: 1}, reply)
		err := c.Call(t.Context(), "refuse", message{}, &reply)
		require.Equal(t, samphirepass.CodeConflict, samphirepass.AsRefusal(err).Code)
		require.True(t, samphirepass.AsRefusal(err).NotRun)
		require.Equal(t, samphirepass.CodeNotFound, samphirepass.AsRefusal(c.Call(t.Context(), "nothing", message{}, &reply)).Code)
		require.Error(t, c.Call(withTimeout(t, 50*time.Millisecond), "slow", message{}, &reply))
		c.Notify("notify", message{N: 2})
		require.Equal(t, 2, (<-notified).N)
	})
}

// TestProofPanicFailsItsMessageOnly guards against a message whose handler panics ending the process, or the connection.
func TestProofPanicFailsItsMessageOnly(t *testing.T) {
	c, _, notified := startServer(t)
	err := c.Call(withTimeout(t, 5*time.Second), "panic", message{}, &message{})
	require.Equal(t, samphirepass.CodeOutcomeUnknown, samphirepass.AsRefusal(err).Code)
	require.False(t, samphirepass.AsRefusal(err).NotRun, "the handler may have had an effect before it panicked")
	require.Equal(t, "panic: no such thing", (<-notified).Text)
	c.Notify("panic", message{})
	require.Equal(t, "panic: no such thing", (<-notified).Text)
	var reply message
	require.NoError(t, c.Call(withTimeout(t, 5*time.Second), "echo", message{N: 1}, &reply))
	require.Equal(t, 1, reply.N)
}

// TestProofDrainWritesAnswers guards against a planned stop that closes a connection while an answer is still being written.
func TestProofDrainWritesAnswers(t *testing.T) {
	const answerBytes = 8 << 20
	h := peer.NewHandlers()
	handled := make(chan struct{})
	peer.HandleCall(h, "long", func(context.Context, message) (message, error) {
		time.AfterFunc(time.Millisecond, func() { close(handled) })
		return message{Text: strings.Repeat("x", answerBytes)}, nil
	})
	server := peer.NewServer(h)
	mux := http.NewServeMux()
	mux.Handle(peer.Path, server)
	httpServer := httptest.NewServer(mux)
	defer httpServer.Close()
	relay, err := standin.NewRelay("127.0.0.1:0", strings.TrimPrefix(httpServer.URL, "http://"))
	require.NoError(t, err)
	defer relay.Close()
	relay.SetDelay(2)
	pool := &peer.Pool{}
	defer pool.Close()
	go func() {
		<-handled
		server.Drain(withTimeout(t, 10*time.Second))
		server.Close()
	}()
	var reply message
	require.NoError(t, pool.Get(relay.Address()).Call(withTimeout(t, 10*time.Second), "long", message{}, &reply))
	require.Len(t, reply.Text, answerBytes)
}

// TestConnectionsArriveWhileTheServerCloses connects peers while their server closes. If Close did not reject connections that
// arrive meanwhile, counting them would race with its wait, which the race detector reports.
func TestConnectionsArriveWhileTheServerCloses(t *testing.T) {
	for range 30 {
		peerServer := peer.NewServer(peer.NewHandlers())
		mux := http.NewServeMux()
		mux.Handle(peer.Path, peerServer)
		server := httptest.NewServer(mux)
		address := strings.TrimPrefix(server.URL, "http://")
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				pool := &peer.Pool{}
				defer pool.Close()
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
				defer cancel()
				// Whether the call connects depends on timing.
				_ = pool.Get(address).Call(ctx, "nothing", message{}, &message{})
			})
		}
		time.Sleep(time.Millisecond)
		peerServer.Close()
		wg.Wait()
		server.Close()
	}
}

// TestCancelledCallCancelsItsRequest cancels a call long before its deadline. Without a cancel frame the other end would work
// on the request until that deadline.
func TestCancelledCallCancelsItsRequest(t *testing.T) {
	c, _, notified := startServer(t)
	var reply message
	require.NoError(t, c.Call(withTimeout(t, 5*time.Second), "echo", message{}, &reply))
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	time.AfterFunc(50*time.Millisecond, cancel)
	require.ErrorIs(t, c.Call(ctx, "wait-for-cancel", message{}, &reply), context.Canceled)
	select {
	case m := <-notified:
		require.Equal(t, context.Canceled.Error(), m.Text)
	case <-time.After(5 * time.Second):
		t.Fatal("the request was not cancelled at the other end after its call was cancelled")
	}
}

// TestProofSilentPeerConnectionIsReplaced permanently drops all data on an open connection, while new connections work. If the
// client kept the silent connection, calls would time out forever.
func TestProofSilentPeerConnectionIsReplaced(t *testing.T) {
	c, relay, _ := startServer(t)
	var reply message
	require.NoError(t, c.Call(t.Context(), "echo", message{N: 1}, &reply))
	relay.SilenceOpen()
	err := c.Call(withTimeout(t, 20*time.Second), "echo", message{N: 2}, &reply)
	require.ErrorIs(t, err, peer.ErrLost, "the silent connection was not closed")
	require.NoError(t, c.Call(t.Context(), "echo", message{N: 3}, &reply))
	require.Equal(t, 3, reply.N)
}

func FuzzMessage(f *testing.F) {
	seed, err := cbor.Marshal(message{Text: "a", N: 1})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var m message
		if cbor.Unmarshal(data, &m) != nil {
			return
		}
		encoded, err := cbor.Marshal(m)
		require.NoError(t, err)
		var decoded message
		require.NoError(t, cbor.Unmarshal(encoded, &decoded))
		require.Equal(t, m, decoded)
	})
}
