package leaf

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"samphirepass"
	"samphirepass/policy"
)

// holdWeight is the weight of a new value in the moving average of the time for which attempts hold connections.
const holdWeight = 0.1

// reopenDelayMs gives a leaf time to notice a closed connection before the next one counts against its limit.
const reopenDelayMs samphirepass.Millis = 10

// errNoConnections means that no connection to the leaf is allowed any more, as it leaves.
var errNoConnections = eris.New("no connection to the leaf is allowed")

// connPool holds the connections of this entry to one leaf, at most maxConns; it is safe for concurrent use.
type connPool struct {
	clock samphirepass.Clock
	// dialer opens the connections; nil means leafDialer.
	dialer *net.Dialer

	mu       sync.Mutex
	maxConns int
	// total counts the connections in use and idle.
	total int
	// closed is set while the leaf is not known or leaves.
	closed  bool
	idle    []*pooledConn
	waiters []chan *pooledConn
	// busy counts the attempts that wait, over all pools of this entry; it may be nil.
	busy *atomic.Int64
	// meanHold is the moving average of how long an attempt without an account holds a connection, 0 if unknown.
	meanHold samphirepass.Millis
	// use is that of client accounts, fair holds their waiting attempts, nil before the first one.
	use  *policy.AccountUse
	fair *policy.FairQueue[chan *pooledConn]
}

// setMaxConns changes the limit. Idle connections above it are closed at once, those in use when they are released. Attempts wait also while the
// limit is 0, as shares change with the entries that are known.
func (p *connPool) setMaxConns(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setMaxConnsLocked(n)
}

func (p *connPool) setMaxConnsLocked(n int) {
	p.maxConns = n
	p.closed = p.closed && n < 1
	if p.fair != nil {
		p.fair.SetServers(n)
	}
	for p.total > p.maxConns && len(p.idle) > 0 {
		p.idle[0].close()
		p.idle = p.idle[1:]
		p.total--
	}
	for p.total < p.maxConns && p.handToWaiter(&pooledConn{dialer: p.dialer}) {
		p.total++
	}
}

// close closes each connection once the request on it has ended, and ends all waits with errNoConnections, until the limit is raised again.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setMaxConnsLocked(0)
	p.closed = true
	for _, wait := range p.waiters {
		close(wait)
	}
	p.waiters = nil
	for _, w := range p.fair.RemoveAll() {
		close(w.Value)
	}
}

// handToWaiter hands a connection to the attempt that is next, and reports whether one waits.
func (p *connPool) handToWaiter(pc *pooledConn) bool {
	if len(p.waiters) == 0 {
		return p.fair.Len() > 0 && p.handToAccount(pc)
	}
	pc.takenAtMs = p.clock.Now()
	p.waiters[0] <- pc
	p.waiters = p.waiters[1:]
	return true
}

// waitMs returns how long a further attempt without an account would wait for a connection, 0 if one is free or if that is unknown.
func (p *connPool) waitMs() samphirepass.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) > 0 || p.total < p.maxConns {
		return 0
	}
	return p.meanHold * samphirepass.Millis(len(p.waiters)+1) / samphirepass.Millis(max(p.maxConns, 1))
}

// observeTaken records for how long an attempt without an account held a connection.
func (p *connPool) observeTaken(pc *pooledConn) {
	if pc.takenAtMs == 0 {
		return
	}
	held := p.clock.Now() - pc.takenAtMs
	pc.takenAtMs = 0
	if p.meanHold == 0 {
		p.meanHold = held
		return
	}
	p.meanHold += (held - p.meanHold) * holdWeight
}

// isReachable reports whether a connection is open or in use.
func (p *connPool) isReachable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total > len(p.idle) || slices.ContainsFunc(p.idle, (*pooledConn).isOpen)
}

// takeIdle removes the most recently used idle connection, an open one if there is any, and returns it; it is nil if there is none.
func (p *connPool) takeIdle() *pooledConn {
	if len(p.idle) == 0 {
		return nil
	}
	i := len(p.idle) - 1
	for j := i; j >= 0; j-- {
		if p.idle[j].conn != nil {
			i = j
			break
		}
	}
	pc := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	return pc
}

