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
)

// startCaller starts a server whose handler of "ask" calls back with "answer", and returns a pool and the address.
func startCaller(t *testing.T) (*peer.Pool, string) {
	t.Helper()
	h := peer.NewHandlers()
	peer.HandleCall(h, "ask", func(ctx context.Context, m message) (message, error) {
		var reply message
		err := peer.CallBack(ctx, "answer", m, &reply)
		return reply, err
	})
	peer.HandleCall(h, "show-life", func(ctx context.Context, m message) (message, error) {
		time.Sleep(50 * time.Millisecond)
		err := peer.SendHeartbeat(ctx)
		time.Sleep(100 * time.Millisecond)
		return m, err
	})
	ws := peer.NewServer(h)
	mux := http.NewServeMux()
	mux.Handle(peer.Path, ws)
	server := httptest.NewServer(mux)
	pool := &peer.Pool{}
	t.Cleanup(func() {
		pool.Close()
		ws.Close()
		server.Close()
	})
	return pool, strings.TrimPrefix(server.URL, "http://")
}

// TestCallBack guards against a process that cannot ask the one whose request it works on.
func TestCallBack(t *testing.T) {
	pool, address := startCaller(t)
	peer.HandleCall(pool.Handlers(), "answer", func(_ context.Context, m message) (message, error) {
		return message{Text: m.Text + " back", N: m.N + 1}, nil
	})
	for n := range 20 {
		var reply message
		require.NoError(t, pool.Get(address).Call(withTimeout(t, time.Second), "ask", message{Text: "call", N: n}, &reply))
		require.Equal(t, message{Text: "call back", N: n + 1}, reply)
	}
}

// TestCallBackWithoutHandlerIsRefused guards against a call back to an older process that waits for an answer, or ends the connection.
func TestCallBackWithoutHandlerIsRefused(t *testing.T) {
	pool, address := startCaller(t)
	var reply message
	err := pool.Get(address).Call(withTimeout(t, time.Second), "ask", message{}, &reply)
	refusal := samphirepass.AsRefusal(err)
	require.NotNil(t, refusal)
	require.Equal(t, samphirepass.CodeNotFound, refusal.Code)
	_, connected := pool.Get(address).SinceLastFrame()
	require.True(t, connected)
	require.Error(t, peer.CallBack(t.Context(), "answer", message{}, &reply), "not in a request of a peer")
}

// TestSendHeartbeat guards against a process that works on a request and cannot be told from one that has frozen before the next regular
// heartbeat, 400 ms later.
func TestSendHeartbeat(t *testing.T) {
	pool, address := startCaller(t)
	done := make(chan error, 1)
	go func() {
		var reply message
		done <- pool.Get(address).Call(withTimeout(t, time.Second), "show-life", message{}, &reply)
	}()
	time.Sleep(100 * time.Millisecond)
	since, connected := pool.Get(address).SinceLastFrame()
	require.True(t, connected)
	require.Less(t, since, samphirepass.Millis(80))
	require.NoError(t, <-done)
}
