package policy

import "samphirepass"

// Set makes the decisions of one entry.
type Set struct {
	Chooser samphirepass.Chooser
	// NewHedger, NewBudget and NewAdmitter make the decisions of one service; limit is its budget of extra load.
	NewHedger   func(limit samphirepass.Percent) samphirepass.Hedger
	NewBudget   func(limit samphirepass.Percent) samphirepass.Budget
	NewAdmitter func() samphirepass.Admitter
}

// Name names a set of decisions.
type Name string

// The sets of decisions; those after the first two are the measured one with one decision put back to the baseline's.
const (
	NameMeasured      Name = "measured"
	NameBaseline      Name = "baseline"
	NameRandomChoice  Name = "measured-random-choice"
	NameNoHedge       Name = "measured-no-hedge"
	NameOpenAdmission Name = "measured-open-admission"
)

// Names lists every set.
func Names() []Name {
	return []Name{NameMeasured, NameBaseline, NameRandomChoice, NameNoHedge, NameOpenAdmission}
}

// Named returns the set of a name, which must be one of Names.
func Named(name Name, clock samphirepass.Clock) Set {
	s := measured(clock)
	plain := baseline(clock)
	switch name {
	case NameBaseline:
		return plain
	case NameRandomChoice:
		s.Chooser = plain.Chooser
	case NameNoHedge:
		s.NewHedger = plain.NewHedger
	case NameOpenAdmission:
		s.NewAdmitter = plain.NewAdmitter
	}
	return s
}

// baseline makes the plain decisions: any leaf, no hedges, no limit on admission, a retry where the budget allows.
func baseline(clock samphirepass.Clock) Set {
	return Set{
		Chooser:     RandomChooser{},
		NewHedger:   func(samphirepass.Percent) samphirepass.Hedger { return NoHedge{} },
		NewBudget:   func(limit samphirepass.Percent) samphirepass.Budget { return NewTokenBudget(limit, clock) },
		NewAdmitter: func() samphirepass.Admitter { return AdmitAll{} },
	}
}

// measured makes the decisions that measurement speaks for.
func measured(clock samphirepass.Clock) Set {
	return Set{
		Chooser:     PowerOfTwoChooser{},
		NewHedger:   func(limit samphirepass.Percent) samphirepass.Hedger { return NewQuantileHedger(limit) },
		NewBudget:   func(limit samphirepass.Percent) samphirepass.Budget { return NewTokenBudget(limit, clock) },
		NewAdmitter: func() samphirepass.Admitter { return NewLimiter(clock) },
	}
}
