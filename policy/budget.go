package policy

import (
	"sync"

	"samphirepass"
)

const (
	// budgetBurst is the number of extra attempts that may be saved up, beside those that the last query earned.
	budgetBurst = 8
	// overloadPauseMs is how long the budget stays closed after a sign of overload.
	overloadPauseMs samphirepass.Millis = 1000
)

// Tokens grants extra attempts as a percentage of the first ones.
type Tokens struct {
	limit samphirepass.Percent
	clock samphirepass.Clock

	mu          sync.Mutex
	tokens      float64
	closedUntil samphirepass.Millis
}

// NewTokens returns a budget of limit percent with nothing saved up.
func NewTokens(limit samphirepass.Percent, clock samphirepass.Clock) *Tokens {
	return &Tokens{limit: limit, clock: clock}
}

// Primary earns tokens for n first attempts.
func (t *Tokens) Primary(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	earned := float64(n) * float64(t.limit) / 100
	t.tokens = min(t.tokens, budgetBurst) + earned
}

// Take spends one token, if there is one and the budget is open.
func (t *Tokens) Take() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tokens < 1 || t.clock.Now() < t.closedUntil {
		return false
	}
	t.tokens--
	return true
}

// Overload closes the budget for a while.
func (t *Tokens) Overload() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closedUntil = t.clock.Now() + overloadPauseMs
}
