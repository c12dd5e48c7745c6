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

func startSized(t *testing.T, name string, cores float64, sources []*source) *directory.Follower {
	t.Helper()
	peers := &peer.Pool{}
	f := directory.NewFollower(directory.FollowerOptions{
		VM: samphirepass.VM(name), DataCentre: centre(0), Seeds: []string{sources[0].relay.Address()}, Registry: leaf.NewRegistry(clock),
		Peers: peers, Clock: clock, Logf: t.Logf, Capacity: samphirepass.Capacity{Cores: cores, LinkMbps: 10}, CollectAddress: "10.0.0.1:" + name,
	})
	serve(t, f)
	t.Cleanup(peers.Close)
	return f
}

// TestOffersOfLargeEntries has one large entry among small ones: these learn of it, through any source, until it withdraws.
func TestOffersOfLargeEntries(t *testing.T) {
	sources := startSources(t, 3)
	large := startSized(t, "1", 0.5, sources)
	small := []*directory.Follower{startSized(t, "2", 0.2, sources), startSized(t, "3", 0.2, sources), startSized(t, "4", 0.2, sources)}
	for _, f := range small {
		eventually(t, 15*time.Second, func() bool { return len(f.Offers()) == 1 && f.Offers()[0].Address == "10.0.0.1:1" }, "a small entry learns of the large one")
		eventually(t, 15*time.Second, func() bool { return f.CollectorCount() == 1 }, "and how many there are")
		require.False(t, f.IsCollector())
	}
	eventually(t, 15*time.Second, large.IsCollector, "the large entry learns that others pass requests to it")
	require.Empty(t, large.Offers())
	large.WithdrawOffer()
	for _, f := range small {
		eventually(t, 15*time.Second, func() bool { return len(f.Offers()) == 0 }, "the offer is taken back")
	}
	require.Equal(t, 1, small[0].CollectorCount(), "shares of limits do not change at once")
}

// TestEqualEntriesCollectForThemselves has no entry that is much larger than another.
func TestEqualEntriesCollectForThemselves(t *testing.T) {
	sources := startSources(t, 1)
	a, b := startSized(t, "1", 0.3, sources), startSized(t, "2", 0.2, sources)
	eventually(t, 15*time.Second, func() bool { return a.EntryCount() == 2 && b.EntryCount() == 2 }, "both are known")
	require.Empty(t, a.Offers())
	require.Empty(t, b.Offers())
	require.Zero(t, b.CollectorCount())
}

// TestNearSourceIsPreferred has the only seed in another data centre than the entry, which follows the near source once it knows of it.
func TestNearSourceIsPreferred(t *testing.T) {
	sources := startSources(t, 3)
	peers := &peer.Pool{}
	lines := make(chan string, 1000)
	f := directory.NewFollower(directory.FollowerOptions{
		VM: "e1", DataCentre: centre(2), Seeds: []string{sources[0].relay.Address()}, Registry: leaf.NewRegistry(clock), Peers: peers, Clock: clock,
		Logf: func(format string, args ...any) { lines <- fmt.Sprintf(format, args...) },
	})
	serve(t, f)
	t.Cleanup(peers.Close)
	near := fmt.Sprintf("Source %s answers", sources[2].relay.Address())
	eventually(t, 10*time.Second, func() bool {
		select {
		case line := <-lines:
			return strings.HasPrefix(line, near)
		default:
			return false
		}
	}, "the near source is followed")
}

// TestSilentNearSourceDoesNotDelayNews has the near source accept connections and answer nothing: a lead over the far ones must not
// cost the entry its news.
func TestSilentNearSourceDoesNotDelayNews(t *testing.T) {
	sources := startSources(t, 3)
	sources[2].relay.SetAll(standin.LinkSilent)
	e := &entry{registry: leaf.NewRegistry(clock)}
	peers := &peer.Pool{}
	e.Follower = directory.NewFollower(directory.FollowerOptions{
		VM: "e1", DataCentre: centre(2), Seeds: []string{sources[0].relay.Address()}, Registry: e.registry, Peers: peers, Clock: clock, Logf: t.Logf,
	})
	serve(t, e.Follower)
	t.Cleanup(peers.Close)
	e.AddEndpoint(directory.Endpoint{Address: sources[2].relay.Address(), DataCentre: centre(2)})
	eventually(t, 10*time.Second, func() bool { return len(e.ControlAddresses()) == 3 }, "all are known")
	eventually(t, 10*time.Second, e.UpToDate, "the entry is in touch")
	for i := range 8 {
		name := fmt.Sprint("leaf-", i)
		sources[i%2].registry.Apply(samphirepass.Announcement{
			Leaf: samphirepass.Leaf(name), Service: "desk", Address: fmt.Sprintf("10.0.0.%d:1", i+1), Incarnation: 1, Sequence: 1, State: samphirepass.LeafServing, Slots: 1,
		}, 0, true)
		eventually(t, 2500*time.Millisecond, func() bool { return len(e.registry.Serving("desk")) == i+1 }, "news arrive all the while")
		require.True(t, e.UpToDate())
		time.Sleep(300 * time.Millisecond)
	}
}
