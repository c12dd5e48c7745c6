package leaf_test

import (
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/leaf"
)

// manualClock is a clock that only moves when a test sets it.
type manualClock struct{ now samphirepass.Millis }

func (m *manualClock) Now() samphirepass.Millis  { return m.now }
func (m *manualClock) Wall() samphirepass.Millis { return m.now }

func newAnnouncement(name string, incarnation samphirepass.Incarnation, sequence uint64, state samphirepass.LeafState, h ...samphirepass.Holding) samphirepass.Announcement {
	return samphirepass.Announcement{
		Leaf: samphirepass.Leaf(name), Service: "desk", Address: "127.0.0.1:1", DataCentre: "derby", Incarnation: incarnation,
		Sequence: sequence, State: state, Holdings: h, Slots: 3, Connections: 30,
	}
}

func TestProofNewestAnnouncementWins(t *testing.T) {
	serving := newAnnouncement("a", 5, 9, samphirepass.LeafServing)
	tests := map[string]struct {
		next  samphirepass.Announcement
		newer bool
	}{
		"a later sequence":                   {next: newAnnouncement("a", 5, 10, samphirepass.LeafServing), newer: true},
		"the same again":                     {next: serving},
		"an earlier sequence":                {next: newAnnouncement("a", 5, 8, samphirepass.LeafServing)},
		"a later incarnation":                {next: newAnnouncement("a", 6, 1, samphirepass.LeafServing), newer: true},
		"an earlier incarnation":             {next: newAnnouncement("a", 4, 99, samphirepass.LeafServing)},
		"a drain wins over a later sequence": {next: newAnnouncement("a", 5, 2, samphirepass.LeafDraining), newer: true},
		"a drain of an earlier incarnation":  {next: newAnnouncement("a", 4, 99, samphirepass.LeafDraining)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := leaf.NewRegistry(&manualClock{})
			r.Apply(serving, 0, true)
			newer, _ := r.Apply(tt.next, 0, false)
			require.Equal(t, tt.newer, newer)
		})
	}
}

func TestProofDrainIsFinal(t *testing.T) {
	r := leaf.NewRegistry(&manualClock{})
	r.Apply(newAnnouncement("a", 5, 9, samphirepass.LeafDraining), 0, true)
	newer, _ := r.Apply(newAnnouncement("a", 5, 50, samphirepass.LeafServing), 0, true)
	require.False(t, newer)
	newer, _ = r.Apply(newAnnouncement("a", 6, 1, samphirepass.LeafServing), 0, true)
	require.True(t, newer)
}

// TestProofDepartureOfSilentLeafIsKept guards against a departure that is forgotten at once, or refused by other processes as outdated,
// because the leaf had been silent for longer than a departure is kept.
func TestProofDepartureOfSilentLeafIsKept(t *testing.T) {
	const (
		silence samphirepass.Millis = 11 * 60 * 1000
		later   samphirepass.Millis = 9 * 60 * 1000
	)
	tests := map[string]func(r *leaf.Registry){
		"it leaves":               func(r *leaf.Registry) { r.MarkGone("a") },
		"it says so in an answer": func(r *leaf.Registry) { r.SetLeaving("a", 5) },
		"another leaf has its address": func(r *leaf.Registry) {
			other := newAnnouncement("b", 6, 1, samphirepass.LeafServing)
			other.StartedMs = 6
			r.Apply(other, 0, true)
		},
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			clock := &manualClock{now: 1}
			serving := newAnnouncement("a", 5, 1, samphirepass.LeafServing)
			serving.StartedMs = 5
			here, elsewhere := leaf.NewRegistry(clock), leaf.NewRegistry(clock)
			here.Apply(serving, 0, true)
			elsewhere.Apply(serving, 0, true)
			clock.now += silence
			leave(here)
			for range 2 {
				here.RemoveExpired()
				known, ok := here.Newest("a")
				require.True(t, ok)
				require.True(t, known.Announcement.State.Leaving())
				elsewhere.ApplyAged(known)
				known, _ = elsewhere.Newest("a")
				require.True(t, known.Announcement.State.Leaving())
				clock.now += later
			}
		})
	}
}

