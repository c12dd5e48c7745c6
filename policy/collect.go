package policy

import (
	"math"
	"math/rand/v2"
	"slices"

	"samphirepass"
)

const (
	// collectorStallMs is the age of an unanswered request above which a collector is skipped:
	// answers are due within their route's latency target, a fraction of a second.
	collectorStallMs samphirepass.Millis = 400
	// CollectorSilenceMs is the time without a frame, two heartbeats, after which a collector that has a request is silent.
	CollectorSilenceMs samphirepass.Millis = 800
	// idleSilenceMs is the same for a collector that has none, which sends fewer heartbeats.
	idleSilenceMs samphirepass.Millis = 1200
	// collectorCooldownMs is how long a collector is skipped after a failure.
	collectorCooldownMs samphirepass.Millis = 1000
	// remoteShardCost is the cost of collecting all shards from other data centres, as each leaf's answer then crosses between data centres;
	// remoteCollectorCost is the cost of the one merged answer that a collector in another data centre sends.
	remoteShardCost     = 4.0
	remoteCollectorCost = 0.2
	// overloadMinCollectors is the number of collectors from which entries do not ask all leaves themselves when most of the collectors are
	// overloaded: for as many entries the leaves have too few connections.
	overloadMinCollectors = 4
	// similarCoverage is the share of the most shards that a data centre covers from which another one suits as well: entries that all chose
	// the one with the most would overload its collectors.
	similarCoverage = 0.75
	// minPartShare is the share of a request's shards from which a message to another data centre costs less than the answers of its leaves.
	minPartShare = 0.06
	// inFlightCost is the cost of each request that the collector has not answered yet.
	inFlightCost = 0.5
)

// CollectorCondition returns whether a request may be sent to a collector now, or else why not.
func CollectorCondition(c samphirepass.CollectorCandidate) samphirepass.CollectorCondition {
	switch {
	case !c.Connected:
		return samphirepass.CollectorDisconnected
	case c.NoPath:
		return samphirepass.CollectorNoPath
	case c.SilentMs > idleSilenceMs, c.SilentMs > CollectorSilenceMs && c.OldestInFlightMs > CollectorSilenceMs:
		return samphirepass.CollectorSilent
	case c.OldestInFlightMs > collectorStallMs:
		return samphirepass.CollectorStalled
	case c.SinceFailureMs < collectorCooldownMs:
		return samphirepass.CollectorFailed
	}
	return samphirepass.CollectorUsable
}

// CollectorUsable reports whether a request may be sent to a collector now.
func CollectorUsable(c samphirepass.CollectorCandidate) bool {
	return CollectorCondition(c) == samphirepass.CollectorUsable
}

// UsableCollectors reports which collectors of a data centre may be sent requests now. If most of those that are connected and send frames
// seem stalled or failed, the load is too high, not a collector broken: avoiding them would only add to the load of the others. Where there
// are few, entries have the processors to ask the leaves themselves.
func UsableCollectors(candidates []samphirepass.CollectorCandidate) []bool {
	usable, alive := make([]bool, len(candidates)), make([]bool, len(candidates))
	usableCount, aliveCount := 0, 0
	for i, c := range candidates {
		switch CollectorCondition(c) {
		case samphirepass.CollectorUsable:
			usable[i], alive[i] = true, true
			usableCount++
			aliveCount++
		case samphirepass.CollectorStalled, samphirepass.CollectorFailed:
			alive[i] = true
			aliveCount++
		}
	}
	if aliveCount >= overloadMinCollectors && 2*usableCount < aliveCount {
		return alive
	}
	return usable
}

// ChooseCollector returns the index of the best candidate to collect a scatter-gather request,
// or -1 if no candidate is usable and this entry should collect it itself.
func ChooseCollector(candidates []samphirepass.CollectorCandidate) int {
	best, lowest := -1, math.Inf(1)
	for i, c := range candidates {
		if !CollectorUsable(c) {
			continue
		}
		cost := 1 + remoteShardCost*(1-c.LocalShardShare) + inFlightCost*float64(c.InFlight)
		if !c.SameDataCentre {
			cost += remoteCollectorCost
		}
		cost *= 1 + costJitter*rand.Float64()
		if cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// SplitShards splits a request's shards by the data centre in which they are collected, so that few answers of leaves cross
// between data centres: shards with a leaf in the entry's own data centre are collected there, the others in the data centre
// that has leaves of most of them, and so on.
// dataCentres holds the data centres of each shard's leaves, offered the data centres that have collectors; of similar ones the first is
// used.
func SplitShards(dataCentres [][]samphirepass.DataCentre, own samphirepass.DataCentre, offered []samphirepass.DataCentre) []samphirepass.ShardPart {
	remaining := make([]int, len(dataCentres))
	for i := range remaining {
		remaining[i] = i
	}
	var parts []samphirepass.ShardPart
	assign := func(dataCentre samphirepass.DataCentre) {
		part := samphirepass.ShardPart{DataCentre: dataCentre}
		var rest []int
		for _, shard := range remaining {
			if slices.Contains(dataCentres[shard], dataCentre) {
				part.Shards = append(part.Shards, shard)
			} else {
				rest = append(rest, shard)
			}
		}
		if len(part.Shards) > 0 {
			parts, remaining = append(parts, part), rest
		}
	}
	assign(own)
	least := max(int(minPartShare*float64(len(dataCentres))), 1)
	for len(remaining) > 0 {
		covered, most := make([]int, len(offered)), 0
		for i, dataCentre := range offered {
			for _, shard := range remaining {
				if slices.Contains(dataCentres[shard], dataCentre) {
					covered[i]++
				}
			}
			most = max(most, covered[i])
		}
		if most == 0 || (most < least && len(parts) > 0) {
			break
		}
		assign(offered[slices.IndexFunc(covered, func(n int) bool { return float64(n) >= similarCoverage*float64(most) })])
	}
	if len(remaining) == 0 {
		return parts
	}
	if len(parts) == 0 {
		return []samphirepass.ShardPart{{Shards: remaining}}
	}
	// Shards without a leaf in any of these data centres, and those that would be a part too small, go to the largest part.
	most := 0
	for i, p := range parts {
		if len(p.Shards) > len(parts[most].Shards) {
			most = i
		}
	}
	parts[most].Shards = append(parts[most].Shards, remaining...)
	slices.Sort(parts[most].Shards)
	return parts
}

// SplitMissingAllowance distributes the number of shards that may be missing over the parts in proportion to their sizes.
func SplitMissingAllowance(allowed int, parts []samphirepass.ShardPart) []int {
	allowances := make([]int, len(parts))
	for ; allowed > 0; allowed-- {
		best, most := 0, -1.0
		for i, p := range parts {
			if share := float64(len(p.Shards)) / float64(allowances[i]+1); share > most {
				best, most = i, share
			}
		}
		allowances[best]++
	}
	return allowances
}