// acquire returns the most recently used idle connection, or a new one within the limit, or waits for one until ctx ends, the
// attempt is withdrawn or the data centre of the leaf is evacuated.
func (p *connPool) acquire(ctx context.Context, permit *samphirepass.SendPermit, gate *evacuationGate, dc samphirepass.DataCentre) (*pooledConn, error) {
	evacuations := gate.state.Load()
	if evacuations.contains(dc) {
		return nil, errEvacuated
	}
	p.mu.Lock()
	if pc := p.takeIdle(); pc != nil {
		pc.takenAtMs = p.clock.Now()
		p.mu.Unlock()
		if pc.nearIdleTimeout(p.clock.Now()) {
			pc.close()
		}
		return pc, p.awaitReopen(ctx, pc)
	}
	if p.total < p.maxConns {
		p.total++
		p.mu.Unlock()
		return &pooledConn{dialer: p.dialer, takenAtMs: p.clock.Now()}, nil
	}
	if p.closed {
		p.mu.Unlock()
		return nil, errNoConnections
	}
	wait := make(chan *pooledConn, 1)
	p.waiters = append(p.waiters, wait)
	p.mu.Unlock()
	if p.busy != nil {
		p.busy.Add(1)
		defer p.busy.Add(-1)
	}
	var withdrawn <-chan struct{}
	if permit != nil {
		withdrawn = permit.Withdrawn()
	}
	for {
		select {
		case pc, ok := <-wait:
			if !ok {
				return nil, errNoConnections
			}
			return pc, p.awaitReopen(ctx, pc)
		case <-withdrawn:
			p.cancelWait(wait)
			return nil, errWithdrawn
		case <-evacuations.replaced:
			if evacuations = gate.state.Load(); evacuations.contains(dc) {
				p.cancelWait(wait)
				return nil, errEvacuated
			}
		case <-ctx.Done():
			p.cancelWait(wait)
			return nil, ctx.Err()
		}
	}
}

// awaitReopen waits until reopenDelayMs has passed since the last failed request. It releases the connection if ctx ends first.
func (p *connPool) awaitReopen(ctx context.Context, pc *pooledConn) error {
	remaining := pc.failedAtMs + reopenDelayMs - p.clock.Now()
	if pc.failedAtMs == 0 || remaining <= 0 {
		return nil
	}
	t := time.NewTimer(remaining.Duration())
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		p.release(pc)
		return ctx.Err()
	}
}

func (p *connPool) cancelWait(wait chan *pooledConn) {
	p.mu.Lock()
	i := slices.Index(p.waiters, wait)
	if i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
	}
	p.mu.Unlock()
	if i >= 0 {
		return
	}
	if pc := <-wait; pc != nil {
		p.release(pc)
	}
}

// acquireStale returns an idle connection without an answer since the given time, or a new one if there are fewer than limit,
// or nil.
func (p *connPool) acquireStale(before samphirepass.Millis, limit int) *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, pc := range p.idle {
		if pc.answeredAtMs < before {
			p.idle = slices.Delete(p.idle, i, i+1)
			return pc
		}
	}
	if p.total < min(p.maxConns, limit) {
		p.total++
		return &pooledConn{dialer: p.dialer}
	}
	return nil
}

// acquireNew returns a connection to open if the pool may hold one and none is open, or nil.
func (p *connPool) acquireNew() *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.maxConns < 1 || p.total > len(p.idle) || slices.ContainsFunc(p.idle, func(pc *pooledConn) bool { return pc.conn != nil }):
		return nil
	case len(p.idle) > 0:
		return p.takeIdle()
	}
	p.total++
	return &pooledConn{dialer: p.dialer}
}

func (p *connPool) release(pc *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.total > p.maxConns {
		p.total--
		pc.close()
		return
	}
	if p.fair != nil {
		p.observeHold(pc)
	}
	p.observeTaken(pc)
	if p.handToWaiter(pc) {
		return
	}
	p.idle = append(p.idle, pc)
}

// size returns the number of connections, in use or idle.
func (p *connPool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}

// Share returns how many of a leaf's connections the entry with the given seat may hold.
// The shares of all seats, taken or not, add up to the leaf's limit.
func Share(a samphirepass.Announcement, seat, seats int) int {
	if seats <= 0 {
		return 0
	}
	share := a.Connections / seats
	// The remainder goes to different seats for different leaves.
	offset := (uint64(seat) + xxhash.Sum64String(string(a.Leaf))) % uint64(seats)
	if int(offset) < a.Connections%seats {
		share++
	}
	return share
}
