package quorum

import (
	"slices"

	"samphirepass"
)

// Step processes one message.
func (c *Core) Step(m Message) {
	if m.Term > c.hardState.Term && !c.stepHigherTerm(m) {
		return
	}
	if m.Term < c.hardState.Term {
		c.replyToStaleTerm(m)
		return
	}
	switch m.Kind {
	case MessagePreVote:
		c.stepPreVote(m)
	case MessagePreVoteReply, MessageVoteReply:
		c.stepVoteReply(m)
	case MessageVote:
		c.stepVote(m)
	case MessageAppend:
		c.stepAppend(m)
	case MessageSnapshot:
		c.stepSnapshot(m)
	case MessageAppendReply:
		c.stepAppendReply(m)
	case MessageTimeoutNow:
		// The current leader requests the election, so there is no pre-vote.
		if c.isVoter() && c.role == RoleFollower {
			c.campaign(RoleCandidate, true)
		}
	}
}

// stepHigherTerm processes a message of a later term. It adopts the term unless the message is part of a pre-vote
// or a vote request that is ignored because a leader is alive, and reports whether Step should continue with m.
func (c *Core) stepHigherTerm(m Message) bool {
	switch m.Kind {
	case MessagePreVote:
		c.stepPreVote(m)
		return false
	case MessagePreVoteReply:
		// A granted reply carries the requested term; a rejection carries the voter's own term.
		if !m.Reject {
			c.stepVoteReply(m)
			return false
		}
		c.becomeFollower(m.Term, "")
		return false
	case MessageVote:
		if c.leaderAlive() && !m.Force {
			return false
		}
		c.becomeFollower(m.Term, "")
		return true
	case MessageAppend, MessageSnapshot:
		c.becomeFollower(m.Term, m.From)
		return true
	default:
		c.becomeFollower(m.Term, "")
		return true
	}
}

// leaderAlive reports whether a leader was heard from within the shortest election timeout.
func (c *Core) leaderAlive() bool {
	return c.ticksSinceLeader < ElectionTicksMin
}

// replyToStaleTerm rejects a request of an earlier term, which tells its sender the current term.
func (c *Core) replyToStaleTerm(m Message) {
	switch m.Kind {
	case MessageAppend, MessageSnapshot:
		c.send(Message{Kind: MessageAppendReply, To: m.From, Term: c.hardState.Term, Reject: true, Index: c.log.lastIndex()})
	case MessagePreVote:
		c.send(Message{Kind: MessagePreVoteReply, To: m.From, Term: c.hardState.Term, Reject: true})
	case MessageVote:
		c.send(Message{Kind: MessageVoteReply, To: m.From, Term: c.hardState.Term, Reject: true})
	}
}

func (c *Core) stepPreVote(m Message) {
	granted := m.Term > c.hardState.Term && !c.leaderAlive() && c.log.upToDate(m.Index, m.LogTerm)
	reply := Message{Kind: MessagePreVoteReply, To: m.From, Term: m.Term, Reject: !granted}
	if !granted {
		reply.Term = c.hardState.Term
	}
	c.send(reply)
	if granted && c.role == RolePreCandidate && m.FromDisk < c.disk {
		// Of several members that find out at once that there is no leader, all would be granted pre-votes and then split the votes.
		c.becomeFollower(c.hardState.Term, "")
	}
}

func (c *Core) stepVote(m Message) {
	canVote := c.hardState.Vote == "" || c.hardState.Vote == m.FromDisk
	granted := canVote && c.role == RoleFollower && c.log.upToDate(m.Index, m.LogTerm)
	if granted {
		c.hardState.Vote = m.FromDisk
		c.resetElectionTimer()
	}
	c.send(Message{Kind: MessageVoteReply, To: m.From, Term: c.hardState.Term, Reject: !granted})
}

func (c *Core) stepVoteReply(m Message) {
	preVote := c.role == RolePreCandidate && m.Kind == MessagePreVoteReply && m.Term == c.hardState.Term+1
	vote := c.role == RoleCandidate && m.Kind == MessageVoteReply && m.Term == c.hardState.Term
	if !preVote && !vote {
		return
	}
	if voter, ok := c.members.Find(m.From); ok && voter.Disk != m.FromDisk {
		// The disk that may vote is lost.
		c.recordVote(voter.Disk, false)
		return
	}
	c.recordVote(m.FromDisk, !m.Reject)
}

// recordLeaderContact follows the sender of m, which leads the current term, and restarts the election timer.
func (c *Core) recordLeaderContact(m Message) {
	if c.role != RoleFollower || c.leader != m.From {
		c.becomeFollower(m.Term, m.From)
	}
	c.ticksSinceLeader = 0
	c.timerTicks = 0
}

