package policy_test

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/policy"
)

type handClock struct{ now samphirepass.Millis }

func (c *handClock) Now() samphirepass.Millis  { return c.now }
func (c *handClock) Wall() samphirepass.Millis { return c.now }

// TestWindowsTogetherKeepTheLimit lets several entries with uneven traffic spend all that they are given,
// and checks every span of the declared length over all of them.
func TestWindowsTogetherKeepTheLimit(t *testing.T) {
	limits := policy.WindowLimits{Ratio: 0.2, SpanMs: 10_000, Slack: 60}
	const entries, stepMs, steps = 7, 50, 1200
	for seed := range int64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rnd := rand.New(rand.NewSource(seed))
			clock := &handClock{}
			windows := make([]*policy.WindowBudget, entries)
			for i := range windows {
				windows[i] = policy.NewWindowBudget(limits, func() float64 { return 1.0 / entries }, clock)
			}
			var requests, extra [steps]int
			for step := range steps {
				clock.now = samphirepass.Millis(step * stepMs)
				burst := 1 + 10*rnd.Intn(2)*(step/200%2)
				for i, w := range windows {
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

func TestWindowKeepsAReserveForRetries(t *testing.T) {
	clock := &handClock{}
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
