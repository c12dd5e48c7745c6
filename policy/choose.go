package policy

import (
	"math/rand/v2"

	"samphirepass"
)

const (
	// ejectFailures is the number of failures in a row after which a leaf is avoided.
	ejectFailures = 3
	// ejectBaseMs is how long a leaf is avoided at first; each further failure doubles it up to ejectMaxMs.
	ejectBaseMs samphirepass.Millis = 500
	ejectMaxMs  samphirepass.Millis = 8000
	// slowStartMs is the time over which a new leaf's share grows to the full one.
	slowStartMs samphirepass.Millis = 10_000
	// loadFreshMs is the age up to which a leaf's own figure of its load counts.
	loadFreshMs samphirepass.Millis = 1000
	// otherCentreFactor weighs the way to another data centre against load.
	otherCentreFactor = 1.2
	// unknownLatencyMs stands for the latency of a leaf where none has answered yet.
	unknownLatencyMs samphirepass.Millis = 5
)

// RandomChooser picks any leaf; it is the baseline.
type RandomChooser struct{}

// Choose returns a uniformly drawn index.
func (RandomChooser) Choose(candidates []samphirepass.Candidate) int {
	return rand.IntN(len(candidates))
}

// PowerOfTwoChooser draws two leaves and takes the one with the lower expected wait, so that entries do not all run to one idle leaf.
type PowerOfTwoChooser struct{}

// Choose returns the better of two drawn leaves among those that are not ejected.
func (PowerOfTwoChooser) Choose(candidates []samphirepass.Candidate) int {
	usable := Usable(candidates)
	if len(usable) == 1 {
		return usable[0]
	}
	i := rand.IntN(len(usable))
	j := rand.IntN(len(usable) - 1)
	if j >= i {
		j++
	}
	a, b := usable[i], usable[j]
	typical := typicalLatency(candidates)
	if Score(candidates[b], typical) < Score(candidates[a], typical) {
		return b
	}
	return a
}

// typicalLatency is the mean over the leaves that have answered.
func typicalLatency(candidates []samphirepass.Candidate) samphirepass.Millis {
	sum, n := samphirepass.Millis(0), samphirepass.Millis(0)
	for _, c := range candidates {
		if c.MeanLatencyMs > 0 {
			sum += c.MeanLatencyMs
			n++
		}
	}
	if n == 0 {
		return unknownLatencyMs
	}
	return sum / n
}

// Score estimates the wait at a leaf in milliseconds, with factors for distance and slow start;
// typical stands for the latency of a leaf that has not answered yet.
func Score(c samphirepass.Candidate, typical samphirepass.Millis) float64 {
	latency := c.MeanLatencyMs
	if latency == 0 {
		latency = typical
	}
	occupied := float64(c.InFlight) / float64(max(c.Slots, 1))
	if c.LoadAgeMs <= loadFreshMs {
		occupied += c.Load
	}
	score := float64(latency) * (1 + occupied)
	if !c.SameDataCentre {
		score *= otherCentreFactor
	}
	if c.SinceDiscoveryMs < slowStartMs {
		score *= 1 + 3*(1-float64(c.SinceDiscoveryMs/slowStartMs))
	}
	if c.OpenConnections > 0 && c.InFlight >= c.MaxConnections {
		score *= 2
	}
	return score
}

// Usable returns the indices of the leaves that are not ejected; it never ejects half of them or more.
func Usable(candidates []samphirepass.Candidate) []int {
	var out, ejected []int
	for i, c := range candidates {
		if Ejected(c) {
			ejected = append(ejected, i)
			continue
		}
		out = append(out, i)
	}
	// Those that failed longest ago come back first.
	for len(ejected) > (len(candidates)-1)/2 {
		oldest := 0
		for i, e := range ejected {
			if candidates[e].SinceFailureMs > candidates[ejected[oldest]].SinceFailureMs {
				oldest = i
			}
		}
		out = append(out, ejected[oldest])
		ejected = append(ejected[:oldest], ejected[oldest+1:]...)
	}
	return out
}

// Ejected reports whether a leaf failed so often and so lately that it is to be avoided.
func Ejected(c samphirepass.Candidate) bool {
	if c.ConsecutiveFailures < ejectFailures {
		return false
	}
	backoff := ejectBaseMs
	for range c.ConsecutiveFailures - ejectFailures {
		backoff = min(2*backoff, ejectMaxMs)
	}
	return c.SinceFailureMs < backoff
}
