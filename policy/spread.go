package policy

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"samphirepass"
)

// minSpreadShards is the number of shards below which the messages to several collectors cost more than these save.
const minSpreadShards = 20

// SpreadsRequest reports whether a request to n shards is spread over the collectors of a data centre.
func SpreadsRequest(n, collectors int) bool {
	return collectors > 1 && n >= minSpreadShards
}

// shardLoadFactor is how many times the mean number of shards a collector may be in charge of.
const shardLoadFactor = 1.1

// CollectorRank returns how well a collector suits a shard; the highest rank is best. All entries rank alike, so that one collector sees all
// requests to a leaf: it notices a pause with the first of them. Only the shards of a collector that goes away or comes back move
// (rendezvous hashing).
func CollectorRank(s samphirepass.Service, address string) uint64 {
	d := xxhash.New()
	// Writing to a hash cannot fail.
	_, _ = d.WriteString(string(s))
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(address)
	return d.Sum64()
}

// AssignShards returns, for each shard, the index of the collector in charge of it: the one with the highest rank that has no more than its
// share of the shards. Larger collectors get no more than others, as a request should not need any one of them.
func AssignShards(shards []samphirepass.Service, addresses []string) []int {
	limit := int(math.Ceil(shardLoadFactor * float64(len(shards)) / float64(len(addresses))))
	// In this order, which collectors are full does not depend on the order of the shards in a route.
	order := make([]int, len(shards))
	hashes := make([]uint64, len(shards))
	for i, s := range shards {
		order[i], hashes[i] = i, xxhash.Sum64String(string(s))
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(hashes[a], hashes[b]) })
	assigned, counts := make([]int, len(shards)), make([]int, len(addresses))
	for _, i := range order {
		best, highest := -1, uint64(0)
		for j, address := range addresses {
			if rank := CollectorRank(shards[i], address); counts[j] < limit && (best < 0 || rank > highest) {
				best, highest = j, rank
			}
		}
		assigned[i] = best
		counts[best]++
	}
	return assigned
}
