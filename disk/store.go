package disk

import (
	"fmt"
	"strings"

	"samphirepass"
	"samphirepass/cbor"
	"samphirepass/quorum"
)

const (
	identityFile = "identity"
	tempFile     = "new"
	// snapshotTempFile differs from tempFile because WriteSnapshot may run while another file is being written.
	snapshotTempFile = "new-snapshot"
	segmentPrefix    = "segment-"
	snapshotPrefix   = "snapshot-"
)

// Identity identifies a formatted data folder.
type Identity struct {
	Disk samphirepass.DiskID
	// Boot is the number of times that the folder was opened under this disk ID.
	Boot uint64
}

// RecoveredState is the state that Open read from a data folder. Entries follow Snapshot.
type RecoveredState struct {
	Identity
	HardState quorum.HardState
	Snapshot  quorum.Snapshot
	Entries   []quorum.Entry
}

// Store persists the state of one member of the replicated log in a data folder. Except for WriteSnapshot it is not safe
// for concurrent use. After an error it must not be written to again.
type Store struct {
	files   samphirepass.DataFolder
	segment samphirepass.File
	// sequence is the sequence number of the open segment.
	sequence  uint64
	hardState quorum.HardState
}

// Open recovers the state of a data folder, increments its boot count and starts a new segment for writing. An empty folder
// gets the disk ID newDisk. The error wraps ErrCorrupt if synced data cannot be read back, and cbor.ErrUnknownFields if a later version has written
// what this one would drop; the folder is then as it was.
func Open(files samphirepass.DataFolder, newDisk samphirepass.DiskID) (*Store, RecoveredState, error) {
	s := &Store{files: files}
	names, err := files.List()
	if err != nil {
		return nil, RecoveredState{}, fmt.Errorf("open store: %w", err)
	}
	recovered := RecoveredState{Identity: Identity{Disk: newDisk}}
	if err := s.readIdentity(names, &recovered.Identity); err != nil {
		return nil, RecoveredState{}, err
	}
	if err := s.readSnapshot(names, &recovered.Snapshot); err != nil {
		return nil, RecoveredState{}, err
	}
	if err := s.readNewestSegment(names, &recovered); err != nil {
		return nil, RecoveredState{}, err
	}
	s.hardState = recovered.HardState
	recovered.Boot++
	if err := s.writeIdentity(recovered.Identity); err != nil {
		return nil, RecoveredState{}, err
	}
	if err := s.rotate(recovered.Snapshot, recovered.Entries); err != nil {
		return nil, RecoveredState{}, err
	}
	return s, recovered, nil
}

func (s *Store) readIdentity(names []string, id *Identity) error {
	for _, name := range names {
		if name == identityFile {
			return s.decodeFile(name, id)
		}
	}
	if len(withPrefix(names, segmentPrefix))+len(withPrefix(names, snapshotPrefix)) > 0 {
		return fmt.Errorf("read identity: file is missing, but the folder holds segments or snapshots: %w", ErrCorrupt)
	}
	return nil
}

// decodeFile decodes a file that consists of a single frame into v.
func (s *Store) decodeFile(name string, v any) error {
	data, err := s.files.Read(name)
	if err != nil {
		return fmt.Errorf("read %s: %w", name, err)
	}
	payload, n, ok := unframe(data)
	if !ok || n != len(data) {
		return fmt.Errorf("read %s: not a single frame with a valid checksum: %w", name, ErrCorrupt)
	}
	if err := decode(payload, v); err != nil {
		return fmt.Errorf("read %s: %w", name, err)
	}
	return nil
}

func (s *Store) readSnapshot(names []string, snapshot *quorum.Snapshot) error {
	snapshots := withPrefix(names, snapshotPrefix)
	if len(snapshots) == 0 {
		return nil
	}
	return s.decodeFile(snapshots[len(snapshots)-1], snapshot)
}

