package leaf

import (
	"context"
	"fmt"
	"time"

	"samphirepass"
)

const (
	// warmIntervalMs is the interval between checks of all connections.
	warmIntervalMs samphirepass.Millis = 500
	// staleAfterMs is the time without an answer after which an idle connection is probed.
	staleAfterMs samphirepass.Millis = 3000
	// warmProbeTimeoutMs is the time within which a connection must answer a probe.
	warmProbeTimeoutMs samphirepass.Millis = 500
	// maxLoadBytes bounds the body of the answer to a probe.
	maxLoadBytes = 1024
)

// Warmer opens connections before requests need them, and replaces idle ones that no longer answer.
type Warmer struct {
	registry *Registry
	pool     *Pool
	protocol samphirepass.LeafProtocol
	clock    samphirepass.Clock
}

// NewWarmer returns a warmer for the leaves in registry.
func NewWarmer(registry *Registry, pool *Pool, protocol samphirepass.LeafProtocol, clock samphirepass.Clock) *Warmer {
	return &Warmer{registry: registry, pool: pool, protocol: protocol, clock: clock}
}

// Serve warms connections, removes expired leaves and updates the connection limits until ctx ends.
func (w *Warmer) Serve(ctx context.Context) error {
	t := time.NewTicker(warmIntervalMs.Duration())
	defer t.Stop()
	for {
		w.registry.RemoveExpired()
		known := w.registry.All()
		w.pool.Refresh(known)
		for _, reg := range known {
			if reg.State == samphirepass.LeafServing && !w.registry.Evacuated(reg.DataCentre) {
				w.warm(ctx, reg)
			}
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return fmt.Errorf("warm connections: %w", ctx.Err())
		}
	}
}

// warm probes the stale connections of one leaf and opens new ones, up to one more than its slots.
func (w *Warmer) warm(ctx context.Context, reg Registration) {
	t := w.pool.target(reg.Announcement)
	var stale []*pooledConn
	for pc := t.conns.acquireStale(w.clock.Now()-staleAfterMs, reg.Slots+1); pc != nil; {
		stale = append(stale, pc)
		pc = t.conns.acquireStale(w.clock.Now()-staleAfterMs, reg.Slots+1)
	}
	for _, pc := range stale {
		go w.probe(ctx, t, pc)
	}
}

func (w *Warmer) probe(ctx context.Context, t *target, pc *pooledConn) {
	ctx, cancel := context.WithTimeout(ctx, warmProbeTimeoutMs.Duration())
	defer cancel()
	defer t.conns.release(pc)
	err := probeConn(ctx, w.protocol, t, pc)
	now := w.clock.Now()
	if err != nil {
		pc.failedAtMs = now
		return
	}
	pc.answeredAtMs = now
}

// probeConn sends the protocol's probe to check that the connection is alive. It does nothing if the protocol has none.
func probeConn(ctx context.Context, p samphirepass.LeafProtocol, t *target, pc *pooledConn) error {
	req, err := p.Probe(ctx, t.address)
	if err != nil {
		return fmt.Errorf("make probe: %w", err)
	}
	if req == nil {
		return nil
	}
	if err := pc.connect(ctx, t.address); err != nil {
		return err
	}
	if _, _, err := pc.roundTrip(ctx, req, answerLimits{body: maxLoadBytes}); err != nil {
		return fmt.Errorf("send probe: %w", err)
	}
	return nil
}
