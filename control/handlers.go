package control

import (
	"context"
	"time"

	"samphirepass"
	"samphirepass/ledger"
	"samphirepass/peer"
	"samphirepass/quorum"
)

const (
	// SyncWaitMs is how long a sync waits for a newer configuration before the reply confirms the current one.
	SyncWaitMs samphirepass.Millis = 400
	// majorityApplyTimeoutMs bounds the wait until a majority of the entries report a change as in force.
	majorityApplyTimeoutMs samphirepass.Millis = 10_000
	// leadershipCheckMs is the interval at which a waiting proposal checks that this member still leads. It exceeds the
	// time that Node.Leader takes to report a newly elected leader, one tick.
	leadershipCheckMs samphirepass.Millis = 4 * TickMs
)

// Register adds the handlers of the member's requests to h.
func (n *Node) Register(h *peer.Handlers) {
	peer.HandleNotify(h, kindRaft, n.handleRaft)
	peer.HandleCall(h, kindHello, n.handleHello)
	peer.HandleCall(h, kindSync, n.handleSync)
	peer.HandleCall(h, kindPropose, n.handlePropose)
	peer.HandleCall(h, kindRead, n.handleRead)
	peer.HandleCall(h, kindRun, n.handleRun)
	peer.HandleCall(h, kindMembers, n.handleMembers)
	peer.HandleCall(h, kindLeave, n.handleLeave)
	peer.HandleCall(h, kindPutRouting, n.handlePutRouting)
	peer.HandleCall(h, kindGetRouting, n.handleGetRouting)
	peer.HandleCall(h, kindSetEvacuation, n.handleSetEvacuation)
	peer.HandleCall(h, kindReadState, n.handleReadState)
	peer.HandleCall(h, kindStatus, func(ctx context.Context, _ statusRequest) (Status, error) { return n.Status(ctx) })
}

// handleRaft passes a message to the core. It drops the message if the event queue is full; Raft tolerates lost messages.
func (n *Node) handleRaft(m quorum.Message) {
	n.recordDiskState(m)
	n.mu.Lock()
	started := n.started
	n.mu.Unlock()
	if !started {
		return
	}
	select {
	case n.events <- func(l *loop) { l.core.Step(m) }:
	default:
	}
}

func (n *Node) handlePropose(ctx context.Context, req proposeRequest) (ledger.Result, error) {
	index, result, err := n.Propose(ctx, req.Command)
	if err != nil {
		return result, err
	}
	if result.Change != nil && result.Change.Accepted {
		index = result.Change.Revision
		if err := n.awaitMajorityApplied(ctx, index); err != nil {
			return result, err
		}
	}
	return result, nil
}

// notifyChanged wakes all goroutines that wait for a change of the ledger or of appliedByEntry.
func (n *Node) notifyChanged() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.changed)
	n.changed = make(chan struct{})
}

// awaitMajorityApplied returns once a majority of the seated entries has reported revision as in force.
// An entry that cannot reach control learns of the revision from that majority (docs/design/configuration.md).
// Entries no longer sync with a member that has lost the leadership, so the wait then fails and the client retries
// with another member.
func (n *Node) awaitMajorityApplied(ctx context.Context, revision samphirepass.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, majorityApplyTimeoutMs.Duration())
	defer cancel()
	t := time.NewTicker(leadershipCheckMs.Duration())
	defer t.Stop()
	for {
		n.mu.Lock()
		changed := n.changed
		done := n.majorityAppliedLocked(revision)
		n.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-t.C:
			if leader, _ := n.Leader(); leader.VM != n.opts.VM {
				return samphirepass.RefuseUnknown("the change is committed, but this member leads no longer")
			}
		case <-n.stopped:
			return samphirepass.RefuseUnknown("control member stopped before the change was in force")
		case <-ctx.Done():
			return samphirepass.RefuseUnknown("the change is committed, but most entries have not confirmed it yet")
		}
	}
}

// majorityAppliedLocked reports whether a majority of the seated entries has reported revision as in force; it is true
// if no entry is seated.
func (n *Node) majorityAppliedLocked(revision samphirepass.Revision) bool {
	seats := n.ledger.View().Seats
	applied := 0
	for _, s := range seats {
		if n.appliedByEntry[s.VM] >= revision {
			applied++
		}
	}
	return len(seats) == 0 || applied > len(seats)/2
}

func (n *Node) handleSync(ctx context.Context, req SyncRequest) (SyncReply, error) {
	if err := n.ReadBarrier(ctx); err != nil {
		return SyncReply{}, err
	}
	n.mu.Lock()
	n.appliedByEntry[req.VM] = max(n.appliedByEntry[req.VM], req.AppliedRevision)
	n.mu.Unlock()
	n.notifyChanged()
	if err := n.ensureSeat(ctx, req); err != nil {
		return SyncReply{}, err
	}
	if err := n.awaitNewer(ctx, req.AppliedRevision); err != nil {
		return SyncReply{}, err
	}
	return n.syncReply(req.AppliedRevision), nil
}

