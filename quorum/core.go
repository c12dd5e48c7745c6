package quorum

import (
	"math/rand"
	"slices"

	"github.com/rotisserie/eris"

	"samphirepass"
)

// Timeouts in ticks; the driver decides how long a tick is.
const (
	HeartbeatTicks   = 2
	ElectionTicksMin = 10
	ElectionTicksMax = 20
)

// maxBatch is the number of entries that one append carries at most.
const maxBatch = 256

// Errors of proposals and reads.
var (
	ErrNotLeader           = eris.New("quorum: not the leader")
	ErrMembershipPending   = eris.New("quorum: another membership change is not yet committed")
	ErrTooManyVoterChanges = eris.New("quorum: a membership change may touch one voter only")
)

// Options set up a Core.
type Options struct {
	VM   samphirepass.VM
	Disk samphirepass.DiskID
	// Rand draws election timeouts.
	Rand *rand.Rand
	// FirstElectionTicksMax bounds the first election timeout, 0 for the usual one: a member that has just spoken
	// with a majority that has no leader need not wait for one.
	FirstElectionTicksMax int
	// HardState, Snapshot and Entries are what the disk held.
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

type progress struct {
	match, next samphirepass.Revision
	active      bool
	round       uint64
}

type pendingRead struct {
	id    uint64
	round uint64
	index samphirepass.Revision
}

// Core is one member's state machine; it is not safe for concurrent use.
type Core struct {
	vm   samphirepass.VM
	disk samphirepass.DiskID
	rnd  *rand.Rand

	hard      HardState
	savedHard HardState
	log       entryLog
	installed *Snapshot

	role    Role
	leader  samphirepass.VM
	commit  samphirepass.Revision
	applied samphirepass.Revision

	ticks           int
	electionTimeout int
	quorumTicks     int
	// sinceLeader counts the ticks since a leader was last heard of.
	sinceLeader int

	votes      map[samphirepass.DiskID]bool
	peers      map[samphirepass.VM]*progress
	round      uint64
	reads      []pendingRead
	doneReads  []ReadState
	lostReads  []uint64
	messages   []Message
	transferTo samphirepass.VM
	transferIn int
	// members is the latest membership in the log, committed or not.
	members      Members
	membersIndex samphirepass.Revision
}

// New returns a follower with the state that the disk held.
func New(o Options) *Core {
	c := &Core{vm: o.VM, disk: o.Disk, rnd: o.Rand, hard: o.HardState, savedHard: o.HardState, role: RoleFollower}
	c.log = entryLog{snapshot: o.Snapshot, entries: o.Entries}
	c.log.stable = c.log.last()
	c.commit = o.Snapshot.Index
	c.applied = o.Snapshot.Index
	c.sinceLeader = ElectionTicksMin
	c.refreshMembers()
	c.resetElection()
	if o.FirstElectionTicksMax > 0 {
		c.electionTimeout = 1 + c.rnd.Intn(o.FirstElectionTicksMax)
	}
	return c
}

// Role returns the present role.
func (c *Core) Role() Role { return c.role }

// Term returns the present term.
func (c *Core) Term() samphirepass.Term { return c.hard.Term }

// Leader returns the VM that leads the present term, or an empty name.
func (c *Core) Leader() samphirepass.VM { return c.leader }

// Members returns the latest membership, committed or not.
func (c *Core) Members() Members { return c.members }

// CommitIndex returns the highest committed index.
func (c *Core) CommitIndex() samphirepass.Revision { return c.commit }

// LastIndex returns the index of the last entry.
func (c *Core) LastIndex() samphirepass.Revision { return c.log.last() }

// LastTerm returns the term of the last entry.
func (c *Core) LastTerm() samphirepass.Term { return c.log.lastTerm() }

// TicksSinceLeader returns the number of ticks since a leader was last heard of; it is 0 on a leader.
func (c *Core) TicksSinceLeader() int {
	if c.role == RoleLeader {
		return 0
	}
	return c.sinceLeader
}

// LogLength returns the number of entries since the last snapshot.
func (c *Core) LogLength() int { return len(c.log.entries) }

// Initialised reports whether this member has ever held a membership.
func (c *Core) Initialised() bool { return len(c.members) > 0 }

// LogBytes returns the number of bytes of data in the entries since the last snapshot.
func (c *Core) LogBytes() int {
	n := 0
	for _, e := range c.log.entries {
		n += len(e.Data)
	}
	return n
}

// MatchIndex returns the highest index that vm is known to hold; it is 0 on members that do not lead.
func (c *Core) MatchIndex(vm samphirepass.VM) samphirepass.Revision {
	if p := c.peers[vm]; p != nil {
		return p.match
	}
	return 0
}

// Active reports whether the leader heard from vm within the last election timeout.
func (c *Core) Active(vm samphirepass.VM) bool {
	p := c.peers[vm]
	return p != nil && p.active
}

// Bootstrap makes an empty member the only voter of a new log.
func (c *Core) Bootstrap(members Members) {
	c.hard.Term = 1
	c.log.add(Entry{Index: 1, Term: 1, Kind: EntryMembers, Members: members})
	c.refreshMembers()
}

func (c *Core) refreshMembers() {
	c.members, c.membersIndex = c.log.members()
	if c.role != RoleLeader {
		return
	}
	for _, m := range c.members {
		if m.VM != c.vm && c.peers[m.VM] == nil {
			c.peers[m.VM] = &progress{next: c.log.last() + 1}
		}
	}
	for vm := range c.peers {
		if _, ok := c.members.Find(vm); !ok {
			delete(c.peers, vm)
		}
	}
}

func (c *Core) voter() bool {
	m, ok := c.members.Find(c.vm)
	return ok && m.Voter && m.Disk == c.disk
}

func (c *Core) resetElection() {
	c.ticks = 0
	c.electionTimeout = ElectionTicksMin + c.rnd.Intn(ElectionTicksMax-ElectionTicksMin+1)
}

func (c *Core) becomeFollower(term samphirepass.Term, leader samphirepass.VM) {
	if term > c.hard.Term {
		c.hard = HardState{Term: term}
	}
	c.role = RoleFollower
	c.leader = leader
	c.transferTo = ""
	c.peers = nil
	c.loseReads()
	c.resetElection()
}

func (c *Core) loseReads() {
	for _, r := range c.reads {
		c.lostReads = append(c.lostReads, r.id)
	}
	c.reads = nil
}

// Tick advances the time by one tick.
func (c *Core) Tick() {
	c.ticks++
	c.sinceLeader++
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	if c.ticks >= c.electionTimeout && c.voter() {
		c.campaign(RolePreCandidate, false)
	}
}

func (c *Core) tickLeader() {
	c.sinceLeader = 0
	c.quorumTicks++
	if c.quorumTicks >= ElectionTicksMin {
		c.quorumTicks = 0
		if !c.checkQuorum() {
			c.becomeFollower(c.hard.Term, "")
			return
		}
	}
	if c.transferTo != "" {
		c.transferIn--
		if c.transferIn <= 0 {
			c.transferTo = ""
		}
	}
	if c.ticks >= HeartbeatTicks {
		c.ticks = 0
		c.broadcast()
	}
}

// checkQuorum reports whether a majority was heard from since the last call.
func (c *Core) checkQuorum() bool {
	n := 0
	for _, m := range c.members {
		if m.VM == c.vm {
			n += count(m.Voter)
			continue
		}
		p := c.peers[m.VM]
		n += count(m.Voter && p.active)
		p.active = false
	}
	return n >= c.members.Majority()
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (c *Core) campaign(role Role, force bool) {
	c.role = role
	c.leader = ""
	c.resetElection()
	c.votes = map[samphirepass.DiskID]bool{}
	kind, term := MessagePreVote, c.hard.Term+1
	if role == RoleCandidate {
		kind = MessageVote
		c.hard = HardState{Term: term, Vote: c.disk}
	}
	for _, m := range c.members {
		if m.VM != c.vm && m.Voter {
			c.send(Message{Kind: kind, To: m.VM, Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm(), Force: force})
		}
	}
	c.countVote(c.disk, true)
}

func (c *Core) countVote(disk samphirepass.DiskID, granted bool) {
	if granted {
		c.votes[disk] = true
	}
	n := 0
	for voter := range c.members.voterSet() {
		n += count(c.votes[voter])
	}
	if n < c.members.Majority() {
		return
	}
	if c.role == RolePreCandidate {
		c.campaign(RoleCandidate, false)
		return
	}
	c.becomeLeader()
}

// SnapshotAt returns a snapshot without data at an index that is applied and still in the log.
func (c *Core) SnapshotAt(index samphirepass.Revision) Snapshot {
	term, _ := c.log.term(index)
	return Snapshot{Index: index, Term: term, Members: c.log.membersAt(index)}
}

// Compact drops the entries that s covers and reports whether it did; a snapshot older than the present one changes nothing.
func (c *Core) Compact(s Snapshot) bool {
	if s.Index <= c.log.snapshot.Index {
		return false
	}
	c.log.compact(s)
	return true
}

func (c *Core) send(m Message) {
	m.From, m.FromDisk = c.vm, c.disk
	c.messages = append(c.messages, m)
}

// Ready returns the work to do now.
func (c *Core) Ready() Ready {
	var r Ready
	if c.hard != c.savedHard {
		h := c.hard
		r.HardState = &h
	}
	r.Snapshot = c.installed
	if c.role == RoleLeader {
		c.sendNewEntries()
	}
	r.Entries = slices.Clone(c.log.slice(c.log.stable+1, c.log.last()))
	r.Messages = c.messages
	r.Committed = slices.Clone(c.log.slice(c.applied+1, c.commit))
	r.Reads = c.doneReads
	r.AbortedReads = c.lostReads
	return r
}

// sendNewEntries sends what was proposed since the last append.
func (c *Core) sendNewEntries() {
	for _, m := range c.members {
		if p := c.peers[m.VM]; p != nil && p.next <= c.log.last() {
			c.sendAppend(m.VM, p)
		}
	}
}

// Advance tells that all work of r is done.
func (c *Core) Advance(r Ready) {
	if r.HardState != nil {
		c.savedHard = *r.HardState
	}
	if r.Snapshot != nil {
		c.installed = nil
	}
	if n := len(r.Entries); n > 0 {
		c.log.stable = r.Entries[n-1].Index
	}
	c.messages = c.messages[len(r.Messages):]
	if n := len(r.Committed); n > 0 {
		c.applied = r.Committed[n-1].Index
	}
	c.doneReads = c.doneReads[len(r.Reads):]
	c.lostReads = c.lostReads[len(r.AbortedReads):]
	if c.role == RoleLeader {
		c.advanceCommit()
	}
}

// StableEntries returns the entries after the last snapshot that the disk holds.
func (c *Core) StableEntries() []Entry {
	return slices.Clone(c.log.slice(c.log.snapshot.Index+1, c.log.stable))
}
