package web_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass/web"
)

// TestDrainServesOpenConnections guards against a drain that drops requests arriving on connections opened before it began.
func TestDrainServesOpenConnections(t *testing.T) {
	s, err := web.Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/last" {
			w.Header().Set("Connection", "close")
		}
		_, _ = io.WriteString(w, "answer")
	}))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx) }()
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	get := func(path string) (string, error) {
		resp, err := client.Get("http://" + s.Address() + path)
		if err != nil {
			return "", err
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		return string(body), err
	}
	_, err = get("/first")
	require.NoError(t, err)
	drained := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		drained <- s.Drain(ctx, 0)
	}()
	time.Sleep(100 * time.Millisecond)
	body, err := get("/last")
	require.NoError(t, err)
	require.Equal(t, "answer", body)
	select {
	case err := <-drained:
		require.NoError(t, err)
	case <-time.After(2 * time.Second):
		t.Fatal("Drain did not return within 2 s although no connection is open")
	}
	cancel()
	require.NoError(t, <-served)
	_, err = get("/after")
	require.Error(t, err)
}
