package policy

import (
	"slices"
	"sync"

	"samphirepass"
)

const (
	limitStart = 16
	limitMin   = 1
	limitMax   = 4096
	// maxWaiters bounds the requests that wait for admission.
	maxWaiters = 1024
	// congestedFactor is how far the mean latency may rise above the lowest before the limit shrinks.
	congestedFactor = 2.0
	// shrinkFactor is applied to the limit on each sign of overload, at most once per mean latency.
	shrinkFactor = 0.85
	// floorDecay lets the lowest latency follow a lasting rise.
	floorDecay = 1.0005
	// meanWeight is the weight of a new latency in the moving mean.
	meanWeight = 0.1
)

// Open admits everything; it is the baseline.
type Open struct{}

// Admit returns at once.
func (Open) Admit(<-chan struct{}, samphirepass.Ticket) (func(samphirepass.Outcome), error) {
	return func(samphirepass.Outcome) {}, nil
}

type waiter struct {
	samphirepass.Ticket
	since   samphirepass.Millis
	granted chan error
}

// Limiter bounds the requests that run at once by what the leaves keep up with, and serves the classes in their order.
type Limiter struct {
	clock samphirepass.Clock

	mu         sync.Mutex
	limit      float64
	running    int
	byCaller   map[samphirepass.Caller]int
	waiters    []*waiter
	mean       samphirepass.Millis
	lowest     samphirepass.Millis
	lastShrink samphirepass.Millis
}

// NewLimiter returns a limiter that has seen no traffic.
func NewLimiter(clock samphirepass.Clock) *Limiter {
	return &Limiter{clock: clock, limit: limitStart, byCaller: map[samphirepass.Caller]int{}}
}

// Admit lets the request run, wait or go; a refusal is cheap and promises that nothing was run.
func (l *Limiter) Admit(done <-chan struct{}, t samphirepass.Ticket) (func(samphirepass.Outcome), error) {
	w, err := l.enter(t)
	if err != nil {
		return nil, err
	}
	if w != nil {
		select {
		case err := <-w.granted:
			if err != nil {
				return nil, err
			}
		case <-done:
			if !l.withdraw(w) {
				// The grant crossed the end of the wait.
				if err := <-w.granted; err == nil {
					l.leave(t, samphirepass.Outcome{})
				}
			}
			return nil, samphirepass.Refuse(samphirepass.CodeDeadline, "the deadline passed before the request could run")
		}
	}
	return func(o samphirepass.Outcome) { l.leave(t, o) }, nil
}

// enter admits at once, or returns a waiter, or refuses.
func (l *Limiter) enter(t samphirepass.Ticket) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running < int(l.limit) && len(l.waiters) == 0 {
		l.start(t)
		return nil, nil
	}
	if l.expectedWait(t.Rank)+l.mean > t.DeadlineMs {
		return nil, samphirepass.Refuse(samphirepass.CodeOverloaded, "no capacity for this class within the deadline")
	}
	if len(l.waiters) >= maxWaiters && !l.evictBelow(t.Rank) {
		return nil, samphirepass.Refuse(samphirepass.CodeOverloaded, "too many requests wait")
	}
	w := &waiter{Ticket: t, since: l.clock.Now(), granted: make(chan error, 1)}
	l.waiters = append(l.waiters, w)
	l.grantNext()
	return w, nil
}

// expectedWait estimates how long a new request of the given rank waits.
func (l *Limiter) expectedWait(rank int) samphirepass.Millis {
	before := 1
	for _, w := range l.waiters {
		if w.Rank <= rank {
			before++
		}
	}
	return l.mean * samphirepass.Millis(before) / samphirepass.Millis(max(l.limit, 1))
}

// evictBelow refuses the last waiter of a lower class and reports whether there was one.
func (l *Limiter) evictBelow(rank int) bool {
	worst := -1
	for i, w := range l.waiters {
		if w.Rank > rank && (worst < 0 || w.Rank >= l.waiters[worst].Rank) {
			worst = i
		}
	}
	if worst < 0 {
		return false
	}
	l.waiters[worst].granted <- samphirepass.Refuse(samphirepass.CodeOverloaded, "a more important class needs the capacity")
	l.waiters = slices.Delete(l.waiters, worst, worst+1)
	return true
}

func (l *Limiter) start(t samphirepass.Ticket) {
	l.running++
	l.byCaller[t.Caller]++
}

func (l *Limiter) withdraw(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.waiters, w)
	if i < 0 {
		return false
	}
	l.waiters = slices.Delete(l.waiters, i, i+1)
	return true
}

// grantNext lets waiters run while there is room: the best class first, in it the caller with the fewest running.
func (l *Limiter) grantNext() {
	l.refuseHopeless()
	for len(l.waiters) > 0 && l.running < int(l.limit) {
		best := 0
		for i, w := range l.waiters {
			b := l.waiters[best]
			if w.Rank < b.Rank || (w.Rank == b.Rank && l.byCaller[w.Caller] < l.byCaller[b.Caller]) {
				best = i
			}
		}
		w := l.waiters[best]
		l.waiters = slices.Delete(l.waiters, best, best+1)
		l.start(w.Ticket)
		w.granted <- nil
	}
}

// refuseHopeless refuses the waiters that could no longer be answered in time.
func (l *Limiter) refuseHopeless() {
	now := l.clock.Now()
	l.waiters = slices.DeleteFunc(l.waiters, func(w *waiter) bool {
		if now-w.since+l.mean <= w.DeadlineMs {
			return false
		}
		w.granted <- samphirepass.Refuse(samphirepass.CodeOverloaded, "no capacity came free within the deadline")
		return true
	})
}

func (l *Limiter) leave(t samphirepass.Ticket, o samphirepass.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	full := l.running >= int(l.limit)
	l.running--
	l.byCaller[t.Caller]--
	if l.byCaller[t.Caller] == 0 {
		delete(l.byCaller, t.Caller)
	}
	l.adapt(o, full)
	l.grantNext()
}

// adapt moves the limit by additive increase and multiplicative decrease.
func (l *Limiter) adapt(o samphirepass.Outcome, full bool) {
	if o.LatencyMs > 0 {
		l.observe(o.LatencyMs)
	}
	congested := l.mean > l.lowest*congestedFactor
	now := l.clock.Now()
	switch {
	case (o.Shed || congested) && now-l.lastShrink > l.mean:
		l.limit = max(l.limit*shrinkFactor, limitMin)
		l.lastShrink = now
	case full && !o.Shed && !congested:
		l.limit = min(l.limit+1/l.limit, limitMax)
	}
}

func (l *Limiter) observe(latency samphirepass.Millis) {
	if l.mean == 0 {
		l.mean, l.lowest = latency, latency
		return
	}
	l.mean += (latency - l.mean) * meanWeight
	l.lowest = min(l.lowest*floorDecay, l.mean)
}
