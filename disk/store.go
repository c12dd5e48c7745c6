package disk

import (
	"fmt"
	"strings"

	"samphirepass"
	"samphirepass/cbor"
	"samphirepass/quorum"
)

const (
	identityName  = "identity"
	temporaryName = "new"
	// snapshotTemporaryName is another, as snapshots are written beside the log.
	snapshotTemporaryName = "new-snapshot"
	segmentPrefix         = "segment-"
	snapshotPrefix        = "snapshot-"
)

// Identity tells one formatted data folder from another.
type Identity struct {
	Disk samphirepass.DiskID
	// Boot counts the times that the folder was opened.
	Boot uint64
}

// RecoveredState is what a data folder held when it was opened.
type RecoveredState struct {
	Identity
	HardState quorum.HardState
	Snapshot  quorum.Snapshot
	Entries   []quorum.Entry
}

// Store writes to one data folder; it is not safe for concurrent use, and after an error it must be left alone.
type Store struct {
	files    samphirepass.DataFolder
	segment  samphirepass.File
	sequence uint64
	hard     quorum.HardState
}

// Open reads a data folder, counts the boot and readies it for writing; an empty folder gets the identity newDisk.
func Open(files samphirepass.DataFolder, newDisk samphirepass.DiskID) (*Store, RecoveredState, error) {
	s := &Store{files: files}
	names, err := files.List()
	if err != nil {
		return nil, RecoveredState{}, fmt.Errorf("open store: %w", err)
	}
	loaded := RecoveredState{Identity: Identity{Disk: newDisk}}
	if err := s.readIdentity(names, &loaded.Identity); err != nil {
		return nil, RecoveredState{}, err
	}
	if err := s.readSnapshot(names, &loaded.Snapshot); err != nil {
		return nil, RecoveredState{}, err
	}
	if err := s.readSegments(names, &loaded); err != nil {
		return nil, RecoveredState{}, err
	}
	s.hard = loaded.HardState
	loaded.Boot++
	if err := s.writeIdentity(loaded.Identity); err != nil {
		return nil, RecoveredState{}, err
	}
	if err := s.rotate(loaded.Snapshot, loaded.Entries); err != nil {
		return nil, RecoveredState{}, err
	}
	return s, loaded, nil
}

func (s *Store) readIdentity(names []string, id *Identity) error {
	for _, name := range names {
		if name == identityName {
			return s.readWhole(name, id)
		}
	}
	if len(withPrefix(names, segmentPrefix))+len(withPrefix(names, snapshotPrefix)) > 0 {
		return fmt.Errorf("read identity: the file is missing beside a log: %w", ErrCorrupt)
	}
	return nil
}

// readWhole decodes a file that holds just one record.
func (s *Store) readWhole(name string, v any) error {
	data, err := s.files.Read(name)
	if err != nil {
		return fmt.Errorf("read %s: %w", name, err)
	}
	payload, n, ok := unframe(data)
	if !ok || n != len(data) {
		return fmt.Errorf("read %s: checksum: %w", name, ErrCorrupt)
	}
	if err := cbor.Unmarshal(payload, v); err != nil {
		return fmt.Errorf("read %s: %w: %w", name, ErrCorrupt, err)
	}
	return nil
}

func (s *Store) readSnapshot(names []string, snapshot *quorum.Snapshot) error {
	snapshots := withPrefix(names, snapshotPrefix)
	if len(snapshots) == 0 {
		return nil
	}
	return s.readWhole(snapshots[len(snapshots)-1], snapshot)
}

// readSegments reads the newest segment, which starts with all that the ones before it held.
func (s *Store) readSegments(names []string, l *RecoveredState) error {
	segments := withPrefix(names, segmentPrefix)
	if len(segments) == 0 {
		return nil
	}
	name := segments[len(segments)-1]
	if _, err := fmt.Sscanf(name, segmentPrefix+"%d", &s.sequence); err != nil {
		return fmt.Errorf("read %s: bad name: %w", name, err)
	}
	records, err := s.readSegment(name)
	if err != nil {
		return fmt.Errorf("read %s: %w", name, err)
	}
	var from base
	for _, r := range records {
		if err := replay(r, &from, l); err != nil {
			return fmt.Errorf("read %s: %w", name, err)
		}
	}
	return joinSnapshot(from, l)
}

