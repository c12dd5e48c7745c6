package leaf

import (
	"slices"
	"sync"
	"sync/atomic"

	"samphirepass"
)

const (
	// latencyWeight is the weight of a new latency in a leaf's moving mean.
	latencyWeight = 0.2
	// networkWeight is the weight of a new figure in the moving mean of the network's share.
	networkWeight = 0.1
	// usualAnswers is the number of answers that a leaf's usual latency is the median of: a pause spoils one or two of them
	// before new requests go elsewhere, a leaf that has turned slow spoils all.
	usualAnswers = 5
	// shedLoad is the load of a leaf that refuses work.
	shedLoad = 2.0
)

// target is one leaf as this entry has met it.
type target struct {
	address string
	lanes   *lanes
	// shared is the version of the seats that the lanes were shared out by.
	shared atomic.Uint64

	mu       sync.Mutex
	inFlight int
	// begun holds when each attempt under way began, the oldest first.
	begun []samphirepass.Millis
	// recent holds the latencies of the last answers, the oldest first.
	recent []samphirepass.Millis
	// observedAt is when latency last changed.
	observedAt samphirepass.Millis
	latency    samphirepass.Millis
	network    samphirepass.Millis
	load       float64
	loadAt     samphirepass.Millis
	failures   int
	failedAt   samphirepass.Millis
}

// Shares tells how many connections this entry may hold.
type Shares interface {
	// Share returns the number of connections to a leaf.
	Share(a samphirepass.Announcement) int
	// Version changes whenever shares may have changed.
	Version() uint64
}

// Pool keeps what this entry measured of each leaf, and its connections; it is safe for concurrent use.
type Pool struct {
	clock  samphirepass.Clock
	shares Shares

	mu      sync.RWMutex
	targets map[samphirepass.Leaf]*target
}

// NewPool returns an empty pool.
func NewPool(clock samphirepass.Clock, shares Shares) *Pool {
	return &Pool{clock: clock, shares: shares, targets: map[samphirepass.Leaf]*target{}}
}

// target returns the record of a leaf, its lanes shared out by the present seats.
func (b *Pool) target(a samphirepass.Announcement) *target {
	t := b.find(a)
	if version := b.shares.Version(); t.shared.Swap(version) != version {
		t.lanes.setShare(b.shares.Share(a))
	}
	return t
}

// find returns the record of a leaf; a leaf that moved to another address starts anew.
func (b *Pool) find(a samphirepass.Announcement) *target {
	b.mu.RLock()
	t := b.targets[a.Leaf]
	b.mu.RUnlock()
	if t != nil && t.address == a.Address {
		return t
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.targets[a.Leaf]; t != nil {
		if t.address == a.Address {
			return t
		}
		t.lanes.setShare(0)
	}
	t = &target{address: a.Address, lanes: &lanes{clock: b.clock}}
	t.lanes.setShare(b.shares.Share(a))
	t.shared.Store(b.shares.Version())
	b.targets[a.Leaf] = t
	return t
}

// allowed reports whether this entry may hold a connection to a leaf.
func (b *Pool) allowed(a samphirepass.Announcement) bool {
	t := b.target(a)
	t.lanes.mu.Lock()
	defer t.lanes.mu.Unlock()
	return t.lanes.share > 0
}

// Refresh brings the shares of connections up to date and forgets leaves that are no longer announced.
func (b *Pool) Refresh(known []Known) {
	there := make(map[samphirepass.Leaf]bool, len(known))
	for _, k := range known {
		there[k.Leaf] = true
		b.target(k.Announcement).lanes.setShare(b.shares.Share(k.Announcement))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, t := range b.targets {
		if !there[name] {
			t.lanes.setShare(0)
			delete(b.targets, name)
		}
	}
}

// Close gives up all connections once the requests on them have ended.
func (b *Pool) Close() {
	b.Refresh(nil)
}

// Candidate describes a leaf to the chooser.
func (b *Pool) Candidate(k Known, centre samphirepass.DataCentre) samphirepass.Candidate {
	t := b.target(k.Announcement)
	now := b.clock.Now()
	t.mu.Lock()
	c := samphirepass.Candidate{
		Leaf: k.Leaf, SameCentre: k.DataCentre == centre, InFlight: t.inFlight, Slots: k.Slots, LatencyMs: t.latency,
		Load: t.load, LoadAgeMs: now - t.loadAt, WarmMs: now - k.FirstMs, Failures: t.failures,
		SinceFailureMs: now - t.failedAt, ColdMs: max(k.ColdMs-(now-k.HeardMs), 0),
	}
	c.UsualMs = median(t.recent)
	if t.observedAt > 0 {
		c.LatencyAgeMs = now - t.observedAt
	}
	if len(t.begun) > 0 {
		c.OldestMs = now - t.begun[0]
	}
	t.mu.Unlock()
	t.lanes.mu.Lock()
	c.Open, c.Share = t.lanes.total, t.lanes.share
	t.lanes.mu.Unlock()
	return c
}

func (t *target) start(now samphirepass.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight++
	t.begun = append(t.begun, now)
}

// finish takes out the attempt that began at the given time.
func (t *target) finish(began samphirepass.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	if i := slices.Index(t.begun, began); i >= 0 {
		t.begun = slices.Delete(t.begun, i, i+1)
	}
}

// succeed records an answer.
func (t *target) succeed(now, took samphirepass.Millis, r samphirepass.Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures = 0
	t.load, t.loadAt = r.Load, now
	t.observe(now, took)
	if outside := took - r.WorkedMs; outside > 0 {
		t.network += (outside - t.network) * networkWeight
	}
}

func (t *target) observe(now, took samphirepass.Millis) {
	t.observedAt = now
	if len(t.recent) == usualAnswers {
		t.recent = t.recent[1:]
	}
	t.recent = append(t.recent, took)
	if t.latency == 0 {
		t.latency = took
		return
	}
	t.latency += (took - t.latency) * latencyWeight
}

// shed records a refusal by a leaf that is full.
func (t *target) shed(now samphirepass.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load, t.loadAt = max(t.load, shedLoad), now
}

// fail records a failed attempt that was the leaf's own doing.
func (t *target) fail(now samphirepass.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures++
	t.failedAt = now
}

// slow records that an attempt without an answer took longer than the given time.
func (t *target) slow(now, took samphirepass.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if took > t.latency && t.latency > 0 {
		t.observe(now, took)
	}
}

// median returns the lower median, 0 of nothing.
func median(latencies []samphirepass.Millis) samphirepass.Millis {
	if len(latencies) == 0 {
		return 0
	}
	var sorted [usualAnswers]samphirepass.Millis
	n := copy(sorted[:], latencies)
	slices.Sort(sorted[:n])
	return sorted[(n-1)/2]
}

func (t *target) meanLatency() samphirepass.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latency
}

func (t *target) networkShare() samphirepass.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.network
}
