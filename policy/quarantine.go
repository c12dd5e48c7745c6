package policy

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"samphirepass"
)

const (
	// refusingCrashes is the number of crashed leaves from which a request is refused, if one of them ran it alone. Others may have crashed
	// for another reason while they ran it.
	refusingCrashes = 3
	// maxCrashesPerSuspicion bounds the crashes that are kept of one request.
	maxCrashesPerSuspicion = 8
	// maxSuspicions bounds the requests of which crashes are kept.
	maxSuspicions = 1024
	// refusalMs is how long a request is refused after its last crash; then a single attempt shows whether it still crashes leaves.
	refusalMs samphirepass.Millis = 10 * 60 * 1000
	// suspicionTTLMs is how long a crash is kept.
	suspicionTTLMs samphirepass.Millis = 60 * 60 * 1000
	// maxCrashAgeMs is the age above which a reported crash is ignored.
	maxCrashAgeMs = suspicionTTLMs
)

// Quarantine decides how requests under which leaves have crashed may be sent, so that no request ends leaf after leaf. A leaf that survives
// a request clears it. It is safe for concurrent use.
type Quarantine struct {
	clock samphirepass.Clock
	// count is the number of suspicions; most requests need no more than this.
	count atomic.Int64

	mu         sync.Mutex
	suspicions map[samphirepass.Fingerprint]*suspicion
	version    uint64
	// changed is closed at the next change; it is nil while nobody waits.
	changed chan struct{}
}

// suspicion is what is known of one request.
type suspicion struct {
	crashes  []knownCrash
	survived bool
	// survivedAt is when a leaf last survived the request, if survived is set.
	survivedAt samphirepass.Millis
	// version is that of the last change.
	version uint64
}

type knownCrash struct {
	samphirepass.LeafCrash
	at samphirepass.Millis
}

// NewQuarantine returns a quarantine without suspicions.
func NewQuarantine(clock samphirepass.Clock) *Quarantine {
	return &Quarantine{clock: clock, suspicions: map[samphirepass.Fingerprint]*suspicion{}}
}

// Empty reports whether there are no suspicions, so that every verdict is VerdictSend.
func (q *Quarantine) Empty() bool { return q.count.Load() == 0 }

// Verdict returns how a request may be sent and, if it is refused, after which time it may be sent again.
func (q *Quarantine) Verdict(f samphirepass.Fingerprint) (samphirepass.Verdict, samphirepass.Millis) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.suspicions[f]
	if s == nil {
		return samphirepass.VerdictSend, 0
	}
	now := q.clock.Now()
	crashes, alone, last := 0, false, samphirepass.Millis(0)
	for _, c := range s.crashes {
		if now-c.at > suspicionTTLMs || (s.survived && c.at <= s.survivedAt) {
			continue
		}
		if crashes == 0 || c.at > last {
			last = c.at
		}
		crashes++
		alone = alone || c.Alone
	}
	switch {
	case crashes == 0:
		return samphirepass.VerdictSend, 0
	case crashes >= refusingCrashes && alone && now-last < refusalMs:
		return samphirepass.VerdictRefuse, last + refusalMs - now
	}
	return samphirepass.VerdictProbe, 0
}

// RecordCrashes records leaves that have crashed under a request.
func (q *Quarantine) RecordCrashes(f samphirepass.Fingerprint, crashes []samphirepass.LeafCrash) samphirepass.Suspicion {
	reported := samphirepass.Suspicion{Fingerprint: f, SurvivedAgeMs: -1}
	for _, c := range crashes[:min(len(crashes), maxCrashesPerSuspicion)] {
		reported.Crashes = append(reported.Crashes, samphirepass.AgedCrash{LeafCrash: c})
	}
	// The attempt that was alone says most.
	if i := slices.IndexFunc(crashes, func(c samphirepass.LeafCrash) bool { return c.Alone }); i >= len(reported.Crashes) {
		reported.Crashes[0].LeafCrash = crashes[i]
	}
	q.Merge(reported)
	return reported
}

// RecordSurvival records that a leaf has run a request without a crash. It reports whether that cleared a suspicion.
func (q *Quarantine) RecordSurvival(f samphirepass.Fingerprint) bool {
	if verdict, _ := q.Verdict(f); verdict == samphirepass.VerdictSend {
		return false
	}
	return q.Merge(samphirepass.Suspicion{Fingerprint: f})
}

