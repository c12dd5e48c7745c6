package leaf_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
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
