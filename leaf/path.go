package leaf

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"samphirepass"
	"samphirepass/policy"
)

const (
	// pathProbes is the number of leaves that are probed at a time.
	pathProbes = 3
	// lostRecheckMs is the interval between probes while the path is lost.
	lostRecheckMs samphirepass.Millis = 200
	// probeStaggerMs is the time for which the first probe is alone: mostly the path is up, and one connection is enough.
	probeStaggerMs samphirepass.Millis = 20
	// probeHoldMs is how long a probed connection must stay open: some links reset connections right after they are accepted.
	probeHoldMs samphirepass.Millis = 10
	// pathLatenessMs is the lateness of a timer from which this process may not have read what leaves sent.
	pathLatenessMs samphirepass.Millis = 50
)

// PathMonitorOptions set up a PathMonitor.
type PathMonitorOptions struct {
	Registry   *Registry
	Pool       *Pool
	Protocol   samphirepass.LeafProtocol
	DataCentre samphirepass.DataCentre
	Clock      samphirepass.Clock
	// OnChange is called when the path is lost, when it is narrow and when it is back.
	OnChange func(PathChange)
}

// PathChange says that the path to leaves was lost, is narrow or is back.
type PathChange struct {
	Condition policy.PathCondition
	// Narrow is set if leaves are reached on open connections only.
	Narrow bool
	// SinceContactMs is the time since a leaf last showed a sign of life before the change, LostMs the time for which the path was lost.
	SinceContactMs, LostMs samphirepass.Millis
}

// PathMonitor finds out whether this process reaches leaves at all. It learns from the attempts of a Sender, and probes some leaves if these
// hang or fail and no other leaf shows a sign of life. It implements samphirepass.LeafPath; a nil monitor takes the path to be up.
type PathMonitor struct {
	opts PathMonitorOptions

	mu       sync.Mutex
	detector policy.PathDetector
	// lost is closed while the path is lost, at lostAt.
	lost     chan struct{}
	isLost   bool
	isNarrow bool
	lostAt   samphirepass.Millis
	// armedFor is the time at which Serve checks next, 0 if it waits for wake.
	armedFor samphirepass.Millis
	wake     chan struct{}
}

// NewPathMonitor returns a monitor of a path that is up.
func NewPathMonitor(opts PathMonitorOptions) *PathMonitor {
	return &PathMonitor{opts: opts, lost: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// Lost implements samphirepass.LeafPath.
func (m *PathMonitor) Lost() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lost
}

// Narrow implements samphirepass.LeafPath.
func (m *PathMonitor) Narrow() bool {
	if m == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isNarrow
}

// update calls change with the detector and publishes what follows from it.
func (m *PathMonitor) update(change func(d *policy.PathDetector, now samphirepass.Millis)) {
	m.mu.Lock()
	now := m.opts.Clock.Now()
	sinceContact := m.detector.SinceContact(now)
	change(&m.detector, now)
	// Where a check is due soon anyway, there is no need to look for an earlier one.
	if m.armedFor == 0 || m.armedFor-now > policy.ConnectPatienceMs {
		if at, ok := m.detector.CheckAt(); ok && (m.armedFor == 0 || at < m.armedFor) {
			m.armedFor = at
			m.wakeLocked()
		}
	}
	lost, narrow := m.detector.IsLost(), m.detector.IsNarrow()
	if lost == m.isLost && narrow == m.isNarrow {
		m.mu.Unlock()
		return
	}
	c := PathChange{Condition: m.detector.Condition(), Narrow: narrow, SinceContactMs: sinceContact}
	switch {
	case lost && !m.isLost:
		m.lostAt = now
		close(m.lost)
	case m.isLost && !lost:
		c.LostMs = now - m.lostAt
		m.lost = make(chan struct{})
	}
	m.isLost, m.isNarrow = lost, narrow
	m.wakeLocked()
	m.mu.Unlock()
	if m.opts.OnChange != nil {
		m.opts.OnChange(c)
	}
}

func (m *PathMonitor) wakeLocked() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// dial opens the connection to a leaf and records how that went.
func (m *PathMonitor) dial(ctx context.Context, pc *pooledConn, to samphirepass.Announcement) error {
	if m == nil {
		return pc.dial(ctx, to.Address)
	}
	var id uint64
	m.update(func(d *policy.PathDetector, now samphirepass.Millis) { id = d.BeginDial(now, to.Leaf) })
	err := pc.dial(ctx, to.Address)
	m.update(func(d *policy.PathDetector, now samphirepass.Millis) {
		d.End(now, id, pathOutcome(ctx, err, policy.PathConnected))
	})
	return err
}

// roundTrip sends a request on an open connection and records how that went.
func (m *PathMonitor) roundTrip(ctx context.Context, pc *pooledConn, to samphirepass.Leaf, expected samphirepass.Millis, req *http.Request, limits answerLimits) (*http.Response, []byte, error) {
	if m == nil {
		return pc.roundTrip(ctx, req, limits)
	}
	var id uint64
	m.update(func(d *policy.PathDetector, now samphirepass.Millis) {
		id = d.BeginExchange(now, to, !pc.answered, expected)
	})
	resp, body, err := pc.roundTrip(ctx, req, limits)
	m.update(func(d *policy.PathDetector, now samphirepass.Millis) {
		d.End(now, id, pathOutcome(ctx, err, policy.PathAnswered))
	})
	return resp, body, err
}

func pathOutcome(ctx context.Context, err error, success policy.PathOutcome) policy.PathOutcome {
	switch {
	case err == nil:
		return success
	case ctx.Err() != nil:
		return policy.PathAbandoned
	}
	return policy.PathFailed
}

// Serve watches the path until ctx ends.
func (m *PathMonitor) Serve(ctx context.Context) error {
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		m.mu.Lock()
		now := m.opts.Clock.Now()
		at, ok := m.detector.CheckAt()
		if recheck := now + lostRecheckMs; m.isLost || (m.isNarrow && (!ok || recheck < at)) {
			at, ok = recheck, true
		}
		m.armedFor = 0
		if ok {
			m.armedFor = at
			t.Reset(max(at-now, 0).Duration())
		} else {
			t.Stop()
		}
		m.mu.Unlock()
		select {
		case <-t.C:
			m.check(ctx, m.opts.Clock.Now()-at)
		case <-m.wake:
		case <-ctx.Done():
			return fmt.Errorf("watch the path to leaves: %w", ctx.Err())
		}
	}
}

