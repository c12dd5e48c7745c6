package policy

import (
	"sync"

	"samphirepass"
)

const (
	// windowBuckets is the number of buckets that divide the span.
	windowBuckets = 40
	// windowSafetyFactor is the fraction of the allowance that is used, as attempts arrive later than they are counted here.
	windowSafetyFactor = 0.85
	// windowHedgeFraction is the fraction of the usable allowance up to which hedges are granted; the rest is kept for retries,
	// which decide whether a shard is answered at all.
	windowHedgeFraction = 0.8
)

// WindowLimits bound the extra attempts on one service, by all entries together, in any time span of a given length.
type WindowLimits struct {
	// Ratio is the number of extra attempts that each first attempt allows.
	Ratio  float64
	SpanMs samphirepass.Millis
	// Slack is the number of extra attempts allowed in addition, over all entries.
	Slack float64
}

// WindowBudget is a sliding-window budget for a limit that all entries share.
// Each entry spends what its own requests allow plus its share of the slack, so that the sum stays within the limit in any span.
type WindowBudget struct {
	limits WindowLimits
	// slackShare returns the fraction of the slack that this entry may use.
	slackShare func() float64
	clock      samphirepass.Clock

	mu sync.Mutex
	// requestBuckets and extraBuckets are ring buffers of counts, newest the running number of the newest bucket.
	requestBuckets, extraBuckets [windowBuckets]float64
	requestTotal, extraTotal     float64
	newest                       int64
	overloadedUntil              samphirepass.Millis
}

// NewWindowBudget returns an unspent budget; slackShare returns the fraction of the slack that this entry may use.
func NewWindowBudget(l WindowLimits, slackShare func() float64, clock samphirepass.Clock) *WindowBudget {
	return &WindowBudget{limits: l, slackShare: slackShare, clock: clock}
}

// advance drops the buckets that are older than the span.
func (w *WindowBudget) advance() {
	now := int64(w.clock.Now() / (w.limits.SpanMs / windowBuckets))
	for steps := 0; w.newest < now && steps < windowBuckets; steps++ {
		w.newest++
		i := w.newest % windowBuckets
		w.requestTotal -= w.requestBuckets[i]
		w.extraTotal -= w.extraBuckets[i]
		w.requestBuckets[i], w.extraBuckets[i] = 0, 0
	}
	w.newest = max(w.newest, now)
}

// remaining returns the number of extra attempts that are still allowed.
func (w *WindowBudget) remaining() float64 {
	return windowSafetyFactor*(w.limits.Ratio*w.requestTotal+w.limits.Slack*w.slackShare()) - w.extraTotal
}

// spend counts one extra attempt if at least minRemaining are still allowed, and reports whether it did.
func (w *WindowBudget) spend(minRemaining float64) bool {
	if w.remaining() < minRemaining {
		return false
	}
	w.extraBuckets[w.newest%windowBuckets]++
	w.extraTotal++
	return true
}

// RecordPrimary records n first attempts.
func (w *WindowBudget) RecordPrimary(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.requestBuckets[w.newest%windowBuckets] += float64(n)
	w.requestTotal += float64(n)
}

// TakeRetry grants one extra attempt in place of a failed one, if the limits allow it.
func (w *WindowBudget) TakeRetry() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return w.spend(1)
}

// TakeHedge grants one extra attempt beside one that is late, if the limits allow it and a reserve for retries remains.
func (w *WindowBudget) TakeHedge() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if w.clock.Now() < w.overloadedUntil {
		return false
	}
	reserve := (1 - windowHedgeFraction) * windowSafetyFactor * (w.limits.Ratio*w.requestTotal + w.limits.Slack*w.slackShare())
	return w.spend(1 + reserve)
}

// TakeRefusedRetry is TakeRetry: a retry after a refusal counts in full.
func (w *WindowBudget) TakeRefusedRetry() bool { return w.TakeRetry() }

// RecordShed does nothing, as a retry after a refusal counts in full.
func (w *WindowBudget) RecordShed() {}

// RecordOverload closes the budget to hedges for a while.
func (w *WindowBudget) RecordOverload() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.overloadedUntil = w.clock.Now() + overloadPauseMs
}
