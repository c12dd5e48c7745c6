package control_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/control"
	"samphirepass/disk"
	"samphirepass/ledger"
	"samphirepass/peer"
	"samphirepass/quorum"
)

// faultyFolder is a data folder whose syncs or writes fail on demand.
type faultyFolder struct {
	*disk.Folder
	failSync, failWrite atomic.Bool
	// blockSnapshots, if set, blocks the writing of snapshots until it is closed.
	blockSnapshots chan struct{}
}

type faultyFile struct {
	samphirepass.File
	folder *faultyFolder
}

var errFault = eris.New("no space left on device")

func (f *faultyFolder) Append(name string) (samphirepass.File, error) {
	if f.blockSnapshots != nil && name == "new-snapshot" {
		<-f.blockSnapshots
	}
	file, err := f.Folder.Append(name)
	return &faultyFile{File: file, folder: f}, err
}

func (f *faultyFile) Write(b []byte) (int, error) {
	if f.folder.failWrite.Load() {
		return 0, errFault
	}
	return f.File.Write(b)
}

func (f *faultyFile) Sync() error {
	if f.folder.failSync.Load() {
		return errFault
	}
	return f.File.Sync()
}

// noSnapshot is more entries than a test writes. A fault that meets the writing of a snapshot ends the member before it takes the
// next change, which is then truly refused as not run.
const noSnapshot = 1_000_000

// TestProofDiskFaultStopsTheMember checks that a member whose disk has failed acknowledges no change and answers no
// further request: what was not synced may or may not be read back after a restart.
func TestProofDiskFaultStopsTheMember(t *testing.T) {
	tests := map[string]func(f *faultyFolder){
		"failed sync": func(f *faultyFolder) { f.failSync.Store(true) },
		"full disk":   func(f *faultyFolder) { f.failWrite.Store(true) },
	}
	for name, injectFault := range tests {
		t.Run(name, func(t *testing.T) {
			files := &faultyFolder{}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			node, ended := startSingleMember(ctx, t, files, noSnapshot)
			injectFault(files)
			err := propose(ctx, node, "second")
			require.Error(t, err)
			require.False(t, samphirepass.AsRefusal(err).NotRun, "an entry that failed to sync may still be read back")
			require.ErrorIs(t, <-ended, errFault)
			require.Equal(t, samphirepass.CodeStopping, samphirepass.AsRefusal(propose(ctx, node, "third")).Code)
			require.Error(t, node.ReadBarrier(ctx))
		})
	}
}

// startSingleMember runs the only member of a log, which writes a snapshot after snapshotEntries, until ctx ends; the channel receives the error of Serve.
func startSingleMember(ctx context.Context, t *testing.T, files *faultyFolder, snapshotEntries int) (*control.Node, chan error) {
	t.Helper()
	var err error
	files.Folder, err = disk.OpenFolder(t.TempDir())
	require.NoError(t, err)
	node := control.NewNode(control.Options{
		VM: "a", Address: "127.0.0.1:1", Members: []quorum.Member{{VM: "a", Address: "127.0.0.1:1"}}, Seats: 1,
		Files: files, Clock: samphirepass.SystemClock{}, Peers: &peer.Pool{}, SnapshotEntries: snapshotEntries,
	})
	ctx, cancel := context.WithCancel(ctx)
	ended, done := make(chan error, 1), make(chan struct{})
	go func() {
		defer close(done)
		ended <- node.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	require.Eventually(t, func() bool { return propose(ctx, node, "first") == nil }, 10*time.Second, 10*time.Millisecond)
	return node, ended
}

// TestProofSnapshotDoesNotStopTheMember checks that changes are committed while the writing of a snapshot is blocked.
func TestProofSnapshotDoesNotStopTheMember(t *testing.T) {
	files := &faultyFolder{blockSnapshots: make(chan struct{})}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	node, _ := startSingleMember(ctx, t, files, 10)
	for i := range 100 {
		require.NoError(t, propose(ctx, node, fmt.Sprint(i)))
	}
	close(files.blockSnapshots)
	require.Eventually(t, func() bool {
		names, err := files.List()
		return err == nil && slices.ContainsFunc(names, func(n string) bool { return strings.HasPrefix(n, "snapshot-") })
	}, 10*time.Second, 10*time.Millisecond)
	require.NoError(t, propose(ctx, node, "last"))
}

// propose changes one resource and returns an error unless it was accepted.
func propose(ctx context.Context, node *control.Node, name string) error {
	change := &samphirepass.Change{ID: samphirepass.ChangeID(name), Kind: samphirepass.KindCaller, Name: name, Spec: json.RawMessage(`{}`)}
	_, result, err := node.Propose(ctx, ledger.Command{Change: change})
	if err != nil {
		return err
	}
	if !result.Change.Accepted {
		return samphirepass.Refuse(result.Change.Code, "not accepted")
	}
	return nil
}
