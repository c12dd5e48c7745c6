package leaf

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"samphirepass"
)

const (
	// preconnectIntervalMs is the interval between scans for new leaves.
	preconnectIntervalMs samphirepass.Millis = 250
	// preconnectJitterMs spreads the first connections of all entries to one leaf, each of which occupies a slot for a moment.
	preconnectJitterMs samphirepass.Millis = 1500
	// maxConcurrentDials bounds the connections that are opened at a time.
	maxConcurrentDials = 8
)

// Preconnector opens one connection to each leaf before a request needs it. With many entries and few requests
// from each to a leaf, many first requests would otherwise wait for a new connection, each of which occupies a slot of the leaf
// for a moment.
type Preconnector struct {
	registry *Registry
	pool     *Pool
	// wanted reports whether to open a connection to a leaf in advance.
	wanted func(samphirepass.Announcement) bool

	mu sync.Mutex
	// connected holds the incarnation of each leaf for which a connection has been attempted.
	connected map[samphirepass.Leaf]samphirepass.Incarnation
}

// NewPreconnector returns a preconnector for the leaves in registry for which wanted reports true.
func NewPreconnector(registry *Registry, pool *Pool, wanted func(samphirepass.Announcement) bool) *Preconnector {
	return &Preconnector{registry: registry, pool: pool, wanted: wanted, connected: map[samphirepass.Leaf]samphirepass.Incarnation{}}
}

// Forget makes all leaves count as new: their connections may have broken while none could be opened.
func (p *Preconnector) Forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.connected)
}

// Serve connects to new leaves until ctx ends.
func (p *Preconnector) Serve(ctx context.Context) error {
	t := time.NewTicker(preconnectIntervalMs.Duration())
	defer t.Stop()
	dials := make(chan struct{}, maxConcurrentDials)
	for {
		for _, reg := range p.newLeaves() {
			go p.connect(ctx, reg, dials)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return fmt.Errorf("open connections: %w", ctx.Err())
		}
	}
}

// newLeaves returns the wanted serving leaves whose incarnation it has not returned before.
func (p *Preconnector) newLeaves() []Registration {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.registry.All()
	present := make(map[samphirepass.Leaf]bool, len(all))
	var leaves []Registration
	for _, reg := range all {
		present[reg.Leaf] = true
		if reg.State == samphirepass.LeafServing && !p.registry.Evacuated(reg.DataCentre) && p.connected[reg.Leaf] != reg.Incarnation && p.wanted(reg.Announcement) {
			p.connected[reg.Leaf] = reg.Incarnation
			leaves = append(leaves, reg)
		}
	}
	for name := range p.connected {
		if !present[name] {
			delete(p.connected, name)
		}
	}
	return leaves
}

func (p *Preconnector) connect(ctx context.Context, reg Registration, dials chan struct{}) {
	wait := time.NewTimer(time.Duration(rand.Float64() * float64(preconnectJitterMs.Duration())))
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
		return
	}
	dials <- struct{}{}
	defer func() { <-dials }()
	// Much may have changed while it waited for its turn.
	if p.registry.Evacuated(reg.DataCentre) {
		p.mu.Lock()
		delete(p.connected, reg.Leaf)
		p.mu.Unlock()
		return
	}
	if p.registry.Leaving(reg) || !p.wanted(reg.Announcement) {
		return
	}
	t := p.pool.target(reg.Announcement)
	pc := t.conns.acquireNew()
	if pc == nil {
		return
	}
	defer t.conns.release(pc)
	// If the leaf cannot be reached now, the first request to it dials again.
	_ = pc.connect(ctx, reg.Address)
}
