package directory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
)

// TestProofLimitReachesAllEntries guards against a limit that only the entry that heard it knows.
func TestProofLimitReachesAllEntries(t *testing.T) {
	sources := startSources(t, 2)
	first, second := startEntry(t, "e1", sources), startEntry(t, "e2", sources)
	announce(sources[1], "b", 1, samphirepass.LeafServing)
	entries := []*testEntry{first, second}
	limit := func(e *testEntry) float64 {
		leaves := e.registry.Serving("desk")
		if len(leaves) == 0 {
			return -1
		}
		return leaves[0].LimitPerSecond(clock.Now())
	}
	for _, e := range entries {
		eventually(t, 10*time.Second, func() bool { return limit(e) == 0 }, "the leaf is known")
	}
	from := first.registry.Serving("desk")[0].Announcement
	for _, perSecond := range []float64{12.5, 3, 0} {
		first.HandleNotice(from, samphirepass.LeafNotice{LimitPerSecond: perSecond})
		for _, e := range entries {
			eventually(t, 2*time.Second, func() bool { return limit(e) == perSecond }, "each entry knows the limit")
		}
		// What one process heard replaces what another one heard only if it is clearly newer.
		time.Sleep(100 * time.Millisecond)
		first, second = second, first
	}
}

// TestProofLeavingReachesAllEntries guards against a leaf that some entries go on using after it has told another one that it leaves.
func TestProofLeavingReachesAllEntries(t *testing.T) {
	sources := startSources(t, 2)
	entries := []*testEntry{startEntry(t, "e1", sources), startEntry(t, "e2", sources)}
	announce(sources[1], "b", 1, samphirepass.LeafServing)
	for _, e := range entries {
		eventually(t, 10*time.Second, func() bool { return len(e.registry.Serving("desk")) == 1 }, "the leaf is known")
	}
	from := entries[0].registry.Serving("desk")[0].Announcement
	entries[0].HandleNotice(from, samphirepass.LeafNotice{Leaving: true})
	announce(sources[1], "b", 2, samphirepass.LeafServing)
	require.Empty(t, entries[0].registry.Serving("desk"), "the entry that heard it stops at once")
	eventually(t, 2*time.Second, func() bool { return len(entries[1].registry.Serving("desk")) == 0 }, "the other entry stops, too")
	time.Sleep(200 * time.Millisecond)
	for _, s := range sources {
		require.Empty(t, s.registry.Serving("desk"), "a later heartbeat does not bring it back")
	}
}
