package collector

import (
	"context"
	"sync"
	"time"

	"samphirepass"
	"samphirepass/leaf"
	"samphirepass/policy"
)

const (
	// maxWaitingForSlot bounds the requests of accounts that wait for one of the maxInFlight slots; each holds its body.
	maxWaitingForSlot = 32
	// maxSlotWaitMs and slotWaitDivisor bound how long a request waits for a slot, the latter as a part of the time until a partial answer:
	// another collector or the entry itself may still deliver it in time.
	maxSlotWaitMs   samphirepass.Millis = 20
	slotWaitDivisor                     = 4
)

// slots bounds the deliveries of a collector in flight. Where accounts are declared, a few requests wait for a slot, and
// policy.FairQueue decides which of them get one and which are refused.
type slots struct {
	clock samphirepass.Clock
	limit int

	mu       sync.Mutex
	inFlight int
	use      *policy.AccountUse
	waiting  *policy.FairQueue[chan bool]
}

func newSlots(clock samphirepass.Clock, limit int) *slots {
	use := policy.NewAccountUse()
	s := &slots{clock: clock, limit: limit, use: use, waiting: policy.NewFairQueue[chan bool](use, maxWaitingForSlot)}
	s.waiting.SetServers(limit)
	return s
}

// take takes a slot for a delivery and reports whether it got one; running is the number of deliveries in flight, refused ones included.
func (s *slots) take(ctx context.Context, d leaf.Delivery) (running int64, ok bool) {
	running, ok, wait, waiter, timeout := s.takeOrEnqueue(d)
	if wait == nil {
		return running, ok
	}
	t := time.NewTimer(timeout.Duration())
	defer t.Stop()
	select {
	case ok = <-wait:
	case <-t.C:
		ok = s.leave(waiter)
	case <-ctx.Done():
		ok = s.leave(waiter)
	}
	return running, ok
}

// takeOrEnqueue takes a slot, refuses the delivery, or returns its place among those that wait, the channel that receives whether it got a
// slot, and how long it waits at most.
func (s *slots) takeOrEnqueue(d leaf.Delivery) (running int64, ok bool, wait chan bool, waiter *policy.FairWaiter[chan bool], timeout samphirepass.Millis) {
	account := d.Request.Forwarded.HideCredentials
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight < s.limit {
		s.inFlight++
		if account {
			s.use.Serve(s.clock.Now(), d.Request.Forwarded.Account)
		}
		return int64(s.inFlight), true, nil, nil, 0
	}
	running = int64(s.inFlight) + 1
	if !account {
		return running, false, nil, nil, 0
	}
	timeout = min(maxSlotWaitMs, d.Request.DeadlineMs/slotWaitDivisor)
	if d.PartialAfterMs > 0 {
		timeout = min(timeout, d.PartialAfterMs/slotWaitDivisor)
	}
	now := s.clock.Now()
	wait = make(chan bool, 1)
	r := policy.FairRequest{Account: d.Request.Forwarded.Account, Rank: d.Route.Rank, ExpiresAtMs: now + timeout}
	waiter, refused := s.waiting.Push(now, r, wait)
	refuseWaiting(refused)
	return running, false, wait, waiter, timeout
}

// release passes the slot of a delivery that took the given time to the next request that waits, or frees it.
func (s *slots) release(held samphirepass.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting.ObserveHold(held)
	if s.waiting.Len() > 0 {
		next, refused := s.waiting.Pop(s.clock.Now())
		refuseWaiting(refused)
		if next != nil {
			next.Value <- true
			return
		}
	}
	s.inFlight--
}

// leave ends the wait of a request and reports whether it got a slot meanwhile.
func (s *slots) leave(w *policy.FairWaiter[chan bool]) bool {
	s.mu.Lock()
	left := s.waiting.Remove(w)
	s.mu.Unlock()
	return !left && <-w.Value
}

func refuseWaiting(refused []*policy.FairWaiter[chan bool]) {
	for _, w := range refused {
		w.Value <- false
	}
}
