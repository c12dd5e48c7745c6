package quorum_test

import (
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/quorum"
)

func voters(names ...string) quorum.Members {
	var out quorum.Members
	for _, n := range names {
		out = out.With(quorum.Member{VM: samphirepass.VM(n), Disk: samphirepass.DiskID("disk-" + n), Voter: true})
	}
	return out
}

// leading returns member a, leading term 3 of three voters, with one entry of term 2 that no majority holds.
func leading(t *testing.T) *quorum.Core {
	t.Helper()
	c := quorum.New(quorum.Options{
		VM: "a", Disk: "disk-a", Rand: rand.New(rand.NewSource(1)), HardState: quorum.HardState{Term: 2},
		Entries: []quorum.Entry{
			{Index: 1, Term: 1, Kind: quorum.EntryMembers, Members: voters("a", "b", "c")},
			{Index: 2, Term: 2, Kind: quorum.EntryData, Data: []byte("old")},
		},
	})
	for range quorum.ElectionTicksMax + 1 {
		c.Tick()
	}
	finish(c)
	c.Step(quorum.Message{Kind: quorum.MessagePreVoteReply, From: "b", FromDisk: "disk-b", Term: 3})
	finish(c)
	c.Step(quorum.Message{Kind: quorum.MessageVoteReply, From: "b", FromDisk: "disk-b", Term: 3})
	finish(c)
	require.Equal(t, quorum.RoleLeader, c.Role())
	return c
}

func finish(c *quorum.Core) quorum.Ready {
	var all quorum.Ready
	for r := c.Ready(); !r.Empty(); r = c.Ready() {
		all.Messages = append(all.Messages, r.Messages...)
		all.Committed = append(all.Committed, r.Committed...)
		c.Advance(r)
	}
	return all
}

func accept(from string, index samphirepass.Revision) quorum.Message {
	return quorum.Message{
		Kind: quorum.MessageAppendReply, From: samphirepass.VM(from), FromDisk: samphirepass.DiskID("disk-" + from),
		Term: 3, Index: index,
	}
}

func TestProofLeaderRules(t *testing.T) {
	tests := map[string]func(t *testing.T, c *quorum.Core){
		"an entry of an earlier term is committed only with one of its own": func(t *testing.T, c *quorum.Core) {
			c.Step(accept("b", 2))
			require.EqualValues(t, 0, c.CommitIndex())
			c.Step(accept("b", 3))
			require.EqualValues(t, 3, c.CommitIndex())
		},
		"a change of two voters is refused": func(t *testing.T, c *quorum.Core) {
			c.Step(accept("b", 3))
			require.ErrorIs(t, c.ProposeMembers(voters("a", "d", "e")), quorum.ErrTooManyVoterChanges)
			require.NoError(t, c.ProposeMembers(voters("a", "b")))
		},
		"a second change waits for the first": func(t *testing.T, c *quorum.Core) {
			c.Step(accept("b", 3))
			require.NoError(t, c.ProposeMembers(voters("a", "b")))
			require.ErrorIs(t, c.ProposeMembers(voters("a")), quorum.ErrMembershipPending)
		},
		"a change before the first own commit is refused": func(t *testing.T, c *quorum.Core) {
			require.ErrorIs(t, c.ProposeMembers(voters("a", "b")), quorum.ErrMembershipPending)
		},
		"a reply of a replaced disk does not count": func(t *testing.T, c *quorum.Core) {
			m := accept("b", 3)
			m.FromDisk = "disk-before"
			c.Step(m)
			require.EqualValues(t, 0, c.CommitIndex())
		},
		"a leader that hears no majority steps down": func(t *testing.T, c *quorum.Core) {
			for range 2*quorum.ElectionTicksMin + 1 {
				c.Tick()
			}
			require.NotEqual(t, quorum.RoleLeader, c.Role())
		},
		"a read is not confirmed by replies to earlier heartbeats": func(t *testing.T, c *quorum.Core) {
			c.Step(accept("b", 3))
			finish(c)
			require.NoError(t, c.ReadIndex(7))
			c.Step(accept("b", 3))
			require.Empty(t, c.Ready().Reads)
			reply := accept("b", 3)
			reply.ReadRound = 1
			c.Step(reply)
			require.Equal(t, []quorum.ReadState{{ID: 7, Index: 3}}, c.Ready().Reads)
		},
		"the leadership passes to a member that has everything": func(t *testing.T, c *quorum.Core) {
			c.Step(accept("b", 3))
			finish(c)
			c.TransferLeadership("b")
			messages := finish(c).Messages
			require.Equal(t, quorum.MessageTimeoutNow, messages[len(messages)-1].Kind)
			_, _, err := c.Propose([]byte("x"))
			require.ErrorIs(t, err, quorum.ErrNotLeader)
		},
	}
	for name, check := range tests {
		t.Run(name, func(t *testing.T) { check(t, leading(t)) })
	}
}

// TestProofVoteNeedsAnUpToDateLog asks a member for its vote without the question before it that usually keeps an outdated log away:
// that one may have been answered before the log grew.
func TestProofVoteNeedsAnUpToDateLog(t *testing.T) {
	tests := map[string]struct {
		index   samphirepass.Revision
		term    samphirepass.Term
		granted bool
	}{
		"the same log":         {2, 2, true},
		"a longer one":         {3, 2, true},
		"a later term":         {1, 3, true},
		"a shorter one":        {1, 2, false},
		"longer, earlier term": {9, 1, false},
		"nothing":              {0, 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := quorum.New(quorum.Options{
				VM: "a", Disk: "disk-a", Rand: rand.New(rand.NewSource(1)), HardState: quorum.HardState{Term: 3},
				Entries: []quorum.Entry{
					{Index: 1, Term: 1, Kind: quorum.EntryMembers, Members: voters("a", "b", "c")},
					{Index: 2, Term: 2, Kind: quorum.EntryData, Data: []byte("held")},
				},
			})
			c.Step(quorum.Message{Kind: quorum.MessageVote, From: "b", FromDisk: "disk-b", To: "a", Term: 4, Index: tt.index, LogTerm: tt.term})
			sent := finish(c).Messages
			require.Len(t, sent, 1)
			require.Equal(t, quorum.MessageVoteReply, sent[0].Kind)
			require.Equal(t, tt.granted, !sent[0].Reject)
		})
	}
}
