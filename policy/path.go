package policy

import (
	"maps"

	"samphirepass"
)

const (
	// ConnectPatienceMs is the time within which a leaf accepts a connection, many times the network delay.
	ConnectPatienceMs samphirepass.Millis = 100
	// An answer is overdue after answerPatienceFactor times its expected latency, within the two bounds.
	answerPatienceFactor                     = 3
	minAnswerPatienceMs  samphirepass.Millis = 100
	maxAnswerPatienceMs  samphirepass.Millis = 500
	// singlePatienceMs is the least time after which a single leaf makes the path suspect: leaves pause for some 200 ms each at its own time.
	singlePatienceMs samphirepass.Millis = 300
	// PathConfirmMs is the time within which no leaf may show a sign of life before a suspected path counts as lost.
	PathConfirmMs samphirepass.Millis = 200
	// suspicionPauseMs is the time between a suspicion that was unfounded and the next one: a single leaf may stay silent for long.
	suspicionPauseMs samphirepass.Millis = 1000
	// A path is also lost if muteLeaves leaves or more take connections but no leaf has answered for muteMs. Even where all leaves are
	// overloaded some refuse within that time.
	muteLeaves                     = 3
	muteMs     samphirepass.Millis = 1000
	// narrowLeaves is the number of leaves to which dials must have failed since one succeeded before the path is suspected for that.
	narrowLeaves = 2
)

// PathCondition says whether a process reaches leaves.
type PathCondition string

// Conditions of a path.
const (
	PathUp PathCondition = "up"
	// PathSuspected means that an attempt is overdue or has failed, and no leaf has shown a sign of life since.
	PathSuspected PathCondition = "suspected"
	PathLost      PathCondition = "lost"
	// PathMute means that leaves take connections, but none answers.
	PathMute PathCondition = "mute"
)

// ProbeResult is what probes of some leaves have shown.
type ProbeResult string

// Results of probes.
const (
	// ProbeReached means that a leaf took a connection, or answered where the path is mute.
	ProbeReached ProbeResult = "reached"
	// ProbeOpenOnly means that none did, but leaves answer on open connections.
	ProbeOpenOnly ProbeResult = "open-only"
	ProbeNone     ProbeResult = "none"
)

// PathOutcome is how a dial or an exchange with a leaf ended.
type PathOutcome string

// Outcomes of dials and exchanges.
const (
	PathConnected PathOutcome = "connected"
	PathAnswered  PathOutcome = "answered"
	PathFailed    PathOutcome = "failed"
	// PathAbandoned means that this process stopped waiting.
	PathAbandoned PathOutcome = "abandoned"
)

// AnswerPatience returns how long an answer with the given expected latency, 0 if it is not known, may take before it is overdue.
func AnswerPatience(expected samphirepass.Millis) samphirepass.Millis {
	return min(max(answerPatienceFactor*expected, minAnswerPatienceMs), maxAnswerPatienceMs)
}

// pathWait is a dial or an exchange with a leaf in progress.
type pathWait struct {
	startedAt, patience samphirepass.Millis
	leaf                samphirepass.Leaf
	// isDial is set for a dial and for the first exchange on a connection.
	isDial bool
}

// PathDetector decides from the dials and exchanges of a process whether it reaches leaves. A leaf that is silent says nothing about the
// path while another one shows a sign of life. Its zero value is a path that is up; it is not safe for concurrent use.
type PathDetector struct {
	condition PathCondition
	// contactAt is when a leaf last took a connection or answered, answeredAt when one last answered.
	contactAt, answeredAt samphirepass.Millis
	// failedAt is when a dial or an exchange last failed.
	failedAt samphirepass.Millis
	waiting  map[uint64]pathWait
	lastID   uint64
	// unanswered holds the leaves that were sent requests since the last answer, with the time of the first one.
	unanswered map[samphirepass.Leaf]samphirepass.Millis
	// undialled holds the leaves to which dials, or the first exchanges on connections, have failed since one succeeded.
	undialled map[samphirepass.Leaf]bool
	// narrow is set while leaves are reached on open connections only.
	narrow      bool
	suspectedAt samphirepass.Millis
	// trustedUntil is the time until which the path is not suspected.
	trustedUntil samphirepass.Millis
}

// Condition returns the current condition.
func (d *PathDetector) Condition() PathCondition {
	if d.condition == "" {
		return PathUp
	}
	return d.condition
}

// IsLost reports whether no leaf is reached.
func (d *PathDetector) IsLost() bool { return d.condition == PathLost || d.condition == PathMute }

// IsNarrow reports whether leaves are reached on open connections only.
func (d *PathDetector) IsNarrow() bool { return d.narrow && !d.IsLost() }

// BeginDial records the start of a dial to a leaf and returns its number for End.
func (d *PathDetector) BeginDial(now samphirepass.Millis, to samphirepass.Leaf) uint64 {
	return d.begin(pathWait{startedAt: now, patience: ConnectPatienceMs, leaf: to, isDial: true})
}

// BeginExchange records that a request was sent to a leaf, as the first one on its connection or not, and returns its number for End.
func (d *PathDetector) BeginExchange(now samphirepass.Millis, to samphirepass.Leaf, first bool, expected samphirepass.Millis) uint64 {
	if d.unanswered == nil {
		d.unanswered = map[samphirepass.Leaf]samphirepass.Millis{}
	}
	if _, ok := d.unanswered[to]; !ok {
		d.unanswered[to] = now
	}
	return d.begin(pathWait{startedAt: now, patience: AnswerPatience(expected), leaf: to, isDial: first})
}

