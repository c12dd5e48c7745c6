package policy_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/policy"
)

// TestAssignShards checks that collectors get equal numbers of shards, that few other shards move when one goes away, and that the order of
// the shards and of the collectors changes nothing.
func TestAssignShards(t *testing.T) {
	tests := map[string]struct{ shards, collectors, most int }{
		"many shards":         {3000, 4, 825},
		"few shards for each": {135, 12, 13},
		"fewer than one each": {20, 40, 1},
		"a single collector":  {10, 1, 10},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var shards []samphirepass.Service
			for i := range tt.shards {
				shards = append(shards, samphirepass.Service(fmt.Sprint("shard-", i)))
			}
			var addresses []string
			for i := range tt.collectors {
				addresses = append(addresses, fmt.Sprintf("10.0.0.%d:7", i))
			}
			before := assignedTo(shards, addresses)
			counts := map[string]int{}
			for _, address := range before {
				counts[address]++
			}
			for _, n := range counts {
				require.LessOrEqual(t, n, tt.most)
			}
			slices.Reverse(shards)
			slices.Reverse(addresses)
			require.Equal(t, before, assignedTo(shards, addresses))
			if tt.collectors == 1 {
				return
			}
			moved := 0
			for s, address := range assignedTo(shards, addresses[1:]) {
				if before[s] != address && before[s] != addresses[0] {
					moved++
				}
			}
			require.LessOrEqual(t, moved, tt.shards/6, "shards of other collectors that move")
		})
	}
}

// assignedTo returns the address of the collector in charge of each shard.
func assignedTo(shards []samphirepass.Service, addresses []string) map[samphirepass.Service]string {
	assigned := map[samphirepass.Service]string{}
	for i, j := range policy.AssignShards(shards, addresses) {
		assigned[shards[i]] = addresses[j]
	}
	return assigned
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

// TestSimilarDataCentresShareTheLoad guards against entries that all send the shards without a leaf nearby to the data centre that has a few
// more of them than the others.
func TestSimilarDataCentresShareTheLoad(t *testing.T) {
	const shards, copies = 135, 3
	rnd := rand.New(rand.NewSource(1))
	all := []samphirepass.DataCentre{"a", "b", "c", "d", "e", "f"}
	dataCentres := make([][]samphirepass.DataCentre, shards)
	leaves := map[samphirepass.DataCentre]int{}
	for i := range dataCentres {
		for _, j := range rnd.Perm(len(all))[:copies] {
			dataCentres[i] = append(dataCentres[i], all[j])
			leaves[all[j]]++
		}
	}
	load, total := map[samphirepass.DataCentre]int{}, 0
	for _, own := range all {
		for range 50 {
			offered := slices.Clone(all)
			rnd.Shuffle(len(offered), func(i, j int) { offered[i], offered[j] = offered[j], offered[i] })
			for _, p := range policy.SplitShards(dataCentres, own, offered) {
				load[p.DataCentre] += len(p.Shards)
				total += len(p.Shards)
			}
		}
	}
	for dataCentre, n := range load {
		fair := float64(total) * float64(leaves[dataCentre]) / (shards * copies)
		require.Less(t, float64(n), 1.25*fair, "load %v for leaves %v", load, leaves)
	}
}
