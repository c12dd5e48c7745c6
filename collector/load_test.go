package collector_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/collector"
	"samphirepass/directory"
	"samphirepass/leaf"
	"samphirepass/logs"
	"samphirepass/metrics"
	"samphirepass/peer"
)

// logBuffer collects the lines of a logger.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) contains(parts ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range strings.Split(l.b.String(), "\n") {
		missing := false
		for _, part := range parts {
			missing = missing || !strings.Contains(line, part)
		}
		if !missing {
			return true
		}
	}
	return false
}

// TestLogsTellLoadAndConditionOfCollectors has a collector serve a request and end.
func TestLogsTellLoadAndConditionOfCollectors(t *testing.T) {
	out := &logBuffer{}
	log := logs.NewTo(out, "vm-1")
	t.Cleanup(log.Close)
	handlers := peer.NewHandlers()
	server := collector.NewServer(&fakeDeliverer{}, func() bool { return false }, metrics.NewMetrics(), log)
	server.Register(handlers)
	go func() { _ = server.Serve(t.Context()) }()
	ws := peer.NewServer(handlers)
	mux := http.NewServeMux()
	mux.Handle(peer.Path, ws)
	listener := httptest.NewServer(mux)
	offer := directory.CollectorOffer{Address: strings.TrimPrefix(listener.URL, "http://"), DataCentre: "derby", Capacity: samphirepass.Capacity{Cores: 2}}
	peers := &peer.Pool{}
	t.Cleanup(peers.Close)
	c := collector.NewClient(collector.Options{
		VM: "small", Local: &fakeDeliverer{}, Registry: leaf.NewRegistry(clock), Peers: peers, Offers: func() []directory.CollectorOffer { return []directory.CollectorOffer{offer} },
		DataCentre: "derby", Capacity: samphirepass.Capacity{Cores: 1}, Clock: clock, Log: log,
	})
	serveUntilConnected(t, c, peers, []directory.CollectorOffer{offer})
	require.Eventually(t, func() bool { return out.contains("Collector condition.", `"condition":"usable"`, `"usable":1`) }, 5*time.Second, 10*time.Millisecond)
	c.Deliver(t.Context(), scatterGatherDelivery())
	require.Eventually(t, func() bool { return out.contains("Collector load.", `"requests":1`, `"shards":3`) }, 5*time.Second, 10*time.Millisecond)
	ws.Close()
	listener.Close()
	require.Eventually(t, func() bool { return out.contains("Collector condition.", `"condition":"disconnected"`, `"usable":0`) }, 5*time.Second, 10*time.Millisecond)
}
