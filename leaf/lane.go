package leaf

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirepass"
)

const (
	dialTimeoutMs samphirepass.Millis = 1000
	// reopenPauseMs lets a leaf see the end of a connection before the next one takes its place in the leaf's limit.
	reopenPauseMs samphirepass.Millis = 10
	// keepAliveMs and keepAliveProbes find connections whose other end is gone without a word.
	keepAliveMs     samphirepass.Millis = 1000
	keepAliveProbes                     = 3
	// laneBufferBytes holds most answers of one shard; the library's default costs memory on hundreds of connections.
	laneBufferBytes = 2048
	// idleMarginMs is how much sooner than the leaf this side gives an idle connection up.
	idleMarginMs samphirepass.Millis = 1000
)

// lane is the right to one connection of a leaf, with the connection if it is open.
type lane struct {
	transport *http.Transport
	// cutMs is when a request was last cut off, which closes the connection.
	cutMs samphirepass.Millis
	// usedMs is when the last answer came, 0 before the first.
	usedMs samphirepass.Millis
	// idleMs is how long the leaf keeps the connection without a request, by its own word, 0 if it did not say.
	idleMs samphirepass.Millis
	// written counts the bytes that were handed to the connection.
	written atomic.Int64
	// open is the connection that was dialled last.
	open atomic.Pointer[net.Conn]
	// prepared is a connection that was dialled ahead of need, for the transport to take.
	prepared atomic.Pointer[net.Conn]
}

// leafDialer opens connections to leaves.
var leafDialer = &net.Dialer{Timeout: dialTimeoutMs.Duration(), KeepAliveConfig: net.KeepAliveConfig{
	Enable: true, Idle: keepAliveMs.Duration(), Interval: keepAliveMs.Duration(), Count: keepAliveProbes,
}}

func newLane() *lane {
	one := &lane{}
	one.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c := one.takePrepared()
			if c == nil {
				var err error
				if c, err = leafDialer.DialContext(ctx, network, address); err != nil {
					return nil, fmt.Errorf("dial leaf: %w", err)
				}
			}
			one.open.Store(&c)
			return countedConn{Conn: c, written: &one.written}, nil
		},
		MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, DisableCompression: true, ForceAttemptHTTP2: false,
		ReadBufferSize: laneBufferBytes, WriteBufferSize: laneBufferBytes,
	}
	return one
}

// countedConn counts what is written, so that a request of which no byte left is known as such.
type countedConn struct {
	net.Conn
	written *atomic.Int64
}

// Write counts what the connection took.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// worn reports whether the leaf may be about to close the connection for its idleness.
func (l *lane) worn(now samphirepass.Millis) bool {
	return l.idleMs > 0 && l.usedMs > 0 && now-l.usedMs > l.idleMs-idleMarginMs
}

// prepare dials a connection ahead of need.
func (l *lane) prepare(ctx context.Context, address string) error {
	c, err := leafDialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("dial leaf ahead of need: %w", err)
	}
	l.prepared.Store(&c)
	return nil
}

// takePrepared returns the connection that was dialled ahead of need, or nil if there is none that still stands.
func (l *lane) takePrepared() net.Conn {
	p := l.prepared.Swap(nil)
	if p == nil {
		return nil
	}
	c := *p
	if stands(c) {
		return c
	}
	// The leaf has closed the connection, so there is nothing more to learn from it.
	_ = c.Close()
	return nil
}

// stands reports whether an idle connection is neither closed by the other end nor holds bytes that belong to no request.
func stands(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		// The descriptor does not block, so a live connection says that it has nothing yet.
		_, err := syscall.Read(int(fd), b[:])
		alive = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && alive
}

// fresh makes the next request use a new connection.
func (l *lane) fresh() {
	if p := l.prepared.Swap(nil); p != nil {
		// The connection is given up whatever its end says.
		_ = (*p).Close()
	}
	l.transport.CloseIdleConnections()
}

