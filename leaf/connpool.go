package leaf

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirepass"
)

// reopenPauseMs lets a leaf see the end of a connection before the next one takes its place in the leaf's limit.
const reopenDelayMs samphirepass.Millis = 10

// lanes shares out the connections that this entry may hold to one leaf; it is safe for concurrent use.
type connPool struct {
	clock samphirepass.Clock

	mu       sync.Mutex
	maxConns int
	total    int
	idle     []*pooledConn
	waiters  []chan *pooledConn
}

// setShare changes the number of lanes; busy ones above it go when they are released.
func (l *connPool) setMaxConns(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxConns = n
	for l.total > l.maxConns && len(l.idle) > 0 {
		l.idle[0].close()
		l.idle = l.idle[1:]
		l.total--
	}
	for l.total < l.maxConns && len(l.waiters) > 0 {
		l.total++
		l.handToWaiter(&pooledConn{})
	}
}

func (l *connPool) handToWaiter(pc *pooledConn) {
	l.waiters[0] <- pc
	l.waiters = l.waiters[1:]
}

// acquire returns the lane used last, or a new one within the share, or waits for one until ctx ends.
func (l *connPool) acquire(ctx context.Context) (*pooledConn, error) {
	l.mu.Lock()
	if n := len(l.idle); n > 0 {
		pc := l.idle[n-1]
		l.idle = l.idle[:n-1]
		l.mu.Unlock()
		if pc.nearIdleTimeout(l.clock.Now()) {
			pc.close()
		}
		return pc, l.awaitReopen(ctx, pc)
	}
	if l.total < l.maxConns {
		l.total++
		l.mu.Unlock()
		return &pooledConn{}, nil
	}
	wait := make(chan *pooledConn, 1)
	l.waiters = append(l.waiters, wait)
	l.mu.Unlock()
	select {
	case pc := <-wait:
		return pc, l.awaitReopen(ctx, pc)
	case <-ctx.Done():
		l.cancelWait(wait)
		return nil, ctx.Err()
	}
}

// settle waits until a cut connection has surely ended; if ctx ends first the lane goes back.
func (l *connPool) awaitReopen(ctx context.Context, pc *pooledConn) error {
	left := pc.failedAtMs + reopenDelayMs - l.clock.Now()
	if pc.failedAtMs == 0 || left <= 0 {
		return nil
	}
	t := time.NewTimer(left.Duration())
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		l.release(pc)
		return ctx.Err()
	}
}

func (l *connPool) cancelWait(wait chan *pooledConn) {
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
func (l *connPool) acquireStale(before samphirepass.Millis, limit int) *pooledConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, pc := range l.idle {
		if pc.answeredAtMs < before {
			l.idle = slices.Delete(l.idle, i, i+1)
			return pc
		}
	}
	if l.total < min(l.maxConns, limit) {
		l.total++
		return &pooledConn{}
	}
	return nil
}

// acquireFirst returns a new lane if there is none yet and one may be held, or nil.
func (l *connPool) acquireNew() *pooledConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.total > 0 || l.maxConns < 1 {
		return nil
	}
	l.total++
	return &pooledConn{}
}

func (l *connPool) release(pc *pooledConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.total > l.maxConns {
		l.total--
		pc.close()
		return
	}
	if len(l.waiters) > 0 {
		l.handToWaiter(pc)
		return
	}
	l.idle = append(l.idle, pc)
}

// open counts the lanes.
func (l *connPool) size() int {
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
