package directory_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/directory"
	"samphirepass/leaf"
	"samphirepass/peer"
	"samphirepass/standin"
)

// startEntryWithCapacity starts an entry that offers to collect at the address 10.0.0.1:NAME.
func startEntryWithCapacity(t *testing.T, name string, cores float64, sources []*testSource) *directory.Follower {
	t.Helper()
	peers := &peer.Pool{}
	f := directory.NewFollower(directory.FollowerOptions{
		VM: samphirepass.VM(name), DataCentre: dataCentre(0), Seeds: []string{sources[0].relay.Address()}, Registry: leaf.NewRegistry(clock),
		Peers: peers, Clock: clock, Logf: t.Logf, Capacity: samphirepass.Capacity{Cores: cores, LinkMbps: 10}, CollectAddress: "10.0.0.1:" + name,
	})
	serve(t, f)
	t.Cleanup(peers.Close)
	return f
}

// TestOffersOfLargeEntries has one large entry among small ones, which receive its offer through any source until it is withdrawn.
func TestOffersOfLargeEntries(t *testing.T) {
	sources := startSources(t, 3)
	large := startEntryWithCapacity(t, "1", 0.5, sources)
	small := []*directory.Follower{startEntryWithCapacity(t, "2", 0.2, sources), startEntryWithCapacity(t, "3", 0.2, sources), startEntryWithCapacity(t, "4", 0.2, sources)}
	for _, f := range small {
		eventually(t, 15*time.Second, func() bool { return len(f.Offers()) == 1 && f.Offers()[0].Address == "10.0.0.1:1" }, "a small entry receives the offer of the large one")
		eventually(t, 15*time.Second, func() bool { return f.CollectorCount() == 1 }, "and the number of collectors")
		require.False(t, f.IsCollector())
	}
	eventually(t, 15*time.Second, large.IsCollector, "the large entry learns that it is a collector")
	require.Empty(t, large.Offers())
	large.WithdrawOffer()
	for _, f := range small {
		eventually(t, 15*time.Second, func() bool { return len(f.Offers()) == 0 }, "the offer is withdrawn")
	}
	require.Equal(t, 1, small[0].CollectorCount(), "shares of limits do not change at once")
}

// TestSimilarEntriesHaveNoCollector has no entry that is much larger than another.
func TestSimilarEntriesHaveNoCollector(t *testing.T) {
	sources := startSources(t, 1)
	a, b := startEntryWithCapacity(t, "1", 0.3, sources), startEntryWithCapacity(t, "2", 0.2, sources)
	eventually(t, 15*time.Second, func() bool { return a.EntryCount() == 2 && b.EntryCount() == 2 }, "both are known")
	require.Empty(t, a.Offers())
	require.Empty(t, b.Offers())
	require.Zero(t, b.CollectorCount())
}

// TestLocalSourceIsPreferred has the only seed in another data centre than the entry, which must switch to the source in its own data
// centre once it knows that one.
func TestLocalSourceIsPreferred(t *testing.T) {
	sources := startSources(t, 3)
	peers := &peer.Pool{}
	lines := make(chan string, 1000)
	f := directory.NewFollower(directory.FollowerOptions{
		VM: "e1", DataCentre: dataCentre(2), Seeds: []string{sources[0].relay.Address()}, Registry: leaf.NewRegistry(clock), Peers: peers, Clock: clock,
		Logf: func(format string, args ...any) { lines <- fmt.Sprintf(format, args...) },
	})
	serve(t, f)
	t.Cleanup(peers.Close)
	localAnswers := fmt.Sprintf("Source %s answers", sources[2].relay.Address())
	eventually(t, 10*time.Second, func() bool {
		select {
		case line := <-lines:
			return strings.HasPrefix(line, localAnswers)
		default:
			return false
		}
	}, "the entry follows the source in its own data centre")
}