func (c *Core) stepAppend(m Message) {
	c.recordLeaderContact(m)
	reply := Message{Kind: MessageAppendReply, To: m.From, Term: c.hardState.Term, ReadRound: m.ReadRound}
	if m.Index < c.log.snapshot.Index {
		// The snapshot covers only committed entries, so the entries that it covers match the leader's.
		skip := min(samphirepass.Revision(len(m.Entries)), c.log.snapshot.Index-m.Index)
		m.Entries = m.Entries[skip:]
		m.Index += skip
		if m.Index < c.log.snapshot.Index {
			reply.Index = c.log.snapshot.Index
			c.send(reply)
			return
		}
		m.LogTerm = c.log.snapshot.Term
	}
	if t, ok := c.log.term(m.Index); !ok || t != m.LogTerm {
		reply.Reject = true
		reply.Index = c.rejectHint(m.Index)
		c.send(reply)
		return
	}
	c.appendEntries(m.Entries)
	reply.Index = m.Index + samphirepass.Revision(len(m.Entries))
	reply.LogTerm, _ = c.log.term(reply.Index)
	c.commitIndex = max(c.commitIndex, min(m.Commit, reply.Index))
	c.send(reply)
}

// rejectHint returns the highest index below prevIndex, which was rejected, at which the logs may match. It skips the whole
// conflicting term at once, but goes no lower than the commit index.
func (c *Core) rejectHint(prevIndex samphirepass.Revision) samphirepass.Revision {
	if prevIndex > c.log.lastIndex() {
		return c.log.lastIndex()
	}
	conflictTerm, _ := c.log.term(prevIndex)
	hint := prevIndex - 1
	for hint > c.commitIndex {
		if t, _ := c.log.term(hint); t != conflictTerm {
			break
		}
		hint--
	}
	return hint
}

// appendEntries adds the entries that the log lacks; at the first conflicting term it removes the rest of the log.
func (c *Core) appendEntries(entries []Entry) {
	changed := false
	for _, e := range entries {
		if t, ok := c.log.term(e.Index); ok {
			if t == e.Term {
				continue
			}
			c.log.truncate(e.Index)
		}
		c.log.add(e)
		changed = true
	}
	if changed {
		c.refreshMembers()
	}
}

func (c *Core) stepSnapshot(m Message) {
	c.recordLeaderContact(m)
	s := m.Snapshot
	reply := Message{Kind: MessageAppendReply, To: m.From, Term: c.hardState.Term, ReadRound: m.ReadRound}
	if t, ok := c.log.term(s.Index); ok && t == s.Term {
		// The log holds all that the snapshot covers. The entries after it stay: the leader may count them as held here.
		c.commitIndex = max(c.commitIndex, s.Index)
	} else if s.Index > c.commitIndex {
		c.log.restore(*s)
		c.commitIndex = s.Index
		c.appliedIndex = s.Index
		c.unsavedSnapshot = s
		c.refreshMembers()
	}
	reply.Index = c.commitIndex
	c.send(reply)
}

func (c *Core) stepAppendReply(m Message) {
	if c.role != RoleLeader {
		return
	}
	member, _ := c.members.Find(m.From)
	p := c.peers[m.From]
	if p == nil || member.Disk != m.FromDisk {
		return
	}
	p.recentlyActive = true
	p.silentTicks = 0
	p.readRound = max(p.readRound, m.ReadRound)
	if m.Reject {
		p.nextIndex = max(p.matchIndex, min(m.Index, c.log.lastIndex())) + 1
		c.sendAppend(m.From, p)
		return
	}
	if m.Index > p.matchIndex {
		p.matchIndex = m.Index
		p.nextIndex = max(p.nextIndex, m.Index+1)
		c.advanceCommit()
		c.maybeTransfer(m.From)
	}
	c.confirmReads()
}

// advanceCommit advances the commit index to the last entry that a majority of voters holds on disk.
// An entry of an earlier term is committed only together with one of the current term: held by a majority alone,
// it could still be overwritten by a later leader.
func (c *Core) advanceCommit() {
	var matchIndexes []samphirepass.Revision
	for _, m := range c.members {
		if !m.Voter {
			continue
		}
		if m.VM == c.vm {
			matchIndexes = append(matchIndexes, c.log.stableIndex)
			continue
		}
		matchIndexes = append(matchIndexes, c.peers[m.VM].matchIndex)
	}
	slices.Sort(matchIndexes)
	index := matchIndexes[len(matchIndexes)-c.members.Majority()]
	if t, ok := c.log.term(index); !ok || t != c.hardState.Term || index <= c.commitIndex {
		return
	}
	// Followers learn the commit index with the next append or heartbeat; only the leader answers requests from committed state.
	c.commitIndex = index
}

func (c *Core) broadcast() {
	for _, m := range c.members {
		if p := c.peers[m.VM]; p != nil {
			c.sendAppend(m.VM, p)
		}
	}
}

// sendAppend sends the next entries to vm, or the snapshot if the log no longer holds them. It assumes delivery;
// a rejection sets nextIndex back.
func (c *Core) sendAppend(vm samphirepass.VM, p *progress) {
	prev := p.nextIndex - 1
	term, ok := c.log.term(prev)
	if !ok {
		s := c.log.snapshot
		c.send(Message{Kind: MessageSnapshot, To: vm, Term: c.hardState.Term, ReadRound: c.readRound, Snapshot: &s})
		p.nextIndex = s.Index + 1
		return
	}
	last := min(c.log.lastIndex(), prev+maxAppendEntries)
	entries := slices.Clone(c.log.slice(p.nextIndex, last))
	c.send(Message{
		Kind: MessageAppend, To: vm, Term: c.hardState.Term, Index: prev, LogTerm: term,
		Entries: entries, Commit: c.commitIndex, ReadRound: c.readRound,
	})
	p.nextIndex = last + 1
}
