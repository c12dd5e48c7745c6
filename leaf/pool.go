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
	latencyEWMAWeight = 0.2
	// networkWeight is the weight of a new figure in the moving mean of the network's share.
	networkEWMAWeight = 0.1
	// usualAnswers is the number of answers that a leaf's usual latency is the median of: a pause spoils one of them,
	// as attempts that overlap count once, and a leaf that has turned slow spoils the next one, too.
	medianWindow = 3
	// failWeight is the weight of one finished attempt in the share of failed ones, failFadeMs the time in which that share fades by 1/e.
	failureRateWeight                      = 0.1
	failureRateDecayMs samphirepass.Millis = 5000
	// unscaledMs stands for the expected time of attempts of an unknown kind.
	defaultScaleMs samphirepass.Millis = 1
	// shedLoad is the load of a leaf that refuses work.
	loadAfterShed = 2.0
)

// target is one leaf as this entry has met it.
type target struct {
	address string
	conns   *connPool
	// shared is the version of the seats that the lanes were shared out by.
	sharesVersion atomic.Uint64

	mu       sync.Mutex
	inFlight int
	// begun holds the attempts under way, the oldest first.
	attempts []inFlightAttempt
	// recent holds the latencies of the last answers in multiples of what was expected, the oldest first.
	recentLatencies []float64
	// sampledAt is when recent last changed: of attempts that overlap only one counts, as a pause meets all of them.
	sampledAt samphirepass.Millis
	// observedAt is when latency last changed.
	observedAt          samphirepass.Millis
	meanLatency         samphirepass.Millis
	meanNetworkLatency  samphirepass.Millis
	load                float64
	loadAt              samphirepass.Millis
	consecutiveFailures int
	failedAt            samphirepass.Millis
	// failRate is the share of failed attempts as of failRateAt.
	failureRate   float64
	failureRateAt samphirepass.Millis
}

// begun is one attempt under way.
type inFlightAttempt struct {
	startedAt, expected samphirepass.Millis
}

