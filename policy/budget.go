package policy

import (
	"sync"

	"samphirepass"
)

const (
	// budgetBurst is the number of extra attempts that may be saved up, beside those that the last query earned.
	budgetBurst = 16
	// hedgeReserve is the part of them that hedges leave for retries, which decide whether a shard is answered at all.
	hedgeReserve = 8
	// shedWindow is the number of first attempts over which the share of shed ones is judged.
	shedWindow = 200
	// shedPercent is the share of shed attempts above which the service counts as overloaded.
	shedPercent = 15
	// cheapCost is what an attempt in place of a refused one costs, a whole one being 1.
	cheapCost = 0.2
	// overloadPauseMs is how long the budget stays closed after a sign of overload.
	overloadPauseMs samphirepass.Millis = 1000
)

// TokenBudget grants extra attempts as a percentage of the first ones.
type TokenBudget struct {
	limit samphirepass.Percent
	clock samphirepass.Clock

	mu     sync.Mutex
	tokens float64
	// busyUntil ends the time without hedges, shedUntil the time without any extra attempt.
	busyUntil samphirepass.Millis
	shedUntil samphirepass.Millis
	// first and shed count the attempts of the present window.
	first, shed int
}

// NewTokenBudget returns a budget of limit percent with nothing saved up.
func NewTokenBudget(limit samphirepass.Percent, clock samphirepass.Clock) *TokenBudget {
	return &TokenBudget{limit: limit, clock: clock}
}

// RecordPrimary earns tokens for n first attempts.
func (t *TokenBudget) RecordPrimary(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	earned := float64(n) * float64(t.limit) / 100
	t.tokens = min(t.tokens, budgetBurst) + earned
	t.first += n
	if t.first >= shedWindow {
		t.first, t.shed = t.first/2, t.shed/2
	}
}

// TakeRetry spends one token, if there is one and the budget is open.
func (t *TokenBudget) TakeRetry() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.Now() >= t.busyUntil && t.spend(1)
}

// TakeHedge spends one token beyond the reserve, if there is one and the budget is open.
func (t *TokenBudget) TakeHedge() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tokens >= hedgeReserve+1 && t.clock.Now() >= t.busyUntil && t.spend(1)
}

// TakeRefusedRetry spends a part of a token, if there is as much and the budget is open.
func (t *TokenBudget) TakeRefusedRetry() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.spend(cheapCost)
}

func (t *TokenBudget) spend(cost float64) bool {
	if t.tokens < cost || t.clock.Now() < t.shedUntil {
		return false
	}
	t.tokens -= cost
	return true
}

// RecordShed records a refused attempt, and closes the budget once too many are refused.
func (t *TokenBudget) RecordShed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shed++
	if t.shed*100 > shedPercent*max(t.first, shedWindow/2) {
		t.shedUntil = t.clock.Now() + overloadPauseMs
	}
}

// RecordOverload closes the budget for a while, but for attempts in place of refused ones.
func (t *TokenBudget) RecordOverload() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busyUntil = t.clock.Now() + overloadPauseMs
}