// TestProofSilence checks which leaves are usable when some or all of them have sent no heartbeat for long.
func TestProofSilence(t *testing.T) {
	tests := map[string]struct {
		ages  map[string]samphirepass.Millis
		drain string
		want  int
	}{
		"all alive":  {ages: map[string]samphirepass.Millis{"a": 100, "b": 100, "c": 100}, want: 3},
		"one silent": {ages: map[string]samphirepass.Millis{"a": 9000, "b": 100, "c": 100}, want: 2},
		"most silent: not the fault of the leaves": {ages: map[string]samphirepass.Millis{"a": 9000, "b": 9000, "c": 100}, want: 3},
		"all silent":                              {ages: map[string]samphirepass.Millis{"a": 9000, "b": 9000, "c": 9000}, want: 3},
		"most silent, and one is draining":        {ages: map[string]samphirepass.Millis{"a": 9000, "b": 9000, "c": 9000}, drain: "b", want: 2},
		"a draining one does not count as silent": {ages: map[string]samphirepass.Millis{"a": 9000, "b": 100, "c": 100}, drain: "b", want: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			clock := &manualClock{now: 100_000}
			r := leaf.NewRegistry(clock)
			for leafName, age := range tt.ages {
				state := samphirepass.LeafServing
				if leafName == tt.drain {
					state = samphirepass.LeafDraining
				}
				r.Apply(newAnnouncement(leafName, 1, 1, state), age, false)
			}
			usable, _ := r.Usable("desk")
			require.Len(t, usable, tt.want)
			for _, reg := range usable {
				require.NotEqual(t, tt.drain, string(reg.Leaf))
			}
		})
	}
}

func TestExpiredLeavesAreRemoved(t *testing.T) {
	const minute = 60_000
	tests := map[string]struct {
		state samphirepass.LeafState
		age   samphirepass.Millis
		want  int
	}{
		"a recently drained leaf": {samphirepass.LeafDraining, 9 * minute, 1},
		"a drained leaf":          {samphirepass.LeafDraining, 11 * minute, 0},
		"a silent leaf for hours": {samphirepass.LeafServing, 23 * 60 * minute, 1},
		"a silent leaf for a day": {samphirepass.LeafServing, 25 * 60 * minute, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			clock := &manualClock{now: 1e9}
			r, empty := leaf.NewRegistry(clock), leaf.NewRegistry(clock).Digest()
			r.Apply(newAnnouncement("a", 1, 1, tt.state), 0, true)
			clock.now += tt.age
			announcements := r.Announcements()
			r.RemoveExpired()
			require.Len(t, r.All(), tt.want)
			require.Equal(t, tt.want == 0, r.Digest() == empty)
			r.Apply(announcements[0].Announcement, announcements[0].AgeMs, false)
			require.Len(t, r.All(), tt.want, "another entry's announcement must not bring it back")
		})
	}
}

// TestRegistriesConverge guards against different contents after two registries have exchanged their announcements.
func TestRegistriesConverge(t *testing.T) {
	a, b := leaf.NewRegistry(&manualClock{}), leaf.NewRegistry(&manualClock{})
	a.Apply(newAnnouncement("a", 1, 1, samphirepass.LeafServing), 0, true)
	a.Apply(newAnnouncement("b", 1, 7, samphirepass.LeafServing), 0, true)
	b.Apply(newAnnouncement("b", 1, 3, samphirepass.LeafDraining), 0, true)
	for _, pair := range [][2]*leaf.Registry{{a, b}, {b, a}} {
		for _, aged := range pair[0].Announcements() {
			pair[1].Apply(aged.Announcement, aged.AgeMs, false)
		}
	}
	require.Equal(t, a.Digest(), b.Digest())
}

func registration(name string, h ...samphirepass.Holding) leaf.Registration {
	return leaf.Registration{Announcement: newAnnouncement(name, 1, 1, samphirepass.LeafServing, h...)}
}

func holding(snapshot samphirepass.Snapshot, shards int, shard samphirepass.Shard) samphirepass.Holding {
	return samphirepass.Holding{Snapshot: snapshot, Shards: shards, Shard: shard}
}

