package directory_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/directory"
	"samphirepass/disk"
	"samphirepass/leaf"
)

func announceTo(r *leaf.Registry, name string, incarnation samphirepass.Incarnation, state samphirepass.LeafState) {
	r.Apply(samphirepass.Announcement{Leaf: samphirepass.Leaf(name), Service: "desk", Address: "10.0.0.1:1", Incarnation: incarnation, Sequence: 1, State: state, Slots: 1}, 0, true)
}

func sourceWithoutFollowers(r *leaf.Registry) *directory.Source {
	return directory.NewSource(directory.SourceOptions{Registry: r, State: &fakeState{changed: make(chan struct{})}, Clock: clock})
}

// TestEntryCountSurvivesRestart restarts a source that three entries follow: the first entry to reconnect must not take the shares of
// limits of all three.
func TestEntryCountSurvivesRestart(t *testing.T) {
	folder, err := disk.OpenFolder(t.TempDir())
	require.NoError(t, err)
	before := startSources(t, 1)
	for _, name := range []string{"e1", "e2", "e3"} {
		e := startEntry(t, name, before)
		eventually(t, 10*time.Second, e.UpToDate, "the entry is connected to the source")
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = directory.NewDiskCache(folder, before[0].registry, before[0].source, t.Logf).Serve(ctx)
	}()
	time.Sleep(3 * time.Second)
	cancel()
	<-done

	after := startSources(t, 1)
	directory.NewDiskCache(folder, after[0].registry, after[0].source, t.Logf).Load()
	first := startEntry(t, "e1", after)
	eventually(t, 10*time.Second, first.UpToDate, "the first entry is back")
	require.Equal(t, 3, first.EntryCount())
}

// TestLeavesSurviveRestart caches leaves, one of them draining, and loads them from the folder.
func TestLeavesSurviveRestart(t *testing.T) {
	path := t.TempDir()
	folder, err := disk.OpenFolder(path)
	require.NoError(t, err)
	before := leaf.NewRegistry(clock)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = directory.NewDiskCache(folder, before, sourceWithoutFollowers(before), t.Logf).Serve(ctx)
	}()
	announceTo(before, "a", 1, samphirepass.LeafServing)
	announceTo(before, "b", 1, samphirepass.LeafServing)
	announceTo(before, "b", 1, samphirepass.LeafDraining)
	loadRegistry := func() *leaf.Registry {
		r := leaf.NewRegistry(clock)
		directory.NewDiskCache(folder, r, sourceWithoutFollowers(r), t.Logf).Load()
		return r
	}
	require.Eventually(t, func() bool { return len(loadRegistry().All()) == 2 && len(loadRegistry().Serving("desk")) == 1 }, 5*time.Second, 20*time.Millisecond)
	cancel()
	<-done

	after := loadRegistry()
	announceTo(after, "a", 2, samphirepass.LeafServing)
	require.Equal(t, samphirepass.Incarnation(2), after.Serving("desk")[0].Incarnation, "a heartbeat replaces the cached leaf")
	require.NoError(t, os.WriteFile(filepath.Join(path, "leaves"), []byte{0xff, 1, 2}, 0o600))
	require.Empty(t, loadRegistry().All(), "a corrupt file is treated like a missing one")
}
