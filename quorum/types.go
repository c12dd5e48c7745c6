package quorum

import (
	"slices"

	"samphirepass"
)

// Role is the Raft role of a member in its current term.
type Role string

// The roles of a member.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "pre-candidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
)

// Member is one control VM. Its disk id is empty until the VM has joined.
type Member struct {
	VM      samphirepass.VM
	Address string
	Disk    samphirepass.DiskID
	// Voter is set by a membership change once the disk holds all committed entries; until then the member is a learner.
	Voter bool
	// Level is the highest that the member's program reads, as the leader heard it last.
	Level samphirepass.Level
}

// Members is a membership, sorted by VM name.
type Members []Member

// Find returns the member on vm, and whether there is one.
func (m Members) Find(vm samphirepass.VM) (Member, bool) {
	for _, member := range m {
		if member.VM == vm {
			return member, true
		}
	}
	return Member{}, false
}

// VoterCount returns the number of voting members.
func (m Members) VoterCount() int {
	n := 0
	for _, member := range m {
		if member.Voter {
			n++
		}
	}
	return n
}

// Majority returns the number of voters that form a quorum.
func (m Members) Majority() int {
	return m.VoterCount()/2 + 1
}

// With returns a copy with member added, in place of the one on the same VM if there is one.
func (m Members) With(member Member) Members {
	members := m.Without(member.VM)
	members = append(members, member)
	slices.SortFunc(members, func(a, b Member) int {
		if a.VM < b.VM {
			return -1
		}
		return 1
	})
	return members
}

// Without returns a copy without the member on vm.
func (m Members) Without(vm samphirepass.VM) Members {
	members := make(Members, 0, len(m)+1)
	for _, member := range m {
		if member.VM != vm {
			members = append(members, member)
		}
	}
	return members
}

// Lowest returns the member with the lowest level, the first by name if there are several. It returns a zero member if there are none.
func (m Members) Lowest() Member {
	var lowest Member
	for i, member := range m {
		if i == 0 || member.Level < lowest.Level {
			lowest = member
		}
	}
	return lowest
}

func (m Members) voterDisks() map[samphirepass.DiskID]bool {
	disks := make(map[samphirepass.DiskID]bool, len(m))
	for _, member := range m {
		if member.Voter {
			disks[member.Disk] = true
		}
	}
	return disks
}

// voterDiskChanges counts the disks that vote in only one of two memberships. A voter whose disk is replaced counts as two.
func voterDiskChanges(a, b Members) int {
	before, after := a.voterDisks(), b.voterDisks()
	n := 0
	for disk := range before {
		if !after[disk] {
			n++
		}
	}
	for disk := range after {
		if !before[disk] {
			n++
		}
	}
	return n
}

// EntryKind is the type of content of an entry.
type EntryKind string

// The kinds of entries. A new leader appends an empty entry to commit those of earlier terms.
const (
	EntryData    EntryKind = "data"
	EntryMembers EntryKind = "members"
	EntryEmpty   EntryKind = "empty"
)

// Entry is one record of the replicated log.
type Entry struct {
	Index   samphirepass.Revision
	Term    samphirepass.Term
	Kind    EntryKind
	Data    []byte
	Members Members
}

// HardState is the state that a member must sync to disk before it sends messages that depend on it.
type HardState struct {
	Term samphirepass.Term
	// Vote is the disk that this member voted for in Term; it is empty if there is none.
	Vote samphirepass.DiskID
}

// Snapshot is the state after all entries up to Index.
type Snapshot struct {
	Index   samphirepass.Revision
	Term    samphirepass.Term
	Members Members
	Data    []byte
}

// MessageKind is the type of a message between members.
type MessageKind string

// The kinds of messages.
const (
	MessagePreVote      MessageKind = "pre-vote"
	MessagePreVoteReply MessageKind = "pre-vote-reply"
	MessageVote         MessageKind = "vote"
	MessageVoteReply    MessageKind = "vote-reply"
	MessageAppend       MessageKind = "append"
	MessageAppendReply  MessageKind = "append-reply"
	MessageSnapshot     MessageKind = "snapshot"
	MessageTimeoutNow   MessageKind = "timeout-now"
)

// Message is sent from one member to another and may be lost, duplicated, delayed or reordered.
type Message struct {
	Kind     MessageKind
	From     samphirepass.VM
	FromDisk samphirepass.DiskID
	To       samphirepass.VM
	Term     samphirepass.Term
	// Index and LogTerm identify the entry before Entries, the last entry of a candidate, or the last entry that a reply accepts.
	// In a rejection of an append, Index is the highest index at which the logs may match.
	Index   samphirepass.Revision
	LogTerm samphirepass.Term
	Entries []Entry
	Commit  samphirepass.Revision
	Reject  bool
	// ReadRound is the latest read round of the leader; the reply echoes it to confirm reads.
	ReadRound uint64
	// Force marks a vote request of a leadership transfer, which voters consider although a leader is alive.
	Force    bool
	Snapshot *Snapshot
	// Level is the highest that the sender reads.
	Level samphirepass.Level
}

// ReadState is a read confirmed by a majority; it may be answered once Index is applied.
type ReadState struct {
	ID    uint64
	Index samphirepass.Revision
}

// Ready is the pending work of the driver, to be done in the order of the fields.
type Ready struct {
	HardState *HardState
	Snapshot  *Snapshot
	// Entries must be written to disk; they replace all entries there from the index of the first one on.
	Entries []Entry
	// Messages may be sent once the fields above are synced to disk.
	Messages  []Message
	Committed []Entry
	Reads     []ReadState
	// AbortedReads are reads that this member can no longer confirm, as it lost the leadership.
	AbortedReads []uint64
}

// Empty reports whether there is no work.
func (r Ready) Empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Messages) == 0 &&
		len(r.Committed) == 0 && len(r.Reads) == 0 && len(r.AbortedReads) == 0
}
