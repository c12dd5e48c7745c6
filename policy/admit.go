package policy

import (
	"slices"
	"sync"

	"samphirepass"
)

const (
	// initialLimit is the concurrency limit before the capacity of the leaves is known.
	initialLimit = 16
	minLimit     = 1
	// initialLimitFactor and maxLimitFactor times the capacity of the leaves are the first and the largest limit.
	// They are above 1 so that a few requests queue at each leaf and its slots do not run empty.
	initialLimitFactor = 1.5
	maxLimitFactor     = 2.0
	// maxQueueLength bounds the number of requests that wait for admission.
	maxQueueLength = 1024
	// congestionFactor is the ratio of the mean half-answered time to its lowest value above which the limit decreases.
	congestionFactor = 2.0
	// decreaseFactor is the multiplicative decrease on overload, applied at most once per mean latency.
	decreaseFactor = 0.85
	// lowestDrift raises the lowest half-answered time with each request, so that it follows a lasting rise in latency.
	lowestDrift = 1.0005
	// latencyWeight is the weight of a new value in the moving averages.
	latencyWeight = 0.1
)

// AdmitAll is the baseline admitter, which admits every request at once.
type AdmitAll struct{}

// Admit returns a permit without waiting.
func (AdmitAll) Admit(<-chan struct{}, samphirepass.AdmissionRequest) (samphirepass.Permit, error) {
	return noopPermit{}, nil
}

type noopPermit struct{}

// SetRemaining does nothing.
func (noopPermit) SetRemaining(float64) {}

// Release does nothing.
func (noopPermit) Release(samphirepass.Outcome) {}

// Congested returns false, as no request ever waits.
func (AdmitAll) Congested() bool { return false }

// waiter is a queued request.
type waiter struct {
	samphirepass.AdmissionRequest
	enqueuedMs samphirepass.Millis
	// result receives nil on admission or a refusal, once.
	result chan error
}

// Limiter is an adaptive concurrency limiter: it bounds the requests in flight by what the leaves keep up with
// and admits queued requests in the order of their classes.
type Limiter struct {
	clock samphirepass.Clock

	mu       sync.Mutex
	limit    float64
	capacity float64
	// inFlight is the sum of the remaining fractions of the admitted requests.
	inFlight         float64
	inFlightByCaller map[samphirepass.Caller]int
	queue            []*waiter
	// meanLatency and meanHalfAnswered are moving averages of the outcomes' LatencyMs and HalfAnsweredMs;
	// lowestHalfAnswered is the lowest recent value of meanHalfAnswered.
	meanLatency        samphirepass.Millis
	meanHalfAnswered   samphirepass.Millis
	lowestHalfAnswered samphirepass.Millis
	lastDecreaseMs     samphirepass.Millis
}

// NewLimiter returns a limiter that has seen no traffic.
func NewLimiter(clock samphirepass.Clock) *Limiter {
	return &Limiter{clock: clock, limit: initialLimit, inFlightByCaller: map[samphirepass.Caller]int{}}
}

// Admit admits, queues or refuses the request; a refusal promises that the request was not run.
func (l *Limiter) Admit(done <-chan struct{}, r samphirepass.AdmissionRequest) (samphirepass.Permit, error) {
	w, err := l.admitOrEnqueue(r)
	if err != nil {
		return nil, err
	}
	if w != nil {
		select {
		case err := <-w.result:
			if err != nil {
				return nil, err
			}
		case <-done:
			if !l.dequeue(w) {
				// The request was admitted just as the deadline passed.
				if err := <-w.result; err == nil {
					l.release(r, 1, samphirepass.Outcome{})
				}
			}
			return nil, samphirepass.Refuse(samphirepass.CodeDeadline, "the deadline passed before the request could run")
		}
	}
	return &permit{limiter: l, request: r, remaining: 1}, nil
}

// permit is the permit of one admitted request.
type permit struct {
	limiter *Limiter
	request samphirepass.AdmissionRequest
	// remaining is the fraction of the request that still counts as in flight.
	remaining float64
}

// SetRemaining frees capacity for queued requests as the request's leaf requests are answered.
func (p *permit) SetRemaining(fraction float64) {
	p.limiter.releasePart(p.remaining - fraction)
	p.remaining = fraction
}

// Release frees the remaining fraction.
func (p *permit) Release(o samphirepass.Outcome) {
	p.limiter.release(p.request, p.remaining, o)
}

func (l *Limiter) releasePart(fraction float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight -= fraction
	l.admitQueued()
}

// admitOrEnqueue admits the request at once, queues it and returns its waiter, or refuses it.
func (l *Limiter) admitOrEnqueue(r samphirepass.AdmissionRequest) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scaleToCapacity(r.Capacity)
	if l.hasRoom() && len(l.queue) == 0 {
		l.start(r)
		return nil, nil
	}
	if l.expectedWait(r.Rank)+l.meanLatency > r.DeadlineMs {
		return nil, samphirepass.Refuse(samphirepass.CodeOverloaded, "no capacity for this class within the deadline")
	}
	if len(l.queue) >= maxQueueLength && !l.evictLowerClass(r.Rank) {
		return nil, samphirepass.Refuse(samphirepass.CodeOverloaded, "too many requests wait")
	}
	w := &waiter{AdmissionRequest: r, enqueuedMs: l.clock.Now(), result: make(chan error, 1)}
	l.queue = append(l.queue, w)
	l.admitQueued()
	return w, nil
}

