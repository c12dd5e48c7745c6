package policy

import (
	"math"
	"math/rand/v2"
	"slices"

	"samphirepass"
)

const (
	// stallFactor times a leaf's usual latency is the age of an unanswered attempt from which the leaf counts as paused.
	stallFactor = 2.5
	// stallMinMs keeps the network's own variation from looking like a pause.
	stallMinMs samphirepass.Millis = 15
	// farFactor weighs the way to another data centre, whose bytes are paid for, against load.
	farFactor = 2.5
	// coldFactor weighs a leaf that says it has not warmed up.
	coldFactor = 3
	// fadeMs is the time in which an old figure of a leaf's latency loses most of its weight, so that a slow leaf is tried again.
	fadeMs samphirepass.Millis = 4000
	// jitter draws between leaves that are about equal, so that entries do not all run to one of them.
	jitter = 0.1
	// stallPenalty puts a paused leaf behind all others.
	stallPenalty = 50
	// ejectPenalty puts a failing leaf behind a paused one.
	ejectPenalty = 500
	// failFactor times the share of failed attempts is what they add to a leaf's cost: each needs another attempt after it,
	// and a request that may run only once is lost.
	failFactor = 12
	// sharePenalty weighs a leaf on which this entry has no connection free.
	sharePenalty = 4
)

// LeastCostChooser avoids leaves that stand still: backend servers pause for a moment now and then, each at its own time,
// and a request that meets a pause waits it out. An attempt that is older than usual tells of a pause before any time-out.
type LeastCostChooser struct{}

// Choose returns the leaf with the lowest expected cost.
func (LeastCostChooser) Choose(candidates []samphirepass.Candidate) int {
	if len(candidates) == 1 {
		return 0
	}
	typical := medianLatency(candidates)
	best, least := 0, math.Inf(1)
	for i, c := range candidates {
		cost := Cost(c, typical) * (1 + jitter*rand.Float64())
		if cost < least {
			best, least = i, cost
		}
	}
	return best
}

// medianLatency returns the lower median over the leaves that have answered, which a few slow ones do not sway.
func medianLatency(candidates []samphirepass.Candidate) samphirepass.Millis {
	known := make([]samphirepass.Millis, 0, len(candidates))
	for _, c := range candidates {
		if c.MedianLatencyMs > 0 {
			known = append(known, c.MedianLatencyMs)
		}
	}
	if len(known) == 0 {
		return unknownLatencyMs
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}

// Cost estimates the wait at a leaf in milliseconds, with factors for what makes it a worse choice.
func Cost(c samphirepass.Candidate, typical samphirepass.Millis) float64 {
	latency := faded(c, typical)
	cost := float64(latency) * (1 + float64(c.InFlight)/float64(max(c.Slots, 1)))
	if !c.SameDataCentre {
		cost *= farFactor
	}
	if c.ColdMs > 0 {
		cost *= coldFactor
	}
	if c.MaxConnections > 0 && c.InFlight >= c.MaxConnections {
		cost *= sharePenalty
	}
	cost *= 1 + failFactor*c.FailureRate
	if Stalled(c, latency) {
		cost *= stallPenalty
	}
	if Ejected(c) {
		cost *= ejectPenalty
	}
	return cost
}

// PreferRemote reports whether all leaves in the own data centre, if there are any, are a worse choice than one elsewhere,
// for longer than a pause lasts.
func PreferRemote(candidates []samphirepass.Candidate) bool {
	typical := medianLatency(candidates)
	near, far := math.Inf(1), math.Inf(1)
	for _, c := range candidates {
		// What is under way now says little of the next seconds.
		c.OldestInFlightMs, c.InFlight = 0, 0
		cost := Cost(c, typical)
		if c.SameDataCentre {
			near = min(near, cost)
		} else {
			far = min(far, cost)
		}
	}
	return far < near && !math.IsInf(near, 1)
}

// Stalled reports whether the oldest attempt on a leaf has waited so long that the leaf seems to stand still.
func Stalled(c samphirepass.Candidate, usual samphirepass.Millis) bool {
	return c.OldestInFlightMs > max(stallFactor*usual, stallMinMs)
}

// faded returns a leaf's latency, drawn towards the typical one as the figure ages.
func faded(c samphirepass.Candidate, typical samphirepass.Millis) samphirepass.Millis {
	if c.MedianLatencyMs == 0 {
		return typical
	}
	weight := samphirepass.Millis(math.Exp(-float64(c.LatencyAgeMs / fadeMs)))
	return typical + (c.MedianLatencyMs-typical)*weight
}
