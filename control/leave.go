package control

import (
	"context"
	"fmt"
	"time"

	"samphirepass"
	"samphirepass/quorum"
)

const (
	// leaveRetryMs is the interval at which a leader checks whether the removal of a leaving member is committed.
	leaveRetryMs = membershipCheckTicks * TickMs
	// leaveTryTimeoutMs bounds one try of Leave, so that a silent member uses up only a part of the caller's deadline.
	leaveTryTimeoutMs samphirepass.Millis = 400
)

// leaveRequest asks the leader to remove a member that is about to stop.
type leaveRequest struct {
	VM samphirepass.VM
}

// leaveReply says whether the member has left. If it has not, too few other voters remain without it.
type leaveReply struct {
	Left bool
}

// Leave removes this member from the log if enough other voters remain, so that its end costs no vote, and reports whether it did. The
// process must stop afterwards: the member says no more hellos, and is admitted again once it starts again. A leader must transfer the
// leadership first.
func (n *Node) Leave(ctx context.Context, c *Client) (bool, error) {
	if !n.dynamicMembership() {
		return false, nil
	}
	if m, ok := n.Members().Find(n.opts.VM); !ok || !m.Voter {
		return false, nil
	}
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	var reply leaveReply
	if err := c.callWithTryTimeout(ctx, leaveTryTimeoutMs, kindLeave, leaveRequest{VM: n.opts.VM}, &reply); err != nil {
		return false, fmt.Errorf("leave the log: %w", err)
	}
	return reply.Left, nil
}

// isLeaving reports whether Leave was called.
func (n *Node) isLeaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving
}

// handleLeave returns once the member is removed and that is committed, or it cannot be.
func (n *Node) handleLeave(ctx context.Context, req leaveRequest) (leaveReply, error) {
	if err := n.awaitStart(ctx); err != nil {
		return leaveReply{}, err
	}
	for {
		done := make(chan leaveProgress, 1)
		if err := n.enqueue(ctx, func(l *loop) { done <- l.leave(req.VM) }); err != nil {
			return leaveReply{}, err
		}
		select {
		case p := <-done:
			if p.ended {
				return leaveReply{Left: p.left}, p.err
			}
		case <-n.stopped:
			return leaveReply{}, samphirepass.RefuseUnknown("control member stopped")
		}
		select {
		case <-time.After(leaveRetryMs.Duration()):
		case <-ctx.Done():
			return leaveReply{}, samphirepass.RefuseUnknown("the removal of %s was not committed in time", req.VM)
		}
	}
}

// leaveProgress is the state of the removal of a leaving member.
type leaveProgress struct {
	ended, left bool
	err         error
}

// leave proposes the removal of a leaving member once enough other voters keep up.
func (l *loop) leave(vm samphirepass.VM) leaveProgress {
	if l.core.Role() != quorum.RoleLeader {
		return leaveProgress{ended: true, err: l.notLeader()}
	}
	members := l.core.Members()
	leaving, ok := members.Find(vm)
	if !ok {
		committed := l.core.MembersCommitted()
		return leaveProgress{ended: committed, left: committed}
	}
	voters, answering := l.countRemaining(members, vm)
	switch {
	case vm == l.node.opts.VM, answering < l.node.opts.Voters:
		return leaveProgress{ended: true}
	case voters < l.node.opts.Voters:
		// The others may still catch up, and learners become voters.
		return leaveProgress{}
	}
	l.node.forgetHello(vm)
	l.proposeMembers(members.Without(vm), "remove leaving member", leaving)
	return leaveProgress{}
}

// countRemaining counts the members other than vm: the voters that keep up, and all members that answer. A new leader does not know yet
// what the others hold, and a member may lack an entry that was committed a moment ago.
func (l *loop) countRemaining(members quorum.Members, vm samphirepass.VM) (voters, answering int) {
	for _, m := range members {
		if m.VM == vm || l.silentMs(m) >= silentVoterTimeoutMs {
			continue
		}
		answering++
		if m.Voter && (m.VM == l.node.opts.VM || l.keepsUp(m)) {
			voters++
		}
	}
	return voters, answering
}

// forgetHello drops the last hello of vm, which would admit it again.
func (n *Node) forgetHello(vm samphirepass.VM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.hellos, vm)
}
