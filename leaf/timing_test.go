package leaf_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/leaf"
)

// TestTimingTellsWaitFromLeaf guards against a log that cannot tell an attempt's wait for a connection from the time of the leaf.
func TestTimingTellsWaitFromLeaf(t *testing.T) {
	tests := map[string]struct {
		waited, worked time.Duration
		want           leaf.Timing
	}{
		"connection": {40 * time.Millisecond, 5 * time.Millisecond, leaf.Timing{SendWaitMs: 40, LeafMs: 5}},
		"leaf":       {0, 30 * time.Millisecond, leaf.Timing{LeafMs: 30}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedSender{answer: func(context.Context, samphirepass.Leaf, int, samphirepass.Attempt) (samphirepass.Reply, error) {
					time.Sleep(tt.waited + tt.worked)
					r, err := okReply()
					r.WaitedMs = samphirepass.MillisOf(tt.waited)
					return r, err
				}}
				d, _ := newDelivererAt(bubbleClock{started: time.Now()}, s, &fixedBudget{})
				result, _ := deliver(d, newDelivery(testRoute))
				require.InDelta(t, float64(tt.want.SendWaitMs), float64(result.Timing.SendWaitMs), 1)
				require.InDelta(t, float64(tt.want.LeafMs), float64(result.Timing.LeafMs), 1)
				require.InDelta(t, 0, float64(result.Timing.HandleWaitMs), 1)
			})
		})
	}
}
