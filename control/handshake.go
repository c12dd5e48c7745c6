package control

import (
	"context"
	"fmt"
	"slices"
	"time"

	"samphirepass"
	"samphirepass/quorum"
)

const (
	handshakeRetryMs   samphirepass.Millis = 100
	handshakeTimeoutMs samphirepass.Millis = 500
	// helloExpiryMs is how long a hello counts as a sign of life of a joining disk.
	helloExpiryMs samphirepass.Millis = 3000
	// helloIntervalMs is the time between two hellos of a disk without a vote.
	helloIntervalMs samphirepass.Millis = 400
	// leaderTimeoutMs is the silence of the leader after which a member introduces itself again.
	leaderTimeoutMs samphirepass.Millis = 1500
)

// handshake introduces the disk to the other members until it is safe to take part; it reports whether to bootstrap.
func (n *Node) handshake(ctx context.Context, core *quorum.Core) (bool, error) {
	for {
		replies := n.helloAll(ctx, core.Members(), func(replies []helloReply) bool {
			return core.Initialised() && n.hasMajority(core.Members(), replies)
		})
		old := diskRolledBack(replies, core)
		if old && anyLeads(replies) {
			return false, errDiskRolledBack
		}
		if !old && core.Initialised() && n.hasMajority(core.Members(), replies) {
			return false, nil
		}
		if !core.Initialised() {
			start, bootstrap := n.decideEmptyStart(replies)
			if start {
				return bootstrap, nil
			}
		}
		select {
		case <-time.After(handshakeRetryMs.Duration()):
		case <-ctx.Done():
			return false, fmt.Errorf("handshake: %w", ctx.Err())
		}
	}
}

// hasMajority reports whether this member and those that replied are a majority; the membership of one that leads goes before the own.
func (n *Node) hasMajority(members quorum.Members, replies []helloReply) bool {
	for _, r := range replies {
		if r.Leads && len(r.Members) > 0 {
			members = r.Members
		}
	}
	count := 0
	if _, ok := members.Find(n.o.VM); ok {
		count++
	}
	for _, r := range replies {
		if m, ok := members.Find(r.VM); ok && (m.Voter || !n.dynamicMembership()) {
			count++
		}
	}
	return count >= members.Majority()
}

// decideEmptyStart decides whether an empty disk may start, and whether it founds a new log.
func (n *Node) decideEmptyStart(replies []helloReply) (start, bootstrap bool) {
	if n.dynamicMembership() {
		return n.decideSeedStart(replies)
	}
	for _, r := range replies {
		if r.Initialised {
			return true, false
		}
	}
	// A new log is founded only if every member is there and empty: an absent one may hold the old log.
	if len(replies)+1 < len(n.o.Members) {
		return false, false
	}
	for _, m := range n.o.Members {
		if m.VM < n.o.VM {
			return true, false
		}
	}
	return true, true
}

// diskRolledBack reports whether any member saw this disk in a later state than it is in.
func diskRolledBack(replies []helloReply, core *quorum.Core) bool {
	for _, r := range replies {
		laterLog := r.Seen.LogTerm > core.LastTerm() || (r.Seen.LogTerm == core.LastTerm() && r.Seen.Index > core.LastIndex())
		if laterLog || r.Seen.Term > core.Term() {
			return true
		}
	}
	return false
}

// anyLeads reports whether a majority works without this disk, so that nothing committed depends on it.
func anyLeads(replies []helloReply) bool {
	for _, r := range replies {
		if r.Leads {
			return true
		}
	}
	return false
}

