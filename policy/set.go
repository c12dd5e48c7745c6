package policy

import "samphirepass"

// Set holds the policies of one entry.
type Set struct {
	Chooser samphirepass.Chooser
	// NewHedger, NewBudget and NewAdmitter return the policies of one service; budget is its hedge budget.
	NewHedger   func(budget samphirepass.Percent) samphirepass.Hedger
	NewBudget   func(budget samphirepass.Percent) samphirepass.Budget
	NewAdmitter func() samphirepass.Admitter
}

// Name names a policy set.
type Name string

// The policy sets. NameMeasured is the one that benchmarks favour; the sets after NameBaseline are NameMeasured
// with one policy replaced by that of NameBaseline.
const (
	NameMeasured      Name = "measured"
	NameBaseline      Name = "baseline"
	NameRandomChoice  Name = "measured-random-choice"
	NameNoHedge       Name = "measured-no-hedge"
	NameOpenAdmission Name = "measured-open-admission"
)

// Names returns the name of every policy set.
func Names() []Name {
	return []Name{NameMeasured, NameBaseline, NameRandomChoice, NameNoHedge, NameOpenAdmission}
}

// Named returns the policy set with the given name, which must be one of Names.
func Named(name Name, clock samphirepass.Clock) Set {
	s := measured(clock)
	base := baseline(clock)
	switch name {
	case NameBaseline:
		return base
	case NameRandomChoice:
		s.Chooser = base.Chooser
	case NameNoHedge:
		s.NewHedger = base.NewHedger
	case NameOpenAdmission:
		s.NewAdmitter = base.NewAdmitter
	}
	return s
}

// baseline returns the simplest policies: random leaves, no hedges, no admission limit, retries within the budget.
func baseline(clock samphirepass.Clock) Set {
	return Set{
		Chooser:     RandomChooser{},
		NewHedger:   func(samphirepass.Percent) samphirepass.Hedger { return NoHedge{} },
		NewBudget:   func(budget samphirepass.Percent) samphirepass.Budget { return NewTokenBudget(budget, clock) },
		NewAdmitter: func() samphirepass.Admitter { return AdmitAll{} },
	}
}

// measured returns the policies that benchmarks favour.
func measured(clock samphirepass.Clock) Set {
	return Set{
		Chooser:     PowerOfTwoChooser{},
		NewHedger:   func(budget samphirepass.Percent) samphirepass.Hedger { return NewQuantileHedger(budget) },
		NewBudget:   func(budget samphirepass.Percent) samphirepass.Budget { return NewTokenBudget(budget, clock) },
		NewAdmitter: func() samphirepass.Admitter { return NewLimiter(clock) },
	}
}
