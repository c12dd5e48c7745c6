package leaf

import (
	"encoding/binary"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"samphirepass"
)

// HeartbeatTimeoutMs is the time without a heartbeat after which Usable omits a leaf.
const HeartbeatTimeoutMs samphirepass.Millis = 4000

// RelayMaxAgeMs is the age up to which an announcement received from the leaf itself is passed on to other processes as a heartbeat.
const RelayMaxAgeMs samphirepass.Millis = 2000

const (
	// leavingRetentionMs is the time without a heartbeat after which a draining or gone leaf is removed;
	// none of its announcements can still be in transit then.
	leavingRetentionMs samphirepass.Millis = 10 * 60 * 1000
	// retentionMs is the same for other leaves; it is longer than this process is expected to lose contact with them.
	retentionMs samphirepass.Millis = 24 * 3600 * 1000
)

func retention(s samphirepass.LeafState) samphirepass.Millis {
	if s.Leaving() {
		return leavingRetentionMs
	}
	return retentionMs
}

// Registration is the newest announcement of a leaf, with the times at which the leaf was seen.
type Registration struct {
	samphirepass.Announcement
	// LastSeenMs is the time of the last announcement or heartbeat on this process's clock.
	LastSeenMs samphirepass.Millis
	// FirstSeenMs is the time at which this incarnation was first seen.
	FirstSeenMs samphirepass.Millis
	// Direct is set if the leaf itself sent the announcement to this process.
	Direct bool
	limit  knownLimit
	cold   coldness
	// contentHash covers all of the announcement but Sequence and ColdMs.
	contentHash uint64
	// changedVersion is the registry's version at which contentHash last changed.
	changedVersion uint64
}

// AgedAnnouncement is an announcement with its age, as exchanged between processes and stored.
type AgedAnnouncement struct {
	Announcement samphirepass.Announcement
	AgeMs        samphirepass.Millis
	// Limit is the limit that the leaf named last, nil if it never named one.
	Limit *samphirepass.LeafLimit
	// ColdLeftMs is the remaining warm-up time of the leaf, 0 if it is warm. It is nil if the sender does not state it. AgeMs does not
	// tell the age of Announcement.ColdMs, as heartbeats that were not sent on may have come since.
	ColdLeftMs *samphirepass.Millis
}

// Heartbeat tells another process, which has the announcement already, that the leaf is alive.
type Heartbeat struct {
	Leaf        samphirepass.Leaf
	Incarnation samphirepass.Incarnation
	Sequence    uint64
	AgeMs       samphirepass.Millis
}

// Registry holds the newest announcement of each leaf; it is safe for concurrent use.
type Registry struct {
	clock samphirepass.Clock
	// OnColdness is called with each change of a leaf's coldness that is sent to other processes. It may be nil, and is set before use.
	OnColdness func(ColdnessChange)
	// latestCold is a time after which no leaf is cold, in whole milliseconds, and noneCold if none is now.
	latestCold atomic.Int64

	mu     sync.RWMutex
	leaves map[samphirepass.Leaf]Registration
	// byAddress holds the leaf that started last at each address, for leaves that announce StartedMs.
	byAddress map[string]samphirepass.Leaf
	// silentReports holds the silent leaves that each source of announcements reports.
	silentReports map[string]map[samphirepass.Leaf]bool
	// silentSince holds since when this process has reported leaves as silent. It is guarded by silentMu.
	silentSince map[samphirepass.Leaf]samphirepass.Millis
	silentMu    sync.Mutex
	version     uint64
	digest      uint64
	// changed is closed at the next change of the version; it is nil while there are no waiters.
	changed chan struct{}
	// serving caches the result of Serving for each service; it is nil after a change.
	serving map[samphirepass.Service][]Registration
	// evacuations are changed under mu.
	evacuations *evacuationGate
}

// NewRegistry returns an empty registry.
func NewRegistry(clock samphirepass.Clock) *Registry {
	r := &Registry{
		clock: clock, leaves: map[samphirepass.Leaf]Registration{}, byAddress: map[string]samphirepass.Leaf{},
		silentReports: map[string]map[samphirepass.Leaf]bool{}, evacuations: newEvacuationGate(),
	}
	r.latestCold.Store(noneCold)
	return r
}

