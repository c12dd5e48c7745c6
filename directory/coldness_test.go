package directory_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/directory"
	"samphirepass/disk"
	"samphirepass/leaf"
)

// coldHeartbeat is a heartbeat of leaf b with the given remaining warm-up time.
func coldHeartbeat(sequence uint64, left samphirepass.Millis) samphirepass.Announcement {
	return samphirepass.Announcement{
		Leaf: "b", Service: "desk", Address: "127.0.0.1:1", Incarnation: 1, Sequence: sequence, State: samphirepass.LeafServing, Slots: 1, Connections: 1, ColdMs: left,
	}
}

// knownColdLeft returns the remaining warm-up time of leaf b, or -1 if the leaf is unknown.
func knownColdLeft(r *leaf.Registry) samphirepass.Millis {
	for _, reg := range r.All() {
		if reg.Leaf == "b" {
			return reg.ColdLeftMs(clock.Now())
		}
	}
	return -1
}

// TestProofColdnessReachesAllEntries has a leaf turn cold long after its start, and warm early. It guards against gateways that send it more
// than it tolerates, or leave it out, because only other changes of an announcement reach them.
func TestProofColdnessReachesAllEntries(t *testing.T) {
	sources := startSources(t, 2)
	entries := []*testEntry{startEntry(t, "e1", sources), startEntry(t, "e2", sources)}
	sequence := uint64(0)
	for _, left := range []samphirepass.Millis{0, 60_000, 0, 9000, 120_000, 0} {
		sequence++
		sources[int(sequence)%2].registry.Apply(coldHeartbeat(sequence, left), 0, true)
		for _, e := range entries {
			limit := 2 * time.Second
			if sequence == 1 {
				limit = 10 * time.Second
			}
			eventually(t, limit, func() bool {
				known := knownColdLeft(e.registry)
				return (left == 0 && known == 0) || (left > 0 && known > left-2500 && known <= left)
			}, "each entry knows the warm-up")
		}
	}
	late := startEntry(t, "e3", sources)
	sources[0].registry.Apply(coldHeartbeat(sequence+1, 60_000), 0, true)
	eventually(t, 10*time.Second, func() bool { return knownColdLeft(late.registry) > 50_000 }, "an entry that starts later knows it, too")
}

// TestColdnessOutlivesRestart has all registrars restart. It guards against a leaf that counts as warm until its next heartbeat, and against a
// warm-up that time without heartbeats made seem over or longer.
func TestColdnessOutlivesRestart(t *testing.T) {
	folder, err := disk.OpenFolder(t.TempDir())
	require.NoError(t, err)
	before := leaf.NewRegistry(clock)
	cache := directory.NewDiskCache(folder, before, sourceWithoutFollowers(before), t.Logf)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = cache.Serve(ctx)
	}()
	before.Apply(coldHeartbeat(1, 30_000), 0, true)
	require.NoError(t, cache.AwaitSaved(ctx, before.Version()))
	cancel()
	<-done
	after := leaf.NewRegistry(clock)
	directory.NewDiskCache(folder, after, sourceWithoutFollowers(after), t.Logf).Load()
	left := knownColdLeft(after)
	require.Greater(t, left, samphirepass.Millis(25_000))
	require.LessOrEqual(t, left, samphirepass.Millis(30_000))
}