// readSegment returns the intact records of a segment and forgives a torn tail.
func (s *Store) readSegment(name string) ([]record, error) {
	data, err := s.files.Read(name)
	if err != nil {
		return nil, fmt.Errorf("read segment: %w", err)
	}
	records, intact, err := decodeSegment(data)
	if err != nil {
		return nil, err
	}
	if intact == len(data) {
		return records, nil
	}
	if len(records) == 0 || intactAfter(data[intact:]) {
		return nil, fmt.Errorf("bad record at byte %d: %w", intact, ErrCorrupt)
	}
	return records, nil
}

// replay applies one record to what was read so far.
func replay(r record, from *base, l *RecoveredState) error {
	switch {
	case r.Base != nil:
		*from = *r.Base
		l.Entries = nil
	case r.Hard != nil:
		l.HardState = *r.Hard
	case r.Entry != nil:
		last := from.Index + samphirepass.Revision(len(l.Entries))
		if r.Entry.Index <= from.Index || r.Entry.Index > last+1 {
			return fmt.Errorf("entry %d follows %d: %w", r.Entry.Index, last, ErrCorrupt)
		}
		l.Entries = append(l.Entries[:r.Entry.Index-from.Index-1], *r.Entry)
	}
	return nil
}

// joinSnapshot drops the entries that the snapshot covers, and all of them where the log does not agree with it.
func joinSnapshot(from base, l *RecoveredState) error {
	if from.Index > l.Snapshot.Index {
		return fmt.Errorf("log starts after %d, snapshot ends at %d: %w", from.Index, l.Snapshot.Index, ErrCorrupt)
	}
	covered := l.Snapshot.Index - from.Index
	if covered == 0 {
		return nil
	}
	if covered > samphirepass.Revision(len(l.Entries)) || l.Entries[covered-1].Term != l.Snapshot.Term {
		l.Entries = nil
		return nil
	}
	l.Entries = l.Entries[covered:]
	return nil
}

// Save appends the hard state and the entries, either of which may be empty, and syncs once.
func (s *Store) Save(hard *quorum.HardState, entries []quorum.Entry) error {
	if hard == nil && len(entries) == 0 {
		return nil
	}
	if hard != nil {
		s.hard = *hard
	}
	data, err := encodeRecords(hard, entries)
	if err != nil {
		return err
	}
	if _, err := s.segment.Write(data); err != nil {
		return fmt.Errorf("append to log: %w", err)
	}
	if err := s.segment.Sync(); err != nil {
		return fmt.Errorf("sync log: %w", err)
	}
	return nil
}

func encodeRecords(hard *quorum.HardState, entries []quorum.Entry) ([]byte, error) {
	var out []byte
	if hard != nil {
		b, err := encodeRecord(record{Hard: hard})
		if err != nil {
			return nil, err
		}
		out = append(out, b...)
	}
	for i := range entries {
		b, err := encodeRecord(record{Entry: &entries[i]})
		if err != nil {
			return nil, err
		}
		out = append(out, b...)
	}
	return out, nil
}

// SaveSnapshot makes snapshot the start of the log, followed by tail, and removes what it replaces.
func (s *Store) SaveSnapshot(snapshot quorum.Snapshot, tail []quorum.Entry) error {
	if err := s.WriteSnapshot(snapshot); err != nil {
		return err
	}
	return s.Compact(snapshot, tail)
}

// WriteSnapshot writes a snapshot without touching the log; it may run beside the other methods, but not beside itself.
func (s *Store) WriteSnapshot(snapshot quorum.Snapshot) error {
	payload, err := cbor.Marshal(snapshot)
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	if err := s.writeFile(snapshotTemporaryName, snapshotName(snapshot.Index), frame(payload)); err != nil {
		return fmt.Errorf("write snapshot: %w", err)
	}
	return nil
}

// Compact makes a written snapshot the start of the log, followed by tail, and removes what it replaces.
func (s *Store) Compact(snapshot quorum.Snapshot, tail []quorum.Entry) error {
	return s.rotate(snapshot, tail)
}

