package policy_test

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/policy"
)

type steppedClock struct{ now samphirepass.Millis }

func (c *steppedClock) Now() samphirepass.Millis  { return c.now }
func (c *steppedClock) Wall() samphirepass.Millis { return c.now }

// TestWindowBudgetsKeepSharedLimit has several entries with uneven traffic spend their whole budgets
// and checks the sum of all entries against the limit in every span of the declared length.
func TestWindowBudgetsKeepSharedLimit(t *testing.T) {
	limits := policy.WindowLimits{Ratio: 0.2, SpanMs: 10_000, Slack: 60}
	const entries, stepMs, steps = 7, 50, 1200
	for seed := range int64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rnd := rand.New(rand.NewSource(seed))
			clock := &steppedClock{}
			budgets := make([]*policy.WindowBudget, entries)
			for i := range budgets {
				budgets[i] = policy.NewWindowBudget(limits, func() float64 { return 1.0 / entries }, clock)
			}
			var requests, extra [steps]int
			for step := range steps {
				clock.now = samphirepass.Millis(step * stepMs)
				burst := 1 + 10*rnd.Intn(2)*(step/200%2)
				for i, w := range budgets {
					for range rnd.Intn(1 + i*burst/2) {
						w.RecordPrimary(1)
						requests[step]++
					}
					for w.TakeRetry() {
						extra[step]++
					}
				}
			}
			span := int(limits.SpanMs) / stepMs
			for from := 0; from+span <= steps; from++ {
				r, e := 0, 0
				for i := from; i < from+span; i++ {
					r, e = r+requests[i], e+extra[i]
				}
				require.LessOrEqual(t, float64(e), limits.Ratio*float64(r)+limits.Slack, "span from step %d", from)
			}
		})
	}
}

func TestWindowBudgetReservesRetries(t *testing.T) {
	clock := &steppedClock{}
	w := policy.NewWindowBudget(policy.WindowLimits{Ratio: 0.2, SpanMs: 10_000}, func() float64 { return 0 }, clock)
	w.RecordPrimary(1000)
	hedges := 0
	for w.TakeHedge() {
		hedges++
	}
	require.Positive(t, hedges)
	require.True(t, w.TakeRetry(), "a retry decides whether a shard is answered at all")
	w.RecordOverload()
	require.False(t, w.TakeHedge())
}
