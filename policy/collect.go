package policy

import (
	"math"
	"math/rand/v2"
	"slices"

	"samphirepass"
)

const (
	// collectorStallMs is the age of an unanswered request from which a collector is passed over: answers are due within their
	// route's target, a fraction of a second.
	collectorStallMs samphirepass.Millis = 400
	// CollectorSilenceMs is the time without a frame after which it is passed over: two heartbeats.
	CollectorSilenceMs samphirepass.Millis = 800
	// collectorAvoidMs is how long a collector that failed is passed over.
	collectorAvoidMs samphirepass.Millis = 1000
	// farShardCost weighs a shard whose parts all cross between data centres, against farCollectorCost for the one merged answer.
	farShardCost     = 4.0
	farCollectorCost = 0.2
	// busyCost weighs each request that the collector has not answered yet.
	busyCost = 0.5
)

// ChooseCollector returns the index of the larger entry that is to collect a request over shards, or -1 if it is better collected here.
func ChooseCollector(candidates []samphirepass.CollectorCandidate) int {
	best, least := -1, math.Inf(1)
	for i, c := range candidates {
		if !c.Connected || c.OldestInFlightMs > collectorStallMs || c.SilentMs > CollectorSilenceMs || c.SinceFailureMs < collectorAvoidMs {
			continue
		}
		cost := 1 + farShardCost*(1-c.LocalShardShare) + busyCost*float64(c.InFlight)
		if !c.SameDataCentre {
			cost += farCollectorCost
		}
		cost *= 1 + jitter*rand.Float64()
		if cost < least {
			best, least = i, cost
		}
	}
	return best
}

// SplitShards parts a request's shards by where they are best collected: those with a leaf in the entry's own data centre there,
// the others in the data centre that has leaves of most of them, and so on, so that few answers of leaves cross between data centres.
// centres has the data centres of each shard's leaves, offered those in which others collect.
func SplitShards(centres [][]samphirepass.DataCentre, own samphirepass.DataCentre, offered []samphirepass.DataCentre) []samphirepass.ShardPart {
	left := make([]int, len(centres))
	for i := range left {
		left[i] = i
	}
	var out []samphirepass.ShardPart
	take := func(centre samphirepass.DataCentre) {
		part := samphirepass.ShardPart{DataCentre: centre}
		var rest []int
		for _, at := range left {
			if slices.Contains(centres[at], centre) {
				part.Shards = append(part.Shards, at)
			} else {
				rest = append(rest, at)
			}
		}
		if len(part.Shards) > 0 {
			out, left = append(out, part), rest
		}
	}
	take(own)
	for len(left) > 0 {
		best, most := samphirepass.DataCentre(""), 0
		for _, centre := range offered {
			n := 0
			for _, at := range left {
				if slices.Contains(centres[at], centre) {
					n++
				}
			}
			// Equal ones are drawn from, so that their collectors share the load.
			if n > most || (n == most && n > 0 && rand.IntN(2) == 0) {
				best, most = centre, n
			}
		}
		if most == 0 {
			break
		}
		take(best)
	}
	if len(left) == 0 {
		return out
	}
	if len(out) == 0 {
		return []samphirepass.ShardPart{{Shards: left}}
	}
	// What nobody is near to goes with the largest part.
	most := 0
	for i, p := range out {
		if len(p.Shards) > len(out[most].Shards) {
			most = i
		}
	}
	out[most].Shards = append(out[most].Shards, left...)
	slices.Sort(out[most].Shards)
	return out
}

// SplitMissingAllowance shares the number of shards that may be missing out among the parts, by their sizes.
func SplitMissingAllowance(allowed int, parts []samphirepass.ShardPart) []int {
	out := make([]int, len(parts))
	for ; allowed > 0; allowed-- {
		best, most := 0, -1.0
		for i, p := range parts {
			if share := float64(len(p.Shards)) / float64(out[i]+1); share > most {
				best, most = i, share
			}
		}
		out[best]++
	}
	return out
}
