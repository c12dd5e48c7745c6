package leaf

import (
	"context"
	"fmt"
	"time"

	"samphirepass"
)

const (
	warmIntervalMs samphirepass.Millis = 500
	// staleMs is the time without an answer after which a kept connection is tried.
	staleAfterMs samphirepass.Millis = 3000
	// probeTimeoutMs is the time after which a tried connection counts as silent.
	probeTimeoutMs samphirepass.Millis = 500
	// maxLoadBytes bounds what is read of a load figure.
	maxLoadBytes = 1024
)

// Warmer keeps connections open ahead of need and replaces those that have gone silent.
type Warmer struct {
	registry *Registry
	pool     *Pool
	protocol samphirepass.LeafProtocol
	clock    samphirepass.Clock
}

// NewWarmer returns a warmer of the leaves in registry.
func NewWarmer(registry *Registry, pool *Pool, protocol samphirepass.LeafProtocol, clock samphirepass.Clock) *Warmer {
	return &Warmer{registry: registry, pool: pool, protocol: protocol, clock: clock}
}

// Serve runs until ctx ends.
func (m *Warmer) Serve(ctx context.Context) error {
	t := time.NewTicker(warmIntervalMs.Duration())
	defer t.Stop()
	for {
		m.registry.RemoveExpired()
		known := m.registry.All()
		m.pool.Refresh(known)
		for _, reg := range known {
			if reg.State == samphirepass.LeafServing {
				m.warm(ctx, reg)
			}
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return fmt.Errorf("warm connections: %w", ctx.Err())
		}
	}
}

// warm probes the stale connections of one leaf and opens the missing ones, up to one more than its slots.
func (m *Warmer) warm(ctx context.Context, reg Registration) {
	t := m.pool.target(reg.Announcement)
	var stale []*pooledConn
	for pc := t.conns.acquireStale(m.clock.Now()-staleAfterMs, reg.Slots+1); pc != nil; {
		stale = append(stale, pc)
		pc = t.conns.acquireStale(m.clock.Now()-staleAfterMs, reg.Slots+1)
	}
	for _, pc := range stale {
		go m.probe(ctx, t, pc)
	}
}

func (m *Warmer) probe(ctx context.Context, t *target, pc *pooledConn) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeoutMs.Duration())
	defer cancel()
	defer t.conns.release(pc)
	err := probeConn(ctx, m.protocol, t, pc)
	now := m.clock.Now()
	if err != nil {
		pc.failedAtMs = now
		return
	}
	pc.answeredAtMs = now
}

// ping sends the protocol's probe to see that the connection is alive.
func probeConn(ctx context.Context, p samphirepass.LeafProtocol, t *target, pc *pooledConn) error {
	req, err := p.Probe(ctx, t.address)
	if err != nil {
		return fmt.Errorf("make probe: %w", err)
	}
	if req == nil {
		return nil
	}
	if _, _, err := pc.roundTrip(ctx, t.address, req, maxLoadBytes); err != nil {
		return fmt.Errorf("send probe: %w", err)
	}
	return nil
}
