package ledger

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"

	"samphirepass"
	"samphirepass/cbor"
)

const (
	// maxEvents is the number of past events kept for watches that resume from an earlier revision.
	maxEvents = 4096
	// changeRetentionMs is how long the answer to a change is kept, so that a resend gets the same answer.
	changeRetentionMs samphirepass.Millis = 24 * 3600 * 1000
)

// changeRecord is the recorded answer to a change.
type changeRecord struct {
	ID        samphirepass.ChangeID
	AppliedMs samphirepass.Millis
	Result    samphirepass.ChangeResult
}

// snapshotData is the content of a snapshot. It is encoded as an array, so the order and types of its fields are its format.
type snapshotData struct {
	// NowMs is the highest wall time among the applied commands.
	NowMs samphirepass.Millis
	// Formed is set by FinishForming.
	Formed    bool
	SeatCount int
	Revision  samphirepass.Revision
	// SeatsRevision is the revision of the last seat change.
	SeatsRevision samphirepass.Revision
	Resources     map[string]samphirepass.Resource
	// LastChange holds the last change of each resource, deleted ones included.
	LastChange map[string]samphirepass.ChangeID
	Events     []samphirepass.ResourceEvent
	// EventsAfter is the revision of the last dropped event; Events holds all later ones.
	EventsAfter samphirepass.Revision
	Changes     []changeRecord
	Runs        map[samphirepass.RunKey]samphirepass.RunRecord
	// NewestPurgedKeyMs is the newest key time among the purged run records of each service.
	NewestPurgedKeyMs map[samphirepass.Service]samphirepass.Millis
	Seats             []Seat
	// ReleasedBy is the process of each VM that last released its seat.
	ReleasedBy map[samphirepass.VM]string
	// Routing is the routing document with the highest version.
	Routing samphirepass.RoutingDocument
	// Evacuations holds the last order for each data centre that was ever evacuated.
	Evacuations map[samphirepass.DataCentre]evacuationRecord
	// EvacuationsRevision is the index at which the set of evacuated data centres last changed.
	EvacuationsRevision samphirepass.Revision
	// Level is the highest of the applied commands.
	Level samphirepass.Level
}

// State is the replicated state; it is safe for concurrent use.
type State struct {
	mu sync.RWMutex
	// reads is the highest level of a snapshot that is restored.
	reads samphirepass.Level
	data  snapshotData
	// changes indexes data.Changes by id.
	changes map[samphirepass.ChangeID]samphirepass.ChangeResult
	expiry  expiryHeap
}

// New returns an empty state that restores snapshots up to ReadLevel.
func New() *State { return NewAt(ReadLevel) }

// NewAt returns an empty state that restores snapshots up to a level.
func NewAt(level samphirepass.Level) *State {
	s := &State{reads: level}
	s.load(snapshotData{})
	return s
}

func (s *State) load(c snapshotData) {
	if c.Resources == nil {
		c.Resources = map[string]samphirepass.Resource{}
	}
	if c.LastChange == nil {
		c.LastChange = map[string]samphirepass.ChangeID{}
	}
	if c.Runs == nil {
		c.Runs = map[samphirepass.RunKey]samphirepass.RunRecord{}
	}
	if c.ReleasedBy == nil {
		c.ReleasedBy = map[samphirepass.VM]string{}
	}
	if c.NewestPurgedKeyMs == nil {
		c.NewestPurgedKeyMs = map[samphirepass.Service]samphirepass.Millis{}
	}
	if c.Evacuations == nil {
		c.Evacuations = map[samphirepass.DataCentre]evacuationRecord{}
	}
	s.data = c
	s.changes = make(map[samphirepass.ChangeID]samphirepass.ChangeResult, len(c.Changes))
	for _, record := range c.Changes {
		s.changes[record.ID] = record.Result
	}
	s.expiry = newExpiryHeap(c.Runs)
}

// StateCopy is a copy of the state at one log index. It can be encoded while further commands are applied to the state.
type StateCopy struct {
	data snapshotData
}

