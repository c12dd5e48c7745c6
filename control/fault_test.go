package control_test

import (
	"context"
	"encoding/json"
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

// faulty is a data folder whose syncs or writes fail on demand.
type faulty struct {
	*disk.Folder
	failSync, failWrite atomic.Bool
}

type faultyFile struct {
	samphirepass.File
	folder *faulty
}

var errFault = eris.New("no space left on device")

func (f *faulty) Append(name string) (samphirepass.File, error) {
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

// TestProofDiskFaultStopsTheMember shows that nothing is acknowledged, or answered at all, after a disk has failed.
func TestProofDiskFaultStopsTheMember(t *testing.T) {
	tests := map[string]func(f *faulty){
		"failed sync": func(f *faulty) { f.failSync.Store(true) },
		"full disk":   func(f *faulty) { f.failWrite.Store(true) },
	}
	for name, harm := range tests {
		t.Run(name, func(t *testing.T) {
			folder, err := disk.OpenFolder(t.TempDir())
			require.NoError(t, err)
			files := &faulty{Folder: folder}
			node := control.NewNode(control.Options{
				VM: "a", Address: "127.0.0.1:1", Members: []quorum.Member{{VM: "a", Address: "127.0.0.1:1"}}, Seats: 1,
				Files: files, Clock: samphirepass.SystemClock{}, Peers: &peer.Pool{},
			})
			ended := make(chan error, 1)
			go func() { ended <- node.Serve(t.Context()) }()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			require.Eventually(t, func() bool { return propose(ctx, node, "first") == nil }, 10*time.Second, 10*time.Millisecond)
			harm(files)
			err = propose(ctx, node, "second")
			require.Error(t, err)
			require.False(t, samphirepass.AsRefusal(err).NotRun, "what failed to sync may yet be read back")
			require.ErrorIs(t, <-ended, errFault)
			require.Equal(t, samphirepass.CodeStopping, samphirepass.AsRefusal(propose(ctx, node, "third")).Code)
			require.Error(t, node.Confirm(ctx))
		})
	}
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
