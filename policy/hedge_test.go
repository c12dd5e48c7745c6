package policy_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/policy"
)

// TestQuantileHedgerBaseDelay observes repeated cycles of leaf latencies, in milliseconds: the base delay holds
// unless nearly all leaves are slow.
func TestQuantileHedgerBaseDelay(t *testing.T) {
	const baseDelay = 50
	cycle := func(n int, normal samphirepass.Millis, slow ...samphirepass.Millis) []samphirepass.Millis {
		samples := slow
		for len(samples) < n {
			samples = append(samples, normal)
		}
		return samples
	}
	tests := map[string]struct {
		latencies []samphirepass.Millis
		lowest    samphirepass.Millis
		highest   samphirepass.Millis
	}{
		"no observations yet":            {nil, baseDelay, baseDelay},
		"no slow leaves":                 {cycle(100, 20), baseDelay, baseDelay},
		"one leaf in seven is slow":      {cycle(7, 20, 140), baseDelay, baseDelay},
		"half of the leaves are slow":    {cycle(10, 20, 140, 140, 140, 140), baseDelay, baseDelay},
		"all are slower than the target": {cycle(10, 120), 119, 181},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q := policy.NewQuantileHedger(15).WithBaseDelay(baseDelay)
			for i := range 1000 {
				if len(tt.latencies) > 0 {
					q.Observe(tt.latencies[i%len(tt.latencies)])
				}
			}
			delay, ok := q.Delay()
			require.True(t, ok)
			require.GreaterOrEqual(t, delay, tt.lowest)
			require.LessOrEqual(t, delay, tt.highest+1)
		})
	}
}
