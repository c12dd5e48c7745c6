package control_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/control"
	"samphirepass/disk"
	"samphirepass/ledger"
	"samphirepass/peer"
	"samphirepass/quorum"
)

// fillingFolder is a data folder on a disk that is full on demand: a write then stores half of its bytes and fails.
type fillingFolder struct {
	*disk.Folder
	full atomic.Bool
}

type fillingFile struct {
	samphirepass.File
	folder *fillingFolder
}

func (f *fillingFolder) Append(name string) (samphirepass.File, error) {
	file, err := f.Folder.Append(name)
	if err != nil {
		return nil, err
	}
	return &fillingFile{File: file, folder: f}, nil
}

func (f *fillingFile) Write(b []byte) (int, error) {
	if !f.folder.full.Load() {
		return f.File.Write(b)
	}
	n, err := f.File.Write(b[:len(b)/2])
	if err != nil {
		return n, err
	}
	return n, errFault
}

// startSupervisedMember runs a member that reopens its data folder after a disk failure, until the test ends.
func startSupervisedMember(t *testing.T, vm string, port *heldPort, seeds []string) *fillingFolder {
	t.Helper()
	folder, err := disk.OpenFolder(t.TempDir())
	require.NoError(t, err)
	files := &fillingFolder{Folder: folder}
	peers := &peer.Pool{}
	handlers := peer.NewHandlers()
	ws := peer.NewServer(handlers)
	mux := http.NewServeMux()
	mux.Handle(peer.Path, ws)
	server := &http.Server{Handler: mux}
	l := port.listen()
	go func() { _ = server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			node := control.NewNode(control.Options{
				VM: samphirepass.VM(vm), Address: port.address(), Seeds: seeds, AllowBootstrap: true, Voters: 3, SnapshotEntries: 20,
				Files: files, Clock: samphirepass.SystemClock{}, Peers: peers, Log: t.Logf,
			})
			node.Register(handlers)
			_ = node.Serve(ctx)
			time.Sleep(100 * time.Millisecond)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		ws.Close()
		_ = server.Close()
		peers.Close()
	})
	return files
}

// TestProofDisksFullInTurn guards against changes that are refused or unanswered long after the disks of the members, full one after
// another, have room again.
func TestProofDisksFullInTurn(t *testing.T) {
	const ackTimeout = 5 * time.Second
	ports, addresses := holdPorts(t, 4)
	var disks []*fillingFolder
	for i, p := range ports {
		disks = append(disks, startSupervisedMember(t, fmt.Sprint("m", i), p, addresses[:3]))
	}
	peers := &peer.Pool{}
	defer peers.Close()
	var members quorum.Members
	for _, a := range addresses {
		members = append(members, quorum.Member{Address: a})
	}
	client := control.NewClient(members, peers)
	changes := 0
	change := func() error {
		changes++
		ctx, cancel := context.WithTimeout(t.Context(), ackTimeout)
		defer cancel()
		spec := json.RawMessage(fmt.Sprintf(`{"n":%d}`, changes))
		change := samphirepass.Change{ID: samphirepass.ChangeID(fmt.Sprint("c", changes)), Kind: samphirepass.KindCaller, Name: fmt.Sprint("n", changes), Spec: spec}
		_, err := client.Propose(ctx, ledger.Command{Change: &change})
		return err
	}
	require.Eventually(t, func() bool { return change() == nil }, 20*time.Second, 20*time.Millisecond)
	for range 2 {
		for _, d := range disks {
			d.full.Store(true)
			for until := time.Now().Add(700 * time.Millisecond); time.Now().Before(until); {
				// With one disk full a change may take longer, or remain without a clear answer.
				_ = change()
			}
			d.full.Store(false)
			for until := time.Now().Add(300 * time.Millisecond); time.Now().Before(until); {
				_ = change()
			}
		}
	}
	for range 60 {
		require.NoError(t, change(), "change %d", changes)
	}
}
