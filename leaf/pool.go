package leaf

import (
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"

	"samphirepass"
	"samphirepass/policy"
)

const (
	// latencyEWMAWeight is the weight of a new latency in a leaf's moving average.
	latencyEWMAWeight = 0.2
	// networkEWMAWeight is the weight of a new value in the moving average of the time spent outside the leaf.
	networkEWMAWeight = 0.1
	// medianWindow is the number of answers in a leaf's median latency. Overlapping attempts count once, so a pause distorts
	// one answer and leaves the median unchanged, while a leaf that has become slow shifts it with the second slow answer.
	medianWindow = 3
	// failureRateWeight is the weight of a finished attempt in the moving average of failures,
	// failureRateDecayMs the time constant of its exponential decay: after it 1/e of the rate is left.
	failureRateWeight                      = 0.1
	failureRateDecayMs samphirepass.Millis = 5000
	// refusalRateWeight and refusalRateDecayMs are the same for refusals. A leaf may refuse part of its requests for some seconds
	// without being busy: only the refusals themselves show it, and they are forgotten sooner than failures.
	refusalRateWeight                      = 0.15
	refusalRateDecayMs samphirepass.Millis = 2000
	// defaultScaleMs is the scale of latencies of attempts without an expected latency.
	defaultScaleMs samphirepass.Millis = 1
	// loadAfterShed is the least load assumed of a leaf that has refused work.
	loadAfterShed = 2.0
)

// target holds the connections to one leaf and what this entry has measured of it.
type target struct {
	address string
	conns   *connPool
	// sharesVersion is the version of the Shares that last set the limit of conns.
	sharesVersion atomic.Uint64

	mu       sync.Mutex
	inFlight int
	// attempts holds the attempts in flight, the oldest first.
	attempts []inFlightAttempt
	// recentLatencies holds the last latencies as multiples of the expected ones, the oldest first.
	recentLatencies []float64
	// sampledAt is when recentLatencies last changed. Only one of several overlapping attempts counts, as a pause delays them all.
	sampledAt samphirepass.Millis
	// observedAt is when meanLatency last changed.
	observedAt         samphirepass.Millis
	meanLatency        samphirepass.Millis
	meanNetworkLatency samphirepass.Millis
	load               float64
	loadAt             samphirepass.Millis
	// loadReported and pace are those of the reply with load.
	loadReported        bool
	pace                float64
	consecutiveFailures int
	failedAt            samphirepass.Millis
	// failureRate and refusalRate are the shares of attempts that failed and that the leaf refused.
	failureRate, refusalRate policy.DecayingRate
	limiter                  policy.LeafLimiter
	// speed is nil unless the pool measures speeds.
	speed *policy.LeafSpeed
	// pausedUntil is the time until which an incarnation of the leaf wants no requests of this entry.
	pausedUntil       samphirepass.Millis
	pausedIncarnation samphirepass.Incarnation
	cold              coldTarget
}

// inFlightAttempt is an attempt in flight.
type inFlightAttempt struct {
	startedAt, expected samphirepass.Millis
}

// latencyScale returns the unit for latencies of attempts with the given expected latency.
func latencyScale(expected samphirepass.Millis) samphirepass.Millis {
	if expected <= 0 {
		return defaultScaleMs
	}
	return expected
}

// Shares limits the connections that this entry may hold.
type Shares interface {
	// Share returns the limit of connections to a leaf.
	Share(a samphirepass.Announcement) int
	// Senders returns the number of entries that share the requests to a leaf.
	Senders(a samphirepass.Announcement) int
	// Version changes whenever a share may have changed.
	Version() uint64
}

// Pool holds the connections and measurements of this entry for each leaf; it is safe for concurrent use.
type Pool struct {
	clock  samphirepass.Clock
	shares Shares
	// measuresSpeeds and dialer are set before the first target is made.
	measuresSpeeds bool
	dialer         *net.Dialer

	// warmUps is nil where cold leaves have no limits.
	warmUps *warmUps
	// use is that of client accounts, over the connections to all leaves.
	use *policy.AccountUse

	mu      sync.RWMutex
	targets map[samphirepass.Leaf]*target

	evacuations *evacuationGate
	// waiting counts the attempts without an account that wait for connections.
	waiting atomic.Int64
}

// connectionsBusy reports whether an attempt without an account waits for a connection to any leaf.
func (p *Pool) connectionsBusy() bool { return p.waiting.Load() > 0 }

// NewPool returns an empty pool.
func NewPool(clock samphirepass.Clock, shares Shares) *Pool {
	return &Pool{clock: clock, shares: shares, use: policy.NewAccountUse(), targets: map[samphirepass.Leaf]*target{}, evacuations: newEvacuationGate()}
}

// MeasureSpeeds makes the pool measure how fast leaves answer, for a chooser that uses this; it must be called before the pool is used.
func (p *Pool) MeasureSpeeds() { p.measuresSpeeds = true }

// ConnectFrom makes connections start from an IP address of this VM; it must be called before the pool is used.
func (p *Pool) ConnectFrom(ip netip.Addr) { p.dialer = newLeafDialer(ip) }

// target returns the target of a leaf, with the connection limit of the current shares.
func (p *Pool) target(a samphirepass.Announcement) *target {
	t := p.lookup(a)
	if version := p.shares.Version(); t.sharesVersion.Swap(version) != version {
		t.conns.setMaxConns(p.shares.Share(a))
	}
	return t
}

