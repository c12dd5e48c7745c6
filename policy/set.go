package policy

import "samphirepass"

// Set makes the decisions of one entry.
type Set struct {
	Chooser samphirepass.Chooser
	// NewHedger, NewBudget and NewAdmitter make the decisions of one service.
	NewHedger   func() samphirepass.Hedger
	NewBudget   func(limit samphirepass.Percent) samphirepass.Budget
	NewAdmitter func() samphirepass.Admitter
}

// Baseline returns the plain decisions: any leaf, no hedges, no limit on admission, a retry where the budget allows.
func Baseline(clock samphirepass.Clock) Set {
	return Set{
		Chooser:     Random{},
		NewHedger:   func() samphirepass.Hedger { return NoHedge{} },
		NewBudget:   func(limit samphirepass.Percent) samphirepass.Budget { return NewTokens(limit, clock) },
		NewAdmitter: func() samphirepass.Admitter { return Open{} },
	}
}

// Measured returns the decisions that measurement speaks for.
func Measured(clock samphirepass.Clock) Set {
	return Set{
		Chooser:     Scored{},
		NewHedger:   func() samphirepass.Hedger { return NewQuantile() },
		NewBudget:   func(limit samphirepass.Percent) samphirepass.Budget { return NewTokens(limit, clock) },
		NewAdmitter: func() samphirepass.Admitter { return NewLimiter(clock) },
	}
}
