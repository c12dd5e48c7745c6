package policy_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/policy"
)

// TestChooseCollector checks which of two candidates collects a scatter-gather request.
func TestChooseCollector(t *testing.T) {
	local := samphirepass.CollectorCandidate{Address: "near", SameDataCentre: true, LocalShardShare: 1, Connected: true, SinceFailureMs: 1e9}
	remote := samphirepass.CollectorCandidate{Address: "far", LocalShardShare: 1, Connected: true, SinceFailureMs: 1e9}
	tests := map[string]struct {
		candidates []samphirepass.CollectorCandidate
		want       string
	}{
		"own data centre first":     {[]samphirepass.CollectorCandidate{remote, local}, "near"},
		"shards' data centre first": {[]samphirepass.CollectorCandidate{with(local, func(c *samphirepass.CollectorCandidate) { c.LocalShardShare = 0 }), remote}, "far"},
		"stalled":                   {[]samphirepass.CollectorCandidate{with(local, func(c *samphirepass.CollectorCandidate) { c.InFlight, c.OldestInFlightMs = 1, 600 }), remote}, "far"},
		"busy but answering":        {[]samphirepass.CollectorCandidate{with(local, func(c *samphirepass.CollectorCandidate) { c.InFlight, c.OldestInFlightMs = 3, 80 }), remote}, "far"},
		"silent":                    {[]samphirepass.CollectorCandidate{with(local, func(c *samphirepass.CollectorCandidate) { c.SilentMs = 1300 }), remote}, "far"},
		"not connected yet":         {[]samphirepass.CollectorCandidate{with(local, func(c *samphirepass.CollectorCandidate) { c.Connected = false }), remote}, "far"},
		"failed recently":           {[]samphirepass.CollectorCandidate{with(local, func(c *samphirepass.CollectorCandidate) { c.SinceFailureMs = 50 }), remote}, "far"},
		"none is usable": {[]samphirepass.CollectorCandidate{
			with(local, func(c *samphirepass.CollectorCandidate) { c.SinceFailureMs = 50 }),
			with(remote, func(c *samphirepass.CollectorCandidate) { c.SilentMs = 1300 }),
		}, ""},
		"no candidates": {nil, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for range 50 {
				i := policy.ChooseCollector(tt.candidates)
				if tt.want == "" {
					require.Equal(t, -1, i)
					continue
				}
				require.Equal(t, tt.want, tt.candidates[i].Address)
			}
		})
	}
}

// TestUsableCollectors guards against an overload that ends on the few collectors that still seem usable.
func TestUsableCollectors(t *testing.T) {
	usable := samphirepass.CollectorCandidate{Connected: true, SinceFailureMs: 1e9}
	stalled := with(usable, func(c *samphirepass.CollectorCandidate) { c.InFlight, c.OldestInFlightMs = 1, 600 })
	failed := with(usable, func(c *samphirepass.CollectorCandidate) { c.SinceFailureMs = 50 })
	silent := with(usable, func(c *samphirepass.CollectorCandidate) { c.SilentMs = 1300 })
	away := with(usable, func(c *samphirepass.CollectorCandidate) { c.Connected = false })
	tests := map[string]struct {
		candidates []samphirepass.CollectorCandidate
		want       []bool
	}{
		"one of three is stalled": {[]samphirepass.CollectorCandidate{usable, stalled, usable}, []bool{true, false, true}},
		"half have failed":        {[]samphirepass.CollectorCandidate{usable, failed, usable, failed}, []bool{true, false, true, false}},
		"most are stalled":        {[]samphirepass.CollectorCandidate{usable, stalled, stalled, failed}, []bool{true, true, true, true}},
		"all are stalled":         {[]samphirepass.CollectorCandidate{stalled, failed, stalled, stalled}, []bool{true, true, true, true}},
		"most are away":           {[]samphirepass.CollectorCandidate{usable, away, away, silent}, []bool{true, false, false, false}},
		"stalled among the away":  {[]samphirepass.CollectorCandidate{stalled, stalled, stalled, stalled, away, silent}, []bool{true, true, true, true, false, false}},
		"all of few are stalled":  {[]samphirepass.CollectorCandidate{stalled, stalled}, []bool{false, false}},
		"most of few are stalled": {[]samphirepass.CollectorCandidate{stalled, usable, failed, away}, []bool{false, true, false, false}},
		"none":                    {nil, []bool{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, policy.UsableCollectors(tt.candidates)) })
	}
}

// TestCapacitySuitsOffloadFrom checks which entries are so much larger that forwarding a request to them saves time.
func TestCapacitySuitsOffloadFrom(t *testing.T) {
	small := samphirepass.Capacity{Cores: 0.192, LinkMbps: 14}
	tests := map[string]struct {
		large, small samphirepass.Capacity
		want         bool
	}{
		"larger in both":    {samphirepass.Capacity{Cores: 0.512, LinkMbps: 70}, small, true},
		"equal":             {small, small, false},
		"a little larger":   {samphirepass.Capacity{Cores: 0.72, LinkMbps: 1000}, samphirepass.Capacity{Cores: 0.4, LinkMbps: 1000}, false},
		"smaller link":      {samphirepass.Capacity{Cores: 0.512, LinkMbps: 10}, small, false},
		"the other unknown": {samphirepass.Capacity{Cores: 0.512, LinkMbps: 70}, samphirepass.Capacity{}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, tt.large.SuitsOffloadFrom(tt.small)) })
	}
}

// TestSplitShards splits shards by the data centres of their leaves, as seen from an entry in "a".
func TestSplitShards(t *testing.T) {
	type dataCentres = [][]samphirepass.DataCentre
	tests := map[string]struct {
		dataCentres dataCentres
		offered     []samphirepass.DataCentre
		want        []samphirepass.ShardPart
	}{
		"all local": {dataCentres{{"a", "b"}, {"c", "a"}}, []samphirepass.DataCentre{"a", "b"}, []samphirepass.ShardPart{{DataCentre: "a", Shards: []int{0, 1}}}},
		"some remote": {
			dataCentres{{"a"}, {"b", "c"}, {"a", "c"}, {"c"}},
			[]samphirepass.DataCentre{"a", "b", "c"},
			[]samphirepass.ShardPart{{DataCentre: "a", Shards: []int{0, 2}}, {DataCentre: "c", Shards: []int{1, 3}}},
		},
		"none local": {dataCentres{{"b"}, {"b"}}, []samphirepass.DataCentre{"a", "b"}, []samphirepass.ShardPart{{DataCentre: "b", Shards: []int{0, 1}}}},
		"data centre without collector": {
			dataCentres{{"a"}, {"a"}, {"d"}}, []samphirepass.DataCentre{"a", "b"}, []samphirepass.ShardPart{{DataCentre: "a", Shards: []int{0, 1, 2}}},
		},
		"no leaf in a data centre with a collector": {dataCentres{{"d"}, {}}, []samphirepass.DataCentre{"b"}, []samphirepass.ShardPart{{Shards: []int{0, 1}}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, policy.SplitShards(tt.dataCentres, "a", tt.offered))
		})
	}
}

// TestSplitMissingAllowance checks that the allowances of the parts add up to that of the request.
func TestSplitMissingAllowance(t *testing.T) {
	parts := []samphirepass.ShardPart{{Shards: make([]int, 27)}, {Shards: make([]int, 9)}}
	require.Equal(t, []int{0, 0}, policy.SplitMissingAllowance(0, parts))
	require.Equal(t, []int{1, 0}, policy.SplitMissingAllowance(1, parts))
	require.Equal(t, []int{3, 1}, policy.SplitMissingAllowance(4, parts))
}
