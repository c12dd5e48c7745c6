package policy_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/policy"
)

// TestChooseCollector names the load pattern of each row: which larger entry takes a request over many shards.
func TestChooseCollector(t *testing.T) {
	near := samphirepass.CollectorCandidate{Address: "near", SameDataCentre: true, LocalShardShare: 1, Connected: true, SinceFailureMs: 1e9}
	far := samphirepass.CollectorCandidate{Address: "far", LocalShardShare: 1, Connected: true, SinceFailureMs: 1e9}
	tests := map[string]struct {
		candidates []samphirepass.CollectorCandidate
		want       string
	}{
		"own data centre first":       {[]samphirepass.CollectorCandidate{far, near}, "near"},
		"parts stay where leaves are": {[]samphirepass.CollectorCandidate{with(near, func(c *samphirepass.CollectorCandidate) { c.LocalShardShare = 0 }), far}, "far"},
		"standing still":              {[]samphirepass.CollectorCandidate{with(near, func(c *samphirepass.CollectorCandidate) { c.InFlight, c.OldestInFlightMs = 1, 600 }), far}, "far"},
		"busy but answering":          {[]samphirepass.CollectorCandidate{with(near, func(c *samphirepass.CollectorCandidate) { c.InFlight, c.OldestInFlightMs = 3, 80 }), far}, "far"},
		"silent":                      {[]samphirepass.CollectorCandidate{with(near, func(c *samphirepass.CollectorCandidate) { c.SilentMs = 1300 }), far}, "far"},
		"not connected yet":           {[]samphirepass.CollectorCandidate{with(near, func(c *samphirepass.CollectorCandidate) { c.Connected = false }), far}, "far"},
		"failed just now":             {[]samphirepass.CollectorCandidate{with(near, func(c *samphirepass.CollectorCandidate) { c.SinceFailureMs = 50 }), far}, "far"},
		"none is sound": {[]samphirepass.CollectorCandidate{
			with(near, func(c *samphirepass.CollectorCandidate) { c.SinceFailureMs = 50 }),
			with(far, func(c *samphirepass.CollectorCandidate) { c.SilentMs = 1300 }),
		}, ""},
		"there is none": {nil, ""},
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

// TestCapacityDwarfs tells which entries are so much larger that a request gains from going there.
func TestCapacityDwarfs(t *testing.T) {
	small := samphirepass.Capacity{Cores: 0.192, LinkMbps: 14}
	tests := map[string]struct {
		large, small samphirepass.Capacity
		want         bool
	}{
		"larger in both":     {samphirepass.Capacity{Cores: 0.512, LinkMbps: 70}, small, true},
		"equal":              {small, small, false},
		"a little larger":    {samphirepass.Capacity{Cores: 0.72, LinkMbps: 1000}, samphirepass.Capacity{Cores: 0.4, LinkMbps: 1000}, false},
		"smaller link":       {samphirepass.Capacity{Cores: 0.512, LinkMbps: 10}, small, false},
		"the other unstated": {samphirepass.Capacity{Cores: 0.512, LinkMbps: 70}, samphirepass.Capacity{}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, tt.large.SuitsOffloadFrom(tt.small)) })
	}
}

// TestSplitShards names where the leaves of the shards are.
func TestSplitShards(t *testing.T) {
	type centres = [][]samphirepass.DataCentre
	tests := map[string]struct {
		centres centres
		offered []samphirepass.DataCentre
		want    []samphirepass.ShardPart
	}{
		"all here": {centres{{"a", "b"}, {"c", "a"}}, []samphirepass.DataCentre{"a", "b"}, []samphirepass.ShardPart{{DataCentre: "a", Shards: []int{0, 1}}}},
		"some elsewhere": {
			centres{{"a"}, {"b", "c"}, {"a", "c"}, {"c"}},
			[]samphirepass.DataCentre{"a", "b", "c"},
			[]samphirepass.ShardPart{{DataCentre: "a", Shards: []int{0, 2}}, {DataCentre: "c", Shards: []int{1, 3}}},
		},
		"none here": {centres{{"b"}, {"b"}}, []samphirepass.DataCentre{"a", "b"}, []samphirepass.ShardPart{{DataCentre: "b", Shards: []int{0, 1}}}},
		"where nobody collects": {
			centres{{"a"}, {"a"}, {"d"}}, []samphirepass.DataCentre{"a", "b"}, []samphirepass.ShardPart{{DataCentre: "a", Shards: []int{0, 1, 2}}},
		},
		"nobody is near to any": {centres{{"d"}, {}}, []samphirepass.DataCentre{"b"}, []samphirepass.ShardPart{{Shards: []int{0, 1}}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, policy.SplitShards(tt.centres, "a", tt.offered))
		})
	}
}

// TestSplitAllowance checks that the parts together may lack just what the whole may.
func TestSplitAllowance(t *testing.T) {
	parts := []samphirepass.ShardPart{{Shards: make([]int, 27)}, {Shards: make([]int, 9)}}
	require.Equal(t, []int{0, 0}, policy.SplitMissingAllowance(0, parts))
	require.Equal(t, []int{1, 0}, policy.SplitMissingAllowance(1, parts))
	require.Equal(t, []int{3, 1}, policy.SplitMissingAllowance(4, parts))
}
