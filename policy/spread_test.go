package policy_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/policy"
)

// TestCollectorRank checks that collectors get shards in proportion to their cores, and that only the shards of one that goes away move.
func TestCollectorRank(t *testing.T) {
	const shards = 3000
	cores := map[string]float64{"large": 0.6, "a": 0.2, "b": 0.2, "c": 0.2}
	assign := func(without string) map[samphirepass.Service]string {
		best := map[samphirepass.Service]string{}
		for i := range shards {
			s, highest := samphirepass.Service(fmt.Sprint("shard-", i)), -1.0
			for address, n := range cores {
				if rank := policy.CollectorRank(s, address, n); address != without && rank > highest {
					best[s], highest = address, rank
				}
			}
		}
		return best
	}
	before, after := assign(""), assign("a")
	counts := map[string]int{}
	for s, address := range before {
		counts[address]++
		if address != "a" {
			require.Equal(t, address, after[s])
		}
	}
	require.InDelta(t, shards/2, counts["large"], shards/20)
	for _, address := range []string{"a", "b", "c"} {
		require.InDelta(t, shards/6, counts[address], shards/20)
	}
}

// TestSmallPartsJoinTheLargest checks that a few shards that are degraded in the best data centres do not make parts of their own.
func TestSmallPartsJoinTheLargest(t *testing.T) {
	var dataCentres [][]samphirepass.DataCentre
	for i := range 90 {
		switch {
		case i < 45:
			dataCentres = append(dataCentres, []samphirepass.DataCentre{"own"})
		case i < 87:
			dataCentres = append(dataCentres, []samphirepass.DataCentre{"far"})
		default:
			dataCentres = append(dataCentres, []samphirepass.DataCentre{samphirepass.DataCentre(fmt.Sprint("other-", i))})
		}
	}
	parts := policy.SplitShards(dataCentres, "own", []samphirepass.DataCentre{"own", "other-87", "other-88", "other-89", "far"})
	require.Len(t, parts, 2)
	require.Len(t, parts[0].Shards, 48)
	require.Len(t, parts[1].Shards, 42)
}
