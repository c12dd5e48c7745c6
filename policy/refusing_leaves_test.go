package policy_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/policy"
)

// TestRefusingLeaves answers the load pattern of leaves that refuse part of their requests while they are idle: three leaves of
// a shard, of which some refuse 60 % at once. The budget allows an extra attempt for a fifth of the requests only, so the first
// attempt has to go to a leaf that works. When the leaves recover, they must get requests again.
func TestRefusingLeaves(t *testing.T) {
	const (
		requests                          = 2000
		intervalMs    samphirepass.Millis = 40
		refusingShare                     = 0.6
	)
	tests := map[string]struct {
		// refusing holds the leaves that refuse; local is the leaf in the own data centre.
		refusing map[int]bool
		local    int
		// minServed is the least share of first attempts that a leaf takes; by chance it would be 0.6 and 0.8.
		minServed float64
	}{
		"two of three, the local one among them": {map[int]bool{0: true, 1: true}, 0, 0.9},
		"one of three, the local one":            {map[int]bool{0: true}, 0, 0.9},
		"two of three, not the local one":        {map[int]bool{1: true, 2: true}, 0, 0.97},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			rates := [3]policy.DecayingRate{}
			for i := range rates {
				rates[i] = policy.DecayingRate{Weight: 0.15, DecayMs: 2000}
			}
			attempt := func(now samphirepass.Millis, refusing map[int]bool) (leaf int, served bool) {
				candidates := make([]samphirepass.Candidate, len(rates))
				for i := range candidates {
					candidates[i] = samphirepass.Candidate{SameDataCentre: i == tt.local, Slots: 3, MedianLatencyMs: 20, MaxConnections: 3, RefusalRate: rates[i].Value(now)}
				}
				leaf = policy.LeastCostChooser{}.Choose(candidates)
				served = !refusing[leaf] || random.Float64() >= refusingShare
				rates[leaf].Add(now, !served)
				return leaf, served
			}
			served := 0
			for i := range requests {
				if _, ok := attempt(samphirepass.Millis(i)*intervalMs, tt.refusing); ok {
					served++
				}
			}
			require.Greater(t, float64(served)/requests, tt.minServed)
			later, local := samphirepass.Millis(requests)*intervalMs+10_000, 0
			for i := range 100 {
				if leaf, _ := attempt(later+samphirepass.Millis(i)*intervalMs, nil); leaf == tt.local {
					local++
				}
			}
			require.Greater(t, local, 90, "the leaf in the own data centre is used again")
		})
	}
}