func (d *PathDetector) begin(w pathWait) uint64 {
	if d.waiting == nil {
		d.waiting = map[uint64]pathWait{}
	}
	d.lastID++
	d.waiting[d.lastID] = w
	return d.lastID
}

// End records how a dial or an exchange ended. An exchange that was abandoned when it was overdue counts as failed.
func (d *PathDetector) End(now samphirepass.Millis, id uint64, outcome PathOutcome) {
	w := d.waiting[id]
	delete(d.waiting, id)
	since := max(w.startedAt, d.contactAt)
	if w.isDial {
		since = w.startedAt
	}
	if outcome == PathAbandoned && now-since >= w.patience {
		outcome = PathFailed
	}
	switch outcome {
	case PathAnswered:
		d.answeredAt, d.contactAt, d.condition = now, now, PathUp
		clear(d.unanswered)
		if w.isDial {
			d.narrow = false
			clear(d.undialled)
		}
	case PathConnected:
		// Some links reset connections right after they are accepted.
		d.contactAt = now
	case PathFailed:
		d.failedAt = now
		if !w.isDial {
			return
		}
		if d.undialled == nil {
			d.undialled = map[samphirepass.Leaf]bool{}
		}
		d.undialled[w.leaf] = true
	}
}

// CheckAt returns the next time at which Check may suspect the path, and false if nothing in progress could lead to that.
func (d *PathDetector) CheckAt() (samphirepass.Millis, bool) {
	if d.Condition() != PathUp {
		return 0, false
	}
	at, ok := d.overdueAt()
	if due := d.failedAt + singlePatienceMs; d.failedAt > d.contactAt && (!ok || due < at) {
		at, ok = due, true
	}
	if !d.narrow && len(d.undialled) >= narrowLeaves && (!ok || d.failedAt < at) {
		at, ok = d.failedAt, true
	}
	at = max(at, d.trustedUntil)
	if due, found := d.muteAt(); found && (!ok || due < at) {
		at, ok = due, true
	}
	return at, ok
}

// overdueAt returns the next time at which two leaves are overdue, or a single one for longer, and false if nothing is in progress.
func (d *PathDetector) overdueAt() (samphirepass.Millis, bool) {
	var first, second, single samphirepass.Millis
	var leaf samphirepass.Leaf
	n := 0
	for w := range maps.Values(d.waiting) {
		since := max(w.startedAt, d.contactAt)
		due, alone := since+w.patience, since+max(w.patience, singlePatienceMs)
		if n == 0 || alone < single {
			single = alone
		}
		switch {
		case n == 0:
			first, leaf, n = due, w.leaf, 1
		case w.leaf == leaf:
			first = min(first, due)
		case due < first:
			first, second, leaf, n = due, first, w.leaf, 2
		case n == 1 || due < second:
			second, n = due, 2
		}
	}
	if n == 2 {
		return min(single, second), true
	}
	return single, n == 1
}

// muteAt returns the time at which the path is lost as no leaf answers, and false while too few were asked.
func (d *PathDetector) muteAt() (samphirepass.Millis, bool) {
	if len(d.unanswered) < muteLeaves {
		return 0, false
	}
	// The earliest times of muteLeaves leaves, in ascending order.
	var first [muteLeaves]samphirepass.Millis
	n := 0
	for at := range maps.Values(d.unanswered) {
		i := n
		for ; i > 0 && first[i-1] > at; i-- {
			if i < muteLeaves {
				first[i] = first[i-1]
			}
		}
		if i < muteLeaves {
			first[i] = at
		}
		n = min(n+1, muteLeaves)
	}
	return max(first[muteLeaves-1], d.answeredAt) + muteMs, true
}

// Check reports whether the path is suspected from now on, so that leaves should be probed. It may also find that no leaf answers, which
// no probe is needed for.
func (d *PathDetector) Check(now samphirepass.Millis) bool {
	if at, ok := d.CheckAt(); !ok || now < at {
		return false
	}
	if at, ok := d.muteAt(); ok && now >= at {
		d.condition = PathMute
		return false
	}
	d.condition, d.suspectedAt = PathSuspected, now
	return true
}

// Excuse makes all that is in progress count from now on: this process was late itself and may not have read what arrived.
func (d *PathDetector) Excuse(now samphirepass.Millis) {
	d.contactAt = max(d.contactAt, now)
	d.answeredAt = max(d.answeredAt, now)
}

// Probed records what probes of several leaves have shown.
func (d *PathDetector) Probed(now samphirepass.Millis, result ProbeResult) {
	switch {
	case result == ProbeReached:
		d.contactAt, d.trustedUntil, d.narrow = now, now+suspicionPauseMs, false
		clear(d.undialled)
		if d.IsLost() {
			// Silence before the path was back says nothing any more.
			d.answeredAt, d.trustedUntil = now, now
			clear(d.unanswered)
		}
		d.condition = PathUp
	case d.IsLost():
	case result == ProbeOpenOnly:
		d.condition, d.narrow = PathUp, true
	case d.condition == PathSuspected:
		d.condition, d.narrow = PathLost, false
	}
}

// SinceContact returns the time since a leaf last showed a sign of life.
func (d *PathDetector) SinceContact(now samphirepass.Millis) samphirepass.Millis {
	return now - d.contactAt
}

// ContactSince reports whether a leaf has shown a sign of life at or after a time.
func (d *PathDetector) ContactSince(at samphirepass.Millis) bool { return d.contactAt >= at }