// Copy returns a copy of the state at the last applied index.
func (s *State) Copy() StateCopy {
	s.mu.RLock()
	defer s.mu.RUnlock()
	c := s.data
	c.Resources = maps.Clone(c.Resources)
	c.LastChange = maps.Clone(c.LastChange)
	c.Runs = maps.Clone(c.Runs)
	c.NewestPurgedKeyMs = maps.Clone(c.NewestPurgedKeyMs)
	c.ReleasedBy = maps.Clone(c.ReleasedBy)
	c.Seats = slices.Clone(c.Seats)
	c.Evacuations = maps.Clone(c.Evacuations)
	return StateCopy{data: c}
}

// Encode returns the copy as the data of a snapshot, in CBOR.
func (c StateCopy) Encode() ([]byte, error) {
	b, err := cbor.Marshal(c.data)
	if err != nil {
		return nil, fmt.Errorf("encode ledger snapshot: %w", err)
	}
	return b, nil
}

// Snapshot returns the state as the data of a snapshot, in CBOR.
func (s *State) Snapshot() ([]byte, error) {
	return s.Copy().Encode()
}

// RecordCount returns the number of resources, events, answered changes and runs, which a snapshot consists of for the most part.
func (s *State) RecordCount() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.data.Resources) + len(s.data.Events) + len(s.data.Changes) + len(s.data.Runs)
}

// Restore replaces the state with the data of a snapshot; empty data gives the empty state. It changes nothing if the snapshot holds what only a
// later version knows, and then returns an error that wraps ErrLaterLevel or cbor.ErrUnknownFields.
func (s *State) Restore(data []byte) error {
	var c snapshotData
	if len(data) > 0 {
		err := cbor.UnmarshalKnown(data, &c)
		if later := CheckLevel(c.Level, s.reads); later != nil {
			err = later
		}
		if err != nil {
			return fmt.Errorf("decode ledger snapshot: %w", err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load(c)
	return nil
}

// Apply applies the command at one log index. It is deterministic: every member that applies the same commands
// in the same order gets the same state and results.
func (s *State) Apply(index samphirepass.Revision, cmd Command) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data.NowMs, s.data.Level = max(s.data.NowMs, cmd.NowMs), max(s.data.Level, cmd.Level)
	s.purgeRuns()
	switch {
	case cmd.Change != nil:
		r := s.applyChange(index, *cmd.Change)
		return Result{Change: &r}
	case cmd.Claim != nil:
		r := s.applyClaim(*cmd.Claim)
		return Result{Claim: &r}
	case cmd.Outcome != nil:
		return Result{Code: s.applyOutcome(*cmd.Outcome)}
	case cmd.Seat != nil:
		return Result{Code: s.applySeat(index, *cmd.Seat)}
	case cmd.FinishForming != nil:
		s.data.Formed = true
		s.data.SeatCount = cmd.FinishForming.SeatCount
		s.data.Revision = index
	case cmd.Routing != nil:
		return Result{Code: s.applyRouting(*cmd.Routing)}
	case cmd.Evacuation != nil:
		return Result{Code: s.applyEvacuation(index, *cmd.Evacuation)}
	}
	return Result{}
}

// Formed reports whether FinishForming has been applied, that is, whether all first members of the log have joined.
func (s *State) Formed() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.data.Formed
}

// Revision returns the index of the last command that changed a resource or a seat or finished the forming.
func (s *State) Revision() samphirepass.Revision {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.data.Revision
}

// Level returns the highest level of the commands applied so far.
func (s *State) Level() samphirepass.Level {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.data.Level
}

// View returns the current configuration, resources sorted by kind and name.
func (s *State) View() View {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v := View{
		Revision: s.data.Revision, Seats: slices.Clone(s.data.Seats),
		SeatCount: s.data.SeatCount, SeatsRevision: s.data.SeatsRevision,
	}
	for _, r := range s.data.Resources {
		v.Resources = append(v.Resources, r)
	}
	slices.SortFunc(v.Resources, func(a, b samphirepass.Resource) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return v
}

// EventsSince returns the events after revision, or false if some of them have been dropped.
func (s *State) EventsSince(revision samphirepass.Revision) ([]samphirepass.ResourceEvent, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if revision < s.data.EventsAfter {
		return nil, false
	}
	i, _ := slices.BinarySearchFunc(s.data.Events, revision+1, func(e samphirepass.ResourceEvent, r samphirepass.Revision) int {
		return cmp.Compare(e.Revision, r)
	})
	return slices.Clone(s.data.Events[i:]), true
}