// check suspects the path if that is due, and probes leaves if the path is suspected or lost. late is the lateness of the timer.
func (m *PathMonitor) check(ctx context.Context, late samphirepass.Millis) {
	probe := false
	m.update(func(d *policy.PathDetector, now samphirepass.Millis) {
		switch {
		case d.IsLost():
			probe = true
		case late >= pathLatenessMs:
			d.Excuse(now)
		default:
			probe = d.Check(now) || d.IsNarrow()
		}
	})
	if probe {
		result := m.probe(ctx)
		if ctx.Err() == nil {
			m.update(func(d *policy.PathDetector, now samphirepass.Millis) { d.Probed(now, result) })
		}
	}
}

// probe tries to reach one of some leaves within PathConfirmMs. Without a leaf to probe nothing is known against the path.
func (m *PathMonitor) probe(ctx context.Context) policy.ProbeResult {
	m.mu.Lock()
	condition, began := m.detector.Condition(), m.opts.Clock.Now()
	m.mu.Unlock()
	leaves := m.leavesToProbe(condition == policy.PathMute)
	if len(leaves) == 0 {
		return policy.ProbeReached
	}
	ctx, cancel := context.WithTimeout(ctx, policy.PathConfirmMs.Duration())
	defer cancel()
	reached := make(chan bool, len(leaves))
	for i, reg := range leaves {
		go func() {
			if i > 0 {
				select {
				case <-time.After(probeStaggerMs.Duration()):
				case <-ctx.Done():
				}
			}
			reached <- ctx.Err() == nil && m.reaches(ctx, reg, condition == policy.PathMute)
		}()
	}
	for range leaves {
		if <-reached {
			return policy.ProbeReached
		}
	}
	if condition != policy.PathSuspected {
		return policy.ProbeNone
	}
	// New connections may be refused at once while open ones still serve.
	<-ctx.Done()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.detector.ContactSince(began) {
		return policy.ProbeOpenOnly
	}
	return policy.ProbeNone
}

// leavesToProbe returns some serving leaves in random order, among them one of the own data centre if there is any. A ping is a request,
// which only goes to leaves that take one now.
func (m *PathMonitor) leavesToProbe(ping bool) []Registration {
	var own, all []Registration
	for _, reg := range m.opts.Registry.All() {
		if reg.State != samphirepass.LeafServing || m.opts.Registry.Evacuated(reg.DataCentre) || (ping && m.opts.Pool.waitMs(reg) > 0) {
			continue
		}
		all = append(all, reg)
		if reg.DataCentre == m.opts.DataCentre {
			own = append(own, reg)
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	leaves := all[:min(len(all), pathProbes)]
	if len(own) > 0 && !slices.ContainsFunc(leaves, func(reg Registration) bool { return reg.DataCentre == m.opts.DataCentre }) {
		leaves[0] = own[rand.IntN(len(own))]
	}
	return leaves
}

// reaches reports whether a leaf takes a connection and does not reset it at once, or answers a ping on it.
func (m *PathMonitor) reaches(ctx context.Context, reg Registration, ping bool) bool {
	pc := &pooledConn{dialer: m.opts.Pool.dialer}
	defer pc.close()
	if pc.dial(ctx, reg.Address) != nil {
		return false
	}
	if ping {
		if req, err := m.opts.Protocol.Ping(ctx, reg.Address); err == nil && req != nil {
			_, _, err := pc.roundTrip(ctx, req, answerLimits{body: maxLoadBytes})
			return err == nil
		}
	}
	if err := pc.conn.SetReadDeadline(time.Now().Add(probeHoldMs.Duration())); err != nil {
		return false
	}
	_, err := pc.conn.Read(make([]byte, 1))
	var timeout net.Error
	return err == nil || (errors.As(err, &timeout) && timeout.Timeout())
}

// reachedSince reports whether a leaf has shown a sign of life since a time, or does now. A nil monitor takes that for granted.
func (m *PathMonitor) reachedSince(ctx context.Context, since samphirepass.Millis) bool {
	if m == nil {
		return true
	}
	m.mu.Lock()
	contact := m.detector.ContactSince(since)
	m.mu.Unlock()
	return contact || m.probe(ctx) == policy.ProbeReached
}