// drop closes the connection, also where the transport would keep it.
func (l *lane) drop() {
	if c := l.open.Swap(nil); c != nil {
		// The connection is given up whatever its end says.
		_ = (*c).Close()
	}
}

// lanes shares out the connections that this entry may hold to one leaf; it is safe for concurrent use.
type lanes struct {
	clock samphirepass.Clock

	mu      sync.Mutex
	share   int
	total   int
	idle    []*lane
	waiters []chan *lane
}

// setShare changes the number of lanes; busy ones above it go when they are released.
func (l *lanes) setShare(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share = n
	for l.total > l.share && len(l.idle) > 0 {
		l.idle[0].fresh()
		l.idle = l.idle[1:]
		l.total--
	}
	for l.total < l.share && len(l.waiters) > 0 {
		l.total++
		l.handOver(newLane())
	}
}

func (l *lanes) handOver(one *lane) {
	l.waiters[0] <- one
	l.waiters = l.waiters[1:]
}

// acquire returns the lane used last, or a new one within the share, or waits for one until ctx ends.
func (l *lanes) acquire(ctx context.Context) (*lane, error) {
	l.mu.Lock()
	if n := len(l.idle); n > 0 {
		one := l.idle[n-1]
		l.idle = l.idle[:n-1]
		l.mu.Unlock()
		if one.worn(l.clock.Now()) {
			one.fresh()
		}
		return one, l.settle(ctx, one)
	}
	if l.total < l.share {
		l.total++
		l.mu.Unlock()
		return newLane(), nil
	}
	wait := make(chan *lane, 1)
	l.waiters = append(l.waiters, wait)
	l.mu.Unlock()
	select {
	case one := <-wait:
		return one, l.settle(ctx, one)
	case <-ctx.Done():
		l.abandon(wait)
		return nil, ctx.Err()
	}
}

// settle waits until a cut connection has surely ended; if ctx ends first the lane goes back.
func (l *lanes) settle(ctx context.Context, one *lane) error {
	rest := one.cutMs + reopenPauseMs - l.clock.Now()
	if one.cutMs == 0 || rest <= 0 {
		return nil
	}
	t := time.NewTimer(rest.Duration())
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		l.release(one)
		return ctx.Err()
	}
}

func (l *lanes) abandon(wait chan *lane) {
	l.mu.Lock()
	i := slices.Index(l.waiters, wait)
	if i >= 0 {
		l.waiters = slices.Delete(l.waiters, i, i+1)
	}
	l.mu.Unlock()
	if i < 0 {
		l.release(<-wait)
	}
}

// acquireStale takes an idle lane without a recent answer, or a new one up to limit; it returns nil if there is none.
func (l *lanes) acquireStale(before samphirepass.Millis, limit int) *lane {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, one := range l.idle {
		if one.usedMs < before {
			l.idle = slices.Delete(l.idle, i, i+1)
			return one
		}
	}
	if l.total < min(l.share, limit) {
		l.total++
		return newLane()
	}
	return nil
}

// acquireFirst returns a new lane if there is none yet and one may be held, or nil.
func (l *lanes) acquireFirst() *lane {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.total > 0 || l.share < 1 {
		return nil
	}
	l.total++
	return newLane()
}

func (l *lanes) release(one *lane) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.total > l.share {
		l.total--
		one.fresh()
		return
	}
	if len(l.waiters) > 0 {
		l.handOver(one)
		return
	}
	l.idle = append(l.idle, one)
}

// open counts the lanes.
func (l *lanes) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// Share returns how many of a leaf's connections the entry with the given seat may hold.
// The shares of all seats add up to the leaf's limit, whichever of them are taken.
func Share(a samphirepass.Announcement, seat, seats int) int {
	if seats <= 0 {
		return 0
	}
	share := a.Connections / seats
	turn := (uint64(seat) + xxhash.Sum64String(string(a.Leaf))) % uint64(seats)
	if int(turn) < a.Connections%seats {
		share++
	}
	return share
}
