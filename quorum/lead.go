package quorum

import "samphirepass"

func (c *Core) becomeLeader() {
	c.role = RoleLeader
	c.leader = c.vm
	c.peers = map[samphirepass.VM]*progress{}
	c.quorumCheckTicks = 0
	c.transferTarget = ""
	c.refreshMembers()
	c.log.add(Entry{Index: c.log.lastIndex() + 1, Term: c.hardState.Term, Kind: EntryEmpty})
	c.broadcast()
}

// Propose appends data to the log if this member is the leader, and returns the index and term of the entry.
func (c *Core) Propose(data []byte) (samphirepass.Revision, samphirepass.Term, error) {
	if c.role != RoleLeader || c.transferTarget != "" {
		return 0, 0, ErrNotLeader
	}
	e := Entry{Index: c.log.lastIndex() + 1, Term: c.hardState.Term, Kind: EntryData, Data: data}
	c.log.add(e)
	return e.Index, e.Term, nil
}

// ProposeMembers appends a membership that differs from the latest one in at most one voting disk, so that any majority
// of the one shares a voter with any majority of the other. It fails with ErrTooManyVoterChanges if more disks differ or
// no voter is left, and with ErrMembershipPending until the previous membership and an entry of the current term are committed.
func (c *Core) ProposeMembers(next Members) error {
	if c.role != RoleLeader || c.transferTarget != "" {
		return ErrNotLeader
	}
	if c.membersIndex > c.commitIndex || !c.committedInCurrentTerm() {
		return ErrMembershipPending
	}
	if voterDiskChanges(c.members, next) > 1 || next.VoterCount() == 0 {
		return ErrTooManyVoterChanges
	}
	c.dropReplacedProgress(next)
	c.log.add(Entry{Index: c.log.lastIndex() + 1, Term: c.hardState.Term, Kind: EntryMembers, Members: next})
	c.refreshMembers()
	c.broadcast()
	return nil
}

// dropReplacedProgress deletes the progress of members whose disk is replaced, since the new disk holds none of it.
func (c *Core) dropReplacedProgress(next Members) {
	for _, m := range c.members {
		if replacement, ok := next.Find(m.VM); ok && replacement.Disk != m.Disk {
			delete(c.peers, m.VM)
		}
	}
}

// committedInCurrentTerm reports whether an entry of the current term is committed. Before that, a new leader
// does not know which entries are committed.
func (c *Core) committedInCurrentTerm() bool {
	t, ok := c.log.term(c.commitIndex)
	return ok && t == c.hardState.Term
}

// ReadIndex requests a linearizable read under an id of the caller's choice. Ready returns it once a majority has confirmed
// that this member is still the leader, or as aborted if it no longer is.
func (c *Core) ReadIndex(id uint64) error {
	if c.role != RoleLeader || !c.committedInCurrentTerm() {
		return ErrNotLeader
	}
	c.readRound++
	c.pendingReads = append(c.pendingReads, pendingRead{id: id, round: c.readRound, index: c.commitIndex})
	c.broadcast()
	c.confirmReads()
	return nil
}

func (c *Core) confirmReads() {
	for len(c.pendingReads) > 0 && c.roundConfirmed(c.pendingReads[0].round) {
		c.confirmedReads = append(c.confirmedReads, ReadState{ID: c.pendingReads[0].id, Index: c.pendingReads[0].index})
		c.pendingReads = c.pendingReads[1:]
	}
}

// roundConfirmed reports whether a majority has answered round or a later one.
func (c *Core) roundConfirmed(round uint64) bool {
	n := 0
	for _, m := range c.members {
		if m.VM == c.vm {
			n += boolToInt(m.Voter)
			continue
		}
		n += boolToInt(m.Voter && c.peers[m.VM].readRound >= round)
	}
	return n >= c.members.Majority()
}

// TransferLeadership hands the leadership to vm or, if vm is empty, to the first active voter that holds all committed entries.
// Proposals are refused until the transfer ends or ElectionTicksMin ticks have passed.
func (c *Core) TransferLeadership(vm samphirepass.VM) {
	if c.role != RoleLeader {
		return
	}
	for _, m := range c.members {
		p := c.peers[m.VM]
		if vm == "" && m.Voter && p != nil && p.recentlyActive && p.matchIndex >= c.commitIndex {
			vm = m.VM
		}
	}
	if vm == "" {
		return
	}
	c.transferTarget = vm
	c.transferTicksLeft = ElectionTicksMin
	c.maybeTransfer(vm)
}

// maybeTransfer tells vm to start an election if it is the transfer target and holds the whole log.
func (c *Core) maybeTransfer(vm samphirepass.VM) {
	p := c.peers[vm]
	if c.transferTarget != vm || p == nil || p.matchIndex != c.log.lastIndex() {
		return
	}
	c.send(Message{Kind: MessageTimeoutNow, To: vm, Term: c.hardState.Term})
}
