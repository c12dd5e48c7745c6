package policy

import (
	"sync"

	"samphirepass"
)

const (
	// maxSavedTokens bounds the tokens that are carried over from earlier queries; those that the last query earned are added to them.
	maxSavedTokens = 16
	// hedgeReserveTokens are left by hedges for retries, as a retry decides whether its shard is answered at all.
	hedgeReserveTokens = 8
	// shedWindowAttempts is the number of first attempts over which the share of shed ones is computed.
	shedWindowAttempts = 200
	// maxShedPercent is the share of shed attempts above which the service counts as overloaded.
	maxShedPercent = 15
	// refusedRetryCost is the cost in tokens of a retry after a refusal, for which the leaf did no work.
	refusedRetryCost = 0.2
	// overloadPauseMs is how long a budget stays closed after overload.
	overloadPauseMs samphirepass.Millis = 1000
)

// TokenBudget is a token bucket that grants extra attempts as a percentage of the first ones.
type TokenBudget struct {
	percent samphirepass.Percent
	clock   samphirepass.Clock

	mu     sync.Mutex
	tokens float64
	// Until overloadedUntil only retries after refusals are granted; until closedUntil nothing is.
	overloadedUntil samphirepass.Millis
	closedUntil     samphirepass.Millis
	// firstAttempts and shedAttempts count the current window, which is halved when it is full.
	firstAttempts, shedAttempts int
}

// NewTokenBudget returns an empty budget that earns percent tokens for each 100 first attempts.
func NewTokenBudget(percent samphirepass.Percent, clock samphirepass.Clock) *TokenBudget {
	return &TokenBudget{percent: percent, clock: clock}
}

// RecordPrimary earns tokens for n first attempts.
func (t *TokenBudget) RecordPrimary(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	earned := float64(n) * float64(t.percent) / 100
	t.tokens = min(t.tokens, maxSavedTokens) + earned
	t.firstAttempts += n
	if t.firstAttempts >= shedWindowAttempts {
		t.firstAttempts, t.shedAttempts = t.firstAttempts/2, t.shedAttempts/2
	}
}

// TakeRetry spends one token, unless there is none or the budget is closed.
func (t *TokenBudget) TakeRetry() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.Now() >= t.overloadedUntil && t.spend(1)
}

// TakeHedge spends one token, unless only the reserve for retries is left or the budget is closed.
func (t *TokenBudget) TakeHedge() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tokens >= hedgeReserveTokens+1 && t.clock.Now() >= t.overloadedUntil && t.spend(1)
}

// TakeRefusedRetry spends refusedRetryCost tokens, unless there are fewer or the budget is closed because too many attempts were shed.
func (t *TokenBudget) TakeRefusedRetry() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.spend(refusedRetryCost)
}

func (t *TokenBudget) spend(cost float64) bool {
	if t.tokens < cost || t.clock.Now() < t.closedUntil {
		return false
	}
	t.tokens -= cost
	return true
}

// RecordShed records a refused attempt and closes the budget to all extra attempts once too many are refused.
func (t *TokenBudget) RecordShed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shedAttempts++
	if t.shedAttempts*100 > maxShedPercent*max(t.firstAttempts, shedWindowAttempts/2) {
		t.closedUntil = t.clock.Now() + overloadPauseMs
	}
}

// RecordOverload closes the budget for a while, except for retries after refusals.
func (t *TokenBudget) RecordOverload() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.overloadedUntil = t.clock.Now() + overloadPauseMs
}
