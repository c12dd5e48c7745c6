package lease

import (
	"sync"

	"samphirepass"
)

// DurationMs is how long a confirmation stays valid. Together with the time of one exchange between entries,
// it must stay below the 3 s within which a change is in force.
const DurationMs samphirepass.Millis = 2000

// Lease records when control and other entries last confirmed an entry's configuration.
// The zero value holds no confirmations. A Lease is safe for concurrent use.
type Lease struct {
	mu sync.Mutex
	// controlSentMs is the latest send time of a sync request that control confirmed, if controlConfirmed is set.
	controlSentMs    samphirepass.Millis
	controlConfirmed bool
	// peerSentMs holds the latest send time of a confirming exchange with each other entry.
	peerSentMs map[samphirepass.VM]samphirepass.Millis
}

// RecordControl records that a request sent at the given time was answered with the confirmation of a control majority.
func (l *Lease) RecordControl(sent samphirepass.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.controlConfirmed || sent > l.controlSentMs {
		l.controlSentMs = sent
	}
	l.controlConfirmed = true
}

// RecordPeer records an exchange with another entry, sent at the given time, after which this entry's configuration
// is at least as recent as the other's.
func (l *Lease) RecordPeer(vm samphirepass.VM, sent samphirepass.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peerSentMs == nil {
		l.peerSentMs = map[samphirepass.VM]samphirepass.Millis{}
	}
	l.peerSentMs[vm] = max(l.peerSentMs[vm], sent)
}

// Valid reports whether the entry self may serve at the time now, given the entries that hold a seat.
//
// The configuration must have been confirmed within DurationMs by a majority of control or by a majority of the seated entries,
// self included. The second suffices because a change is acknowledged only once a majority of the seated entries has it,
// and any two majorities share an entry. An entry that never heard from control has no list of seats and does not serve.
func (l *Lease) Valid(now samphirepass.Millis, self samphirepass.VM, seated []samphirepass.VM) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.controlConfirmed {
		return false
	}
	if now-l.controlSentMs <= DurationMs {
		return true
	}
	n, selfSeated := 0, false
	for _, vm := range seated {
		sent, ok := l.peerSentMs[vm]
		switch {
		case vm == self:
			selfSeated = true
			n++
		case ok && now-sent <= DurationMs:
			n++
		}
	}
	return selfSeated && n > len(seated)/2
}
