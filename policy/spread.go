package policy

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"samphirepass"
)

// minSpreadShards is the number of shards below which the messages to several collectors cost more than these save.
const minSpreadShards = 20

// SpreadsRequest reports whether a request to n shards is spread over the collectors of a data centre.
func SpreadsRequest(n, collectors int) bool {
	return collectors > 1 && n >= minSpreadShards
}

// CollectorRank returns how well a collector with the given number of cores suits a shard; the highest rank is best. All entries rank
// alike, so that one collector sees all requests to a leaf: it notices a pause with the first of them. Each collector suits best in
// proportion to its cores, and only the shards of a collector that goes away or comes back move (weighted rendezvous hashing).
func CollectorRank(s samphirepass.Service, address string, cores float64) float64 {
	// The hash as a number between 0 and 1, both excluded.
	x := (float64(xxhash.Sum64String(string(s)+"/"+address)>>11) + 0.5) / (1 << 53)
	return max(cores, math.SmallestNonzeroFloat32) / -math.Log(x)
}
