package leaf

import (
	"encoding/binary"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"samphirepass"
)

// HeartbeatTimeoutMs is the silence after which a leaf counts as gone.
const HeartbeatTimeoutMs samphirepass.Millis = 4000

// RelayMaxAgeMs is the age up to which a direct announcement is passed on as a sign of life.
const RelayMaxAgeMs samphirepass.Millis = 2000

const (
	// forgetDrainedMs is the silence after which a leaf that drained is forgotten; none of its announcements is under way then.
	leavingRetentionMs samphirepass.Millis = 10 * 60 * 1000
	// forgetMs is the same for other leaves, longer than this side may be cut off.
	retentionMs samphirepass.Millis = 24 * 3600 * 1000
)

func retention(s samphirepass.LeafState) samphirepass.Millis {
	if s.Leaving() {
		return leavingRetentionMs
	}
	return retentionMs
}

// Registration is an announcement with the time at which it was last heard.
type Registration struct {
	samphirepass.Announcement
	// LastSeenMs is on this process's clock.
	LastSeenMs samphirepass.Millis
	// FirstSeenMs is when this incarnation was first heard of.
	FirstSeenMs samphirepass.Millis
	// Direct is set where the leaf itself announced to this process.
	Direct bool
	// content is a hash of all of the announcement but its sequence and its warm-up.
	contentHash uint64
	// changed is the registry's version at which content last changed.
	changedVersion uint64
}

// AgedAnnouncement is an announcement as it is passed between entries.
type AgedAnnouncement struct {
	Announcement samphirepass.Announcement
	AgeMs        samphirepass.Millis
}

// Heartbeat is a sign of life of a leaf that both entries know.
type Heartbeat struct {
	Leaf        samphirepass.Leaf
	Incarnation samphirepass.Incarnation
	Sequence    uint64
	AgeMs       samphirepass.Millis
}

// Registry holds the newest announcement of each leaf and is safe for concurrent use.
type Registry struct {
	clock samphirepass.Clock

	mu     sync.RWMutex
	leaves map[samphirepass.Leaf]Registration
	// addresses names the leaf that started last at each address, where leaves say when they started.
	byAddress map[string]samphirepass.Leaf
	// reports are the leaves that each source of announcements has not heard of for long.
	silentReports map[string]map[samphirepass.Leaf]bool
	version       uint64
	digest        uint64
	// changed is closed at the next change of the version; it is nil while nobody waits.
	changed chan struct{}
	// serving holds the leaves of each service that may get work; it is nil after a change of what it rests on.
	serving map[samphirepass.Service][]Registration
}

// NewRegistry returns an empty registry.
func NewRegistry(clock samphirepass.Clock) *Registry {
	return &Registry{
		clock: clock, leaves: map[samphirepass.Leaf]Registration{}, byAddress: map[string]samphirepass.Leaf{},
		silentReports: map[string]map[samphirepass.Leaf]bool{},
	}
}

// content returns a hash of all of an announcement but its sequence.
func hashContent(a samphirepass.Announcement) uint64 {
	d := xxhash.New()
	for _, s := range []string{string(a.Leaf), string(a.Service), a.Address, string(a.DataCentre), string(a.State)} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	numbers := []uint64{uint64(a.Incarnation), uint64(a.Slots), uint64(a.Connections), uint64(a.StartedMs)}
	for _, h := range a.Holdings {
		numbers = append(numbers, uint64(h.Snapshot), uint64(h.Shards), uint64(h.Shard))
	}
	var b []byte
	for _, n := range numbers {
		b = binary.LittleEndian.AppendUint64(b, n)
	}
	_, _ = d.Write(b)
	return d.Sum64()
}

// Apply takes in an announcement and reports whether it is new, and whether more than its sequence changed.
func (r *Registry) Apply(a samphirepass.Announcement, age samphirepass.Millis, direct bool) (newer, changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	have, ok := r.leaves[a.Leaf]
	// Another entry may not have forgotten yet what this one has.
	if age > retention(a.State) || (ok && !a.Newer(have.Announcement)) || !r.claimAddressLocked(a) {
		return false, false
	}
	reg := Registration{Announcement: a, LastSeenMs: now - age, FirstSeenMs: now, Direct: direct}
	if ok && have.Incarnation == a.Incarnation {
		reg.FirstSeenMs = have.FirstSeenMs
		reg.LastSeenMs = max(reg.LastSeenMs, have.LastSeenMs)
	}
	before, after := have.contentHash, hashContent(a)
	reg.contentHash = after
	reg.changedVersion = have.changedVersion
	if before != after {
		r.digest ^= before ^ after
		r.bumpLocked()
		reg.changedVersion = r.version
	}
	r.leaves[a.Leaf] = reg
	return true, before != after
}

