package leaf_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/leaf"
)

// endlessLeaf answers each connection with prefix and then repeats a text until the other end closes.
func endlessLeaf(t *testing.T, prefix, repeated string) (address string, open *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	open = &atomic.Int64{}
	t.Cleanup(func() { _ = l.Close() })
	chunk := []byte(strings.Repeat(repeated, max(32<<10/len(repeated), 1)))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			open.Add(1)
			go func() {
				defer open.Add(-1)
				defer c.Close()
				_, err := c.Write([]byte(prefix))
				for err == nil {
					_, err = c.Write(chunk)
				}
			}()
		}
	}()
	return l.Addr().String(), open
}

const endlessChunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// TestProofEndlessAnswer answers many requests at once with bytes that never end, in each part of an answer. The attempts must fail
// long before their deadline, the connections must be closed, and the memory in use must stay small: with 184 MB for a process, one
// such leaf ended it.
func TestProofEndlessAnswer(t *testing.T) {
	const (
		connections  = 16
		deadline     = 2 * time.Second
		maxHeapBytes = 64 << 20
	)
	tests := map[string]struct{ prefix, repeated string }{
		"status line":            {"HTTP/1.1 200 ", "O"},
		"no status line":         {"", "x"},
		"header lines":           {"HTTP/1.1 200 OK\r\n", "X-More: 0123456789\r\n"},
		"one header line":        {"HTTP/1.1 200 OK\r\nX-More: ", "0123456789"},
		"informational answers":  {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"body without a length":  {"HTTP/1.1 200 OK\r\n\r\n", "0123456789"},
		"body longer than bound": {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 16<<20), "0123456789"},
		"chunks":                 {endlessChunked, "a\r\n0123456789\r\n"},
		"chunk size line":        {endlessChunked, "0"},
		"chunk extension":        {endlessChunked + "a;", "0123456789"},
		"trailer lines":          {endlessChunked + "0\r\n", "X-More: 0123456789\r\n"},
		"one trailer line":       {endlessChunked + "0\r\nX-More: ", "0123456789"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			address, open := endlessLeaf(t, tt.prefix, tt.repeated)
			sender, _ := newSender(connections)
			to := samphirepass.Announcement{Leaf: "a", Service: "desk", Address: address, Incarnation: 1, Sequence: 1, State: samphirepass.LeafServing, Slots: 1}
			peak := trackHeap(t)
			began := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			var wg sync.WaitGroup
			for i := range connections {
				wg.Go(func() {
					_, err := sender.Send(ctx, to, newAttempt(fmt.Sprint(i), ""))
					require.Error(t, err)
				})
			}
			wg.Wait()
			require.Less(t, time.Since(began), deadline-200*time.Millisecond, "the attempts ended only at their deadline")
			require.Less(t, peak(), uint64(maxHeapBytes))
			require.Eventually(t, func() bool { return open.Load() == 0 }, 5*time.Second, 5*time.Millisecond, "connections stay open")
		})
	}
}

// stalledLeaf announces a body, sends part of it on each connection and then nothing more.
func stalledLeaf(t *testing.T, announced, sent int) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", announced)
				_, _ = c.Write(make([]byte, sent))
				// The other end closes the connection.
				_, _ = io.Copy(io.Discard, c)
			}()
		}
	}()
	return l.Addr().String()
}

// healthyLeaf answers each request with a body of the given length.
func healthyLeaf(t *testing.T, bytes int) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Set(leaf.HeaderRequest, r.Header.Get(leaf.HeaderRequest))
		h.Set(leaf.HeaderSnapshot, "1")
		h.Set(leaf.HeaderShard, "0")
		h.Set(leaf.HeaderPartial, "false")
		body := make([]byte, bytes)
		h.Set(leaf.HeaderDigest, leaf.Digest(body))
		_, _ = w.Write(body)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestProofStalledAnswersLeaveRoomForOthers guards against faulty leaves whose long answers never end and take all memory for answers: those
// of every healthy leaf failed after their requests had run.
func TestProofStalledAnswersLeaveRoomForOthers(t *testing.T) {
	tests := map[string]struct {
		connections, announced, sent int
		// pause is the time from the last byte of the stalled answers to the healthy one, of healthy bytes.
		pause   time.Duration
		healthy int
	}{
		"one long answer":                   {connections: 1, announced: 8 << 20, sent: 4<<20 + 1000, healthy: 100 << 10},
		"several long answers":              {connections: 4, announced: 8 << 20, sent: 4<<20 + 1000, healthy: 100 << 10},
		"many answers":                      {connections: 40, announced: 8 << 20, sent: 1 << 20, healthy: 100 << 10},
		"a healthy answer of the same size": {connections: 4, announced: 8 << 20, sent: 8<<20 - 1, healthy: 8 << 20, pause: 1200 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sender, _ := newSender(tt.connections)
			faulty := samphirepass.Announcement{Leaf: "a", Service: "desk", Address: stalledLeaf(t, tt.announced, tt.sent), Incarnation: 1, Sequence: 1, State: samphirepass.LeafServing, Slots: 1}
			healthy := faulty
			healthy.Leaf, healthy.Address = "b", healthyLeaf(t, tt.healthy)
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			for i := range tt.connections {
				wg.Go(func() {
					_, err := sender.Send(ctx, faulty, newAttempt(fmt.Sprint(i), ""))
					require.Error(t, err)
				})
			}
			time.Sleep(300*time.Millisecond + tt.pause)
			for i := range 20 {
				reply, err := sender.Send(t.Context(), healthy, newAttempt(fmt.Sprint("healthy-", i), ""))
				require.NoError(t, err, "healthy answer %d", i)
				require.Len(t, reply.Body, tt.healthy)
			}
			cancel()
			wg.Wait()
		})
	}
}

// trackHeap measures the memory in use until the returned function is called, which returns the largest increase.
func trackHeap(t *testing.T) func() uint64 {
	t.Helper()
	runtime.GC()
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	largest := before
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			largest = max(largest, heap())
			time.Sleep(2 * time.Millisecond)
		}
	}()
	return func() uint64 {
		cancel()
		<-done
		return largest - before
	}
}