// TestProofOneSnapshot checks which one of several snapshots a plan picks and how many of its shards are covered.
func TestProofOneSnapshot(t *testing.T) {
	tests := map[string]struct {
		leaves   []leaf.Registration
		avoid    samphirepass.Snapshot
		snapshot samphirepass.Snapshot
		covered  int
		total    int
	}{
		"none": {},
		"the newest whole one": {
			leaves:   []leaf.Registration{registration("a", holding(1, 2, 0), holding(2, 2, 0)), registration("b", holding(1, 2, 1), holding(2, 2, 1))},
			snapshot: 2, covered: 2, total: 2,
		},
		"an older whole one before a newer one that lacks a shard": {
			leaves:   []leaf.Registration{registration("a", holding(1, 2, 0), holding(2, 3, 0)), registration("b", holding(1, 2, 1), holding(2, 3, 1))},
			snapshot: 1, covered: 2, total: 2,
		},
		"the one with the largest covered share if none is whole": {
			leaves:   []leaf.Registration{registration("a", holding(1, 3, 0), holding(2, 4, 0)), registration("b", holding(1, 3, 1))},
			snapshot: 1, covered: 2, total: 3,
		},
		"shards that no leaf announced are missing": {
			leaves: []leaf.Registration{registration("a", holding(1, 5, 0))}, snapshot: 1, covered: 1, total: 5,
		},
		"a leaf that announces fewer shards does not make it whole": {
			leaves: []leaf.Registration{registration("a", holding(1, 1, 0)), registration("b", holding(1, 2, 1))}, snapshot: 1, covered: 1, total: 2,
		},
		"not the excluded one": {
			leaves:   []leaf.Registration{registration("a", holding(1, 1, 0), holding(2, 1, 0))},
			avoid:    2,
			snapshot: 1, covered: 1, total: 1,
		},
		"a duplicate holding counts once": {
			leaves: []leaf.Registration{registration("a", holding(1, 2, 0), holding(1, 2, 0))}, snapshot: 1, covered: 1, total: 2,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := leaf.MakePlan(tt.leaves, tt.avoid)
			require.Equal(t, tt.snapshot, p.Snapshot)
			require.Equal(t, tt.covered, p.Covered())
			require.Len(t, p.Shards, tt.total)
		})
	}
}

func TestProofSharesAddUpToTheLimit(t *testing.T) {
	for _, limit := range []int{1, 7, 10, 30, 40, 120} {
		for _, seats := range []int{1, 2, 3, 10, 40} {
			for _, name := range []string{"a", "b", "member-register-3-1"} {
				a := newAnnouncement(name, 1, 1, samphirepass.LeafServing)
				a.Connections = limit
				sum := 0
				for seat := range seats {
					sum += leaf.Share(a, seat, seats)
				}
				require.Equal(t, limit, sum, "limit %d seats %d", limit, seats)
			}
		}
	}
	require.Zero(t, leaf.Share(newAnnouncement("a", 1, 1, samphirepass.LeafServing), 0, 0))
}

// TestOddAnnouncementsAreNotKept guards against an entry of another writer that each process reads, from its peers or from a copy on disk,
// and that ends or misleads all of them.
func TestOddAnnouncementsAreNotKept(t *testing.T) {
	valid := newAnnouncement("a", 1, 1, samphirepass.LeafServing, samphirepass.Holding{Snapshot: 1, Shards: 2, Shard: 1})
	tests := map[string]func(*samphirepass.Announcement){
		"no name":                   func(a *samphirepass.Announcement) { a.Leaf = "" },
		"a very long name":          func(a *samphirepass.Announcement) { a.Leaf = samphirepass.Leaf(strings.Repeat("a", 1000)) },
		"a very long service":       func(a *samphirepass.Announcement) { a.Service = samphirepass.Service(strings.Repeat("a", 1000)) },
		"no address":                func(a *samphirepass.Announcement) { a.Address = "" },
		"port 0":                    func(a *samphirepass.Announcement) { a.Address = "127.0.0.1:0" },
		"port out of range":         func(a *samphirepass.Announcement) { a.Address = "127.0.0.1:65536" },
		"slots that overflow":       func(a *samphirepass.Announcement) { a.Slots = math.MaxInt },
		"negative slots":            func(a *samphirepass.Announcement) { a.Slots = -1 },
		"connections that overflow": func(a *samphirepass.Announcement) { a.Connections = math.MaxInt },
		"cold for ever":             func(a *samphirepass.Announcement) { a.ColdMs = samphirepass.Millis(math.Inf(1)) },
		"cold for no number":        func(a *samphirepass.Announcement) { a.ColdMs = samphirepass.Millis(math.NaN()) },
		"started at no number":      func(a *samphirepass.Announcement) { a.StartedMs = samphirepass.Millis(math.NaN()) },
		"too many holdings":         func(a *samphirepass.Announcement) { a.Holdings = make([]samphirepass.Holding, 100_000) },
		"a shard of a huge index":   func(a *samphirepass.Announcement) { a.Holdings[0].Shards = math.MaxInt },
		"a shard beyond its index":  func(a *samphirepass.Announcement) { a.Holdings[0].Shard = math.MaxUint32 },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			r := leaf.NewRegistry(&manualClock{})
			odd := valid
			odd.Holdings = slices.Clone(valid.Holdings)
			change(&odd)
			newer, _ := r.Apply(odd, 0, false)
			require.False(t, newer)
			require.Empty(t, r.All())
			newer, _ = r.Apply(valid, 0, false)
			require.True(t, newer, "the others hold")
		})
	}
}
