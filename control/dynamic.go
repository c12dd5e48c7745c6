package control

import (
	"context"
	"fmt"
	"slices"

	"samphirepass"
	"samphirepass/ledger"
	"samphirepass/peer"
	"samphirepass/quorum"
)

const (
	// silentLearnerTimeoutMs is the time without an answer after which a learner is removed.
	silentLearnerTimeoutMs samphirepass.Millis = 4000
	// silentVoterTimeoutMs is the time without an answer after which a voter is logged as silent, and removed if enough others remain. It is
	// the shortest time after which a silent leader is replaced. A voter that returns later is admitted again.
	silentVoterTimeoutMs = quorum.ElectionTicksMin * TickMs
	// routingTryTimeoutMs bounds one try of PutRouting or Routing, so that a silent member uses up only a part of the
	// caller's deadline.
	routingTryTimeoutMs samphirepass.Millis = 400
)

// dynamicMembership reports whether members are admitted and removed automatically, without a configured list.
func (n *Node) dynamicMembership() bool { return len(n.opts.Seeds) > 0 }

// reconcileDynamic removes a silent member or admits a new one, and reports whether it proposed a change.
func (l *loop) reconcileDynamic(members quorum.Members) bool {
	l.logSilentVoters(members)
	if m, ok := l.removableMember(members); ok {
		return l.proposeMembers(members.Without(m.VM), "remove silent member", m)
	}
	if m, ok := l.node.joiningProcess(members); ok {
		return l.proposeMembers(members.With(m), "admit member", m)
	}
	return false
}

func (l *loop) proposeMembers(next quorum.Members, action string, m quorum.Member) bool {
	if err := l.core.ProposeMembers(next); err != nil {
		// An earlier change is not committed yet; the next check tries again.
		return false
	}
	l.node.opts.Log("Leader proposes to %s %s at %s with disk %s: %d members, %d voters.", action, m.VM, m.Address, m.Disk, len(next), next.VoterCount())
	return true
}

// silentMs returns the time for which a member has not answered this leader.
func (l *loop) silentMs(m quorum.Member) samphirepass.Millis {
	return samphirepass.Millis(l.core.SilentTicks(m.VM)) * TickMs
}

// logSilentVoters logs which voters have not answered this leader for silentVoterTimeoutMs, if that has changed.
func (l *loop) logSilentVoters(members quorum.Members) {
	var silent []string
	for _, m := range members {
		if m.Voter && l.silentMs(m) >= silentVoterTimeoutMs {
			silent = append(silent, string(m.VM))
		}
	}
	if slices.Equal(silent, l.loggedSilent) {
		return
	}
	l.loggedSilent = silent
	l.node.opts.Log("%d of %d voters answer; silent for %.0f ms or more: %q.", members.VoterCount()-len(silent), members.VoterCount(), silentVoterTimeoutMs, silent)
}

// removableMember returns a member that has been silent for long enough to be removed: a learner, or a voter without which at least
// Options.Voters voters remain. In place of a voter that is needed for that number, a learner has to become a voter first.
func (l *loop) removableMember(members quorum.Members) (quorum.Member, bool) {
	for _, m := range members {
		silent := l.silentMs(m)
		spareVoter := m.Voter && members.VoterCount() > l.node.opts.Voters
		if (spareVoter && silent >= silentVoterTimeoutMs) || (!m.Voter && silent >= silentLearnerTimeoutMs) {
			return m, true
		}
	}
	return quorum.Member{}, false
}

// joiningProcess returns a process that is not a member, has sent a hello within helloExpiryMs, and reads the log: another one would stop, and
// hold back commands of a level that it does not read.
func (n *Node) joiningProcess(members quorum.Members) (quorum.Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	used := n.ledger.Level()
	tooLow := ""
	defer func() { n.logTooLowLocked(tooLow) }()
	for vm, hello := range n.hellos {
		if _, ok := members.Find(vm); ok || n.opts.Clock.Now()-hello.at > helloExpiryMs {
			continue
		}
		if hello.Level < used {
			tooLow = fmt.Sprintf("%s reads level %d and is not admitted, as the log holds commands of level %d", vm, hello.Level, used)
			continue
		}
		return quorum.Member{VM: vm, Address: hello.Address, Disk: hello.Disk, Level: hello.Level}, true
	}
	return quorum.Member{}, false
}

// recordProcesses adds the addresses of other control processes to processVMs.
func (n *Node) recordProcesses(members quorum.Members) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range members {
		if m.Address != "" && m.Address != n.opts.Address {
			n.processVMs[m.Address] = m.VM
		}
	}
}

