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
	// helloExpiryMs is the time after its last hello for which a joining process counts as alive.
	helloExpiryMs samphirepass.Millis = 3000
	// helloIntervalMs is the pause of sendHellos between two rounds of hellos.
	helloIntervalMs samphirepass.Millis = 400
	// leaderTimeoutMs is the time without a message from the leader after which a voter sends hellos again,
	// with dynamic membership.
	leaderTimeoutMs samphirepass.Millis = 1500
)

// handshake exchanges hellos with the other members until this disk may safely take part in the log.
// It reports whether this member has to bootstrap a new log. It returns errDiskRolledBack if the disk holds an older
// state than other members have seen and a majority works without it.
func (n *Node) handshake(ctx context.Context, core *quorum.Core) (bool, error) {
	for {
		replies := n.helloAll(ctx, core.Members(), func(replies []helloReply) bool {
			return core.Initialised() && n.hasMajority(core.Members(), replies)
		})
		rolledBack := diskRolledBack(replies, core)
		if rolledBack && anyLeads(replies) {
			return false, errDiskRolledBack
		}
		if !rolledBack && core.Initialised() && n.hasMajority(core.Members(), replies) {
			return false, nil
		}
		if !core.Initialised() {
			start, bootstrap := n.decideEmptyStart(replies)
			if start {
				return bootstrap, nil
			}
		}
		n.logHellos(core, replies)
		select {
		case <-time.After(handshakeRetryMs.Duration()):
		case <-ctx.Done():
			return false, fmt.Errorf("handshake: %w", ctx.Err())
		}
	}
}

// logHellos logs which processes were asked during the handshake and what they replied, if that has changed.
func (n *Node) logHellos(core *quorum.Core, replies []helloReply) {
	var asked, answered []string
	for _, m := range n.otherProcesses(core.Members()) {
		asked = append(asked, m.Address)
	}
	for _, r := range replies {
		state := "empty"
		switch {
		case r.Diskless:
			state = "without a disk"
		case r.Leads:
			state = "leads"
		case r.Initialised:
			state = "holds the log"
		}
		answered = append(answered, fmt.Sprintf("%s %s", r.address, state))
	}
	slices.Sort(asked)
	slices.Sort(answered)
	text := fmt.Sprintf("asked %q, answers %q", asked, answered)
	if text == n.loggedHellos {
		return
	}
	n.loggedHellos = text
	if core.Initialised() {
		n.opts.Log("Disk holds a log and waits for a majority: %s; %s.", text, describeMembers(core.Members()))
		return
	}
	n.opts.Log("Empty disk waits for a process that holds the log: %s.", text)
}

// hasMajority reports whether this member and those that replied are a majority of the given membership or, if a leader
// replied, of the leader's. With dynamic membership it counts the replies of voters only.
func (n *Node) hasMajority(members quorum.Members, replies []helloReply) bool {
	for _, r := range replies {
		if r.Leads && len(r.Members) > 0 {
			members = r.Members
		}
	}
	count := 0
	if _, ok := members.Find(n.opts.VM); ok {
		count++
	}
	for _, r := range replies {
		if m, ok := members.Find(r.VM); ok && (m.Voter || !n.dynamicMembership()) {
			count++
		}
	}
	return count >= members.Majority()
}

// decideEmptyStart reports whether an empty disk may start, and whether it bootstraps a new log.
func (n *Node) decideEmptyStart(replies []helloReply) (start, bootstrap bool) {
	if n.dynamicMembership() {
		return n.decideSeedStart(replies)
	}
	for _, r := range replies {
		if r.Initialised {
			return true, false
		}
	}
	// A new log is bootstrapped only if every member has replied and is empty: an absent one may hold the existing log.
	if len(replies)+1 < len(n.opts.Members) {
		return false, false
	}
	for _, m := range n.opts.Members {
		if m.VM < n.opts.VM {
			return true, false
		}
	}
	return true, true
}

// diskRolledBack reports whether any member has seen this disk in a later state than it is in now,
// as happens after the disk was restored from an older copy.
func diskRolledBack(replies []helloReply, core *quorum.Core) bool {
	for _, r := range replies {
		laterLog := r.Seen.LogTerm > core.LastTerm() || (r.Seen.LogTerm == core.LastTerm() && r.Seen.Index > core.LastIndex())
		if laterLog || r.Seen.Term > core.Term() {
			return true
		}
	}
	return false
}