// readNewestSegment reads only the newest segment, because each segment starts with a copy of all state that is still needed
// from earlier ones.
func (s *Store) readNewestSegment(names []string, state *RecoveredState) error {
	segments := withPrefix(names, segmentPrefix)
	if len(segments) == 0 {
		return nil
	}
	name := segments[len(segments)-1]
	if _, err := fmt.Sscanf(name, segmentPrefix+"%d", &s.sequence); err != nil {
		return fmt.Errorf("read %s: parse sequence number in the file name: %w", name, err)
	}
	records, err := s.readSegment(name)
	if err != nil {
		return fmt.Errorf("read %s: %w", name, err)
	}
	var base segmentBase
	for _, r := range records {
		if err := replay(r, &base, state); err != nil {
			return fmt.Errorf("read %s: %w", name, err)
		}
	}
	return trimToSnapshot(base, state)
}

// readSegment returns the records of a segment without a torn tail, which is what a crash leaves of an unsynced write.
// A bad record with an intact one after it, or at the start of the segment, means corruption.
func (s *Store) readSegment(name string) ([]record, error) {
	data, err := s.files.Read(name)
	if err != nil {
		return nil, fmt.Errorf("read segment: %w", err)
	}
	records, intactBytes, err := decodeSegment(data)
	if err != nil {
		return nil, err
	}
	if intactBytes == len(data) {
		return records, nil
	}
	if len(records) == 0 || hasLaterRecord(data[intactBytes:]) {
		return nil, fmt.Errorf("invalid record at byte %d: %w", intactBytes, ErrCorrupt)
	}
	return records, nil
}

// replay applies one record to base and to the state recovered so far. An entry replaces the one at its index and drops all
// entries after it.
func replay(r record, base *segmentBase, state *RecoveredState) error {
	switch {
	case r.Base != nil:
		*base = *r.Base
		state.Entries = nil
	case r.HardState != nil:
		state.HardState = *r.HardState
	case r.Entry != nil:
		last := base.Index + samphirepass.Revision(len(state.Entries))
		if r.Entry.Index <= base.Index || r.Entry.Index > last+1 {
			return fmt.Errorf("entry %d is out of sequence after entry %d: %w", r.Entry.Index, last, ErrCorrupt)
		}
		state.Entries = append(state.Entries[:r.Entry.Index-base.Index-1], *r.Entry)
	}
	return nil
}

// trimToSnapshot drops the entries that the snapshot covers, or all entries if the log does not hold the snapshot's last entry
// with the same term.
func trimToSnapshot(base segmentBase, state *RecoveredState) error {
	if base.Index > state.Snapshot.Index {
		return fmt.Errorf("log starts after entry %d, but the snapshot ends at entry %d: %w", base.Index, state.Snapshot.Index, ErrCorrupt)
	}
	covered := state.Snapshot.Index - base.Index
	if covered == 0 {
		return nil
	}
	if covered > samphirepass.Revision(len(state.Entries)) || state.Entries[covered-1].Term != state.Snapshot.Term {
		state.Entries = nil
		return nil
	}
	state.Entries = state.Entries[covered:]
	return nil
}

