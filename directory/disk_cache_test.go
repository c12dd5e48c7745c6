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

// TestProofAcknowledgedDepartureSurvivesRestart restarts a process as soon as it may acknowledge that a leaf has left, well within the
// time between two writes of the cache. A stale cache would list the leaf as serving.
func TestProofAcknowledgedDepartureSurvivesRestart(t *testing.T) {
	tests := map[string]func(r *leaf.Registry){
		"left":     func(r *leaf.Registry) { r.MarkGone("a") },
		"draining": func(r *leaf.Registry) { announceTo(r, "a", 1, samphirepass.LeafDraining) },
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
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
			announceTo(before, "a", 1, samphirepass.LeafServing)
			require.NoError(t, cache.AwaitSaved(ctx, before.Version()))
			leave(before)
			require.NoError(t, cache.AwaitSaved(ctx, before.Version()))
			cancel()
			<-done
			after := leaf.NewRegistry(clock)
			directory.NewDiskCache(folder, after, sourceWithoutFollowers(after), t.Logf).Load()
			require.Empty(t, after.Serving("desk"))
		})
	}
}

// failingFolder is a data folder that accepts no writes.
type failingFolder struct{ samphirepass.DataFolder }

func (failingFolder) Append(string) (samphirepass.File, error) {
	return nil, os.ErrPermission
}

// TestProofDepartureIsNotAcknowledgedUnsaved guards against acknowledging a departure that the disk did not take.
func TestProofDepartureIsNotAcknowledgedUnsaved(t *testing.T) {
	folder, err := disk.OpenFolder(t.TempDir())
	require.NoError(t, err)
	r := leaf.NewRegistry(clock)
	cache := directory.NewDiskCache(failingFolder{folder}, r, sourceWithoutFollowers(r), t.Logf)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	go func() { _ = cache.Serve(ctx) }()
	announceTo(r, "a", 1, samphirepass.LeafServing)
	r.MarkGone("a")
	require.Error(t, cache.AwaitSaved(ctx, r.Version()))
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