// hashContent returns a hash of all of an announcement but Sequence and ColdMs.
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

// Apply registers an announcement of the given age unless a newer one is known or it is out of bounds. It reports whether it did,
// and whether more changed than Sequence and a ColdMs that passes with the time.
func (r *Registry) Apply(a samphirepass.Announcement, age samphirepass.Millis, direct bool) (newer, changed bool) {
	return r.apply(a, age, a.ColdMs-max(age, 0), direct)
}

// apply is Apply for a leaf with the given remaining warm-up time.
func (r *Registry) apply(a samphirepass.Announcement, age, coldLeft samphirepass.Millis, direct bool) (newer, changed bool) {
	newer, changed, coldChange := r.applyAnnouncement(a, age, coldLeft, direct)
	if coldChange != nil && r.OnColdness != nil {
		r.OnColdness(*coldChange)
	}
	return newer, changed
}

func (r *Registry) applyAnnouncement(a samphirepass.Announcement, age, coldLeft samphirepass.Millis, direct bool) (newer, changed bool, coldChange *ColdnessChange) {
	// Another process or a copy on disk may hold what an earlier version of this check let through.
	if a.CheckBounds() != nil {
		return false, false, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	known, ok := r.leaves[a.Leaf]
	// Another entry may still send an announcement that has expired here.
	if age > retention(a.State) || (ok && !a.Newer(known.Announcement)) || !r.claimAddressLocked(a) {
		return false, false, nil
	}
	reg := Registration{Announcement: a, LastSeenMs: now - age, FirstSeenMs: now, Direct: direct, cold: warm}
	if ok && known.Incarnation == a.Incarnation {
		reg.FirstSeenMs = known.FirstSeenMs
		reg.LastSeenMs = max(reg.LastSeenMs, known.LastSeenMs)
		reg.limit = known.limit
		reg.cold = known.cold
	}
	knownLeft := reg.ColdLeftMs(now)
	var coldChanged bool
	reg.cold, coldChanged = reg.cold.next(now, coldLeft)
	before, after := known.contentHash, hashContent(a)
	reg.contentHash = after
	reg.changedVersion = known.changedVersion
	if before != after || coldChanged {
		r.digest ^= before ^ after
		r.incrementVersionLocked()
		reg.changedVersion, reg.cold.publishedUntil = r.version, reg.cold.until
	}
	r.leaves[a.Leaf] = reg
	if reg.cold.until > now {
		r.latestCold.Store(max(r.latestCold.Load(), int64(reg.cold.until)+1))
	}
	if coldChanged {
		coldChange = &ColdnessChange{Announcement: a, AgeMs: age, Direct: direct, KnownMs: knownLeft, LeftMs: reg.ColdLeftMs(now)}
	}
	return true, before != after || coldChanged, coldChange
}

// incrementVersionLocked increments the version and wakes the waiters.
func (r *Registry) incrementVersionLocked() {
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

// claimAddressLocked reports whether a comes from the leaf that started last at its address, and marks an earlier one as gone.
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

// MarkGone records that the current incarnation of a leaf has ended or is about to, and reports whether this was not yet known.
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
	r.setStateLocked(reg, samphirepass.LeafGone)
	return true
}

// setStateLocked changes the state of a leaf, which is kept from now on for as long as an announcement.
func (r *Registry) setStateLocked(reg Registration, state samphirepass.LeafState) {
	reg.State, reg.LastSeenMs = state, r.clock.Now()
	before := reg.contentHash
	reg.contentHash = hashContent(reg.Announcement)
	r.digest ^= before ^ reg.contentHash
	r.incrementVersionLocked()
	reg.changedVersion = r.version
	r.leaves[reg.Leaf] = reg
}

// RemoveExpired drops the leaves that have sent no heartbeat for so long that no message of theirs can still be in transit.
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
			r.incrementVersionLocked()
		}
	}
}