// Save appends the hard state, unless it is nil, and the entries, and syncs them to stable storage in one call.
func (s *Store) Save(hardState *quorum.HardState, entries []quorum.Entry) error {
	if hardState == nil && len(entries) == 0 {
		return nil
	}
	if hardState != nil {
		s.hardState = *hardState
	}
	data, err := encodeRecords(hardState, entries)
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

func encodeRecords(hardState *quorum.HardState, entries []quorum.Entry) ([]byte, error) {
	var out []byte
	if hardState != nil {
		b, err := encodeRecord(record{HardState: hardState})
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

// SaveSnapshot writes a snapshot and compacts the log as Compact does. WriteSnapshot may run concurrently with another snapshot.
func (s *Store) SaveSnapshot(snapshot quorum.Snapshot, tail []quorum.Entry) error {
	if err := s.writeSnapshot(tempFile, snapshot); err != nil {
		return err
	}
	return s.Compact(snapshot, tail)
}

// WriteSnapshot writes a snapshot and leaves the log as it is. It may run concurrently with the other methods, but not with
// itself.
func (s *Store) WriteSnapshot(snapshot quorum.Snapshot) error {
	return s.writeSnapshot(snapshotTempFile, snapshot)
}

func (s *Store) writeSnapshot(tempName string, snapshot quorum.Snapshot) error {
	payload, err := cbor.Marshal(snapshot)
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	if err := s.writeFile(tempName, snapshotName(snapshot.Index), frame(payload)); err != nil {
		return fmt.Errorf("write snapshot: %w", err)
	}
	return nil
}

// Compact restarts the log after a snapshot that WriteSnapshot has written, with the entries of tail, and removes older
// segments and snapshots.
func (s *Store) Compact(snapshot quorum.Snapshot, tail []quorum.Entry) error {
	return s.rotate(snapshot, tail)
}

// rotate starts a new segment with the hard state and the entries of tail, and removes older segments and snapshots.
func (s *Store) rotate(snapshot quorum.Snapshot, tail []quorum.Entry) error {
	start, err := encodeRecord(record{Base: &segmentBase{Index: snapshot.Index, Term: snapshot.Term}})
	if err != nil {
		return err
	}
	state, err := encodeRecords(&s.hardState, tail)
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
	if err := s.writeFile(tempFile, name, append(start, state...)); err != nil {
		return fmt.Errorf("write new segment: %w", err)
	}
	if s.segment, err = s.files.Append(name); err != nil {
		return fmt.Errorf("open new segment: %w", err)
	}
	return s.removeOldFiles(name, snapshotName(snapshot.Index))
}

func snapshotName(index samphirepass.Revision) string {
	return fmt.Sprintf("%s%020d", snapshotPrefix, index)
}

func (s *Store) removeOldFiles(segment, snapshot string) error {
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
	return s.writeFile(tempFile, identityFile, frame(payload))
}

// writeFile replaces a file atomically: after a crash it has either the old or the new content.
func (s *Store) writeFile(tempName, name string, data []byte) error {
	f, err := s.files.Append(tempName)
	if err != nil {
		return fmt.Errorf("create temporary file: %w", err)
	}
	defer f.Close()
	if err := f.Truncate(0); err != nil {
		return fmt.Errorf("truncate temporary file: %w", err)
	}
	if _, err := f.Write(data); err != nil {
		return fmt.Errorf("write temporary file: %w", err)
	}
	if err := f.Sync(); err != nil {
		return fmt.Errorf("sync temporary file: %w", err)
	}
	if err := s.files.Rename(tempName, name); err != nil {
		return fmt.Errorf("replace %s: %w", name, err)
	}
	if err := s.files.SyncFolder(); err != nil {
		return fmt.Errorf("replace %s: %w", name, err)
	}
	return nil
}

// Reformat gives the folder a new disk ID and removes its log and snapshots.
func (s *Store) Reformat(disk samphirepass.DiskID) (Identity, error) {
	names, err := s.files.List()
	if err != nil {
		return Identity{}, fmt.Errorf("reformat: %w", err)
	}
	id := Identity{Disk: disk, Boot: 1}
	// The identity is replaced first, so that after a crash a partly removed log is never taken for that of the old disk.
	if err := s.writeIdentity(id); err != nil {
		return Identity{}, fmt.Errorf("reformat: %w", err)
	}
	for _, name := range append(withPrefix(names, segmentPrefix), withPrefix(names, snapshotPrefix)...) {
		if err := s.files.Remove(name); err != nil {
			return Identity{}, fmt.Errorf("reformat: %w", err)
		}
	}
	s.hardState = quorum.HardState{}
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
