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

func hear(r *leaf.Registry, name string, incarnation samphirepass.Incarnation, state samphirepass.LeafState) {
	r.Apply(samphirepass.Announcement{Leaf: samphirepass.Leaf(name), Service: "desk", Address: "10.0.0.1:1", Incarnation: incarnation, Sequence: 1, State: state, Slots: 1}, 0, true)
}

// plainSource returns a source that nobody follows.
func plainSource(r *leaf.Registry) *directory.Source {
	return directory.NewSource(directory.SourceOptions{Registry: r, State: &state{changed: make(chan struct{})}, Clock: clock})
}

// TestNumberOfEntriesIsKeptOverARestart stops a source that three entries follow: the one that is back first must not take the shares of all.
func TestNumberOfEntriesIsKeptOverARestart(t *testing.T) {
	files, err := disk.OpenFolder(t.TempDir())
	require.NoError(t, err)
	before := startSources(t, 1)
	for _, name := range []string{"e1", "e2", "e3"} {
		e := startEntry(t, name, before)
		eventually(t, 10*time.Second, e.UpToDate, "the entry meets the source")
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = directory.NewDiskCache(files, before[0].registry, before[0].source, t.Logf).Serve(ctx)
	}()
	time.Sleep(3 * time.Second)
	cancel()
	<-done

	after := startSources(t, 1)
	directory.NewDiskCache(files, after[0].registry, after[0].source, t.Logf).Load()
	first := startEntry(t, "e1", after)
	eventually(t, 10*time.Second, first.UpToDate, "the first entry is back")
	require.Equal(t, 3, first.EntryCount())
}

// TestLeavesAreKeptOverARestart keeps leaves, one of which drains, and starts anew from the folder.
func TestLeavesAreKeptOverARestart(t *testing.T) {
	folder := t.TempDir()
	files, err := disk.OpenFolder(folder)
	require.NoError(t, err)
	before := leaf.NewRegistry(clock)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = directory.NewDiskCache(files, before, plainSource(before), t.Logf).Serve(ctx)
	}()
	hear(before, "a", 1, samphirepass.LeafServing)
	hear(before, "b", 1, samphirepass.LeafServing)
	hear(before, "b", 1, samphirepass.LeafDraining)
	restarted := func() *leaf.Registry {
		r := leaf.NewRegistry(clock)
		directory.NewDiskCache(files, r, plainSource(r), t.Logf).Load()
		return r
	}
	require.Eventually(t, func() bool { return len(restarted().All()) == 2 && len(restarted().Serving("desk")) == 1 }, 5*time.Second, 20*time.Millisecond)
	cancel()
	<-done

	after := restarted()
	hear(after, "a", 2, samphirepass.LeafServing)
	require.Equal(t, samphirepass.Incarnation(2), after.Serving("desk")[0].Incarnation, "a heartbeat goes before what was kept")
	require.NoError(t, os.WriteFile(filepath.Join(folder, "leaves"), []byte{0xff, 1, 2}, 0o600))
	require.Empty(t, restarted().All(), "a torn file is as good as none")
}
