package policy

import (
	"sync"

	"samphirepass"
)

const (
	// windowSlots is the number of parts that a window is counted in.
	windowSlots = 40
	// windowMargin is the part of the allowance that is used: attempts arrive later than they are counted here.
	windowMargin = 0.85
	// windowHedgeShare is the part of what is left that hedges may use; retries decide whether a shard is answered at all.
	windowHedgeShare = 0.8
)

// WindowLimits bound the extra attempts on one service by all entries together, in any span of time of a given length.
type WindowLimits struct {
	// Ratio is the number of extra attempts that each request allows.
	Ratio float64
	// SpanMs is the length of the span.
	SpanMs samphirepass.Millis
	// Slack is the number that is allowed beside them, over all entries.
	Slack float64
}

// WindowBudget is a budget for a limit that all entries share: each spends what its own requests allow and a share of the slack,
// so that the sum stays within the limit whatever span is looked at.
type WindowBudget struct {
	limits WindowLimits
	// share returns the part of the slack that this entry may use.
	share func() float64
	clock samphirepass.Clock

	mu sync.Mutex
	// requests and extra count by slot, at is the number of the newest slot.
	requests, extra          [windowSlots]float64
	requestTotal, extraTotal float64
	at                       int64
	busyUntil                samphirepass.Millis
}

// NewWindowBudget returns a budget with nothing spent.
func NewWindowBudget(l WindowLimits, share func() float64, clock samphirepass.Clock) *WindowBudget {
	return &WindowBudget{limits: l, share: share, clock: clock}
}

// advance drops the slots that the span has left behind.
func (w *WindowBudget) advance() {
	now := int64(w.clock.Now() / (w.limits.SpanMs / windowSlots))
	for steps := 0; w.at < now && steps < windowSlots; steps++ {
		w.at++
		i := w.at % windowSlots
		w.requestTotal -= w.requests[i]
		w.extraTotal -= w.extra[i]
		w.requests[i], w.extra[i] = 0, 0
	}
	w.at = max(w.at, now)
}

// left returns how many extra attempts may still be made.
func (w *WindowBudget) left() float64 {
	return windowMargin*(w.limits.Ratio*w.requestTotal+w.limits.Slack*w.share()) - w.extraTotal
}

func (w *WindowBudget) take(least float64) bool {
	if w.left() < least {
		return false
	}
	w.extra[w.at%windowSlots]++
	w.extraTotal++
	return true
}

// RecordPrimary records n first attempts.
func (w *WindowBudget) RecordPrimary(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.requests[w.at%windowSlots] += float64(n)
	w.requestTotal += float64(n)
}

// TakeRetry asks for one extra attempt in place of a lost one.
func (w *WindowBudget) TakeRetry() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return w.take(1)
}

// TakeHedge asks for one extra attempt beside one that is late; it leaves a reserve for lost ones.
func (w *WindowBudget) TakeHedge() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if w.clock.Now() < w.busyUntil {
		return false
	}
	reserve := (1 - windowHedgeShare) * windowMargin * (w.limits.Ratio*w.requestTotal + w.limits.Slack*w.share())
	return w.take(1 + reserve)
}

// TakeRefusedRetry asks for one in place of a refused attempt, which counts like any other here.
func (w *WindowBudget) TakeRefusedRetry() bool { return w.TakeRetry() }

// RecordShed records a refused attempt, which needs no further care: its retry is paid for in full.
func (w *WindowBudget) RecordShed() {}

// RecordOverload closes the budget to hedges for a while.
func (w *WindowBudget) RecordOverload() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busyUntil = w.clock.Now() + overloadPauseMs
}
