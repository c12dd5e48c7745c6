package policy_test

import (
	"math"
	"math/rand/v2"
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

// TestReportedLoad checks which of two leaves gets a request that have reported their load. It guards against a queue or a slow VM that shows
// only after the answers of several requests, and against old or unplausible reports that keep a leaf from its share.
func TestReportedLoad(t *testing.T) {
	reported := samphirepass.Candidate{Leaf: "reported", SameDataCentre: true, Slots: 2, MedianLatencyMs: 60, MaxConnections: 3, LoadReported: true, LoadAgeMs: 10}
	other := samphirepass.Candidate{Leaf: "other", SameDataCentre: true, Slots: 2, MedianLatencyMs: 75, MaxConnections: 3}
	tests := map[string]struct {
		change func(*samphirepass.Candidate)
		want   samphirepass.Leaf
	}{
		"idle":                            {func(*samphirepass.Candidate) {}, "reported"},
		"a queue":                         {func(c *samphirepass.Candidate) { c.Load = 2 }, "other"},
		"a queue some time ago":           {func(c *samphirepass.Candidate) { c.Load, c.LoadAgeMs = 2, 150 }, "reported"},
		"a queue long ago":                {func(c *samphirepass.Candidate) { c.Load, c.LoadAgeMs = 50, 60_000 }, "reported"},
		"a queue that the protocol says":  {func(c *samphirepass.Candidate) { c.Load, c.LoadReported = 2, false }, "reported"},
		"slow now":                        {func(c *samphirepass.Candidate) { c.Pace = 2.5 }, "other"},
		"slow a moment ago":               {func(c *samphirepass.Candidate) { c.Pace, c.LoadAgeMs = 2.5, 145 }, "reported"},
		"as usual":                        {func(c *samphirepass.Candidate) { c.Pace = 1 }, "reported"},
		"pace not stated":                 {func(c *samphirepass.Candidate) { c.Pace = 0 }, "reported"},
		"own attempts count all the same": {func(c *samphirepass.Candidate) { c.InFlight = 2 }, "other"},
		"a clock that went back":          {func(c *samphirepass.Candidate) { c.Load, c.LoadAgeMs = 0, -1000 }, "reported"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			candidates := []samphirepass.Candidate{with(reported, tt.change), other}
			for range 50 {
				require.Equal(t, tt.want, candidates[policy.LeastCostChooser{}.Choose(candidates)].Leaf)
			}
		})
	}
}

// TestCostWithoutReports compares the cost of leaves that report no load with the formula before there were reports. It guards against a
// change for deployments whose leaves report nothing.
func TestCostWithoutReports(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 10_000 {
		c := samphirepass.Candidate{
			SameDataCentre: rng.IntN(2) == 0, InFlight: rng.IntN(8), Slots: rng.IntN(4), MedianLatencyMs: samphirepass.Millis(rng.IntN(100)),
			LatencyAgeMs: samphirepass.Millis(rng.IntN(9000)), ColdMs: samphirepass.Millis(rng.IntN(2)), MaxConnections: rng.IntN(5),
			FailureRate: rng.Float64(), RefusalRate: rng.Float64(), OldestInFlightMs: samphirepass.Millis(rng.IntN(200)),
			ConsecutiveFailures: rng.IntN(5), SinceFailureMs: samphirepass.Millis(rng.IntN(2000)), Load: 9 * rng.Float64(), LoadAgeMs: samphirepass.Millis(rng.IntN(300)),
		}
		latency := samphirepass.Millis(20)
		if c.MedianLatencyMs > 0 {
			latency += (c.MedianLatencyMs - 20) * samphirepass.Millis(math.Exp(-float64(c.LatencyAgeMs/4000)))
		}
		want := float64(latency) * (1 + float64(c.InFlight)/float64(max(c.Slots, 1)))
		if !c.SameDataCentre {
			want *= 2.5
		}
		if c.ColdMs > 0 {
			want *= 3
		}
		if c.MaxConnections > 0 && c.InFlight >= c.MaxConnections {
			want *= 4
		}
		want *= 1 + 12*c.FailureRate + 12*c.RefusalRate
		if c.OldestInFlightMs > max(2.5*latency, 15) {
			want *= 50
		}
		if policy.Ejected(c) {
			want *= 500
		}
		require.Equal(t, want, policy.Cost(c, 20))
	}
}
