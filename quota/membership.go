package quota

import (
	"maps"
	"slices"

	"samphirepass"
)

const (
	// maxContactAgeMs is the time since the last contact with a leader after which an issuer stops: it may have been removed. It is longer
	// than any election takes, as the limits hold without a leader as long as no issuer takes over the part of another.
	maxContactAgeMs samphirepass.Millis = 7_000
	// absentIssuerMs is the time for which the part of an issuer that was removed is not issued by others. It is longer than
	// maxContactAgeMs: the removed one may be partitioned and still issue.
	absentIssuerMs samphirepass.Millis = 8_500
)

// Membership derives from the voters of the replicated log who issues tokens, and whether this process does. It is not safe for concurrent use.
type Membership struct {
	self string
	// voters are those of the last call, seenAt is when each issuer was last among them.
	voters []string
	seenAt map[string]samphirepass.Millis
	// joined is set while this process is a voter, known once the first voters have been seen.
	joined, known bool
	// contactAt is when this process last had contact with a leader, if contacted is set.
	contactAt samphirepass.Millis
	contacted bool
}

// NewMembership returns the membership of a process with the given peer address.
func NewMembership(self string) *Membership {
	return &Membership{self: self, seenAt: map[string]samphirepass.Millis{}}
}

// Update records the voters of the log as this process knows them and the time since its last contact with a leader, which may be any while it
// knows none, and reports whether this process has just joined the voters. It is called often from the start of the process on, so that the
// first voters are those of its disk.
func (m *Membership) Update(now samphirepass.Millis, voters []string, sinceLeaderContact samphirepass.Millis) (justJoined bool) {
	if sinceLeaderContact < maxContactAgeMs {
		m.contactAt, m.contacted = max(m.contactAt, now-sinceLeaderContact), true
	}
	if len(voters) == 0 {
		return false
	}
	for _, address := range slices.Concat(m.voters, voters) {
		// One that is missing for the first time was removed since the last call.
		m.seenAt[address] = now
	}
	m.voters = slices.Clone(voters)
	maps.DeleteFunc(m.seenAt, func(_ string, at samphirepass.Millis) bool { return now-at > absentIssuerMs })
	isVoter := slices.Contains(voters, m.self)
	justJoined = isVoter && !m.joined && m.known
	m.joined, m.known = isVoter, true
	return justJoined
}

// LoseContact makes the issuer stop until it has contact with a leader again, as after its VM was suspended.
func (m *Membership) LoseContact() { m.contacted = false }

// Part returns this issuer's part, and false if it must not issue: it is no voter, or has not heard from a leader for too long.
func (m *Membership) Part(now samphirepass.Millis) (Part, bool) {
	if !m.joined || !m.contacted || now-m.contactAt > maxContactAgeMs {
		return Part{}, false
	}
	return Part{Self: m.self, Issuers: slices.Sorted(maps.Keys(m.seenAt))}, true
}