// decideSeedStart is decideEmptyStart for dynamic membership: an empty disk may start if any process holds a log. If
// bootstrapping is allowed and no seed holds one, the seed with the lowest address that has a disk bootstraps a new log.
func (n *Node) decideSeedStart(replies []helloReply) (start, bootstrap bool) {
	for _, r := range replies {
		if r.Initialised {
			return true, false
		}
	}
	if !n.opts.AllowBootstrap {
		return false, false
	}
	// A new log is bootstrapped only if every seed has replied and is empty: an absent one may hold the existing log.
	bootstrapSeed := ""
	for _, seed := range n.opts.Seeds {
		i := slices.IndexFunc(replies, func(r helloReply) bool { return r.address == seed })
		if seed != n.opts.Address && i < 0 {
			return false, false
		}
		if seed != n.opts.Address && replies[i].Diskless {
			continue
		}
		if bootstrapSeed == "" || seed < bootstrapSeed {
			bootstrapSeed = seed
		}
	}
	return bootstrapSeed == n.opts.Address, bootstrapSeed == n.opts.Address
}

func (n *Node) handlePutRouting(ctx context.Context, req putRoutingRequest) (putRoutingReply, error) {
	_, result, err := n.Propose(ctx, ledger.Command{Routing: &req.Document})
	if err != nil {
		return putRoutingReply{}, err
	}
	if result.Code != "" {
		return putRoutingReply{}, samphirepass.Refuse(result.Code, "the log waits for its first members")
	}
	return putRoutingReply{}, nil
}

// handleGetRouting returns the document that was the newest when the request arrived, or a newer one.
func (n *Node) handleGetRouting(ctx context.Context, _ getRoutingRequest) (getRoutingReply, error) {
	if err := n.ReadBarrier(ctx); err != nil {
		return getRoutingReply{}, err
	}
	return getRoutingReply{Document: n.ledger.Routing()}, nil
}

// AppliedRouting returns the routing document that this member has applied, which may lag behind the newest.
func (n *Node) AppliedRouting() samphirepass.RoutingDocument { return n.ledger.Routing() }

// RegisterDiskless adds the handlers of a control process without a data folder, which is never a member, to h.
func RegisterDiskless(h *peer.Handlers, vm samphirepass.VM) {
	peer.HandleCall(h, kindHello, func(context.Context, helloRequest) (helloReply, error) {
		return helloReply{VM: vm, Diskless: true}, nil
	})
	notLeader := samphirepass.Refuse(samphirepass.CodeNotLeader, "process %s has no disk and is no member", vm)
	peer.HandleCall(h, kindLeave, func(context.Context, leaveRequest) (leaveReply, error) { return leaveReply{}, notLeader })
	peer.HandleCall(h, kindPutRouting, func(context.Context, putRoutingRequest) (putRoutingReply, error) { return putRoutingReply{}, notLeader })
	peer.HandleCall(h, kindGetRouting, func(context.Context, getRoutingRequest) (getRoutingReply, error) { return getRoutingReply{}, notLeader })
	peer.HandleCall(h, kindSetEvacuation, func(context.Context, setEvacuationRequest) (setEvacuationReply, error) {
		return setEvacuationReply{}, notLeader
	})
	peer.HandleCall(h, kindReadState, func(context.Context, readStateRequest) (readStateReply, error) { return readStateReply{}, notLeader })
}

// SetMembers replaces the members to which the client sends requests. The next request goes to leader if it is given,
// otherwise to the current target if it is still a member. It ignores an empty list.
func (c *Client) SetMembers(members quorum.Members, leader samphirepass.VM) {
	if len(members) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.members[c.targetIndex%len(c.members)].Address
	c.members = slices.Clone(members)
	c.targetIndex = 0
	for i, m := range c.members {
		if (leader != "" && m.VM == leader) || (leader == "" && m.Address == current) {
			c.targetIndex = i
		}
	}
}

// PutRouting commits a routing document; it returns once the document, or one with a higher version, is durable
// on a majority.
func (c *Client) PutRouting(ctx context.Context, d samphirepass.RoutingDocument) error {
	return c.callWithTryTimeout(ctx, routingTryTimeoutMs, kindPutRouting, putRoutingRequest{Document: d}, &putRoutingReply{})
}

// Routing returns the newest routing document, confirmed by a majority.
func (c *Client) Routing(ctx context.Context) (samphirepass.RoutingDocument, error) {
	var reply getRoutingReply
	err := c.callWithTryTimeout(ctx, routingTryTimeoutMs, kindGetRouting, getRoutingRequest{}, &reply)
	return reply.Document, err
}
