package directory_test

import (
	"testing"
	"time"

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
