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
	handshakePauseMs   samphirepass.Millis = 100
	handshakeTimeoutMs samphirepass.Millis = 500
	// helloFreshMs is how long a hello counts as a sign of life of a joining disk.
	helloFreshMs samphirepass.Millis = 3000
	// introduceEveryMs is the time between two hellos of a disk without a vote.
	introduceEveryMs samphirepass.Millis = 400
	// lostLeaderMs is the silence of the leader after which a member introduces itself again.
	lostLeaderMs samphirepass.Millis = 1500
)

// handshake introduces the disk to the other members until it is safe to take part; it reports whether to bootstrap.
func (n *Node) handshake(ctx context.Context, core *quorum.Core) (bool, error) {
	for {
		replies := n.helloAll(ctx, core.Members(), func(replies []helloReply) bool {
			return core.Initialised() && n.majorityIn(core.Members(), replies)
		})
		old := ahead(replies, core)
		if old && led(replies) {
			return false, errOldDisk
		}
		if !old && core.Initialised() && n.majorityIn(core.Members(), replies) {
			return false, nil
		}
		if !core.Initialised() {
			start, bootstrap := n.emptyStart(replies)
			if start {
				return bootstrap, nil
			}
		}
		select {
		case <-time.After(handshakePauseMs.Duration()):
		case <-ctx.Done():
			return false, fmt.Errorf("handshake: %w", ctx.Err())
		}
	}
}

// majorityIn reports whether this member and those that replied are a majority; the membership of one that leads goes before the own.
func (n *Node) majorityIn(members quorum.Members, replies []helloReply) bool {
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
		if m, ok := members.Find(r.VM); ok && (m.Voter || !n.open()) {
			count++
		}
	}
	return count >= members.Majority()
}

// emptyStart decides whether an empty disk may start, and whether it founds a new log.
func (n *Node) emptyStart(replies []helloReply) (start, bootstrap bool) {
	if n.open() {
		return n.openStart(replies)
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

// ahead reports whether any member saw this disk in a later state than it is in.
func ahead(replies []helloReply, core *quorum.Core) bool {
	for _, r := range replies {
		laterLog := r.Seen.LogTerm > core.LastTerm() || (r.Seen.LogTerm == core.LastTerm() && r.Seen.Index > core.LastIndex())
		if laterLog || r.Seen.Term > core.Term() {
			return true
		}
	}
	return false
}

// led reports whether a majority works without this disk, so that nothing committed depends on it.
func led(replies []helloReply) bool {
	for _, r := range replies {
		if r.Leads {
			return true
		}
	}
	return false
}

// others returns the other processes of control that this node knows of.
func (n *Node) others(members quorum.Members) []quorum.Member {
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
	if !n.open() {
		return out
	}
	for _, seed := range n.o.Seeds {
		add(quorum.Member{Address: seed})
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, vm := range n.contacts {
		add(quorum.Member{VM: vm, Address: address})
	}
	return out
}

// configured returns the address of a process that is in no membership that this one has seen, which happens to one that has just joined.
func (n *Node) configured(vm samphirepass.VM) quorum.Member {
	if m, ok := quorum.Members(n.o.Members).Find(vm); ok {
		return m
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, have := range n.contacts {
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
	others := n.others(members)
	results := make(chan *helloReply, len(others))
	for _, m := range others {
		go func() {
			var reply helloReply
			if err := n.o.Peers.Get(m.Address).Call(ctx, kindHello, req, &reply); err != nil {
				results <- nil
				return
			}
			reply.address = m.Address
			n.learnContacts(append(slices.Clone(reply.Members), quorum.Member{VM: reply.VM, Address: m.Address}))
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

// introduce repeats the hello while this disk has no vote, so that whoever leads learns of it.
func (n *Node) introduce(ctx context.Context) {
	for {
		s, err := n.Status(ctx)
		if err != nil {
			return
		}
		// A member that was removed while it was away hears of no leader.
		_, age := n.Leader()
		if m, _ := s.Members.Find(n.o.VM); !m.Voter || m.Disk != s.Disk || (n.open() && age > lostLeaderMs) {
			n.helloAll(ctx, s.Members, nil)
		}
		select {
		case <-time.After(introduceEveryMs.Duration()):
		case <-ctx.Done():
			return
		}
	}
}

// hello answers what this member saw of the disk that asks.
func (n *Node) hello(ctx context.Context, req helloRequest) (helloReply, error) {
	n.mu.Lock()
	reply := helloReply{VM: n.o.VM, Seen: n.seen[req.Disk], Initialised: n.loadedLog}
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

// observe remembers the state of the disk that sent m.
func (n *Node) observe(m quorum.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.seen[m.FromDisk]
	if m.Kind != quorum.MessagePreVote && m.Kind != quorum.MessagePreVoteReply {
		s.Term = max(s.Term, m.Term)
	}
	accepted := m.Kind == quorum.MessageAppendReply && !m.Reject
	later := m.LogTerm > s.LogTerm || (m.LogTerm == s.LogTerm && m.Index > s.Index)
	if accepted && later {
		s.LogTerm, s.Index = m.LogTerm, m.Index
	}
	n.seen[m.FromDisk] = s
}
