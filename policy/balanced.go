package policy

import (
	"math"
	"math/rand/v2"
	"slices"

	"samphirepass"
)

const (
	// minExponent is how strongly a leaf that is slower than usual is avoided by an entry that gets few answers. It moves only a share of its
	// requests, so that many entries that see the same do not overload the next leaf.
	minExponent = 2
	// informedExponent is added for an entry whose recent answers say how leaves are now, half of it at informedAnswers of each leaf.
	// With one entry in place of 100, p99 of the waits is 65 ms at an exponent of 2 and 17 ms with both (TestBalancingTables).
	informedExponent = 14
	informedAnswers  = 10
	// distanceExponent prefers near leaves among those in other data centres, if there is none in the own.
	distanceExponent = 4
	// crossCentreCost is the part of a usual latency that a request in another data centre must save to be worth its bytes.
	crossCentreCost = 0.3
	// spillGain is the share of requests sent elsewhere for each part of the latency that this saves, maxSpill the largest share.
	spillGain = 2
	maxSpill  = 0.95
	// maxLoadReportAgeMs is the age up to which a load that a leaf reported counts.
	maxLoadReportAgeMs samphirepass.Millis = 300
	// maxPlausibleLoad bounds a reported load that counts.
	maxPlausibleLoad = 100
	// minAnswersKnown is the number of answers from which half of a leaf's measured speed counts.
	minAnswersKnown = 3
	// stackCandidates is the number of candidates up to which a choice allocates no memory.
	stackCandidates = 16
)

// ChoiceReason is why a leaf was chosen.
type ChoiceReason string

// The reasons of a choice.
const (
	// ReasonOnly is the choice of the only candidate.
	ReasonOnly ChoiceReason = "only"
	// ReasonAlike is a choice by the previous rules, as the leaves of the service are alike.
	ReasonAlike ChoiceReason = "alike"
	// ReasonLocal is a choice in the own data centre.
	ReasonLocal ChoiceReason = "own-data-centre"
	// ReasonSpill is a choice in another data centre, where the expected wait is shorter.
	ReasonSpill ChoiceReason = "spill"
	// ReasonShare is a choice in another data centre, as the own one has less than its share of the leaves.
	ReasonShare ChoiceReason = "share"
	// ReasonFallback is a choice by the previous rules, as the weights are unusable.
	ReasonFallback ChoiceReason = "fallback"
	// ReasonElsewhere is a choice in another data centre, as the own one has no leaf of the best standing.
	ReasonElsewhere ChoiceReason = "elsewhere"
)

// Standing ranks leaves by what is known to keep them from answering.
type Standing int

// The standings, the best first. This is the order of precedence of all that keeps a leaf from being chosen. Leaves of an evacuated data
// centre, draining leaves and those to which this entry has no share of connections are no candidates at all; leaves at their
// limit, for warm-up or as they state it, are skipped after the choice, which is then repeated without them (leaf.fanOut.reserveLeaf);
// a hedge or a retry has the leaves as candidates that its shard has not tried.
const (
	StandingReady Standing = iota
	// StandingBusy is that of a leaf without a free connection.
	StandingBusy
	StandingCold
	StandingStalled
	StandingEjected
)

// StandingOf returns the standing of a leaf whose latency is about the given one.
func StandingOf(c *samphirepass.Candidate, latency samphirepass.Millis) Standing {
	switch {
	case c.ConsecutiveFailures > 0 && Ejected(*c):
		return StandingEjected
	case c.OldestInFlightMs > 0 && Stalled(*c, latency):
		return StandingStalled
	case c.ColdMs > 0:
		return StandingCold
	case c.MaxConnections > 0 && c.InFlight >= c.MaxConnections:
		return StandingBusy
	}
	return StandingReady
}

// SlotCount is the number of slots of the leaves of a service in the own data centre, and of all.
type SlotCount struct{ Near, All int }

// countSlots returns the slots of candidates.
func countSlots(candidates []samphirepass.Candidate) (n SlotCount) {
	for i := range candidates {
		slots := max(candidates[i].Slots, 1)
		n.All += slots
		if candidates[i].SameDataCentre {
			n.Near += slots
		}
	}
	return n
}

// missingShare returns the part of the requests for which the own data centre lacks slots, if all data centres together have as many as
// they need, each has the same usual demand, and demand here is the given multiple of it. It is 0 for an unknown number of data centres.
func (n SlotCount) missingShare(dataCentres int, demandRatio float64) float64 {
	if dataCentres == 0 || n.Near == 0 {
		return 0
	}
	return max(1-float64(n.Near*dataCentres)/float64(n.All)/demandRatio, 0)
}

// BalancedChooser draws a leaf at random with weights by measured speed, reduced for leaves that are slower than usual just now. Leaves in
// the own data centre come first; a part of the requests that grows with the expected gain goes elsewhere.
// Weights in place of the single best leaf keep many entries with old information from overloading leaves in turn.
type BalancedChooser struct {
	// DataCentres is the number of data centres with entries, 0 if unknown.
	DataCentres int
	// Slots counts the leaves of the service, also those that are no candidates; the zero value means that all are.
	Slots SlotCount
	// Demand is the demand as a multiple of the usual one, 0 if unknown.
	Demand float64
	// Random returns a number in [0, 1); nil means math/rand.
	Random func() float64
}

// weighed is a candidate with its expected latency and its weight.
type weighed struct {
	index            int
	standing         Standing
	expected, weight float64
	local            bool
}

