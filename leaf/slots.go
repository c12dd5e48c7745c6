package leaf

import (
	"context"
	"sync"
	"time"

	"samphirepass"
	"samphirepass/policy"
)

const (
	// maxWaitingForSlot bounds the requests that wait for slots; each holds its body.
	maxWaitingForSlot = 32
	// maxSlotWaitMs and slotWaitDivisor bound how long a request waits for slots, the latter as a part of the time until a partial answer:
	// another process may still deliver it in time.
	maxSlotWaitMs   samphirepass.Millis = 20
	slotWaitDivisor                     = 4
)

// SlotsOptions are the options of NewSlots.
type SlotsOptions struct {
	Clock samphirepass.Clock
	// Limit is the number of slots.
	Limit int64
	// OnlyAccountsWait refuses requests without an account at once if no slot is free.
	OnlyAccountsWait bool
}

// Slots bounds the deliveries in flight, each of which takes one or more of them. While none is free, a few requests wait, and
// policy.FairQueue decides by their ranks and accounts which of them get slots and which are refused. It is safe for concurrent use.
type Slots struct {
	opts SlotsOptions

	mu      sync.Mutex
	used    int64
	use     *policy.AccountUse
	waiting *policy.FairQueue[slotWaiter]
}

// slotWaiter is a request that waits for n slots.
type slotWaiter struct {
	n int64
	// granted receives whether it got them.
	granted chan bool
}

// NewSlots returns slots that are all free.
func NewSlots(opts SlotsOptions) *Slots {
	use := policy.NewAccountUse()
	return &Slots{opts: opts, use: use, waiting: policy.NewFairQueue[slotWaiter](use, maxWaitingForSlot)}
}

// Used returns the number of slots that are taken.
func (s *Slots) Used() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used
}

// Take takes n slots for a delivery and reports whether it got them; used is the number of slots that are then taken, those of a refused
// delivery included. A delivery that needs more than are free gets them as long as any is free.
func (s *Slots) Take(ctx context.Context, d Delivery, n int64) (used int64, ok bool) {
	used, ok, w, timeout := s.takeOrEnqueue(d, n)
	if w == nil {
		return used, ok
	}
	t := time.NewTimer(timeout.Duration())
	defer t.Stop()
	select {
	case ok = <-w.Value.granted:
	case <-t.C:
		ok = s.leave(w)
	case <-ctx.Done():
		ok = s.leave(w)
	}
	return used, ok
}

// takeOrEnqueue takes slots, refuses the delivery, or returns its place among those that wait, and how long it waits at most.
func (s *Slots) takeOrEnqueue(d Delivery, n int64) (used int64, ok bool, w *policy.FairWaiter[slotWaiter], timeout samphirepass.Millis) {
	account := d.Request.Forwarded.HideCredentials
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.used < s.opts.Limit {
		s.used += n
		if account {
			s.use.Serve(s.opts.Clock.Now(), d.Request.Forwarded.Account)
		}
		return s.used, true, nil, 0
	}
	used = s.used + n
	if !account && s.opts.OnlyAccountsWait {
		return used, false, nil, 0
	}
	timeout = min(maxSlotWaitMs, d.Request.DeadlineMs/slotWaitDivisor)
	if d.PartialAfterMs > 0 {
		timeout = min(timeout, d.PartialAfterMs/slotWaitDivisor)
	}
	now := s.opts.Clock.Now()
	r := policy.FairRequest{Account: d.Request.Forwarded.Account, Rank: d.Route.Rank, ExpiresAtMs: now + timeout}
	s.waiting.SetServers(int(max(s.opts.Limit/max(n, 1), 1)))
	w, refused := s.waiting.Push(now, r, slotWaiter{n: n, granted: make(chan bool, 1)})
	refuseWaiting(refused)
	return used, false, w, timeout
}

// Release frees the n slots of a delivery that took the given time, for the next requests that wait.
func (s *Slots) Release(n int64, held samphirepass.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting.ObserveHold(held)
	s.used -= n
	for s.used < s.opts.Limit && s.waiting.Len() > 0 {
		next, refused := s.waiting.Pop(s.opts.Clock.Now())
		refuseWaiting(refused)
		if next != nil {
			s.used += next.Value.n
			next.Value.granted <- true
		}
	}
}

// leave ends the wait of a request and reports whether it got slots meanwhile.
func (s *Slots) leave(w *policy.FairWaiter[slotWaiter]) bool {
	s.mu.Lock()
	left := s.waiting.Remove(w)
	s.mu.Unlock()
	return !left && <-w.Value.granted
}

func refuseWaiting(refused []*policy.FairWaiter[slotWaiter]) {
	for _, w := range refused {
		w.Value.granted <- false
	}
}
