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
	// seenAt is when each issuer was last a voter.
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
// knows none, and reports whether this process has just joined the voters. The first voters that it sees after its start are those of its disk.
func (m *Membership) Update(now samphirepass.Millis, voters []string, sinceLeaderContact samphirepass.Millis) (justJoined bool) {
	if sinceLeaderContact < maxContactAgeMs {
		m.contactAt, m.contacted = max(m.contactAt, now-sinceLeaderContact), true
	}
	if len(voters) == 0 {
		return false
	}
	for _, address := range voters {
		m.seenAt[address] = now
	}
	maps.DeleteFunc(m.seenAt, func(_ string, at samphirepass.Millis) bool { return now-at > absentIssuerMs })
	isVoter := slices.Contains(voters, m.self)
	justJoined = isVoter && !m.joined && m.known
	m.joined, m.known = isVoter, true
	return justJoined
}

// Part returns this issuer's part, and false if it must not issue: it is no voter, or has not heard from a leader for too long.
func (m *Membership) Part(now samphirepass.Millis) (Part, bool) {
	if !m.joined || !m.contacted || now-m.contactAt > maxContactAgeMs {
		return Part{}, false
	}
	return Part{Self: m.self, Issuers: slices.Sorted(maps.Keys(m.seenAt))}, true
}
