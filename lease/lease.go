package lease

import (
	"sync"

	"samphirepass"
)

// DurationMs is how long a confirmation lasts; with the time of a relay it stays below the 3 s within which a change is in force.
const DurationMs samphirepass.Millis = 2000

// Lease collects confirmations; it is safe for concurrent use, and its zero value has none.
type Lease struct {
	mu sync.Mutex
	// control is when the last confirmed sync was asked for.
	control   samphirepass.Millis
	confirmed bool
	peers     map[samphirepass.VM]samphirepass.Millis
}

// RecordControl records an answer of a confirmed majority to a request that was sent at the given time.
func (l *Lease) RecordControl(sent samphirepass.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.confirmed || sent > l.control {
		l.control = sent
	}
	l.confirmed = true
}

// RecordPeer records an exchange with another entry, sent at the given time, after which neither knows of anything newer.
func (l *Lease) RecordPeer(vm samphirepass.VM, sent samphirepass.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peers == nil {
		l.peers = map[samphirepass.VM]samphirepass.Millis{}
	}
	l.peers[vm] = max(l.peers[vm], sent)
}

// Valid reports whether the entry self may serve at the time now, given the entries that hold a seat.
//
// Either a majority of control confirmed the configuration lately, or a majority of the seated entries did:
// a change is acknowledged only once a majority of them has it, so two majorities share an entry that knows it.
// An entry that never heard from control has no list of seats and does not serve.
func (l *Lease) Valid(now samphirepass.Millis, self samphirepass.VM, seated []samphirepass.VM) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.confirmed {
		return false
	}
	if now-l.control <= DurationMs {
		return true
	}
	n, member := 0, false
	for _, vm := range seated {
		sent, ok := l.peers[vm]
		switch {
		case vm == self:
			member = true
			n++
		case ok && now-sent <= DurationMs:
			n++
		}
	}
	return member && n > len(seated)/2
}