// bumpLocked counts a change and wakes whoever waits for one.
func (r *Registry) bumpLocked() {
	r.version++
	r.serving = nil
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// Changed returns a channel that is closed once the version is above the given one.
func (r *Registry) Changed(version uint64) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.version > version {
		done := make(chan struct{})
		close(done)
		return done
	}
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// claimAddressLocked reports whether a is of the leaf that started last at its address; an earlier one there is gone.
// A late announcement of a crashed leaf must not take the address from the leaf that has it now.
func (r *Registry) claimAddressLocked(a samphirepass.Announcement) bool {
	if a.StartedMs == 0 {
		return true
	}
	other, ok := r.leaves[r.byAddress[a.Address]]
	if ok && other.Leaf != a.Leaf && other.Address == a.Address {
		if other.StartedMs > a.StartedMs {
			return false
		}
		r.markGoneLocked(other.Leaf)
	}
	r.byAddress[a.Address] = a.Leaf
	return true
}

// MarkGone takes in that the present life of a leaf is over or soon will be, and reports whether that is news.
func (r *Registry) MarkGone(name samphirepass.Leaf) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.markGoneLocked(name)
}

func (r *Registry) markGoneLocked(name samphirepass.Leaf) bool {
	reg, ok := r.leaves[name]
	if !ok || reg.State == samphirepass.LeafGone {
		return false
	}
	reg.State = samphirepass.LeafGone
	before := reg.contentHash
	reg.contentHash = hashContent(reg.Announcement)
	r.digest ^= before ^ reg.contentHash
	r.bumpLocked()
	reg.changedVersion = r.version
	r.leaves[name] = reg
	return true
}

// RemoveExpired drops the leaves that have been silent for so long that nothing of theirs can still be under way.
func (r *Registry) RemoveExpired() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for name, reg := range r.leaves {
		if now-reg.LastSeenMs > retention(reg.State) {
			delete(r.leaves, name)
			if r.byAddress[reg.Address] == name {
				delete(r.byAddress, reg.Address)
			}
			r.digest ^= reg.contentHash
			r.bumpLocked()
		}
	}
}

// ApplyHeartbeat takes in a sign of life.
func (r *Registry) ApplyHeartbeat(a Heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reg, ok := r.leaves[a.Leaf]
	if !ok || reg.Incarnation != a.Incarnation || a.Sequence < reg.Sequence {
		return
	}
	reg.LastSeenMs = max(reg.LastSeenMs, r.clock.Now()-a.AgeMs)
	r.leaves[a.Leaf] = reg
}

// Digest sums up what is known; two registries with equal digests know the same but for sequences.
func (r *Registry) Digest() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.digest
}

// Announcements returns everything known, for another entry.
func (r *Registry) Announcements() []AgedAnnouncement {
	r.mu.RLock()
	defer r.mu.RUnlock()
	now := r.clock.Now()
	out := make([]AgedAnnouncement, 0, len(r.leaves))
	for _, reg := range r.leaves {
		out = append(out, AgedAnnouncement{Announcement: reg.Announcement, AgeMs: now - reg.LastSeenMs})
	}
	return out
}

// Heartbeats returns the leaves that lately announced to this process itself.
func (r *Registry) Heartbeats() []Heartbeat {
	r.mu.RLock()
	defer r.mu.RUnlock()
	now := r.clock.Now()
	var out []Heartbeat
	for _, reg := range r.leaves {
		if reg.Direct && now-reg.LastSeenMs <= RelayMaxAgeMs {
			out = append(out, Heartbeat{Leaf: reg.Leaf, Incarnation: reg.Incarnation, Sequence: reg.Sequence, AgeMs: now - reg.LastSeenMs})
		}
	}
	return out
}

// All returns everything known, in the order of names.
func (r *Registry) All() []Registration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]Registration, 0, len(r.leaves))
	for _, reg := range r.leaves {
		out = append(out, reg)
	}
	slices.SortFunc(out, func(a, b Registration) int {
		if a.Leaf < b.Leaf {
			return -1
		}
		return 1
	})
	return out
}

// Usable returns the leaves of a service that may get work, and a version that changes when announcements do.
func (r *Registry) Usable(service samphirepass.Service) ([]Registration, uint64) {
	all := r.All()
	r.mu.RLock()
	version := r.version
	r.mu.RUnlock()
	return usable(all, service, r.clock.Now()), version
}

// Leaving reports whether the life of a leaf that k tells of is over or draining.
func (r *Registry) Leaving(reg Registration) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	now := r.leaves[reg.Leaf]
	return now.Incarnation != reg.Incarnation || now.State.Leaving()
}

// Version returns a number that changes whenever an announcement changes more than its sequence.
func (r *Registry) Version() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.version
}

// usable drops leaves that do not serve or fell silent.
// Where most leaves fell silent at once the fault is likelier on this side, so silence alone then drops none (issue 3).
func usable(all []Registration, service samphirepass.Service, now samphirepass.Millis) []Registration {
	var serving, heard []Registration
	for _, reg := range all {
		if reg.Service != service || reg.State != samphirepass.LeafServing {
			continue
		}
		serving = append(serving, reg)
		if now-reg.LastSeenMs <= HeartbeatTimeoutMs {
			heard = append(heard, reg)
		}
	}
	if len(heard) <= len(serving)/2 {
		return serving
	}
	return heard
}
