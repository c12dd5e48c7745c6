package quorum

import "samphirepass"

func (c *Core) becomeLeader() {
	c.role = RoleLeader
	c.leader = c.vm
	c.peers = map[samphirepass.VM]*progress{}
	c.quorumTicks = 0
	c.transferTo = ""
	c.refreshMembers()
	c.log.add(Entry{Index: c.log.last() + 1, Term: c.hard.Term, Kind: EntryEmpty})
	c.broadcast()
}

// Propose appends data to the log if this member leads and returns its index and term.
func (c *Core) Propose(data []byte) (samphirepass.Revision, samphirepass.Term, error) {
	if c.role != RoleLeader || c.transferTo != "" {
		return 0, 0, ErrNotLeader
	}
	e := Entry{Index: c.log.last() + 1, Term: c.hard.Term, Kind: EntryData, Data: data}
	c.log.add(e)
	return e.Index, e.Term, nil
}

// ProposeMembers appends a membership that differs by at most one voter.
func (c *Core) ProposeMembers(next Members) error {
	if c.role != RoleLeader || c.transferTo != "" {
		return ErrNotLeader
	}
	if c.membersIndex > c.commit || !c.committedInTerm() {
		return ErrMembershipPending
	}
	if voterChanges(c.members, next) > 1 || next.VoterCount() == 0 {
		return ErrTooManyVoterChanges
	}
	c.dropReplacedDisks(next)
	c.log.add(Entry{Index: c.log.last() + 1, Term: c.hard.Term, Kind: EntryMembers, Members: next})
	c.refreshMembers()
	c.broadcast()
	return nil
}

// dropReplacedDisks forgets what the replaced disks were known to hold.
func (c *Core) dropReplacedDisks(next Members) {
	for _, m := range c.members {
		if n, ok := next.Find(m.VM); ok && n.Disk != m.Disk {
			delete(c.peers, m.VM)
		}
	}
}

func (c *Core) committedInTerm() bool {
	t, ok := c.log.term(c.commit)
	return ok && t == c.hard.Term
}

// ReadIndex asks for a confirmed read under an id of the caller's choice.
func (c *Core) ReadIndex(id uint64) error {
	if c.role != RoleLeader || !c.committedInTerm() {
		return ErrNotLeader
	}
	c.round++
	c.reads = append(c.reads, pendingRead{id: id, round: c.round, index: c.commit})
	c.broadcast()
	c.confirmReads()
	return nil
}

func (c *Core) confirmReads() {
	for len(c.reads) > 0 && c.confirmed(c.reads[0].round) {
		c.doneReads = append(c.doneReads, ReadState{ID: c.reads[0].id, Index: c.reads[0].index})
		c.reads = c.reads[1:]
	}
}

func (c *Core) confirmed(round uint64) bool {
	n := 0
	for _, m := range c.members {
		if m.VM == c.vm {
			n += count(m.Voter)
			continue
		}
		n += count(m.Voter && c.peers[m.VM].round >= round)
	}
	return n >= c.members.Majority()
}

// TransferLeadership hands the leadership to vm, or to the most advanced voter if vm is empty.
func (c *Core) TransferLeadership(vm samphirepass.VM) {
	if c.role != RoleLeader {
		return
	}
	for _, m := range c.members {
		p := c.peers[m.VM]
		if vm == "" && m.Voter && p != nil && p.active && p.match >= c.commit {
			vm = m.VM
		}
	}
	if vm == "" {
		return
	}
	c.transferTo = vm
	c.transferIn = ElectionTicksMin
	c.maybeTransfer(vm)
}

func (c *Core) maybeTransfer(vm samphirepass.VM) {
	p := c.peers[vm]
	if c.transferTo != vm || p == nil || p.match != c.log.last() {
		return
	}
	c.send(Message{Kind: MessageTimeoutNow, To: vm, Term: c.hard.Term})
}
