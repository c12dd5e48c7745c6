package control_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/control"
	"samphirepass/ledger"
	"samphirepass/peer"
	"samphirepass/quorum"
	"samphirepass/standin"
)

// TestProofChangeOutlivesItsLeader isolates the leader while a change that it has committed waits for the entries, and then
// reconnects it. The entries now report their revisions to the new leader, so the old one must fail the operator's request
// instead of waiting for them until the deadline.
func TestProofChangeOutlivesItsLeader(t *testing.T) {
	members := startMembers(t, 3)
	awaitFormed(t, members[0].opts.Members)
	operators, entries := &peer.Pool{}, &peer.Pool{}
	t.Cleanup(operators.Close)
	t.Cleanup(entries.Close)
	operator, entry := control.NewClient(members[0].opts.Members, operators), control.NewClient(members[0].opts.Members, entries)
	sync := func(applied samphirepass.Revision) control.SyncReply {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		// A sync that fails is repeated by the caller.
		reply, _ := entry.Sync(ctx, control.SyncRequest{VM: "e1", Address: "10.0.0.1:1", DataCentre: "derby", Process: "p1", AppliedRevision: applied})
		return reply
	}
	applied := samphirepass.Revision(0)
	require.Eventually(t, func() bool {
		seated := len(sync(0).View.Seats) == 1
		applied = max(applied, sync(applied).Revision)
		return seated
	}, 20*time.Second, 10*time.Millisecond, "the entry gets its seat")

	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 9*time.Second)
		defer cancel()
		_, err := operator.Propose(ctx, ledger.Command{Change: &samphirepass.Change{ID: "second", Kind: samphirepass.KindService, Name: "second", Spec: json.RawMessage(`""`)}})
		done <- err
	}()
	var leader *testMember
	require.Eventually(t, func() bool {
		for _, s := range operator.Statuses(t.Context()) {
			for _, m := range members {
				if s.Role == quorum.RoleLeader && s.VM == m.opts.VM {
					leader = m
				}
			}
		}
		return leader != nil
	}, 5*time.Second, 20*time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	isolate(members, leader, standin.LinkCut)
	time.Sleep(2 * time.Second)
	isolate(members, leader, standin.LinkPass)
	reconnected := time.Now()
	for time.Since(reconnected) < 4*time.Second {
		applied = max(applied, sync(applied).Revision)
		select {
		case err := <-done:
			require.NoError(t, err)
			return
		default:
		}
	}
	t.Fatal("the change is still unanswered 4 s after the old leader was reconnected")
}