// lookup returns the target of a leaf; a leaf at another address than before gets a new one.
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
		t.conns.close()
	}
	t = &target{
		address: a.Address, conns: &connPool{clock: p.clock, use: p.use, dialer: p.dialer, busy: &p.waiting},
		failureRate: policy.DecayingRate{Weight: failureRateWeight, DecayMs: failureRateDecayMs},
		refusalRate: policy.DecayingRate{Weight: refusalRateWeight, DecayMs: refusalRateDecayMs},
	}
	if p.measuresSpeeds {
		t.speed = &policy.LeafSpeed{}
	}
	t.conns.setMaxConns(p.shares.Share(a))
	t.sharesVersion.Store(p.shares.Version())
	p.targets[a.Leaf] = t
	return t
}

// mayConnect reports whether this entry may hold a connection to a leaf.
func (p *Pool) mayConnect(a samphirepass.Announcement) bool {
	t := p.target(a)
	t.conns.mu.Lock()
	defer t.conns.mu.Unlock()
	return t.conns.maxConns > 0
}

// Refresh updates the connection limits of the known leaves and drops all others, but for those that have asked for a pause.
func (p *Pool) Refresh(known []Registration) {
	present := make(map[samphirepass.Leaf]bool, len(known))
	for _, reg := range known {
		present[reg.Leaf] = true
		p.target(reg.Announcement).conns.setMaxConns(p.shares.Share(reg.Announcement))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for name, t := range p.targets {
		if present[name] {
			continue
		}
		t.conns.close()
		// The heartbeats of a leaf that wants no requests may only be late.
		if !t.isPaused(now) {
			delete(p.targets, name)
			continue
		}
		// If it comes back, its share is worked out anew.
		t.sharesVersion.Add(1)
	}
}

// Close closes each connection once the request on it has ended.
func (p *Pool) Close() {
	p.Refresh(nil)
}

// Candidate describes a leaf to the chooser, for an attempt with the given expected latency, 0 if it is not known.
func (p *Pool) Candidate(reg Registration, dataCentre samphirepass.DataCentre, expected samphirepass.Millis) samphirepass.Candidate {
	t := p.target(reg.Announcement)
	now := p.clock.Now()
	t.mu.Lock()
	c := samphirepass.Candidate{
		Leaf: reg.Leaf, SameDataCentre: reg.DataCentre == dataCentre, InFlight: t.inFlight, Slots: reg.Slots, MeanLatencyMs: t.meanLatency,
		Load: t.load, LoadAgeMs: now - t.loadAt, SinceDiscoveryMs: now - reg.FirstSeenMs, ConsecutiveFailures: t.consecutiveFailures,
		SinceFailureMs: now - t.failedAt, ColdMs: reg.ColdLeftMs(now),
	}
	c.LoadReported, c.Pace = t.loadReported, t.pace
	c.MedianLatencyMs = samphirepass.Millis(median(t.recentLatencies)) * latencyScale(expected)
	c.FailureRate, c.RefusalRate = t.failureRate.Value(now), t.refusalRate.Value(now)
	c.Service, c.DataCentre = reg.Service, reg.DataCentre
	if t.speed != nil {
		t.speed.Describe(now, latencyScale(expected), &c)
	}
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

// recordSuccess records an answer to an attempt with the given expected latency.
func (t *target) recordSuccess(now, took, expected samphirepass.Millis, r samphirepass.Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.consecutiveFailures = 0
	t.recordLoadLocked(now, r)
	if t.speed != nil {
		t.speed.AddLoad(r.Load)
	}
	t.recordLatencyLocked(now, took, expected)
	t.failureRate.Add(now, false)
	t.refusalRate.Add(now, false)
	if network := took - r.WorkedMs; network > 0 {
		t.meanNetworkLatency += (network - t.meanNetworkLatency) * networkEWMAWeight
	}
}

func (t *target) recordLatencyLocked(now, took, expected samphirepass.Millis) {
	t.observedAt = now
	if t.speed != nil {
		t.speed.Add(now, float64(took/latencyScale(expected)))
	}
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

// recordLoadLocked records the load in an answer.
func (t *target) recordLoadLocked(now samphirepass.Millis, r samphirepass.Reply) {
	t.load, t.loadAt, t.loadReported, t.pace = r.Load, now, r.LoadReported, r.Pace
}

// recordFailedLoad records the load that a leaf reported in the answer to a failed attempt, if it did.
func (t *target) recordFailedLoad(now samphirepass.Millis, r samphirepass.Reply) {
	if !r.LoadReported {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordLoadLocked(now, r)
}

// recordShed records that the leaf refused an attempt for lack of capacity, and the load that it reported.
func (t *target) recordShed(now samphirepass.Millis, r samphirepass.Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.LoadReported {
		t.recordLoadLocked(now, r)
	} else {
		t.load, t.loadAt, t.loadReported = max(t.load, loadAfterShed), now, false
	}
	t.refusalRate.Add(now, true)
}

// recordFailure records a failed attempt that counts against the leaf.
func (t *target) recordFailure(now samphirepass.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.consecutiveFailures++
	t.failedAt = now
	t.failureRate.Add(now, true)
}

// recordMinLatency records the time that an attempt lasted without an answer, if it exceeds the mean latency.
func (t *target) recordMinLatency(now, took, expected samphirepass.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if took > t.meanLatency && t.meanLatency > 0 {
		t.recordLatencyLocked(now, took, expected)
	}
}

// median returns the lower median, 0 for no latencies.
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
