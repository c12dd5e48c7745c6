package policy_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/policy"
)

// TestHedgeDelay names the load of each row by the latencies of the leaves, in milliseconds, over which it cycles.
func TestHedgeDelay(t *testing.T) {
	const due = 50
	cycle := func(n int, rest samphirepass.Millis, slow ...samphirepass.Millis) []samphirepass.Millis {
		out := slow
		for len(out) < n {
			out = append(out, rest)
		}
		return out
	}
	tests := map[string]struct {
		latencies []samphirepass.Millis
		least     samphirepass.Millis
		most      samphirepass.Millis
	}{
		"nothing measured yet":           {nil, due, due},
		"steady leaves":                  {cycle(100, 20), due, due},
		"one leaf in seven is slow":      {cycle(7, 20, 140), due, due},
		"half of the leaves are slow":    {cycle(10, 20, 140, 140, 140, 140), due, due},
		"all are slower than the target": {cycle(10, 120), 119, 181},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q := policy.NewQuantileHedger(15).WithBaseDelay(due)
			for i := range 1000 {
				if len(tt.latencies) > 0 {
					q.Observe(tt.latencies[i%len(tt.latencies)])
				}
			}
			delay, ok := q.Delay()
			require.True(t, ok)
			require.GreaterOrEqual(t, delay, tt.least)
			require.LessOrEqual(t, delay, tt.most+1)
		})
	}
}