// scale returns the time that latencies of a kind of attempt are multiples of.
func latencyScale(expected samphirepass.Millis) samphirepass.Millis {
	if expected <= 0 {
		return defaultScaleMs
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
func (p *Pool) target(a samphirepass.Announcement) *target {
	t := p.lookup(a)
	if version := p.shares.Version(); t.sharesVersion.Swap(version) != version {
		t.conns.setMaxConns(p.shares.Share(a))
	}
	return t
}

// find returns the record of a leaf; a leaf that moved to another address starts anew.
func (p *Pool) lookup(a samphirepass.Announcement) *target {
	p.mu.RLock()
	t := p.targets[a.Leaf]
	p.mu.RUnlock()
	if t != nil && t.address == a.Address {
		return t
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.targets[a.Leaf]; t != nil {
		if t.address == a.Address {
			return t
		}
		t.conns.setMaxConns(0)
	}
	t = &target{address: a.Address, conns: &connPool{clock: p.clock}}
	t.conns.setMaxConns(p.shares.Share(a))
	t.sharesVersion.Store(p.shares.Version())
	p.targets[a.Leaf] = t
	return t
}

// allowed reports whether this entry may hold a connection to a leaf.
func (p *Pool) mayConnect(a samphirepass.Announcement) bool {
	t := p.target(a)
	t.conns.mu.Lock()
	defer t.conns.mu.Unlock()
	return t.conns.maxConns > 0
}

// Refresh brings the shares of connections up to date and forgets leaves that are no longer announced.
func (p *Pool) Refresh(known []Registration) {
	present := make(map[samphirepass.Leaf]bool, len(known))
	for _, reg := range known {
		present[reg.Leaf] = true
		p.target(reg.Announcement).conns.setMaxConns(p.shares.Share(reg.Announcement))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, t := range p.targets {
		if !present[name] {
			t.conns.setMaxConns(0)
			delete(p.targets, name)
		}
	}
}

// Close gives up all connections once the requests on them have ended.
func (p *Pool) Close() {
	p.Refresh(nil)
}

// Candidate describes a leaf to the chooser, for an attempt that usually takes the expected time, 0 if that is not known.
func (p *Pool) Candidate(reg Registration, centre samphirepass.DataCentre, expected samphirepass.Millis) samphirepass.Candidate {
	t := p.target(reg.Announcement)
	now := p.clock.Now()
	t.mu.Lock()
	c := samphirepass.Candidate{
		Leaf: reg.Leaf, SameDataCentre: reg.DataCentre == centre, InFlight: t.inFlight, Slots: reg.Slots, MeanLatencyMs: t.meanLatency,
		Load: t.load, LoadAgeMs: now - t.loadAt, SinceDiscoveryMs: now - reg.FirstSeenMs, ConsecutiveFailures: t.consecutiveFailures,
		SinceFailureMs: now - t.failedAt, ColdMs: max(reg.ColdMs-(now-reg.LastSeenMs), 0),
	}
	c.MedianLatencyMs = samphirepass.Millis(median(t.recentLatencies)) * latencyScale(expected)
	c.FailureRate = t.failureRateLocked(now)
	if t.observedAt > 0 {
		c.LatencyAgeMs = now - t.observedAt
	}
	for _, att := range t.attempts {
		c.OldestInFlightMs = max(c.OldestInFlightMs, (now-att.startedAt)*latencyScale(expected)/latencyScale(att.expected))
	}
	t.mu.Unlock()
	t.conns.mu.Lock()
	c.OpenConnections, c.MaxConnections = t.conns.total, t.conns.maxConns
	t.conns.mu.Unlock()
	return c
}

func (t *target) start(att inFlightAttempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight++
	t.attempts = append(t.attempts, att)
}

func (t *target) finish(att inFlightAttempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	if i := slices.Index(t.attempts, att); i >= 0 {
		t.attempts = slices.Delete(t.attempts, i, i+1)
	}
}

// succeed records an answer to an attempt of which the given time was expected.
func (t *target) recordSuccess(now, took, expected samphirepass.Millis, r samphirepass.Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.consecutiveFailures = 0
	t.load, t.loadAt = r.Load, now
	t.recordLatencyLocked(now, took, expected)
	t.updateFailureRateLocked(now, 0)
	if outside := took - r.WorkedMs; outside > 0 {
		t.meanNetworkLatency += (outside - t.meanNetworkLatency) * networkEWMAWeight
	}
}

func (t *target) recordLatencyLocked(now, took, expected samphirepass.Millis) {
	t.observedAt = now
	if now-took >= t.sampledAt {
		if len(t.recentLatencies) == medianWindow {
			t.recentLatencies = t.recentLatencies[1:]
		}
		t.recentLatencies = append(t.recentLatencies, float64(took/latencyScale(expected)))
		t.sampledAt = now
	}
	if t.meanLatency == 0 {
		t.meanLatency = took
		return
	}
	t.meanLatency += (took - t.meanLatency) * latencyEWMAWeight
}

// shed records a refusal by a leaf that is full.
func (t *target) recordShed(now samphirepass.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load, t.loadAt = max(t.load, loadAfterShed), now
}

// fail records a failed attempt that was the leaf's own doing.
func (t *target) recordFailure(now samphirepass.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.consecutiveFailures++
	t.failedAt = now
	t.updateFailureRateLocked(now, 1)
}

// noteLocked takes a finished attempt into the share of failed ones: 1 for a failure, 0 for an answer.
func (t *target) updateFailureRateLocked(now samphirepass.Millis, failed float64) {
	rate := t.failureRateLocked(now)
	t.failureRate, t.failureRateAt = rate+(failed-rate)*failureRateWeight, now
}

func (t *target) failureRateLocked(now samphirepass.Millis) float64 {
	if t.failureRate == 0 {
		return 0
	}
	return t.failureRate * math.Exp(-float64((now-t.failureRateAt)/failureRateDecayMs))
}

// slow records that an attempt without an answer took longer than the given time.
func (t *target) recordMinLatency(now, took, expected samphirepass.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if took > t.meanLatency && t.meanLatency > 0 {
		t.recordLatencyLocked(now, took, expected)
	}
}

// median returns the lower median, 0 of nothing.
func median(latencies []float64) float64 {
	if len(latencies) == 0 {
		return 0
	}
	var sorted [medianWindow]float64
	n := copy(sorted[:], latencies)
	slices.Sort(sorted[:n])
	return sorted[(n-1)/2]
}

func (t *target) currentMeanLatency() samphirepass.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.meanLatency
}

func (t *target) currentNetworkLatency() samphirepass.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.meanNetworkLatency
}