// Merge adds what another process knows and reports whether it was new. The order in which suspicions are merged does not matter.
func (q *Quarantine) Merge(reported samphirepass.Suspicion) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.suspicions[reported.Fingerprint]
	if s == nil && len(reported.Crashes) == 0 {
		return false
	}
	if s == nil {
		s = &suspicion{}
	}
	if !s.merge(reported, q.clock.Now()) {
		return false
	}
	if q.suspicions[reported.Fingerprint] == nil {
		q.evictLocked()
		q.suspicions[reported.Fingerprint] = s
		q.count.Store(int64(len(q.suspicions)))
	}
	q.version++
	s.version = q.version
	if q.changed != nil {
		close(q.changed)
		q.changed = nil
	}
	return true
}

// mergeToleranceMs is how much later a time must be to count as new: each process computes it from an age.
const mergeToleranceMs samphirepass.Millis = 1000

func (s *suspicion) merge(reported samphirepass.Suspicion, now samphirepass.Millis) bool {
	isNew := false
	for _, c := range reported.Crashes {
		if !(c.AgeMs >= 0 && c.AgeMs < maxCrashAgeMs) {
			continue
		}
		i := slices.IndexFunc(s.crashes, func(known knownCrash) bool { return known.Leaf == c.Leaf && known.Incarnation == c.Incarnation })
		switch {
		case i >= 0:
			known := &s.crashes[i]
			at := now - c.AgeMs
			isNew = isNew || (c.Alone && !known.Alone) || at > known.at+mergeToleranceMs
			known.Alone, known.at = known.Alone || c.Alone, max(known.at, at)
		case len(s.crashes) < maxCrashesPerSuspicion:
			s.crashes, isNew = append(s.crashes, knownCrash{LeafCrash: c.LeafCrash, at: now - c.AgeMs}), true
		default:
			// The latest crashes are kept.
			oldest := 0
			for j, known := range s.crashes {
				if known.at < s.crashes[oldest].at {
					oldest = j
				}
			}
			if at := now - c.AgeMs; at > s.crashes[oldest].at+mergeToleranceMs {
				s.crashes[oldest], isNew = knownCrash{LeafCrash: c.LeafCrash, at: at}, true
			}
		}
	}
	if reported.SurvivedAgeMs < 0 {
		return isNew
	}
	at := now - reported.SurvivedAgeMs
	isNew = isNew || !s.survived || at > s.survivedAt+mergeToleranceMs || s.pendsAt(at)
	s.survived, s.survivedAt = true, max(at, s.survivedAt)
	return isNew
}

// pendsAt reports whether a survival at the given time would clear a crash that no survival has cleared.
func (s *suspicion) pendsAt(at samphirepass.Millis) bool {
	return slices.ContainsFunc(s.crashes, func(c knownCrash) bool { return c.at > s.survivedAt && c.at <= at })
}

// evictLocked makes room for one suspicion: it drops those that have expired or else the one with the oldest last crash.
func (q *Quarantine) evictLocked() {
	if len(q.suspicions) < maxSuspicions {
		return
	}
	now := q.clock.Now()
	maps.DeleteFunc(q.suspicions, func(_ samphirepass.Fingerprint, s *suspicion) bool { return now-s.lastCrash() > suspicionTTLMs })
	if len(q.suspicions) < maxSuspicions {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(q.suspicions)), func(a, b samphirepass.Fingerprint) int {
		return cmp.Compare(q.suspicions[a].lastCrash(), q.suspicions[b].lastCrash())
	})
	delete(q.suspicions, oldest)
}

func (s *suspicion) lastCrash() samphirepass.Millis {
	last := samphirepass.Millis(0)
	for i, c := range s.crashes {
		if i == 0 || c.at > last {
			last = c.at
		}
	}
	return last
}

// ChangesSince returns the suspicions that have changed since a version, and the current version.
func (q *Quarantine) ChangesSince(version uint64) ([]samphirepass.Suspicion, uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	var changes []samphirepass.Suspicion
	for f, s := range q.suspicions {
		if s.version <= version {
			continue
		}
		change := samphirepass.Suspicion{Fingerprint: f, SurvivedAgeMs: -1}
		if s.survived {
			change.SurvivedAgeMs = now - s.survivedAt
		}
		for _, c := range s.crashes {
			if age := now - c.at; age < maxCrashAgeMs {
				change.Crashes = append(change.Crashes, samphirepass.AgedCrash{LeafCrash: c.LeafCrash, AgeMs: age})
			}
		}
		changes = append(changes, change)
	}
	return changes, q.version
}

// Changed returns a channel that is closed once the version is above the given one.
func (q *Quarantine) Changed(version uint64) <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.version > version {
		done := make(chan struct{})
		close(done)
		return done
	}
	if q.changed == nil {
		q.changed = make(chan struct{})
	}
	return q.changed
}