// Choose returns the index of a leaf.
func (b BalancedChooser) Choose(candidates []samphirepass.Candidate) int {
	i, _ := b.Decide(candidates)
	return i
}

// Decide returns the index of a leaf and why it was chosen.
func (b BalancedChooser) Decide(candidates []samphirepass.Candidate) (int, ChoiceReason) {
	if len(candidates) == 1 {
		return 0, ReasonOnly
	}
	var buffer [stackCandidates]weighed
	leaves, best := buffer[:0], StandingEjected
	typical := typicalLatency(candidates)
	known := informed(candidates)
	exponent := minExponent + informedExponent*known
	for i := range candidates {
		w := weigh(&candidates[i], typical, exponent)
		w.index = i
		leaves, best = append(leaves, w), min(best, w.standing)
	}
	var local, remote sums
	for i := range leaves {
		if leaves[i].standing > best {
			leaves[i].weight = 0
			continue
		}
		if leaves[i].local {
			local.add(leaves[i])
		} else {
			remote.add(leaves[i])
		}
	}
	reason := b.where(candidates, local, remote, typical, known)
	if i := draw(leaves, reason, b.random()); i >= 0 {
		return i, reason
	}
	// Every weight is 0 or not a number.
	return LeastCostChooser{Random: b.Random}.Choose(candidates), ReasonFallback
}

// sums holds the sums over the leaves of the best standing in the own data centre, or elsewhere.
type sums struct{ weight, expected float64 }

func (s *sums) add(w weighed) {
	s.weight += w.weight
	s.expected += w.weight * w.expected
}

// where decides whether the leaf is one in the own data centre.
func (b BalancedChooser) where(candidates []samphirepass.Candidate, local, remote sums, typical samphirepass.Millis, known float64) ChoiceReason {
	switch {
	case remote.weight == 0:
		return ReasonLocal
	case local.weight == 0:
		return ReasonElsewhere
	}
	near, far := local.expected/local.weight, remote.expected/remote.weight
	spill := min(spillGain*(near-far-crossCentreCost*float64(typical))/near, maxSpill)
	slots := b.Slots
	if slots.All == 0 {
		slots = countSlots(candidates)
	}
	share := slots.missingShare(b.DataCentres, max(b.Demand, 1)) * (1 - known)
	switch u := b.random(); {
	case u < spill:
		return ReasonSpill
	case u < share:
		return ReasonShare
	}
	return ReasonLocal
}

func (b BalancedChooser) random() float64 {
	if b.Random != nil {
		return b.Random()
	}
	return rand.Float64()
}

// informed returns how well the entry knows how leaves are just now, from 0 to 1, by the number of recent answers of leaves in the own
// data centre, or of all if it has none.
func informed(candidates []samphirepass.Candidate) float64 {
	var near, all, nearLeaves float64
	for i := range candidates {
		all += candidates[i].RecentAnswers
		if candidates[i].SameDataCentre {
			near += candidates[i].RecentAnswers
			nearLeaves++
		}
	}
	recent := all / float64(len(candidates))
	if nearLeaves > 0 {
		recent = near / nearLeaves
	}
	return recent / (recent + informedAnswers)
}

// weigh returns the expected latency and the weight of a leaf.
func weigh(c *samphirepass.Candidate, typical samphirepass.Millis, exponent float64) weighed {
	known := float64(c.Answers) / float64(c.Answers+minAnswersKnown)
	usual := float64(typical) + float64(c.UsualLatencyMs-typical)*known
	now := usual
	if c.RecentAnswers > 0 {
		now += (float64(c.RecentLatencyMs) - usual) * c.RecentAnswers / (c.RecentAnswers + 1)
	}
	slots := float64(max(c.Slots, 1))
	occupied := float64(c.InFlight) / slots
	// A load that is not a number compares as false.
	if c.LoadAgeMs >= 0 && c.LoadAgeMs <= maxLoadReportAgeMs && c.Load > occupied && c.Load <= maxPlausibleLoad {
		occupied = c.Load
	}
	expected := max(now, usual/2) * (1 + occupied) * (1 + failureCostFactor*c.FailureRate + refusalCostFactor*c.RefusalRate)
	return weighed{
		local: c.SameDataCentre, expected: expected, weight: slots / usual * math.Pow(usual/expected, exponent),
		// A leaf that is slow already is stalled no later than one that is not.
		standing: StandingOf(c, samphirepass.Millis(min(now, usual))),
	}
}

// typicalLatency returns the lower median of the usual latencies of the leaves that have answered.
func typicalLatency(candidates []samphirepass.Candidate) samphirepass.Millis {
	var buffer [stackCandidates]samphirepass.Millis
	known := buffer[:0]
	for i := range candidates {
		if usual := candidates[i].UsualLatencyMs; usual > 0 {
			known = append(known, usual)
		}
	}
	if len(known) == 0 {
		return defaultLatencyMs
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}

// draw returns the index of a leaf, drawn by the weights of those that the reason allows, or -1 if none has a positive weight.
func draw(leaves []weighed, reason ChoiceReason, u float64) int {
	weight := func(w weighed) float64 {
		switch {
		case w.local != (reason == ReasonLocal):
			return 0
		case reason == ReasonElsewhere:
			return w.weight / math.Pow(w.expected, distanceExponent)
		}
		return w.weight
	}
	total := 0.0
	for _, w := range leaves {
		total += weight(w)
	}
	chosen := -1
	for _, w := range leaves {
		x := weight(w)
		if x <= 0 {
			continue
		}
		chosen = w.index
		if u -= x / total; u < 0 {
			break
		}
	}
	return chosen
}