// TestSilentLocalSourceDoesNotDelayChanges has the source in the entry's own data centre accept connections and answer nothing: that
// the entry prefers it must not delay the changes from the other sources.
func TestSilentLocalSourceDoesNotDelayChanges(t *testing.T) {
	sources := startSources(t, 3)
	sources[2].relay.SetDefault(standin.LinkSilent)
	e := &testEntry{registry: leaf.NewRegistry(clock)}
	peers := &peer.Pool{}
	e.Follower = directory.NewFollower(directory.FollowerOptions{
		VM: "e1", DataCentre: dataCentre(2), Seeds: []string{sources[0].relay.Address()}, Registry: e.registry, Peers: peers, Clock: clock, Logf: t.Logf,
	})
	serve(t, e.Follower)
	t.Cleanup(peers.Close)
	e.AddEndpoint(directory.Endpoint{Address: sources[2].relay.Address(), DataCentre: dataCentre(2)})
	eventually(t, 10*time.Second, func() bool { return len(e.ControlAddresses()) == 3 }, "all sources are known")
	eventually(t, 10*time.Second, e.UpToDate, "the entry is up to date")
	for i := range 8 {
		name := fmt.Sprint("leaf-", i)
		sources[i%2].registry.Apply(samphirepass.Announcement{
			Leaf: samphirepass.Leaf(name), Service: "desk", Address: fmt.Sprintf("10.0.0.%d:1", i+1), Incarnation: 1, Sequence: 1, State: samphirepass.LeafServing, Slots: 1,
		}, 0, true)
		eventually(t, 2500*time.Millisecond, func() bool { return len(e.registry.Serving("desk")) == i+1 }, "changes keep arriving")
		require.True(t, e.UpToDate())
		time.Sleep(300 * time.Millisecond)
	}
}

// TestProofCollectorsGrowWithEntries guards against the one large entry of a data centre collecting for however many small ones.
func TestProofCollectorsGrowWithEntries(t *testing.T) {
	sources := startSources(t, 1)
	startEntryWithCapacity(t, "1", 0.5, sources)
	var small []*directory.Follower
	for i := range 35 {
		small = append(small, startEntryWithCapacity(t, fmt.Sprint(i+2), 0.2, sources))
	}
	for _, f := range small {
		eventually(t, 15*time.Second, func() bool { return f.CollectorCount() >= 3 }, "several entries collect for the others")
	}
}

// TestProofCollectorsBearTheBusiestSecond guards against collectors that are short of processors while the other entries are idle: all
// requests then end late, their clients repeat them, and the overload outlasts its cause.
func TestProofCollectorsBearTheBusiestSecond(t *testing.T) {
	const (
		entries, largeCores, smallCores = 46, 0.512, 0.192
		// 1.6 times the usual 106 requests a second over 135 shards, of which a data centre takes a sixth, at 0.2 ms for each leaf.
		busiestCores = 1.6 * 106 * 135 / 6 * 0.0002
	)
	sources := startSources(t, 1)
	large := startEntryWithCapacity(t, "1", largeCores, sources)
	for i := range entries - 1 {
		startEntryWithCapacity(t, fmt.Sprint(i+2), smallCores, sources)
	}
	eventually(t, 15*time.Second, func() bool { return large.EntryCount() == entries }, "all entries are known")
	eventually(t, 15*time.Second, func() bool {
		cores := largeCores
		for _, offer := range large.Offers() {
			cores += offer.Capacity.Cores
		}
		return cores >= 2*busiestCores
	}, "the collectors are half idle in the busiest second")
}

// TestLargeEntriesNeedNoSmallOnesToCollect guards against small entries that get as many shards as large ones that would have been enough.
func TestLargeEntriesNeedNoSmallOnesToCollect(t *testing.T) {
	sources := startSources(t, 1)
	large := []*directory.Follower{startEntryWithCapacity(t, "1", 0.512, sources), startEntryWithCapacity(t, "2", 0.512, sources)}
	for i := range 17 {
		startEntryWithCapacity(t, fmt.Sprint(i+3), 0.192, sources)
	}
	for _, f := range large {
		eventually(t, 15*time.Second, func() bool { return f.EntryCount() == 19 && f.IsCollector() && f.CollectorCount() >= 2 }, "the large ones collect")
		require.Len(t, f.Offers(), 1)
	}
}

// TestEqualEntriesCollect has no entry that is larger than another: several of many collect, but never a single one for all.
func TestEqualEntriesCollect(t *testing.T) {
	tests := map[string]struct{ entries, collectors int }{
		"too few for two collectors": {9, 0},
		"enough for two":             {10, 2},
		"enough for four":            {24, 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sources := startSources(t, 1)
			var entries []*directory.Follower
			for i := range tt.entries {
				entries = append(entries, startEntryWithCapacity(t, fmt.Sprint(i+1), 0.2, sources))
			}
			for _, f := range entries {
				eventually(t, 15*time.Second, func() bool { return f.EntryCount() == tt.entries && f.CollectorCount() == tt.collectors }, "the number of collectors")
			}
		})
	}
}
