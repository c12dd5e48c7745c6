package policy

import (
	"math"
	"math/rand/v2"
	"slices"

	"samphirepass"
)

const (
	// stallFactor times a leaf's median latency is the age of an unanswered attempt above which the leaf counts as stalled.
	stallFactor = 2.5
	// stallMinMs keeps network jitter from looking like a stall.
	stallMinMs samphirepass.Millis = 15
	// leastCostRemoteFactor is the cost factor of a leaf in another data centre; traffic between data centres costs money.
	leastCostRemoteFactor = 2.5
	// warmupFactor is the cost factor of a leaf that announced that it is still warming up.
	warmupFactor = 3
	// latencyDecayMs is the time constant with which an old latency loses its weight, so that a slow leaf is tried again.
	latencyDecayMs samphirepass.Millis = 4000
	// costJitter is the largest random addition to a cost, as a fraction, so that entries do not all choose the same
	// of several nearly equal candidates.
	costJitter = 0.1
	// stallCostFactor ranks a stalled leaf after all others.
	stallCostFactor = 50
	// ejectCostFactor ranks an ejected leaf after a stalled one.
	ejectCostFactor = 500
	// failureCostFactor times a leaf's failure rate is added to its cost factor: each failure needs another attempt,
	// and loses a request that may run only once.
	failureCostFactor = 12
	// refusalCostFactor is the same for refusals, which need another attempt, too.
	refusalCostFactor = 12
	// leastCostNoConnectionFactor is the cost factor of a leaf to which this entry has no free connection,
	// where an attempt has to wait for one.
	leastCostNoConnectionFactor = 4
	// maxReportAgeMs is the age at which the load that a leaf reported has lost all its weight. In a model of 10 leaves with 2 slots and work of
	// 60 ms, which are slow for 0.6 s at times, 84 choosers had the lowest mean time with 150 to 250 ms. With 3 leaves and work of 7.5 ms,
	// 20 choosers had it with 150 ms, and higher ones from 500 ms.
	maxReportAgeMs samphirepass.Millis = 150
)

// LeastCostChooser picks the leaf with the lowest estimated cost and avoids stalled leaves: backend servers pause briefly
// from time to time, independently of each other, and a request sent to a paused one waits until the pause ends.
// An unanswered attempt that is older than usual shows a pause before any time-out does.
type LeastCostChooser struct {
	// Random returns a number in [0, 1); nil means math/rand.
	Random func() float64
}

// Choose returns the index of the leaf with the lowest cost.
func (l LeastCostChooser) Choose(candidates []samphirepass.Candidate) int {
	if len(candidates) == 1 {
		return 0
	}
	random := l.Random
	if random == nil {
		random = rand.Float64
	}
	typical := medianLatency(candidates)
	best, lowest := 0, math.Inf(1)
	for i, c := range candidates {
		cost := Cost(c, typical) * (1 + costJitter*random())
		if cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// medianLatency returns the lower median over the leaves that have answered, which a few slow leaves do not distort.
func medianLatency(candidates []samphirepass.Candidate) samphirepass.Millis {
	known := make([]samphirepass.Millis, 0, len(candidates))
	for _, c := range candidates {
		if c.MedianLatencyMs > 0 {
			known = append(known, c.MedianLatencyMs)
		}
	}
	if len(known) == 0 {
		return defaultLatencyMs
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}

// Cost estimates the latency of a leaf in milliseconds, with factors for conditions that make it a worse choice;
// typical stands in for an unknown latency, and a known one approaches it as it ages.
func Cost(c samphirepass.Candidate, typical samphirepass.Millis) float64 {
	latency := decayedLatency(c, typical)
	cost := float64(latency) * queueFactor(c)
	if !c.SameDataCentre {
		cost *= leastCostRemoteFactor
	}
	if c.ColdMs > 0 {
		cost *= warmupFactor
	}
	if c.MaxConnections > 0 && c.InFlight >= c.MaxConnections {
		cost *= leastCostNoConnectionFactor
	}
	cost *= 1 + failureCostFactor*c.FailureRate + refusalCostFactor*c.RefusalRate
	if Stalled(c, latency) {
		cost *= stallCostFactor
	}
	if Ejected(c) {
		cost *= ejectCostFactor
	}
	return cost
}

// queueFactor returns the expected time at a leaf relative to its latency, from this entry's attempts in flight or, the fresher it is the
// more, from the load and the pace that the leaf reported.
func queueFactor(c samphirepass.Candidate) float64 {
	factor := 1 + float64(c.InFlight)/float64(max(c.Slots, 1))
	if !c.LoadReported || c.LoadAgeMs >= maxReportAgeMs {
		return factor
	}
	weight := 1 - max(float64(c.LoadAgeMs/maxReportAgeMs), 0)
	factor = max(factor, 1+weight*c.Load)
	if c.Pace > 0 {
		factor *= 1 + weight*(c.Pace-1)
	}
	return factor
}

// PreferRemote reports whether every leaf in the entry's own data centre costs more than some leaf elsewhere.
// It ignores the attempts in flight, so that a brief pause of a leaf has no effect.
// It is false if there is no leaf in the own data centre.
func PreferRemote(candidates []samphirepass.Candidate) bool {
	typical := medianLatency(candidates)
	local, remote := math.Inf(1), math.Inf(1)
	for _, c := range candidates {
		// The result is used for the next few seconds, for which the attempts now in flight are a poor prediction.
		c.OldestInFlightMs, c.InFlight = 0, 0
		cost := Cost(c, typical)
		if c.SameDataCentre {
			local = min(local, cost)
		} else {
			remote = min(remote, cost)
		}
	}
	return remote < local && !math.IsInf(local, 1)
}

// Stalled reports whether the oldest attempt in flight on a leaf is so much older than the given latency of the leaf
// that the leaf seems to be paused.
func Stalled(c samphirepass.Candidate, latency samphirepass.Millis) bool {
	return c.OldestInFlightMs > max(stallFactor*latency, stallMinMs)
}

// decayedLatency returns a leaf's median latency, which approaches typical as it ages.
func decayedLatency(c samphirepass.Candidate, typical samphirepass.Millis) samphirepass.Millis {
	if c.MedianLatencyMs == 0 {
		return typical
	}
	weight := samphirepass.Millis(math.Exp(-float64(c.LatencyAgeMs / latencyDecayMs)))
	return typical + (c.MedianLatencyMs-typical)*weight
}