// scaleToCapacity scales the limit in proportion to the capacity of the leaves.
func (l *Limiter) scaleToCapacity(capacity float64) {
	if capacity <= 0 || capacity == l.capacity {
		return
	}
	if l.capacity == 0 {
		l.limit = capacity * initialLimitFactor
	} else {
		l.limit *= capacity / l.capacity
	}
	l.capacity = capacity
	l.limit = max(l.limit, minLimit)
}

// Congested reports whether requests wait for admission.
func (l *Limiter) Congested() bool {
	return l.QueueLength() > 0
}

// QueueLength returns the number of requests that wait for admission.
func (l *Limiter) QueueLength() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue)
}

// expectedWait estimates the queueing time of a new request of the given rank.
func (l *Limiter) expectedWait(rank int) samphirepass.Millis {
	position := 1
	for _, w := range l.queue {
		if w.Rank <= rank {
			position++
		}
	}
	return l.meanHalfAnswered * samphirepass.Millis(position) / samphirepass.Millis(max(l.limit, 1))
}

// evictLowerClass refuses the last waiter of the least important class below rank and reports whether there was one.
func (l *Limiter) evictLowerClass(rank int) bool {
	worst := -1
	for i, w := range l.queue {
		if w.Rank > rank && (worst < 0 || w.Rank >= l.queue[worst].Rank) {
			worst = i
		}
	}
	if worst < 0 {
		return false
	}
	l.queue[worst].result <- samphirepass.Refuse(samphirepass.CodeOverloaded, "a more important class needs the capacity")
	l.queue = slices.Delete(l.queue, worst, worst+1)
	return true
}

// hasRoom reports whether one more request may run; the 0.5 allows for rounding, as fractions of requests are added up.
func (l *Limiter) hasRoom() bool {
	return l.inFlight+1 <= l.limit+0.5
}

func (l *Limiter) start(r samphirepass.AdmissionRequest) {
	l.inFlight++
	l.inFlightByCaller[r.Caller]++
}

// dequeue removes w from the queue and reports whether it was still queued.
func (l *Limiter) dequeue(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.queue, w)
	if i < 0 {
		return false
	}
	l.queue = slices.Delete(l.queue, i, i+1)
	return true
}

// admitQueued admits waiters while there is room: the most important class first and, within a class,
// the caller with the fewest requests in flight.
func (l *Limiter) admitQueued() {
	l.refuseUnmeetable()
	for len(l.queue) > 0 && l.hasRoom() {
		next := 0
		for i, w := range l.queue {
			n := l.queue[next]
			if w.Rank < n.Rank || (w.Rank == n.Rank && l.inFlightByCaller[w.Caller] < l.inFlightByCaller[n.Caller]) {
				next = i
			}
		}
		w := l.queue[next]
		l.queue = slices.Delete(l.queue, next, next+1)
		l.start(w.AdmissionRequest)
		w.result <- nil
	}
}

// refuseUnmeetable refuses the waiters that could no longer be answered within their deadline.
func (l *Limiter) refuseUnmeetable() {
	now := l.clock.Now()
	l.queue = slices.DeleteFunc(l.queue, func(w *waiter) bool {
		if now-w.enqueuedMs+l.meanLatency <= w.DeadlineMs {
			return false
		}
		w.result <- samphirepass.Refuse(samphirepass.CodeOverloaded, "no capacity came free within the deadline")
		return true
	})
}

func (l *Limiter) release(r samphirepass.AdmissionRequest, remaining float64, o samphirepass.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	full := !l.hasRoom()
	l.inFlight -= remaining
	l.inFlightByCaller[r.Caller]--
	if l.inFlightByCaller[r.Caller] == 0 {
		delete(l.inFlightByCaller, r.Caller)
	}
	l.adjustLimit(o, full)
	l.admitQueued()
}

// adjustLimit applies additive increase and multiplicative decrease to the limit;
// full is set where the limit was reached before the request ended.
func (l *Limiter) adjustLimit(o samphirepass.Outcome, full bool) {
	if o.LatencyMs > 0 {
		l.recordLatency(o)
	}
	congested := l.meanHalfAnswered > l.lowestHalfAnswered*congestionFactor
	now := l.clock.Now()
	switch {
	case (o.Shed || congested) && now-l.lastDecreaseMs > l.meanLatency:
		l.limit = max(l.limit*decreaseFactor, minLimit)
		l.lastDecreaseMs = now
	case full && !o.Shed && !congested:
		l.limit = max(min(l.limit+1/l.limit, l.capacity*maxLimitFactor), minLimit)
	}
}

func (l *Limiter) recordLatency(o samphirepass.Outcome) {
	if l.meanLatency == 0 {
		l.meanLatency, l.meanHalfAnswered, l.lowestHalfAnswered = o.LatencyMs, o.HalfAnsweredMs, o.HalfAnsweredMs
		return
	}
	l.meanLatency += (o.LatencyMs - l.meanLatency) * latencyWeight
	l.meanHalfAnswered += (o.HalfAnsweredMs - l.meanHalfAnswered) * latencyWeight
	l.lowestHalfAnswered = min(l.lowestHalfAnswered*lowestDrift, l.meanHalfAnswered)
}