// ApplyHeartbeat updates the time at which a leaf was last seen. It ignores heartbeats of other incarnations
// and of sequences older than the known one.
func (r *Registry) ApplyHeartbeat(h Heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reg, ok := r.leaves[h.Leaf]
	if !ok || reg.Incarnation != h.Incarnation || h.Sequence < reg.Sequence {
		return
	}
	reg.LastSeenMs = max(reg.LastSeenMs, r.clock.Now()-h.AgeMs)
	r.leaves[h.Leaf] = reg
}

// Digest returns a hash of all announcements; registries with equal digests differ at most in Sequence and ColdMs.
func (r *Registry) Digest() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.digest
}

// Announcements returns all announcements with their ages, for another entry.
func (r *Registry) Announcements() []AgedAnnouncement {
	r.mu.RLock()
	defer r.mu.RUnlock()
	now := r.clock.Now()
	announcements := make([]AgedAnnouncement, 0, len(r.leaves))
	for _, reg := range r.leaves {
		announcements = append(announcements, reg.aged(now))
	}
	return announcements
}

// Heartbeats returns the leaves that sent an announcement to this process itself within RelayMaxAgeMs.
func (r *Registry) Heartbeats() []Heartbeat {
	r.mu.RLock()
	defer r.mu.RUnlock()
	now := r.clock.Now()
	var heartbeats []Heartbeat
	for _, reg := range r.leaves {
		if reg.Direct && now-reg.LastSeenMs <= RelayMaxAgeMs {
			heartbeats = append(heartbeats, Heartbeat{Leaf: reg.Leaf, Incarnation: reg.Incarnation, Sequence: reg.Sequence, AgeMs: now - reg.LastSeenMs})
		}
	}
	return heartbeats
}

// Newest returns the newest announcement of a leaf, if one is known.
func (r *Registry) Newest(name samphirepass.Leaf) (AgedAnnouncement, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	reg, ok := r.leaves[name]
	if !ok {
		return AgedAnnouncement{}, false
	}
	return reg.aged(r.clock.Now()), true
}

// All returns all registrations in the order of leaf names.
func (r *Registry) All() []Registration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	all := make([]Registration, 0, len(r.leaves))
	for _, reg := range r.leaves {
		all = append(all, reg)
	}
	slices.SortFunc(all, func(a, b Registration) int {
		if a.Leaf < b.Leaf {
			return -1
		}
		return 1
	})
	return all
}

// Usable returns the serving leaves of a service with a heartbeat within HeartbeatTimeoutMs, without those of evacuated data centres, and the
// registry's version.
// If that is not the majority of the serving leaves, it returns all of them.
func (r *Registry) Usable(service samphirepass.Service) ([]Registration, uint64) {
	all := r.All()
	r.mu.RLock()
	version := r.version
	r.mu.RUnlock()
	all = slices.DeleteFunc(all, func(reg Registration) bool { return r.Evacuated(reg.DataCentre) })
	return usable(all, service, r.clock.Now()), version
}

// Leaving reports whether the incarnation in reg is draining, gone or superseded by another one.
func (r *Registry) Leaving(reg Registration) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	current := r.leaves[reg.Leaf]
	return current.Incarnation != reg.Incarnation || current.State.Leaving()
}

// Version returns a number that rises whenever an announcement changes in more than Sequence and a ColdMs that passes with the time, or is
// removed.
func (r *Registry) Version() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.version
}

// usable drops leaves that are not serving or whose heartbeats have stopped.
// If most leaves are silent at once, the fault is more likely in this process or its network, and silent leaves are not dropped.
func usable(all []Registration, service samphirepass.Service, now samphirepass.Millis) []Registration {
	var serving, responsive []Registration
	for _, reg := range all {
		if reg.Service != service || reg.State != samphirepass.LeafServing {
			continue
		}
		serving = append(serving, reg)
		if now-reg.LastSeenMs <= HeartbeatTimeoutMs {
			responsive = append(responsive, reg)
		}
	}
	if len(responsive) <= len(serving)/2 {
		return serving
	}
	return responsive
}
