package quorum

import "samphirepass"

// entryLog holds the entries after the last snapshot.
type entryLog struct {
	snapshot Snapshot
	entries  []Entry
	// stableIndex is the last index that is on the disk.
	stableIndex samphirepass.Revision
}

func (l *entryLog) lastIndex() samphirepass.Revision {
	return l.snapshot.Index + samphirepass.Revision(len(l.entries))
}

// term returns the term of the entry at index, and whether it is known: the log holds the entry or the snapshot ends with it.
func (l *entryLog) term(index samphirepass.Revision) (samphirepass.Term, bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.snapshot.Index || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.snapshot.Index-1].Term, true
}

func (l *entryLog) lastTerm() samphirepass.Term {
	t, _ := l.term(l.lastIndex())
	return t
}

// slice returns the entries from index from to index to, both included, without those that the snapshot covers.
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

// truncate removes the entry at index and all that follow.
func (l *entryLog) truncate(index samphirepass.Revision) {
	l.entries = append([]Entry(nil), l.entries[:index-l.snapshot.Index-1]...)
	l.stableIndex = min(l.stableIndex, index-1)
}

// compact replaces the entries up to s.Index by s.
func (l *entryLog) compact(s Snapshot) {
	rest := l.slice(s.Index+1, l.lastIndex())
	l.entries = append([]Entry(nil), rest...)
	l.snapshot = s
}

// restore replaces the whole log by s.
func (l *entryLog) restore(s Snapshot) {
	l.entries = nil
	l.snapshot = s
	l.stableIndex = s.Index
}

// latestMembers returns the latest membership in the log and its index.
func (l *entryLog) latestMembers() (Members, samphirepass.Revision) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Kind == EntryMembers {
			return l.entries[i].Members, l.entries[i].Index
		}
	}
	return l.snapshot.Members, l.snapshot.Index
}

// membersAt returns the latest membership at or before index.
func (l *entryLog) membersAt(index samphirepass.Revision) Members {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Kind == EntryMembers && l.entries[i].Index <= index {
			return l.entries[i].Members
		}
	}
	return l.snapshot.Members
}

// upToDate reports whether a log that ends with index and term is at least as up to date as this one.
func (l *entryLog) upToDate(index samphirepass.Revision, term samphirepass.Term) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}
