package control

import (
	"context"
	"slices"

	"samphirepass"
	"samphirepass/ledger"
	"samphirepass/peer"
	"samphirepass/quorum"
)

const (
	// silentMemberTimeoutMs is how long a voter may be silent before it makes room; it is let in again once it is back.
	silentMemberTimeoutMs samphirepass.Millis = 4000
	// routingTryTimeoutMs bounds one try at one member, so that a silent member costs only a part of the caller's time.
	routingTryTimeoutMs samphirepass.Millis = 400
)

// dynamicMembership reports whether members join and leave by themselves.
func (n *Node) dynamicMembership() bool { return len(n.o.Seeds) > 0 }

// reconcileDynamic takes in new members and removes silent ones, and reports whether it proposed a change.
func (l *loop) reconcileDynamic(members quorum.Members) bool {
	l.countSilentTicks(members)
	if m, ok := l.removableMember(members); ok {
		return l.proposeMembers(members.Without(m.VM), "removes silent member", m)
	}
	if m, ok := l.node.joiningProcess(members); ok {
		return l.proposeMembers(members.With(m), "admits member", m)
	}
	return false
}

func (l *loop) proposeMembers(next quorum.Members, what string, m quorum.Member) bool {
	if err := l.core.ProposeMembers(next); err != nil {
		// An earlier change is not committed yet; the next look tries again.
		return false
	}
	l.node.o.Log("Leader %s %s at %s with disk %s: %d members, %d voters.", what, m.VM, m.Address, m.Disk, len(next), next.VoterCount())
	return true
}

func (l *loop) countSilentTicks(members quorum.Members) {
	if l.silentTicks == nil {
		l.silentTicks = map[samphirepass.VM]int{}
	}
	for _, m := range members {
		if m.VM == l.node.o.VM || l.core.Active(m.VM) {
			delete(l.silentTicks, m.VM)
			continue
		}
		l.silentTicks[m.VM] += membershipCheckTicks
	}
	for vm := range l.silentTicks {
		if _, ok := members.Find(vm); !ok {
			delete(l.silentTicks, vm)
		}
	}
}

// removableMember returns a member that has been silent for long, if enough voters are left without it
// or a learner stands ready to take its place.
func (l *loop) removableMember(members quorum.Members) (quorum.Member, bool) {
	for _, m := range members {
		if samphirepass.Millis(l.silentTicks[m.VM])*TickMs < silentMemberTimeoutMs {
			continue
		}
		if !m.Voter || members.VoterCount() > l.node.o.Voters || l.learnerReady(members) {
			return m, true
		}
	}
	return quorum.Member{}, false
}

// learnerReady reports whether a member without a vote has caught up.
func (l *loop) learnerReady(members quorum.Members) bool {
	return slices.ContainsFunc(members, func(m quorum.Member) bool { return !m.Voter && l.caughtUp(m) })
}

// joiningProcess returns a process that lately introduced its disk and is no member.
func (n *Node) joiningProcess(members quorum.Members) (quorum.Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for vm, g := range n.hellos {
		if _, ok := members.Find(vm); ok || n.o.Clock.Now()-g.at > helloExpiryMs {
			continue
		}
		return quorum.Member{VM: vm, Address: g.Address, Disk: g.Disk}, true
	}
	return quorum.Member{}, false
}

// recordProcesses keeps the addresses of other processes of control.
func (n *Node) recordProcesses(members quorum.Members) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range members {
		if m.Address != "" && m.Address != n.o.Address {
			n.processVMs[m.Address] = m.VM
		}
	}
}

// decideSeedStart decides whether an empty disk may start where only seeds are known, and whether it founds a new log.
func (n *Node) decideSeedStart(replies []helloReply) (start, bootstrap bool) {
	for _, r := range replies {
		if r.Initialised {
			return true, false
		}
	}
	if !n.o.AllowBootstrap {
		return false, false
	}
	// A new log is founded only if every seed is there and empty: an absent one may hold the old log.
	founder := ""
	for _, seed := range n.o.Seeds {
		i := slices.IndexFunc(replies, func(r helloReply) bool { return r.address == seed })
		if seed != n.o.Address && i < 0 {
			return false, false
		}
		if seed != n.o.Address && replies[i].Diskless {
			continue
		}
		if founder == "" || seed < founder {
			founder = seed
		}
	}
	return founder == n.o.Address, founder == n.o.Address
}

// handlePutRouting commits a routing document.
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

// handleGetRouting returns the document that was the newest when the request came in.
func (n *Node) handleGetRouting(ctx context.Context, _ getRoutingRequest) (getRoutingReply, error) {
	if err := n.ReadBarrier(ctx); err != nil {
		return getRoutingReply{}, err
	}
	return getRoutingReply{Document: n.ledger.Routing()}, nil
}

// AppliedRouting returns the document that this member has applied, which may be older than the newest.
func (n *Node) AppliedRouting() samphirepass.RoutingDocument { return n.ledger.Routing() }

// RegisterDiskless adds what a process of control without a data folder answers: it is never a member.
func RegisterDiskless(h *peer.Handlers, vm samphirepass.VM) {
	peer.HandleCall(h, kindHello, func(context.Context, helloRequest) (helloReply, error) {
		return helloReply{VM: vm, Diskless: true}, nil
	})
	notLeader := samphirepass.Refuse(samphirepass.CodeNotLeader, "process %s has no disk and is no member", vm)
	peer.HandleCall(h, kindPutRouting, func(context.Context, putRoutingRequest) (putRoutingReply, error) { return putRoutingReply{}, notLeader })
	peer.HandleCall(h, kindGetRouting, func(context.Context, getRoutingRequest) (getRoutingReply, error) { return getRoutingReply{}, notLeader })
}

// SetMembers replaces the members that the client asks, and turns to the leader if one is known.
func (c *Client) SetMembers(members quorum.Members, leader samphirepass.VM) {
	if len(members) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	from := c.members[c.targetIndex%len(c.members)].Address
	c.members = slices.Clone(members)
	c.targetIndex = 0
	for i, m := range c.members {
		if (leader != "" && m.VM == leader) || (leader == "" && m.Address == from) {
			c.targetIndex = i
		}
	}
}

// PutRouting returns once the document, or one with a higher version, is durable on a majority.
func (c *Client) PutRouting(ctx context.Context, d samphirepass.RoutingDocument) error {
	return c.callWithTryTimeout(ctx, routingTryTimeoutMs, kindPutRouting, putRoutingRequest{Document: d}, &putRoutingReply{})
}

// Routing returns the newest document, confirmed by a majority.
func (c *Client) Routing(ctx context.Context) (samphirepass.RoutingDocument, error) {
	var reply getRoutingReply
	err := c.callWithTryTimeout(ctx, routingTryTimeoutMs, kindGetRouting, getRoutingRequest{}, &reply)
	return reply.Document, err
}