// anyLeads reports whether a replying member leads a majority without this disk, so that no committed entry depends on
// this disk.
func anyLeads(replies []helloReply) bool {
	for _, r := range replies {
		if r.Leads {
			return true
		}
	}
	return false
}

// otherProcesses returns the known control processes except this one: the given members, or the configured ones if there
// are none, and with dynamic membership also the seeds, which may all be without a disk, and the processes learned from hellos and by
// Options.KnownProcesses.
func (n *Node) otherProcesses(members quorum.Members) []quorum.Member {
	var others []quorum.Member
	add := func(m quorum.Member) {
		known := slices.ContainsFunc(others, func(other quorum.Member) bool { return other.Address == m.Address })
		if m.VM != n.opts.VM && m.Address != n.opts.Address && !known {
			others = append(others, m)
		}
	}
	if len(members) == 0 {
		members = n.opts.Members
	}
	for _, m := range members {
		add(m)
	}
	if !n.dynamicMembership() {
		return others
	}
	for _, seed := range n.opts.Seeds {
		add(quorum.Member{Address: seed})
	}
	if n.opts.KnownProcesses != nil {
		for _, address := range n.opts.KnownProcesses() {
			add(quorum.Member{Address: address})
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, vm := range n.processVMs {
		add(quorum.Member{VM: vm, Address: address})
	}
	return others
}

// findProcess looks up a control process that is not in the membership known to this node, as happens while this node
// has just joined. It returns a zero Member if the process is unknown.
func (n *Node) findProcess(vm samphirepass.VM) quorum.Member {
	if m, ok := quorum.Members(n.opts.Members).Find(vm); ok {
		return m
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, processVM := range n.processVMs {
		if processVM == vm {
			return quorum.Member{VM: vm, Address: address}
		}
	}
	return quorum.Member{}
}

// helloAll sends a hello to all other control processes concurrently and returns the replies. It returns early
// once enough, if given, reports true for the replies so far.
func (n *Node) helloAll(ctx context.Context, members quorum.Members, enough func([]helloReply) bool) []helloReply {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeoutMs.Duration())
	defer cancel()
	n.mu.Lock()
	req := helloRequest{VM: n.opts.VM, Address: n.opts.Address, Disk: n.identity.Disk, Level: n.opts.Level}
	n.mu.Unlock()
	others := n.otherProcesses(members)
	results := make(chan *helloReply, len(others))
	for _, m := range others {
		go func() {
			var reply helloReply
			if err := n.opts.Peers.Get(m.Address).Call(ctx, kindHello, req, &reply); err != nil {
				results <- nil
				return
			}
			reply.address = m.Address
			n.recordProcesses(append(slices.Clone(reply.Members), quorum.Member{VM: reply.VM, Address: m.Address}))
			results <- &reply
		}()
	}
	var replies []helloReply
	for range others {
		reply := <-results
		if reply == nil {
			continue
		}
		replies = append(replies, *reply)
		if enough != nil && enough(replies) {
			break
		}
	}
	return replies
}

// sendHellos sends hellos at intervals until ctx ends or this member leaves, as long as this disk is not a voter or, with dynamic membership,
// has lost contact with the leader, so that the leader learns of this disk.
func (n *Node) sendHellos(ctx context.Context) {
	for {
		s, err := n.Status(ctx)
		if err != nil || n.isLeaving() {
			return
		}
		// A member that was removed while it was unreachable still counts itself as a voter but receives no messages from the leader.
		_, age := n.Leader()
		if m, _ := s.Members.Find(n.opts.VM); !m.Voter || m.Disk != s.Disk || (n.dynamicMembership() && age > leaderTimeoutMs) {
			n.helloAll(ctx, s.Members, nil)
		}
		select {
		case <-time.After(helloIntervalMs.Duration()):
		case <-ctx.Done():
			return
		}
	}
}

// handleHello replies with the latest state in which this member has seen the sender's disk, and with its own membership.
func (n *Node) handleHello(ctx context.Context, req helloRequest) (helloReply, error) {
	n.mu.Lock()
	reply := helloReply{VM: n.opts.VM, Seen: n.diskStates[req.Disk], Initialised: n.loadedLog}
	n.hellos[req.VM] = lastHello{helloRequest: req, at: n.opts.Clock.Now()}
	n.heardLevels[req.VM] = req.Level
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

// recordDiskState records the most advanced term and log position that the disk that sent m is known to have had.
// Pre-votes don't count towards the term, since they carry one that the disk has not entered.
func (n *Node) recordDiskState(m quorum.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heardLevels[m.From] = m.Level
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
