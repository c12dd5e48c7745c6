package quorum

import (
	"math/rand"
	"slices"

	"github.com/rotisserie/eris"

	"samphirepass"
)

// Timeouts in ticks; the driver sets the length of a tick. Each election timeout is drawn between ElectionTicksMin
// and ElectionTicksMax.
const (
	HeartbeatTicks   = 2
	ElectionTicksMin = 10
	ElectionTicksMax = 20
)

// lostElectionTicksMax is the upper bound of the election timeout of a candidate that has lost. It may be short: another leader, if there is one,
// keeps the pre-votes from being granted.
const lostElectionTicksMax = 6

// maxAppendEntries is the maximum number of entries in one append message.
const maxAppendEntries = 256

// Errors of proposals and reads. Control passes their texts on to operators.
var (
	ErrNotLeader           = eris.New("quorum: not the leader")
	ErrMembershipPending   = eris.New("quorum: another membership change is not yet committed")
	ErrTooManyVoterChanges = eris.New("quorum: a membership change may touch one voter only")
)

// Options configure a Core.
type Options struct {
	VM   samphirepass.VM
	Disk samphirepass.DiskID
	// Level is the highest that this member reads.
	Level samphirepass.Level
	// Rand draws election timeouts.
	Rand *rand.Rand
	// FirstElectionTicksMax is the upper bound of the first election timeout; 0 selects the usual range. A member that
	// has just learned from a majority that there is no leader need not wait for a heartbeat of one.
	FirstElectionTicksMax int
	// HardState, Snapshot and Entries are the state loaded from the disk.
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// progress is what a leader knows of the log of another member.
type progress struct {
	// matchIndex is the highest index that the member is known to hold, nextIndex the next one to send.
	matchIndex, nextIndex samphirepass.Revision
	// recentlyActive is set by each reply and cleared by checkQuorum.
	recentlyActive bool
	// silentTicks counts the ticks since the last reply.
	silentTicks int
	// readRound is the latest read round that the member answered.
	readRound uint64
}

// pendingRead is a read that waits until a majority has answered its round.
type pendingRead struct {
	id    uint64
	round uint64
	// index is the commit index at the time of the request.
	index samphirepass.Revision
}

// Core is the Raft state machine of one member; it is not safe for concurrent use.
type Core struct {
	vm    samphirepass.VM
	disk  samphirepass.DiskID
	level samphirepass.Level
	rnd   *rand.Rand

	hardState HardState
	// savedHardState is the hard state on the disk.
	savedHardState HardState
	log            entryLog
	// unsavedSnapshot is a snapshot from the leader that is not on the disk yet.
	unsavedSnapshot *Snapshot

	role         Role
	leader       samphirepass.VM
	commitIndex  samphirepass.Revision
	appliedIndex samphirepass.Revision

	// timerTicks counts the ticks since the last heartbeat on a leader, and since the last reset of the election timer
	// on the others.
	timerTicks           int
	electionTimeoutTicks int
	// quorumCheckTicks counts the ticks since the last quorum check of a leader, see checkQuorum.
	quorumCheckTicks int
	// ticksSinceLeader counts the ticks since a leader was last heard from.
	ticksSinceLeader int

	votes map[samphirepass.DiskID]bool
	peers map[samphirepass.VM]*progress
	// readRound is the number of the latest read; appends carry it and their replies echo it.
	readRound      uint64
	pendingReads   []pendingRead
	confirmedReads []ReadState
	abortedReads   []uint64
	messages       []Message
	// transferTarget is the member to which the leadership is being transferred; it is empty if there is no transfer.
	transferTarget samphirepass.VM
	// transferTicksLeft is the number of ticks after which the transfer to transferTarget is abandoned.
	transferTicksLeft int
	// members is the latest membership in the log, committed or not.
	members Members
	// membersIndex is the index of the entry or snapshot that holds members.
	membersIndex samphirepass.Revision
}

// New returns a follower with the state loaded from the disk.
func New(o Options) *Core {
	c := &Core{vm: o.VM, disk: o.Disk, level: o.Level, rnd: o.Rand, hardState: o.HardState, savedHardState: o.HardState, role: RoleFollower}
	c.log = entryLog{snapshot: o.Snapshot, entries: o.Entries}
	c.log.stableIndex = c.log.lastIndex()
	c.commitIndex = o.Snapshot.Index
	c.appliedIndex = o.Snapshot.Index
	c.ticksSinceLeader = ElectionTicksMin
	c.refreshMembers()
	c.resetElectionTimer()
	if o.FirstElectionTicksMax > 0 {
		c.electionTimeoutTicks = 1 + c.rnd.Intn(o.FirstElectionTicksMax)
	}
	return c
}

// Role returns the current role.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() samphirepass.Term { return c.hardState.Term }

// Leader returns the leader of the current term, or an empty name if it is not known.
func (c *Core) Leader() samphirepass.VM { return c.leader }

// Members returns the latest membership, committed or not.
func (c *Core) Members() Members { return c.members }

// MembersCommitted reports whether the latest membership is committed.
func (c *Core) MembersCommitted() bool { return c.membersIndex <= c.commitIndex }

// CommitIndex returns the highest committed index.
func (c *Core) CommitIndex() samphirepass.Revision { return c.commitIndex }

// LastIndex returns the index of the last entry.
func (c *Core) LastIndex() samphirepass.Revision { return c.log.lastIndex() }

// LastTerm returns the term of the last entry.
func (c *Core) LastTerm() samphirepass.Term { return c.log.lastTerm() }

// TicksSinceLeader returns the number of ticks since a leader was last heard from; it is 0 on a leader.
func (c *Core) TicksSinceLeader() int {
	if c.role == RoleLeader {
		return 0
	}
	return c.ticksSinceLeader
}

// LogLength returns the number of entries since the last snapshot.
func (c *Core) LogLength() int { return len(c.log.entries) }

// Initialised reports whether this member has a membership, from its log or a snapshot.
func (c *Core) Initialised() bool { return len(c.members) > 0 }

// LogBytes returns the total size of the data in the entries since the last snapshot.
func (c *Core) LogBytes() int {
	n := 0
	for _, e := range c.log.entries {
		n += len(e.Data)
	}
	return n
}

// MatchIndex returns the highest index that vm is known to hold; it is 0 if this member is not the leader.
func (c *Core) MatchIndex(vm samphirepass.VM) samphirepass.Revision {
	if p := c.peers[vm]; p != nil {
		return p.matchIndex
	}
	return 0
}

// Active reports whether vm has answered this leader since the last quorum check, which runs every ElectionTicksMin ticks.
func (c *Core) Active(vm samphirepass.VM) bool {
	p := c.peers[vm]
	return p != nil && p.recentlyActive
}

// SilentTicks returns the number of ticks for which vm has not answered this leader, from the start of its term at the earliest.
func (c *Core) SilentTicks(vm samphirepass.VM) int {
	if p := c.peers[vm]; p != nil {
		return p.silentTicks
	}
	return 0
}

// Bootstrap starts a new log on an empty member. The first entry holds members, in which this member must be the only voter.
func (c *Core) Bootstrap(members Members) {
	c.hardState.Term = 1
	c.log.add(Entry{Index: 1, Term: 1, Kind: EntryMembers, Members: members})
	c.refreshMembers()
}

// refreshMembers takes the latest membership from the log; a leader also adds and removes the progress of its peers.
func (c *Core) refreshMembers() {
	c.members, c.membersIndex = c.log.latestMembers()
	if c.role != RoleLeader {
		return
	}
	for _, m := range c.members {
		if m.VM != c.vm && c.peers[m.VM] == nil {
			c.peers[m.VM] = &progress{nextIndex: c.log.lastIndex() + 1}
		}
	}
	for vm := range c.peers {
		if _, ok := c.members.Find(vm); !ok {
			delete(c.peers, vm)
		}
	}
}

// isVoter reports whether the membership lists this member, with its current disk, as a voter.
func (c *Core) isVoter() bool {
	m, ok := c.members.Find(c.vm)
	return ok && m.Voter && m.Disk == c.disk
}

func (c *Core) resetElectionTimer() {
	c.timerTicks = 0
	c.electionTimeoutTicks = ElectionTicksMin + c.rnd.Intn(ElectionTicksMax-ElectionTicksMin+1)
}

func (c *Core) becomeFollower(term samphirepass.Term, leader samphirepass.VM) {
	if term > c.hardState.Term {
		c.hardState = HardState{Term: term}
	}
	c.role = RoleFollower
	c.leader = leader
	c.transferTarget = ""
	c.peers = nil
	c.abortReads()
	c.resetElectionTimer()
}

func (c *Core) abortReads() {
	for _, r := range c.pendingReads {
		c.abortedReads = append(c.abortedReads, r.id)
	}
	c.pendingReads = nil
}

// Tick advances the time of the core by one tick.
func (c *Core) Tick() {
	c.timerTicks++
	c.ticksSinceLeader++
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	if c.timerTicks >= c.electionTimeoutTicks && c.isVoter() {
		c.campaign(RolePreCandidate, false)
	}
}

func (c *Core) tickLeader() {
	c.ticksSinceLeader = 0
	for _, p := range c.peers {
		p.silentTicks++
	}
	c.quorumCheckTicks++
	if c.quorumCheckTicks >= ElectionTicksMin {
		c.quorumCheckTicks = 0
		if !c.checkQuorum() {
			c.becomeFollower(c.hardState.Term, "")
			return
		}
	}
	if c.transferTarget != "" {
		c.transferTicksLeft--
		if c.transferTicksLeft <= 0 {
			c.transferTarget = ""
		}
	}
	if c.timerTicks >= HeartbeatTicks {
		c.timerTicks = 0
		c.broadcast()
	}
}

// checkQuorum reports whether a majority has answered since the last call.
func (c *Core) checkQuorum() bool {
	n := 0
	for _, m := range c.members {
		if m.VM == c.vm {
			n += boolToInt(m.Voter)
			continue
		}
		p := c.peers[m.VM]
		n += boolToInt(m.Voter && p.recentlyActive)
		p.recentlyActive = false
	}
	return n >= c.members.Majority()
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// campaign starts a pre-vote or an election; force marks an election that the leader requested to hand over its leadership.
func (c *Core) campaign(role Role, force bool) {
	c.role = role
	c.leader = ""
	c.resetElectionTimer()
	c.votes = map[samphirepass.DiskID]bool{}
	kind, term := MessagePreVote, c.hardState.Term+1
	if role == RoleCandidate {
		kind = MessageVote
		c.hardState = HardState{Term: term, Vote: c.disk}
	}
	for _, m := range c.members {
		if m.VM != c.vm && m.Voter {
			c.send(Message{Kind: kind, To: m.VM, Term: term, Index: c.log.lastIndex(), LogTerm: c.log.lastTerm(), Force: force})
		}
	}
	c.recordVote(c.disk, true)
}

// recordVote counts the vote of a disk, of which a grant is never taken back. A candidate that can no longer win gives up, so that a split vote
// does not last for a whole election timeout.
func (c *Core) recordVote(disk samphirepass.DiskID, granted bool) {
	c.votes[disk] = c.votes[disk] || granted
	grants, rejections := 0, 0
	for voter := range c.members.voterDisks() {
		if granted, voted := c.votes[voter]; granted {
			grants++
		} else if voted {
			rejections++
		}
	}
	switch majority := c.members.Majority(); {
	case grants >= majority && c.role == RolePreCandidate:
		c.campaign(RoleCandidate, false)
	case grants >= majority:
		c.becomeLeader()
	case c.role == RoleCandidate && rejections > c.members.VoterCount()-majority:
		c.becomeFollower(c.hardState.Term, "")
		c.electionTimeoutTicks = 1 + c.rnd.Intn(lostElectionTicksMax)
	}
}

// SnapshotAt returns a snapshot without data at index, which must be applied and still in the log.
func (c *Core) SnapshotAt(index samphirepass.Revision) Snapshot {
	term, _ := c.log.term(index)
	return Snapshot{Index: index, Term: term, Members: c.log.membersAt(index)}
}

// Compact drops the entries that s covers and reports whether it did. A snapshot that is no newer than the current one
// has no effect.
func (c *Core) Compact(s Snapshot) bool {
	if s.Index <= c.log.snapshot.Index {
		return false
	}
	c.log.compact(s)
	return true
}

func (c *Core) send(m Message) {
	m.From, m.FromDisk, m.Level = c.vm, c.disk, c.level
	c.messages = append(c.messages, m)
}

// Ready returns the pending work of the driver, which confirms it with Advance.
func (c *Core) Ready() Ready {
	var r Ready
	if c.hardState != c.savedHardState {
		h := c.hardState
		r.HardState = &h
	}
	r.Snapshot = c.unsavedSnapshot
	if c.role == RoleLeader {
		c.sendNewEntries()
	}
	r.Entries = slices.Clone(c.log.slice(c.log.stableIndex+1, c.log.lastIndex()))
	r.Messages = c.messages
	r.Committed = slices.Clone(c.log.slice(c.appliedIndex+1, c.commitIndex))
	r.Reads = c.confirmedReads
	r.AbortedReads = c.abortedReads
	return r
}

// sendNewEntries sends each member the entries that it has not been sent yet.
func (c *Core) sendNewEntries() {
	for _, m := range c.members {
		if p := c.peers[m.VM]; p != nil && p.nextIndex <= c.log.lastIndex() {
			c.sendAppend(m.VM, p)
		}
	}
}

// Advance confirms that the driver has done all work of r.
func (c *Core) Advance(r Ready) {
	if r.HardState != nil {
		c.savedHardState = *r.HardState
	}
	if r.Snapshot != nil {
		c.unsavedSnapshot = nil
	}
	if n := len(r.Entries); n > 0 {
		c.log.stableIndex = r.Entries[n-1].Index
	}
	c.messages = c.messages[len(r.Messages):]
	if n := len(r.Committed); n > 0 {
		c.appliedIndex = r.Committed[n-1].Index
	}
	c.confirmedReads = c.confirmedReads[len(r.Reads):]
	c.abortedReads = c.abortedReads[len(r.AbortedReads):]
	if c.role == RoleLeader {
		c.advanceCommit()
	}
}

// StableEntries returns the entries after the last snapshot that are on the disk.
func (c *Core) StableEntries() []Entry {
	return slices.Clone(c.log.slice(c.log.snapshot.Index+1, c.log.stableIndex))
}
