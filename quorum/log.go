package quorum

import "samphirepass"

// entryLog holds the entries after the last snapshot.
type entryLog struct {
	snapshot Snapshot
	entries  []Entry
	// stable is the last index that the disk holds.
	stable samphirepass.Revision
}

func (l *entryLog) last() samphirepass.Revision {
	return l.snapshot.Index + samphirepass.Revision(len(l.entries))
}

func (l *entryLog) term(index samphirepass.Revision) (samphirepass.Term, bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.snapshot.Index || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.snapshot.Index-1].Term, true
}

func (l *entryLog) lastTerm() samphirepass.Term {
	t, _ := l.term(l.last())
	return t
}

func (l *entryLog) slice(from, to samphirepass.Revision) []Entry {
	if from <= l.snapshot.Index {
		from = l.snapshot.Index + 1
	}
	if from > to {
		return nil
	}
	return l.entries[from-l.snapshot.Index-1 : to-l.snapshot.Index]
}

func (l *entryLog) add(e Entry) {
	l.entries = append(l.entries, e)
}

// truncate drops the entries from index on.
func (l *entryLog) truncate(index samphirepass.Revision) {
	l.entries = append([]Entry(nil), l.entries[:index-l.snapshot.Index-1]...)
	l.stable = min(l.stable, index-1)
}

func (l *entryLog) compact(s Snapshot) {
	keep := l.slice(s.Index+1, l.last())
	l.entries = append([]Entry(nil), keep...)
	l.snapshot = s
}

func (l *entryLog) restore(s Snapshot) {
	l.entries = nil
	l.snapshot = s
	l.stable = s.Index
}

// members returns the latest membership in the log and its index.
func (l *entryLog) members() (Members, samphirepass.Revision) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Kind == EntryMembers {
			return l.entries[i].Members, l.entries[i].Index
		}
	}
	return l.snapshot.Members, l.snapshot.Index
}

// membersAt returns the membership in force at index.
func (l *entryLog) membersAt(index samphirepass.Revision) Members {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Kind == EntryMembers && l.entries[i].Index <= index {
			return l.entries[i].Members
		}
	}
	return l.snapshot.Members
}

func (l *entryLog) upToDate(index samphirepass.Revision, term samphirepass.Term) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}
