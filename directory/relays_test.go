package directory_test

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/directory"
	"samphirepass/leaf"
	"samphirepass/peer"
)

// switchedPath is a path to leaves that a test loses and restores.
type switchedPath struct{ lost atomic.Bool }

func (p *switchedPath) Narrow() bool { return false }

func (p *switchedPath) Lost() <-chan struct{} {
	c := make(chan struct{})
	if p.lost.Load() {
		close(c)
	}
	return c
}

// TestEntriesWithoutPathAreNotNamed guards against requests that are sent to entries without a path to leaves, as collectors or to be passed
// on, and against entries that are left out for good after a cut.
func TestEntriesWithoutPathAreNotNamed(t *testing.T) {
	sources := startSources(t, 3)
	paths := make([]*switchedPath, 4)
	entries := make([]*directory.Follower, 4)
	for i, name := range []string{"1", "2", "3", "4"} {
		paths[i] = &switchedPath{}
		peers := &peer.Pool{}
		capacity := samphirepass.Capacity{Cores: 0.2, LinkMbps: 10}
		if i == 0 {
			capacity.Cores = 0.5
		}
		entries[i] = directory.NewFollower(directory.FollowerOptions{
			VM: samphirepass.VM(name), DataCentre: dataCentre(i % 3), Seeds: []string{sources[0].relay.Address()}, Registry: leaf.NewRegistry(clock), Peers: peers, Clock: clock,
			Logf: t.Logf, Capacity: capacity, CollectAddress: "10.0.0.1:" + name, Path: paths[i],
		})
		serve(t, entries[i])
		t.Cleanup(peers.Close)
	}
	named := func() []string {
		relays, err := entries[3].Relays(t.Context())
		if err != nil {
			return nil
		}
		var addresses []string
		for _, r := range relays {
			addresses = append(addresses, r.Address)
		}
		slices.Sort(addresses)
		return addresses
	}
	eventually(t, 15*time.Second, func() bool { return slices.Equal(named(), []string{"10.0.0.1:1", "10.0.0.1:2", "10.0.0.1:3"}) }, "all others are named")
	eventually(t, 15*time.Second, func() bool { return len(entries[3].Offers()) == 1 }, "the large one collects")
	paths[0].lost.Store(true)
	eventually(t, 3*time.Second, func() bool { return slices.Equal(named(), []string{"10.0.0.1:2", "10.0.0.1:3"}) }, "the one without a path is not")
	eventually(t, 15*time.Second, func() bool { return len(entries[3].Offers()) == 0 }, "and does not collect")
	require.Equal(t, 1, entries[3].CollectorCount(), "shares of limits do not change at once")
	paths[0].lost.Store(false)
	eventually(t, 3*time.Second, func() bool { return slices.Contains(named(), "10.0.0.1:1") }, "its path is back")
}