// otherProcesses returns the other processes of control that this node knows of.
func (n *Node) otherProcesses(members quorum.Members) []quorum.Member {
	var out []quorum.Member
	add := func(m quorum.Member) {
		known := slices.ContainsFunc(out, func(have quorum.Member) bool { return have.Address == m.Address })
		if m.VM != n.o.VM && m.Address != n.o.Address && !known {
			out = append(out, m)
		}
	}
	if len(members) == 0 {
		members = n.o.Members
	}
	for _, m := range members {
		add(m)
	}
	if !n.dynamicMembership() {
		return out
	}
	for _, seed := range n.o.Seeds {
		add(quorum.Member{Address: seed})
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, vm := range n.processVMs {
		add(quorum.Member{VM: vm, Address: address})
	}
	return out
}

// findProcess returns the address of a process that is in no membership that this one has seen, which happens to one that has just joined.
func (n *Node) findProcess(vm samphirepass.VM) quorum.Member {
	if m, ok := quorum.Members(n.o.Members).Find(vm); ok {
		return m
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, have := range n.processVMs {
		if have == vm {
			return quorum.Member{VM: vm, Address: address}
		}
	}
	return quorum.Member{}
}

// helloAll asks all others at once and returns what came back: all of it, or what there was when enough said so.
func (n *Node) helloAll(ctx context.Context, members quorum.Members, enough func([]helloReply) bool) []helloReply {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeoutMs.Duration())
	defer cancel()
	n.mu.Lock()
	req := helloRequest{VM: n.o.VM, Address: n.o.Address, Disk: n.identity.Disk}
	n.mu.Unlock()
	others := n.otherProcesses(members)
	results := make(chan *helloReply, len(others))
	for _, m := range others {
		go func() {
			var reply helloReply
			if err := n.o.Peers.Get(m.Address).Call(ctx, kindHello, req, &reply); err != nil {
				results <- nil
				return
			}
			reply.address = m.Address
			n.recordProcesses(append(slices.Clone(reply.Members), quorum.Member{VM: reply.VM, Address: m.Address}))
			results <- &reply
		}()
	}
	var out []helloReply
	for range others {
		reply := <-results
		if reply == nil {
			continue
		}
		out = append(out, *reply)
		if enough != nil && enough(out) {
			break
		}
	}
	return out
}

// sendHellos repeats the hello while this disk has no vote, so that whoever leads learns of it.
func (n *Node) sendHellos(ctx context.Context) {
	for {
		s, err := n.Status(ctx)
		if err != nil {
			return
		}
		// A member that was removed while it was away hears of no leader.
		_, age := n.Leader()
		if m, _ := s.Members.Find(n.o.VM); !m.Voter || m.Disk != s.Disk || (n.dynamicMembership() && age > leaderTimeoutMs) {
			n.helloAll(ctx, s.Members, nil)
		}
		select {
		case <-time.After(helloIntervalMs.Duration()):
		case <-ctx.Done():
			return
		}
	}
}

// handleHello answers what this member saw of the disk that asks.
func (n *Node) handleHello(ctx context.Context, req helloRequest) (helloReply, error) {
	n.mu.Lock()
	reply := helloReply{VM: n.o.VM, Seen: n.diskStates[req.Disk], Initialised: n.loadedLog}
	n.hellos[req.VM] = lastHello{helloRequest: req, at: n.o.Clock.Now()}
	n.mu.Unlock()
	status, err := n.Status(ctx)
	if err != nil {
		return reply, err
	}
	reply.Initialised = reply.Initialised || len(status.Members) > 0
	reply.Members = status.Members
	if status.Role == quorum.RoleLeader {
		ctx, cancel := context.WithTimeout(ctx, (handshakeTimeoutMs / 2).Duration())
		defer cancel()
		reply.Leads = n.ReadBarrier(ctx) == nil
	}
	return reply, nil
}

// recordDiskState remembers the state of the disk that sent m.
func (n *Node) recordDiskState(m quorum.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.diskStates[m.FromDisk]
	if m.Kind != quorum.MessagePreVote && m.Kind != quorum.MessagePreVoteReply {
		s.Term = max(s.Term, m.Term)
	}
	accepted := m.Kind == quorum.MessageAppendReply && !m.Reject
	later := m.LogTerm > s.LogTerm || (m.LogTerm == s.LogTerm && m.Index > s.Index)
	if accepted && later {
		s.LogTerm, s.Index = m.LogTerm, m.Index
	}
	n.diskStates[m.FromDisk] = s
}