// rotate starts a new segment that holds the hard state and tail, and removes what came before it.
func (s *Store) rotate(snapshot quorum.Snapshot, tail []quorum.Entry) error {
	head, err := encodeRecord(record{Base: &base{Index: snapshot.Index, Term: snapshot.Term}})
	if err != nil {
		return err
	}
	rest, err := encodeRecords(&s.hard, tail)
	if err != nil {
		return err
	}
	if s.segment != nil {
		if err := s.segment.Close(); err != nil {
			return fmt.Errorf("close segment: %w", err)
		}
	}
	s.sequence++
	name := fmt.Sprintf("%s%020d", segmentPrefix, s.sequence)
	if err := s.writeFile(temporaryName, name, append(head, rest...)); err != nil {
		return fmt.Errorf("start segment: %w", err)
	}
	if s.segment, err = s.files.Append(name); err != nil {
		return fmt.Errorf("start segment: %w", err)
	}
	return s.removeOld(name, snapshotName(snapshot.Index))
}

func snapshotName(index samphirepass.Revision) string {
	return fmt.Sprintf("%s%020d", snapshotPrefix, index)
}

func (s *Store) removeOld(segment, snapshot string) error {
	names, err := s.files.List()
	if err != nil {
		return fmt.Errorf("remove old files: %w", err)
	}
	for _, name := range names {
		oldSegment := strings.HasPrefix(name, segmentPrefix) && name < segment
		oldSnapshot := strings.HasPrefix(name, snapshotPrefix) && name < snapshot
		if !oldSegment && !oldSnapshot {
			continue
		}
		if err := s.files.Remove(name); err != nil {
			return fmt.Errorf("remove old files: %w", err)
		}
	}
	return nil
}

func (s *Store) writeIdentity(id Identity) error {
	payload, err := cbor.Marshal(id)
	if err != nil {
		return fmt.Errorf("encode identity: %w", err)
	}
	return s.writeFile(temporaryName, identityName, frame(payload))
}

// writeFile replaces a file so that after a crash either the old or the new content stands.
func (s *Store) writeFile(temporary, name string, data []byte) error {
	f, err := s.files.Append(temporary)
	if err != nil {
		return fmt.Errorf("create temporary file: %w", err)
	}
	defer f.Close()
	if err := f.Truncate(0); err != nil {
		return fmt.Errorf("empty temporary file: %w", err)
	}
	if _, err := f.Write(data); err != nil {
		return fmt.Errorf("write temporary file: %w", err)
	}
	if err := f.Sync(); err != nil {
		return fmt.Errorf("sync temporary file: %w", err)
	}
	if err := s.files.Rename(temporary, name); err != nil {
		return fmt.Errorf("replace %s: %w", name, err)
	}
	if err := s.files.SyncFolder(); err != nil {
		return fmt.Errorf("replace %s: %w", name, err)
	}
	return nil
}

// Reformat removes everything and gives the folder a new identity.
func (s *Store) Reformat(disk samphirepass.DiskID) (Identity, error) {
	names, err := s.files.List()
	if err != nil {
		return Identity{}, fmt.Errorf("reformat: %w", err)
	}
	id := Identity{Disk: disk, Boot: 1}
	// The identity changes first, so that a half removed log can never count as the old disk's.
	if err := s.writeIdentity(id); err != nil {
		return Identity{}, fmt.Errorf("reformat: %w", err)
	}
	for _, name := range append(withPrefix(names, segmentPrefix), withPrefix(names, snapshotPrefix)...) {
		if err := s.files.Remove(name); err != nil {
			return Identity{}, fmt.Errorf("reformat: %w", err)
		}
	}
	s.hard = quorum.HardState{}
	return id, s.rotate(quorum.Snapshot{}, nil)
}

// Close closes the open segment.
func (s *Store) Close() error {
	if err := s.segment.Close(); err != nil {
		return fmt.Errorf("close store: %w", err)
	}
	return nil
}

func withPrefix(names []string, prefix string) []string {
	var out []string
	for _, name := range names {
		if strings.HasPrefix(name, prefix) {
			out = append(out, name)
		}
	}
	return out
}
