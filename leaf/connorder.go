package leaf

import (
	"context"
	"math/rand/v2"

	"github.com/rotisserie/eris"

	"samphirepass"
	"samphirepass/policy"
)

// maxWaitingAttempts bounds the attempts of accounts that wait for a connection to one leaf. Each is a goroutine, and a leaf answers some
// hundred requests a second at most.
const maxWaitingAttempts = 256

// minGateRetryMs is the least retry-after time of a request that a share gate refused, and the span over which such retries are spread. An
// overload by one account lasts for seconds, and its level rises within about one.
const minGateRetryMs samphirepass.Millis = 500

// errCrowded means that an attempt was refused because others come before it.
var errCrowded = eris.New("other requests come before this one and it cannot be sent in time")

// acquireFor returns a connection for an attempt. Where accounts are declared, attempts wait in the order of policy.FairQueue, otherwise in the
// order in which they come.
func (p *connPool) acquireFor(ctx context.Context, a samphirepass.Attempt, gate *evacuationGate, dc samphirepass.DataCentre) (*pooledConn, error) {
	if a.Forwarded == nil || !a.Forwarded.HideCredentials {
		return p.acquire(ctx, a.Permit, gate, dc)
	}
	evacuations := gate.state.Load()
	if evacuations.contains(dc) {
		return nil, errEvacuated
	}
	pc, wait, waiter := p.acquireOrEnqueue(a)
	if pc == nil && wait == nil {
		return nil, errNoConnections
	}
	if wait == nil {
		return p.prepare(ctx, pc)
	}
	var withdrawn <-chan struct{}
	if a.Permit != nil {
		withdrawn = a.Permit.Withdrawn()
	}
	for {
		select {
		case pc, ok := <-wait:
			if !ok {
				return nil, errNoConnections
			}
			if pc == nil {
				return nil, errCrowded
			}
			return p.prepare(ctx, pc)
		case <-withdrawn:
			p.leaveQueue(waiter)
			return nil, errWithdrawn
		case <-evacuations.replaced:
			if evacuations = gate.state.Load(); evacuations.contains(dc) {
				p.leaveQueue(waiter)
				return nil, errEvacuated
			}
		case <-ctx.Done():
			p.leaveQueue(waiter)
			return nil, ctx.Err()
		}
	}
}

// prepare makes a connection ready for an attempt.
func (p *connPool) prepare(ctx context.Context, pc *pooledConn) (*pooledConn, error) {
	if pc.nearIdleTimeout(p.clock.Now()) {
		pc.close()
	}
	return pc, p.awaitReopen(ctx, pc)
}

// acquireOrEnqueue returns a connection if one is free, and otherwise the place of the attempt among those that wait, and the channel that
// receives a connection, or nil if the attempt is refused. It returns nothing if no connection is allowed.
func (p *connPool) acquireOrEnqueue(a samphirepass.Attempt) (*pooledConn, chan *pooledConn, *policy.FairWaiter[chan *pooledConn]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if p.fair == nil {
		p.fair = policy.NewFairQueue[chan *pooledConn](p.use, maxWaitingAttempts)
		p.fair.SetServers(p.maxConns)
	}
	pc := p.takeIdle()
	switch {
	case pc != nil:
	case p.total < p.maxConns:
		p.total++
		pc = &pooledConn{dialer: p.dialer}
	case p.closed:
		return nil, nil, nil
	default:
		wait := make(chan *pooledConn, 1)
		r := policy.FairRequest{Account: a.Forwarded.Account, Rank: a.Rank, Extra: a.Extra, ExpiresAtMs: a.ExpiresAtMs}
		waiter, refused := p.fair.Push(now, r, wait)
		refuseWaiters(refused)
		return nil, wait, waiter
	}
	p.use.Serve(now, a.Forwarded.Account)
	pc.acquiredAtMs = now
	return pc, nil, nil
}

// handToAccount hands a connection to the attempt that is next among those of accounts, and reports whether there is one.
func (p *connPool) handToAccount(pc *pooledConn) bool {
	now := p.clock.Now()
	next, refused := p.fair.Pop(now)
	refuseWaiters(refused)
	if next == nil {
		return false
	}
	pc.acquiredAtMs = now
	next.Value <- pc
	return true
}

func refuseWaiters(refused []*policy.FairWaiter[chan *pooledConn]) {
	for _, w := range refused {
		w.Value <- nil
	}
}

// observeHold records for how long an attempt of an account held a connection.
func (p *connPool) observeHold(pc *pooledConn) {
	if pc.acquiredAtMs > 0 {
		p.fair.ObserveHold(p.clock.Now() - pc.acquiredAtMs)
		pc.acquiredAtMs = 0
	}
}

// leaveQueue removes a waiting attempt, and releases the connection if it got one meanwhile.
func (p *connPool) leaveQueue(w *policy.FairWaiter[chan *pooledConn]) {
	p.mu.Lock()
	left := p.fair.Remove(w)
	p.mu.Unlock()
	if left {
		return
	}
	if pc := <-w.Value; pc != nil {
		p.release(pc)
	}
}

// gateRetryAfterMs returns the retry-after time of a request that a share gate refused.
func gateRetryAfterMs() samphirepass.Millis {
	return minGateRetryMs * samphirepass.Millis(1+rand.Float64())
}
