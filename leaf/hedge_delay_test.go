package leaf

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
)

// TestHedgeDelay guards against a second attempt that cannot answer before the partial answer, and against a change for other targets.
func TestHedgeDelay(t *testing.T) {
	tests := map[string]struct{ target, want samphirepass.Millis }{
		"no target":         {0, 0},
		"checks":            {40, 10},
		"shortest as ever":  {60, 20},
		"sweeps":            {120, 40},
		"single requests":   {250, 250.0 / 3},
		"shorter than that": {30, 7.5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.InDelta(t, float64(tt.want), float64(hedgeDelay(tt.target)), 1e-9)
		})
	}
}

// checkModel holds what a request over 36 shards with a latency target of 40 ms meets: a leaf works for 2.5 ms, is 2.5 times as slow
// in 15 of 100 cases, and pauses for 100 ms in 4 of 100. 27 shards have a leaf in the data centre of the gateway; the others are
// collected elsewhere, and so are all second attempts.
type checkModel struct {
	rnd            *rand.Rand
	distance, wait float64
}

func (m checkModel) answer() float64 {
	took := 2.5 / []float64{0.8, 1, 1.3}[m.rnd.IntN(3)] * (0.8 + 0.4*m.rnd.Float64())
	if m.rnd.Float64() < 0.15 {
		took *= 2.5
	}
	if m.rnd.Float64() < 0.04 {
		took += 100 * m.rnd.Float64()
	}
	return took + m.wait*m.rnd.ExpFloat64()
}

// run returns the shares of requests that are whole, or lack one shard, at the time of the partial answer, and of second attempts.
func (m checkModel) run(delay, due samphirepass.Millis) (whole, lackOne, extra float64) {
	const n, shards = 4000, 36
	for range n {
		late := 0
		for i := range shards {
			took := m.answer()
			if took > float64(delay) {
				took = min(took, float64(delay)+m.distance+m.answer())
				extra += 1.0 / n / shards
			}
			if i >= shards*3/4 {
				took += m.distance
			}
			if took > float64(due) {
				late++
			}
		}
		if late == 0 {
			whole += 1.0 / n
		}
		if late <= 1 {
			lackOne += 1.0 / n
		}
	}
	return whole, lackOne, extra
}

// TestChecksAreWholeInTime guards against checks over 36 shards that are late because second attempts leave too late, and against
// more of these than the budget of 20 in 100 lets a gateway send as hedges (13.6). The 5 ms between data centres are an assumption.
func TestChecksAreWholeInTime(t *testing.T) {
	const target = 40
	run := func(delay samphirepass.Millis) (whole, lackOne, extra float64) {
		m := checkModel{rnd: rand.New(rand.NewPCG(1, 1)), distance: 5, wait: 1.5}
		return m.run(delay, PartialAfter(target))
	}
	wholeBefore, lackBefore, extraBefore := run(target / hedgeDelayDivisor)
	whole, lack, extra := run(hedgeDelay(target))
	t.Logf("whole %.3f, before %.3f; at most one shard missing %.3f, before %.3f; second attempts %.3f, before %.3f", whole, wholeBefore, lack, lackBefore, extra, extraBefore)
	require.Greater(t, whole, wholeBefore*1.5)
	require.Greater(t, lack, lackBefore*1.2)
	require.Less(t, extra, 0.136)
}
