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
const reopenPauseMs samphirepass.Millis = 10

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
		l.idle[0].close()
		l.idle = l.idle[1:]
		l.total--
	}
	for l.total < l.share && len(l.waiters) > 0 {
		l.total++
		l.handOver(&lane{})
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
			one.close()
		}
		return one, l.settle(ctx, one)
	}
	if l.total < l.share {
		l.total++
		l.mu.Unlock()
		return &lane{}, nil
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
		return &lane{}
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
	return &lane{}
}

func (l *lanes) release(one *lane) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.total > l.share {
		l.total--
		one.close()
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
