package policy

import (
	"slices"
	"sync"

	"samphirepass"
)

const (
	// limitStart is the limit before the capacity of the leaves is known.
	limitStart = 16
	limitMin   = 1
	// startFactor and maxFactor relate the first and the largest limit to the capacity of the leaves:
	// a few requests wait at each leaf, so that its slots do not run empty.
	startFactor = 1.5
	maxFactor   = 2.0
	// maxWaiters bounds the requests that wait for admission.
	maxWaiters = 1024
	// congestedFactor is how far the mean time of half the shards may rise above the lowest before the limit shrinks.
	congestedFactor = 2.0
	// shrinkFactor is applied to the limit on each sign of overload, at most once per mean latency.
	shrinkFactor = 0.85
	// floorDecay lets the lowest latency follow a lasting rise.
	floorDecay = 1.0005
	// meanWeight is the weight of a new latency in the moving mean.
	meanWeight = 0.1
)

// AdmitAll admits everything; it is the baseline.
type AdmitAll struct{}

// Admit returns at once.
func (AdmitAll) Admit(<-chan struct{}, samphirepass.AdmissionRequest) (samphirepass.Permit, error) {
	return openPermit{}, nil
}

type openPermit struct{}

// SetRemaining does nothing.
func (openPermit) SetRemaining(float64) {}

// Release does nothing.
func (openPermit) Release(samphirepass.Outcome) {}

// Congested reports that nothing waits.
func (AdmitAll) Congested() bool { return false }

type waiter struct {
	samphirepass.AdmissionRequest
	since   samphirepass.Millis
	granted chan error
}

// Limiter bounds the requests that run at once by what the leaves keep up with, and serves the classes in their order.
type Limiter struct {
	clock samphirepass.Clock

	mu       sync.Mutex
	limit    float64
	capacity float64
	// running adds up the parts of the admitted requests that are still under way.
	running  float64
	byCaller map[samphirepass.Caller]int
	waiters  []*waiter
	// whole and half are moving means of the times of requests, lowest the lowest of half.
	whole      samphirepass.Millis
	half       samphirepass.Millis
	lowest     samphirepass.Millis
	lastShrink samphirepass.Millis
}

// NewLimiter returns a limiter that has seen no traffic.
func NewLimiter(clock samphirepass.Clock) *Limiter {
	return &Limiter{clock: clock, limit: limitStart, byCaller: map[samphirepass.Caller]int{}}
}

// Admit lets the request run, wait or go; a refusal is cheap and promises that nothing was run.
func (l *Limiter) Admit(done <-chan struct{}, t samphirepass.AdmissionRequest) (samphirepass.Permit, error) {
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
					l.end(t, 1, samphirepass.Outcome{})
				}
			}
			return nil, samphirepass.Refuse(samphirepass.CodeDeadline, "the deadline passed before the request could run")
		}
	}
	return &permit{limiter: l, ticket: t, left: 1}, nil
}

// permit is the right of one request to run.
type permit struct {
	limiter *Limiter
	ticket  samphirepass.AdmissionRequest
	left    float64
}

// SetRemaining makes room for others as the request's leaf requests are answered.
func (p *permit) SetRemaining(part float64) {
	p.limiter.shrink(p.left - part)
	p.left = part
}

// Release gives back what is left.
func (p *permit) Release(o samphirepass.Outcome) {
	p.limiter.end(p.ticket, p.left, o)
}

func (l *Limiter) shrink(by float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running -= by
	l.grantNext()
}

// enter admits at once, or returns a waiter, or refuses.
func (l *Limiter) enter(t samphirepass.AdmissionRequest) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.follow(t.Capacity)
	if l.room() && len(l.waiters) == 0 {
		l.start(t)
		return nil, nil
	}
	if l.expectedWait(t.Rank)+l.whole > t.DeadlineMs {
		return nil, samphirepass.Refuse(samphirepass.CodeOverloaded, "no capacity for this class within the deadline")
	}
	if len(l.waiters) >= maxWaiters && !l.evictBelow(t.Rank) {
		return nil, samphirepass.Refuse(samphirepass.CodeOverloaded, "too many requests wait")
	}
	w := &waiter{AdmissionRequest: t, since: l.clock.Now(), granted: make(chan error, 1)}
	l.waiters = append(l.waiters, w)
	l.grantNext()
	return w, nil
}

// follow scales the limit with the capacity of the leaves.
func (l *Limiter) follow(capacity float64) {
	if capacity <= 0 || capacity == l.capacity {
		return
	}
	if l.capacity == 0 {
		l.limit = capacity * startFactor
	} else {
		l.limit *= capacity / l.capacity
	}
	l.capacity = capacity
	l.limit = max(l.limit, limitMin)
}

// Congested reports whether requests wait for admission.
func (l *Limiter) Congested() bool {
	return l.QueueLength() > 0
}

// QueueLength counts the requests that wait for admission.
func (l *Limiter) QueueLength() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiters)
}

// expectedWait estimates how long a new request of the given rank waits.
func (l *Limiter) expectedWait(rank int) samphirepass.Millis {
	before := 1
	for _, w := range l.waiters {
		if w.Rank <= rank {
			before++
		}
	}
	return l.half * samphirepass.Millis(before) / samphirepass.Millis(max(l.limit, 1))
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

// room reports whether one more request may run; the parts add up to whole numbers only nearly.
func (l *Limiter) room() bool {
	return l.running+1 <= l.limit+0.5
}

func (l *Limiter) start(t samphirepass.AdmissionRequest) {
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
	for len(l.waiters) > 0 && l.room() {
		best := 0
		for i, w := range l.waiters {
			b := l.waiters[best]
			if w.Rank < b.Rank || (w.Rank == b.Rank && l.byCaller[w.Caller] < l.byCaller[b.Caller]) {
				best = i
			}
		}
		w := l.waiters[best]
		l.waiters = slices.Delete(l.waiters, best, best+1)
		l.start(w.AdmissionRequest)
		w.granted <- nil
	}
}

// refuseHopeless refuses the waiters that could no longer be answered in time.
func (l *Limiter) refuseHopeless() {
	now := l.clock.Now()
	l.waiters = slices.DeleteFunc(l.waiters, func(w *waiter) bool {
		if now-w.since+l.whole <= w.DeadlineMs {
			return false
		}
		w.granted <- samphirepass.Refuse(samphirepass.CodeOverloaded, "no capacity came free within the deadline")
		return true
	})
}

func (l *Limiter) end(t samphirepass.AdmissionRequest, left float64, o samphirepass.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	full := !l.room()
	l.running -= left
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
		l.observe(o)
	}
	congested := l.half > l.lowest*congestedFactor
	now := l.clock.Now()
	switch {
	case (o.Shed || congested) && now-l.lastShrink > l.whole:
		l.limit = max(l.limit*shrinkFactor, limitMin)
		l.lastShrink = now
	case full && !o.Shed && !congested:
		l.limit = max(min(l.limit+1/l.limit, l.capacity*maxFactor), limitMin)
	}
}

func (l *Limiter) observe(o samphirepass.Outcome) {
	if l.whole == 0 {
		l.whole, l.half, l.lowest = o.LatencyMs, o.HalfAnsweredMs, o.HalfAnsweredMs
		return
	}
	l.whole += (o.LatencyMs - l.whole) * meanWeight
	l.half += (o.HalfAnsweredMs - l.half) * meanWeight
	l.lowest = min(l.lowest*floorDecay, l.half)
}
