package quorum

import (
	"slices"

	"samphirepass"
)

// Step takes in one message.
func (c *Core) Step(m Message) {
	if m.Term > c.hard.Term && !c.stepHigherTerm(m) {
		return
	}
	if m.Term < c.hard.Term {
		c.answerOldTerm(m)
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
		if c.voter() && c.role == RoleFollower {
			c.campaign(RoleCandidate, true)
		}
	}
}

// stepHigherTerm moves to the term of m if m asks for it, and reports whether m is to be looked at further.
func (c *Core) stepHigherTerm(m Message) bool {
	switch m.Kind {
	case MessagePreVote:
		c.stepPreVote(m)
		return false
	case MessagePreVoteReply:
		// A granted reply carries the term that was asked for; a rejection carries the voter's own.
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

// leaderAlive reports whether a leader was heard of within the shortest election timeout.
func (c *Core) leaderAlive() bool {
	return c.sinceLeader < ElectionTicksMin
}

// answerOldTerm lets a sender from an earlier term learn of the present one.
func (c *Core) answerOldTerm(m Message) {
	switch m.Kind {
	case MessageAppend, MessageSnapshot:
		c.send(Message{Kind: MessageAppendReply, To: m.From, Term: c.hard.Term, Reject: true, Index: c.log.last()})
	case MessagePreVote:
		c.send(Message{Kind: MessagePreVoteReply, To: m.From, Term: c.hard.Term, Reject: true})
	case MessageVote:
		c.send(Message{Kind: MessageVoteReply, To: m.From, Term: c.hard.Term, Reject: true})
	}
}

func (c *Core) stepPreVote(m Message) {
	granted := m.Term > c.hard.Term && !c.leaderAlive() && c.log.upToDate(m.Index, m.LogTerm)
	reply := Message{Kind: MessagePreVoteReply, To: m.From, Term: m.Term, Reject: !granted}
	if !granted {
		reply.Term = c.hard.Term
	}
	c.send(reply)
}

func (c *Core) stepVote(m Message) {
	free := c.hard.Vote == "" || c.hard.Vote == m.FromDisk
	granted := free && c.role == RoleFollower && c.log.upToDate(m.Index, m.LogTerm)
	if granted {
		c.hard.Vote = m.FromDisk
		c.resetElection()
	}
	c.send(Message{Kind: MessageVoteReply, To: m.From, Term: c.hard.Term, Reject: !granted})
}

func (c *Core) stepVoteReply(m Message) {
	preVote := c.role == RolePreCandidate && m.Kind == MessagePreVoteReply && m.Term == c.hard.Term+1
	vote := c.role == RoleCandidate && m.Kind == MessageVoteReply && m.Term == c.hard.Term
	if preVote || vote {
		c.countVote(m.FromDisk, !m.Reject)
	}
}

func (c *Core) heardLeader(m Message) {
	if c.role != RoleFollower || c.leader != m.From {
		c.becomeFollower(m.Term, m.From)
	}
	c.sinceLeader = 0
	c.ticks = 0
}

func (c *Core) stepAppend(m Message) {
	c.heardLeader(m)
	reply := Message{Kind: MessageAppendReply, To: m.From, Term: c.hard.Term, ReadRound: m.ReadRound}
	if m.Index < c.log.snapshot.Index {
		// The snapshot holds only committed entries, so what precedes it matches.
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
	c.commit = max(c.commit, min(m.Commit, reply.Index))
	c.send(reply)
}

// rejectHint returns the highest index below asked at which the logs may match.
func (c *Core) rejectHint(asked samphirepass.Revision) samphirepass.Revision {
	if asked > c.log.last() {
		return c.log.last()
	}
	conflict, _ := c.log.term(asked)
	hint := asked - 1
	for hint > c.commit {
		if t, _ := c.log.term(hint); t != conflict {
			break
		}
		hint--
	}
	return hint
}

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
	c.heardLeader(m)
	s := m.Snapshot
	reply := Message{Kind: MessageAppendReply, To: m.From, Term: c.hard.Term, ReadRound: m.ReadRound}
	if s.Index > c.commit {
		c.log.restore(*s)
		c.commit = s.Index
		c.applied = s.Index
		c.installed = s
		c.refreshMembers()
	}
	reply.Index = c.commit
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
	p.active = true
	p.round = max(p.round, m.ReadRound)
	if m.Reject {
		p.next = max(p.match, min(m.Index, c.log.last())) + 1
		c.sendAppend(m.From, p)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.next = max(p.next, m.Index+1)
		c.advanceCommit()
		c.maybeTransfer(m.From)
	}
	c.confirmReads()
}

// advanceCommit commits what a majority of voters holds on disk, if it is of this term.
func (c *Core) advanceCommit() {
	var held []samphirepass.Revision
	for _, m := range c.members {
		if !m.Voter {
			continue
		}
		if m.VM == c.vm {
			held = append(held, c.log.stable)
			continue
		}
		held = append(held, c.peers[m.VM].match)
	}
	slices.Sort(held)
	index := held[len(held)-c.members.Majority()]
	if t, ok := c.log.term(index); !ok || t != c.hard.Term || index <= c.commit {
		return
	}
	// The members learn of it with the next append or heartbeat; only the leader answers from what is committed.
	c.commit = index
}

func (c *Core) broadcast() {
	for _, m := range c.members {
		if p := c.peers[m.VM]; p != nil {
			c.sendAppend(m.VM, p)
		}
	}
}

func (c *Core) sendAppend(vm samphirepass.VM, p *progress) {
	prev := p.next - 1
	term, ok := c.log.term(prev)
	if !ok {
		s := c.log.snapshot
		c.send(Message{Kind: MessageSnapshot, To: vm, Term: c.hard.Term, ReadRound: c.round, Snapshot: &s})
		p.next = s.Index + 1
		return
	}
	last := min(c.log.last(), prev+maxBatch)
	entries := slices.Clone(c.log.slice(p.next, last))
	c.send(Message{
		Kind: MessageAppend, To: vm, Term: c.hard.Term, Index: prev, LogTerm: term,
		Entries: entries, Commit: c.commit, ReadRound: c.round,
	})
	p.next = last + 1
}
