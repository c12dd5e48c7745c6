package policy_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/policy"
)

// with returns v as changed by f.
func with[T any](v T, f func(*T)) T {
	f(&v)
	return v
}

// TestLeastCostChooser checks which of two leaves a request is sent to under a load pattern.
func TestLeastCostChooser(t *testing.T) {
	local := samphirepass.Candidate{Leaf: "near", SameDataCentre: true, Slots: 3, MedianLatencyMs: 20, MaxConnections: 3}
	remote := samphirepass.Candidate{Leaf: "far", Slots: 3, MedianLatencyMs: 20, MaxConnections: 3}
	tests := map[string]struct {
		a, b samphirepass.Candidate
		want samphirepass.Leaf
	}{
		"own data centre first": {local, remote, "near"},
		"stalled leaf last":     {with(local, func(c *samphirepass.Candidate) { c.InFlight, c.OldestInFlightMs = 1, 80 }), remote, "far"},
		"busy is not stalled":   {with(local, func(c *samphirepass.Candidate) { c.InFlight, c.OldestInFlightMs = 1, 30 }), remote, "near"},
		"slow leaf":             {with(local, func(c *samphirepass.Candidate) { c.MedianLatencyMs = 150 }), remote, "far"},
		"slow a while ago":      {with(local, func(c *samphirepass.Candidate) { c.MedianLatencyMs, c.LatencyAgeMs = 150, 20_000 }), remote, "near"},
		"failing leaf":          {with(local, func(c *samphirepass.Candidate) { c.ConsecutiveFailures, c.SinceFailureMs = 3, 10 }), remote, "far"},
		"leaf is warming up":    {with(local, func(c *samphirepass.Candidate) { c.ColdMs = 3000 }), remote, "far"},
		"no connection is free": {with(local, func(c *samphirepass.Candidate) { c.InFlight = 3 }), remote, "far"},
		"stalled is better than ejected": {
			with(local, func(c *samphirepass.Candidate) { c.ConsecutiveFailures, c.SinceFailureMs = 3, 10 }),
			with(remote, func(c *samphirepass.Candidate) { c.InFlight, c.OldestInFlightMs = 1, 80 }), "far",
		},
		"unknown leaf counts as a typical one": {with(local, func(c *samphirepass.Candidate) { c.MedianLatencyMs = 0 }), remote, "near"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			candidates := []samphirepass.Candidate{tt.a, tt.b}
			for range 50 {
				require.Equal(t, tt.want, candidates[policy.LeastCostChooser{}.Choose(candidates)].Leaf)
			}
		})
	}
}

// TestPreferRemote checks when a shard is better collected in another data centre for a while.
func TestPreferRemote(t *testing.T) {
	local := samphirepass.Candidate{Leaf: "near", SameDataCentre: true, Slots: 3, MedianLatencyMs: 20, MaxConnections: 3}
	remote := samphirepass.Candidate{Leaf: "far", Slots: 3, MedianLatencyMs: 20, MaxConnections: 3}
	tests := map[string]struct {
		local samphirepass.Candidate
		want  bool
	}{
		"healthy":       {local, false},
		"stalled":       {with(local, func(c *samphirepass.Candidate) { c.InFlight, c.OldestInFlightMs = 2, 150 }), false},
		"slow":          {with(local, func(c *samphirepass.Candidate) { c.MedianLatencyMs = 150 }), true},
		"failing":       {with(local, func(c *samphirepass.Candidate) { c.FailureRate = 0.4 }), true},
		"no local leaf": {with(local, func(c *samphirepass.Candidate) { c.SameDataCentre = false }), false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, policy.PreferRemote([]samphirepass.Candidate{tt.local, remote}))
		})
	}
}