// awaitNewer waits up to SyncWaitMs for a configuration newer than the revision since, and then confirms that this member
// still leads and has applied everything committed.
func (n *Node) awaitNewer(ctx context.Context, since samphirepass.Revision) error {
	timeout := time.NewTimer(SyncWaitMs.Duration())
	defer timeout.Stop()
	for n.ledger.Revision() <= since {
		n.mu.Lock()
		changed := n.changed
		n.mu.Unlock()
		if n.ledger.Revision() > since {
			break
		}
		select {
		case <-changed:
			continue
		case <-timeout.C:
		case <-n.stopped:
		case <-ctx.Done():
		}
		break
	}
	return n.ReadBarrier(ctx)
}

func (n *Node) syncReply(since samphirepass.Revision) SyncReply {
	view := n.ledger.View()
	reply := SyncReply{Revision: view.Revision}
	n.mu.Lock()
	reply.Members = n.members
	n.mu.Unlock()
	events, ok := n.ledger.EventsSince(since)
	if since == 0 || !ok {
		reply.Full = true
		reply.View = view
		return reply
	}
	for _, e := range events {
		if e.Revision <= view.Revision {
			reply.Events = append(reply.Events, e)
		}
	}
	view.Resources = nil
	reply.View = view
	return reply
}

// ensureSeat gives the entry a seat or updates the data of the one that it has. Seats change one at a time: a change
// is proposed only if a majority of the entries has applied the previous one; otherwise a later sync tries again.
func (n *Node) ensureSeat(ctx context.Context, req SyncRequest) error {
	n.seatMu.Lock()
	defer n.seatMu.Unlock()
	view := n.ledger.View()
	for _, s := range view.Seats {
		if s.VM == req.VM && s.Address == req.Address && s.DataCentre == req.DataCentre {
			return nil
		}
	}
	n.mu.Lock()
	applied := n.majorityAppliedLocked(view.SeatsRevision)
	n.mu.Unlock()
	if !applied || !n.ledger.Formed() {
		return nil
	}
	change := ledger.SeatChange{VM: req.VM, Address: req.Address, DataCentre: req.DataCentre, Process: req.Process}
	_, result, err := n.Propose(ctx, ledger.Command{Seat: &change})
	if err != nil {
		return err
	}
	if result.Code == samphirepass.CodeStopping {
		return samphirepass.Refuse(result.Code, "this process has given its seat up")
	}
	if result.Code != "" {
		return samphirepass.Refuse(result.Code, "all %d seats are taken; release one of a VM that is gone", view.SeatCount)
	}
	return nil
}

func (n *Node) handleRead(ctx context.Context, req readRequest) (ReadReply, error) {
	if err := n.ReadBarrier(ctx); err != nil {
		return ReadReply{}, err
	}
	view := n.ledger.View()
	reply := ReadReply{Revision: view.Revision}
	for _, r := range view.Resources {
		if r.Kind == req.Kind && (req.Name == "" || r.Name == req.Name) {
			reply.Resources = append(reply.Resources, r)
		}
	}
	return reply, nil
}

func (n *Node) handleRun(ctx context.Context, req runRequest) (RunReply, error) {
	if err := n.ReadBarrier(ctx); err != nil {
		return RunReply{}, err
	}
	r, ok := n.ledger.RunRecord(req.Key, n.opts.Clock.Wall())
	return RunReply{Found: ok, Record: r}, nil
}

// handleMembers adds a member or removes one. An added member becomes a voter in reconcileMembers once it has caught up.
func (n *Node) handleMembers(ctx context.Context, req membersRequest) (Status, error) {
	done := make(chan error, 1)
	err := n.enqueue(ctx, func(l *loop) { done <- l.changeMembers(req) })
	if err != nil {
		return Status{}, err
	}
	select {
	case err = <-done:
	case <-n.stopped:
		err = samphirepass.RefuseUnknown("control member stopped")
	}
	if err != nil {
		return Status{}, err
	}
	return n.Status(ctx)
}

func (l *loop) changeMembers(req membersRequest) error {
	if l.core.Role() != quorum.RoleLeader {
		return l.notLeader()
	}
	members := l.core.Members()
	next := members.Without(req.Remove)
	if req.Remove == l.node.opts.VM {
		l.core.TransferLeadership("")
		return samphirepass.Refuse(samphirepass.CodeConflict, "member %s leads; it hands over now, try again", req.Remove)
	}
	if req.Add.VM != "" {
		if _, ok := members.Find(req.Add.VM); ok {
			return samphirepass.Refuse(samphirepass.CodeConflict, "member %s is there already", req.Add.VM)
		}
		next = members.With(quorum.Member{VM: req.Add.VM, Address: req.Add.Address})
	}
	if err := l.core.ProposeMembers(next); err != nil {
		return samphirepass.Refuse(samphirepass.CodeConflict, "%v", err)
	}
	return nil
}
