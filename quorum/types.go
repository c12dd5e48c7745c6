package quorum

import (
	"slices"

	"samphirepass"
)

// Role is what a member does in its term.
type Role string

// The roles of a member.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "pre-candidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
)

// Member is one control VM; its disk is empty while the VM is awaited.
type Member struct {
	VM      samphirepass.VM
	Address string
	Disk    samphirepass.DiskID
	// Voter is set once the disk holds all that was committed and the members agreed on it.
	Voter bool
}

// Members is one membership, in the order of VM names.
type Members []Member

// Find returns the member of vm and whether there is one.
func (m Members) Find(vm samphirepass.VM) (Member, bool) {
	for _, one := range m {
		if one.VM == vm {
			return one, true
		}
	}
	return Member{}, false
}

// VoterCount counts the voting members.
func (m Members) VoterCount() int {
	n := 0
	for _, one := range m {
		if one.Voter {
			n++
		}
	}
	return n
}

// Majority returns how many voters make a quorum.
func (m Members) Majority() int {
	return m.VoterCount()/2 + 1
}

// With returns a copy in which the member of the same VM is replaced or added.
func (m Members) With(changed Member) Members {
	out := m.Without(changed.VM)
	out = append(out, changed)
	slices.SortFunc(out, func(a, b Member) int {
		if a.VM < b.VM {
			return -1
		}
		return 1
	})
	return out
}

// Without returns a copy that lacks vm.
func (m Members) Without(vm samphirepass.VM) Members {
	out := make(Members, 0, len(m)+1)
	for _, one := range m {
		if one.VM != vm {
			out = append(out, one)
		}
	}
	return out
}

func (m Members) voterSet() map[samphirepass.DiskID]bool {
	out := make(map[samphirepass.DiskID]bool, len(m))
	for _, one := range m {
		if one.Voter {
			out[one.Disk] = true
		}
	}
	return out
}

// voterChanges counts the disks that vote in just one of two memberships.
func voterChanges(a, b Members) int {
	before, after := a.voterSet(), b.voterSet()
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

// EntryKind names what an entry carries.
type EntryKind string

// The kinds of entries.
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

// HardState is what a member must have synced before it answers.
type HardState struct {
	Term samphirepass.Term
	// Vote is the disk that got this member's vote in Term.
	Vote samphirepass.DiskID
}

// Snapshot is the state after all entries up to Index.
type Snapshot struct {
	Index   samphirepass.Revision
	Term    samphirepass.Term
	Members Members
	Data    []byte
}

// MessageKind names a message between members.
type MessageKind string

// The messages between members.
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

// Message is sent from one member to another and may be lost, doubled or delayed.
type Message struct {
	Kind     MessageKind
	From     samphirepass.VM
	FromDisk samphirepass.DiskID
	To       samphirepass.VM
	Term     samphirepass.Term
	// Index and LogTerm name the entry before Entries, a candidate's last entry, or the last entry that a reply accepts.
	Index   samphirepass.Revision
	LogTerm samphirepass.Term
	Entries []Entry
	Commit  samphirepass.Revision
	Reject  bool
	// ReadRound numbers the leader's heartbeats, for confirmed reads.
	ReadRound uint64
	// Force marks a vote that the present leader asked for.
	Force    bool
	Snapshot *Snapshot
}

// ReadState is a read that a majority confirmed; it may be answered once Index is applied.
type ReadState struct {
	ID    uint64
	Index samphirepass.Revision
}

// Ready is the work that the driver does next, in the order of the fields.
type Ready struct {
	HardState *HardState
	Snapshot  *Snapshot
	// Entries replace whatever the disk holds from the first one's index on.
	Entries []Entry
	// Messages may be sent once the above is synced.
	Messages  []Message
	Committed []Entry
	Reads     []ReadState
	// AbortedReads are reads that this member can no longer confirm.
	AbortedReads []uint64
}

// Empty reports whether there is nothing to do.
func (r Ready) Empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Messages) == 0 &&
		len(r.Committed) == 0 && len(r.Reads) == 0 && len(r.AbortedReads) == 0
}
