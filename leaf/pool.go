package leaf

import (
	"math"
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
	// usualAnswers is the number of answers that a leaf's usual latency is the median of: a pause spoils one of them,
	// as attempts that overlap count once, and a leaf that has turned slow spoils the next one, too.
	usualAnswers = 3
	// failWeight is the weight of one finished attempt in the share of failed ones, failFadeMs the time in which that share fades by 1/e.
	failWeight                     = 0.1
	failFadeMs samphirepass.Millis = 5000
	// unscaledMs stands for the expected time of attempts of an unknown kind.
	unscaledMs samphirepass.Millis = 1
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
	// begun holds the attempts under way, the oldest first.
	begun []begun
	// recent holds the latencies of the last answers in multiples of what was expected, the oldest first.
	recent []float64
	// sampledAt is when recent last changed: of attempts that overlap only one counts, as a pause meets all of them.
	sampledAt samphirepass.Millis
	// observedAt is when latency last changed.
	observedAt samphirepass.Millis
	latency    samphirepass.Millis
	network    samphirepass.Millis
	load       float64
	loadAt     samphirepass.Millis
	failures   int
	failedAt   samphirepass.Millis
	// failRate is the share of failed attempts as of failRateAt.
	failRate   float64
	failRateAt samphirepass.Millis
}

// begun is one attempt under way.
type begun struct {
	at, expected samphirepass.Millis
}

// scale returns the time that latencies of a kind of attempt are multiples of.
func scale(expected samphirepass.Millis) samphirepass.Millis {
	if expected <= 0 {
		return unscaledMs
	}
	return expected
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
func (b *Pool) Refresh(known []Registration) {
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

// Candidate describes a leaf to the chooser, for an attempt that usually takes the expected time, 0 if that is not known.
func (b *Pool) Candidate(k Registration, centre samphirepass.DataCentre, expected samphirepass.Millis) samphirepass.Candidate {
	t := b.target(k.Announcement)
	now := b.clock.Now()
	t.mu.Lock()
	c := samphirepass.Candidate{
		Leaf: k.Leaf, SameDataCentre: k.DataCentre == centre, InFlight: t.inFlight, Slots: k.Slots, MeanLatencyMs: t.latency,
		Load: t.load, LoadAgeMs: now - t.loadAt, SinceDiscoveryMs: now - k.FirstSeenMs, ConsecutiveFailures: t.failures,
		SinceFailureMs: now - t.failedAt, ColdMs: max(k.ColdMs-(now-k.LastSeenMs), 0),
	}
	c.MedianLatencyMs = samphirepass.Millis(median(t.recent)) * scale(expected)
	c.FailureRate = t.failRateLocked(now)
	if t.observedAt > 0 {
		c.LatencyAgeMs = now - t.observedAt
	}
	for _, one := range t.begun {
		c.OldestInFlightMs = max(c.OldestInFlightMs, (now-one.at)*scale(expected)/scale(one.expected))
	}
	t.mu.Unlock()
	t.lanes.mu.Lock()
	c.OpenConnections, c.MaxConnections = t.lanes.total, t.lanes.share
	t.lanes.mu.Unlock()
	return c
}

func (t *target) start(one begun) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight++
	t.begun = append(t.begun, one)
}

func (t *target) finish(one begun) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	if i := slices.Index(t.begun, one); i >= 0 {
		t.begun = slices.Delete(t.begun, i, i+1)
	}
}

// succeed records an answer to an attempt of which the given time was expected.
func (t *target) succeed(now, took, expected samphirepass.Millis, r samphirepass.Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures = 0
	t.load, t.loadAt = r.Load, now
	t.observe(now, took, expected)
	t.noteLocked(now, 0)
	if outside := took - r.WorkedMs; outside > 0 {
		t.network += (outside - t.network) * networkWeight
	}
}

func (t *target) observe(now, took, expected samphirepass.Millis) {
	t.observedAt = now
	if now-took >= t.sampledAt {
		if len(t.recent) == usualAnswers {
			t.recent = t.recent[1:]
		}
		t.recent = append(t.recent, float64(took/scale(expected)))
		t.sampledAt = now
	}
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
	t.noteLocked(now, 1)
}

// noteLocked takes a finished attempt into the share of failed ones: 1 for a failure, 0 for an answer.
func (t *target) noteLocked(now samphirepass.Millis, failed float64) {
	rate := t.failRateLocked(now)
	t.failRate, t.failRateAt = rate+(failed-rate)*failWeight, now
}

func (t *target) failRateLocked(now samphirepass.Millis) float64 {
	if t.failRate == 0 {
		return 0
	}
	return t.failRate * math.Exp(-float64((now-t.failRateAt)/failFadeMs))
}

// slow records that an attempt without an answer took longer than the given time.
func (t *target) slow(now, took, expected samphirepass.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if took > t.latency && t.latency > 0 {
		t.observe(now, took, expected)
	}
}

// median returns the lower median, 0 of nothing.
func median(latencies []float64) float64 {
	if len(latencies) == 0 {
		return 0
	}
	var sorted [usualAnswers]float64
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
