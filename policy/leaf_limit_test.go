package policy_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/policy"
)

// TestProofSharesOfLeafLimit guards against entries that together send a leaf more than one and a half times its limit, and five requests,
// in four seconds.
func TestProofSharesOfLeafLimit(t *testing.T) {
	tests := map[string]struct {
		limit   float64
		senders int
	}{
		"one entry":                 {30, 1},
		"ten entries":               {21, 10},
		"few requests for each":     {8, 10},
		"collectors of a large one": {12, 6},
		"less than one a second":    {0.5, 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			limiters := make([]policy.LeafLimiter, tt.senders)
			var sent []samphirepass.Millis
			// The entries send as much as they may after ten idle seconds.
			for now := samphirepass.Millis(10_000); now < 20_000; now += 5 {
				for i := range limiters {
					for limiters[i].Take(now, tt.limit, tt.senders) {
						sent = append(sent, now)
					}
				}
			}
			most, first := 0, 0
			for i, at := range sent {
				for at-sent[first] > 4000 {
					first++
				}
				most = max(most, i-first+1)
			}
			require.LessOrEqual(t, float64(most), 1.5*4*tt.limit+5)
			require.GreaterOrEqual(t, float64(len(sent)), 10*tt.limit, "the limit is used")
		})
	}
}
