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
	// maxEvents is the number of events that watches can go back.
	maxEvents = 4096
	// changeRetentionMs is how long the answer to a change is kept for resends.
	changeRetentionMs samphirepass.Millis = 24 * 3600 * 1000
)

type rememberedChange struct {
	ID     samphirepass.ChangeID
	AtMs   samphirepass.Millis
	Result samphirepass.ChangeResult
}

// contents is all that a snapshot holds.
type contents struct {
	NowMs     samphirepass.Millis
	Formed    bool
	SeatCount int
	Revision  samphirepass.Revision
	// SeatsRevision is the revision of the last seat change.
	SeatsRevision samphirepass.Revision
	Resources     map[string]samphirepass.Resource
	// LastChange names the change that each resource last underwent, also after its deletion.
	LastChange map[string]samphirepass.ChangeID
	Events     []samphirepass.ResourceEvent
	// EventsAfter is the revision that Events follow.
	EventsAfter samphirepass.Revision
	Changes     []rememberedChange
	Runs        map[samphirepass.RunKey]samphirepass.RunRecord
	// PurgedMs is the newest key time among the purged run records of a service.
	PurgedMs map[samphirepass.Service]samphirepass.Millis
	Seats    []Seat
	// Left names the process of each VM that gave its seat up last.
	Left map[samphirepass.VM]string
	// Routing is the routing document with the highest version.
	Routing samphirepass.RoutingDocument
}

// State is the replicated state and is safe for concurrent use.
type State struct {
	mu      sync.RWMutex
	c       contents
	changes map[samphirepass.ChangeID]samphirepass.ChangeResult
	expiry  expiryHeap
}

// New returns an empty state.
func New() *State {
	s := &State{}
	s.load(contents{})
	return s
}

func (s *State) load(c contents) {
	if c.Resources == nil {
		c.Resources = map[string]samphirepass.Resource{}
	}
	if c.LastChange == nil {
		c.LastChange = map[string]samphirepass.ChangeID{}
	}
	if c.Runs == nil {
		c.Runs = map[samphirepass.RunKey]samphirepass.RunRecord{}
	}
	if c.Left == nil {
		c.Left = map[samphirepass.VM]string{}
	}
	if c.PurgedMs == nil {
		c.PurgedMs = map[samphirepass.Service]samphirepass.Millis{}
	}
	s.c = c
	s.changes = make(map[samphirepass.ChangeID]samphirepass.ChangeResult, len(c.Changes))
	for _, one := range c.Changes {
		s.changes[one.ID] = one.Result
	}
	s.expiry = newExpiryHeap(c.Runs)
}

// StateCopy is a copy of the state at one index, which can be encoded while the state moves on.
type StateCopy struct {
	c contents
}

// Copy returns a copy of the state.
func (s *State) Copy() StateCopy {
	s.mu.RLock()
	defer s.mu.RUnlock()
	c := s.c
	c.Resources = maps.Clone(c.Resources)
	c.LastChange = maps.Clone(c.LastChange)
	c.Runs = maps.Clone(c.Runs)
	c.PurgedMs = maps.Clone(c.PurgedMs)
	c.Left = maps.Clone(c.Left)
	c.Seats = slices.Clone(c.Seats)
	return StateCopy{c: c}
}

// Encode returns the whole copy in bytes.
func (f StateCopy) Encode() ([]byte, error) {
	b, err := cbor.Marshal(f.c)
	if err != nil {
		return nil, fmt.Errorf("snapshot of the ledger: %w", err)
	}
	return b, nil
}

// Snapshot returns the whole state in bytes.
func (s *State) Snapshot() ([]byte, error) {
	return s.Copy().Encode()
}

// RecordCount counts the records that a snapshot holds.
func (s *State) RecordCount() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.c.Resources) + len(s.c.Events) + len(s.c.Changes) + len(s.c.Runs)
}

// Restore replaces the state by a snapshot; empty data is the empty state.
func (s *State) Restore(data []byte) error {
	var c contents
	if len(data) > 0 {
		if err := cbor.Unmarshal(data, &c); err != nil {
			return fmt.Errorf("restore the ledger: %w", err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load(c)
	return nil
}

// Apply applies the command of one log index, the same on every member.
func (s *State) Apply(index samphirepass.Revision, cmd Command) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.c.NowMs = max(s.c.NowMs, cmd.NowMs)
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
		s.c.Formed = true
		s.c.SeatCount = cmd.FinishForming.SeatCount
		s.c.Revision = index
	case cmd.Routing != nil:
		return Result{Code: s.applyRouting(*cmd.Routing)}
	}
	return Result{}
}

// Formed reports whether the log has all its first members.
func (s *State) Formed() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.c.Formed
}

// Revision returns the revision of the last change of the configuration.
func (s *State) Revision() samphirepass.Revision {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.c.Revision
}

// View returns the whole configuration.
func (s *State) View() View {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v := View{
		Revision: s.c.Revision, Seats: slices.Clone(s.c.Seats),
		SeatCount: s.c.SeatCount, SeatsRevision: s.c.SeatsRevision,
	}
	for _, r := range s.c.Resources {
		v.Resources = append(v.Resources, r)
	}
	slices.SortFunc(v.Resources, func(a, b samphirepass.Resource) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return v
}

// EventsSince returns the events after revision, or false if some of them are no longer held.
func (s *State) EventsSince(revision samphirepass.Revision) ([]samphirepass.ResourceEvent, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if revision < s.c.EventsAfter {
		return nil, false
	}
	i, _ := slices.BinarySearchFunc(s.c.Events, revision+1, func(e samphirepass.ResourceEvent, r samphirepass.Revision) int {
		return cmp.Compare(e.Revision, r)
	})
	return slices.Clone(s.c.Events[i:]), true
}
