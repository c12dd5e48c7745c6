package policy

import (
	"math/rand/v2"

	"samphirepass"
)

const (
	// ejectFailures is the number of consecutive failures after which a leaf is ejected.
	ejectFailures = 3
	// ejectMinMs is the first ejection time; each further failure doubles it up to ejectMaxMs.
	ejectMinMs samphirepass.Millis = 500
	ejectMaxMs samphirepass.Millis = 8000
	// slowStartMs is the time over which the share of requests of a new leaf grows to the full one.
	slowStartMs samphirepass.Millis = 10_000
	// The score of a leaf is multiplied by 1 + slowStartPenalty at its discovery; the penalty falls linearly to 0 over slowStartMs.
	slowStartPenalty = 3
	// maxLoadAgeMs is the age up to which the load that a leaf reported counts.
	maxLoadAgeMs samphirepass.Millis = 1000
	// powerOfTwoRemoteFactor is the score factor of a leaf in another data centre.
	powerOfTwoRemoteFactor = 1.2
	// powerOfTwoNoConnectionFactor is the score factor of a leaf to which this entry has no free connection,
	// where an attempt has to wait for one.
	powerOfTwoNoConnectionFactor = 2
	// defaultLatencyMs is the latency assumed while no leaf has answered.
	defaultLatencyMs samphirepass.Millis = 5
)

// RandomChooser is the baseline chooser, which picks any leaf.
type RandomChooser struct{}

// Choose returns an index drawn uniformly at random.
func (RandomChooser) Choose(candidates []samphirepass.Candidate) int {
	return rand.IntN(len(candidates))
}

// PowerOfTwoChooser draws two leaves and picks the one with the lower score (power of two choices),
// so that the entries do not all send to one idle leaf.
type PowerOfTwoChooser struct{}

// Choose returns the index of the better of two leaves drawn from those that are not ejected.
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
	fallback := meanLatency(candidates)
	if Score(candidates[b], fallback) < Score(candidates[a], fallback) {
		return b
	}
	return a
}

// meanLatency returns the mean over the leaves that have answered.
func meanLatency(candidates []samphirepass.Candidate) samphirepass.Millis {
	sum, n := samphirepass.Millis(0), samphirepass.Millis(0)
	for _, c := range candidates {
		if c.MeanLatencyMs > 0 {
			sum += c.MeanLatencyMs
			n++
		}
	}
	if n == 0 {
		return defaultLatencyMs
	}
	return sum / n
}

// Score estimates the latency of a leaf in milliseconds, with factors for distance, slow start and a lack of free connections;
// fallback is the latency assumed for a leaf that has not answered yet.
func Score(c samphirepass.Candidate, fallback samphirepass.Millis) float64 {
	latency := c.MeanLatencyMs
	if latency == 0 {
		latency = fallback
	}
	occupied := float64(c.InFlight) / float64(max(c.Slots, 1))
	if c.LoadAgeMs <= maxLoadAgeMs {
		occupied += c.Load
	}
	score := float64(latency) * (1 + occupied)
	if !c.SameDataCentre {
		score *= powerOfTwoRemoteFactor
	}
	if c.SinceDiscoveryMs < slowStartMs {
		score *= 1 + slowStartPenalty*(1-float64(c.SinceDiscoveryMs/slowStartMs))
	}
	if c.OpenConnections > 0 && c.InFlight >= c.MaxConnections {
		score *= powerOfTwoNoConnectionFactor
	}
	return score
}

// Usable returns the indices of the leaves that are not ejected. It keeps more than half of the leaves, whatever their failures.
func Usable(candidates []samphirepass.Candidate) []int {
	var usable, ejected []int
	for i, c := range candidates {
		if Ejected(c) {
			ejected = append(ejected, i)
			continue
		}
		usable = append(usable, i)
	}
	// If too many are ejected, those that failed longest ago are used again.
	for len(ejected) > (len(candidates)-1)/2 {
		oldest := 0
		for i, e := range ejected {
			if candidates[e].SinceFailureMs > candidates[ejected[oldest]].SinceFailureMs {
				oldest = i
			}
		}
		usable = append(usable, ejected[oldest])
		ejected = append(ejected[:oldest], ejected[oldest+1:]...)
	}
	return usable
}

// Ejected reports whether a leaf is avoided because of recent consecutive failures.
func Ejected(c samphirepass.Candidate) bool {
	if c.ConsecutiveFailures < ejectFailures {
		return false
	}
	backoff := ejectMinMs
	for range c.ConsecutiveFailures - ejectFailures {
		backoff = min(2*backoff, ejectMaxMs)
	}
	return c.SinceFailureMs < backoff
}
