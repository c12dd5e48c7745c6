package leaf_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/leaf"
)

// TestRequestBeyondLimitsIsRefusedAtOnce has the leaves of two of three shards name a limit that is used up: the request is refused without
// an attempt, so that it uses up no other limit.
func TestRequestBeyondLimitsIsRefusedAtOnce(t *testing.T) {
	s := &scriptedSender{answer: func(context.Context, samphirepass.Leaf, int, samphirepass.Attempt) (samphirepass.Reply, error) {
		return samphirepass.Reply{}, nil
	}}
	d, r := newDeliverer(s, &fixedBudget{})
	for _, name := range []samphirepass.Leaf{"0-0", "0-1", "1-0", "1-1"} {
		require.True(t, r.SetLimit(name, 1, samphirepass.LeafLimit{PerSecond: 0.5}, false))
	}
	for range 2 {
		require.Equal(t, 3, d.Deliver(t.Context(), newDelivery(testRoute)).Answered, "each leaf takes one request")
	}
	began := time.Now()
	result := d.Deliver(t.Context(), newDelivery(testRoute))
	require.Less(t, time.Since(began), 50*time.Millisecond)
	require.Zero(t, result.Attempts)
	require.False(t, result.MaybeRun)
	require.Greater(t, result.RetryAfterMs, samphirepass.Millis(500))

	require.True(t, r.SetLimit("1-1", 1, samphirepass.LeafLimit{}, false))
	result = d.Deliver(t.Context(), newDelivery(testRoute))
	require.Equal(t, 2, result.Answered, "one shard may be missing")
}

// TestProofNewestLimitHolds guards against a limit of an earlier time or incarnation that replaces a newer one.
func TestProofNewestLimitHolds(t *testing.T) {
	tests := map[string]struct {
		incarnation samphirepass.Incarnation
		limit       samphirepass.LeafLimit
		reported    bool
		published   bool
		want        float64
	}{
		"a newer limit":                     {1, samphirepass.LeafLimit{PerSecond: 5}, false, true, 5},
		"no limit any more":                 {1, samphirepass.LeafLimit{}, false, true, 0},
		"nearly the same limit":             {1, samphirepass.LeafLimit{PerSecond: 10.5}, false, false, 10},
		"an older report":                   {1, samphirepass.LeafLimit{PerSecond: 5, AgeMs: 2000}, true, false, 10},
		"a report of about the same time":   {1, samphirepass.LeafLimit{PerSecond: 5, AgeMs: 970}, true, false, 10},
		"a newer report":                    {1, samphirepass.LeafLimit{PerSecond: 5, AgeMs: 100}, true, true, 5},
		"a report of an earlier instance":   {0, samphirepass.LeafLimit{PerSecond: 5}, true, false, 10},
		"an instance that is not known yet": {2, samphirepass.LeafLimit{PerSecond: 5}, false, false, 10},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := &manualClock{now: 5000}
			r := leaf.NewRegistry(m)
			r.Apply(newAnnouncement("a", 1, 1, samphirepass.LeafServing), 0, true)
			require.True(t, r.SetLimit("a", 1, samphirepass.LeafLimit{PerSecond: 10}, false))
			m.now += 1000
			require.Equal(t, tt.published, r.SetLimit("a", tt.incarnation, tt.limit, tt.reported))
			r.Apply(newAnnouncement("a", 1, 2, samphirepass.LeafServing), 0, true)
			require.InDelta(t, tt.want, r.Serving("desk")[0].LimitPerSecond(m.now), 0.01, "a heartbeat does not end a limit")
			m.now += 21_000
			require.Zero(t, r.Serving("desk")[0].LimitPerSecond(m.now), "a limit of which nobody hears any more ends")
		})
	}
}
