package peer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
)

// TestTransitDelay feeds times of sending and receipt, in ms, and expects the delays.
func TestTransitDelay(t *testing.T) {
	type step struct{ sent, received, want samphirepass.Millis }
	tests := map[string][]step{
		"clocks differ":                        {{1000, 5, 0}, {1400, 405, 0}, {1800, 805, 0}},
		"one frame is late":                    {{0, 3, 0}, {400, 903, 500}, {800, 904, 101}, {1200, 1203, 0}},
		"the first frame was late":             {{0, 300, 0}, {400, 403, 0}, {800, 1103, 300}},
		"a lasting change of the clocks fades": {{0, 3, 0}, {400, 2403, 2000}, {3000, 5003, 2000}, {4000, 6003, 2000}, {9000, 11003, 2000}, {9100, 11103, 0}},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			var d transitDelay
			for i, s := range steps {
				require.InDelta(t, float64(s.want), float64(d.observe(s.sent, s.received)), 1e-9, "step %d", i)
			}
		})
	}
}
