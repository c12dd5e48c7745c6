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
	// openEveryMs is the time between two looks for leaves without a connection.
	preconnectIntervalMs samphirepass.Millis = 250
	// openSpreadMs spreads the first connections of all entries to one leaf, each of which holds a slot for a moment.
	preconnectJitterMs samphirepass.Millis = 1500
	// openAtOnce bounds the connections that are opened at a time.
	maxConcurrentDials = 8
)

// Preconnector opens one connection to each leaf before a request needs it: where entries are many and each leaf sees
// few requests of each, a large part of the first requests would wait for a new connection, and leaves for all of them.
type Preconnector struct {
	registry *Registry
	pool     *Pool
	// ahead reports whether a connection to a leaf is worth opening ahead of need.
	wanted func(samphirepass.Announcement) bool

	mu sync.Mutex
	// opened holds the lives of leaves that a connection has been opened to, whatever became of it.
	connected map[samphirepass.Leaf]samphirepass.Incarnation
}

// NewPreconnector returns an opener of connections to those leaves in registry for which ahead reports true.
func NewPreconnector(registry *Registry, pool *Pool, wanted func(samphirepass.Announcement) bool) *Preconnector {
	return &Preconnector{registry: registry, pool: pool, wanted: wanted, connected: map[samphirepass.Leaf]samphirepass.Incarnation{}}
}

// Serve runs until ctx ends.
func (o *Preconnector) Serve(ctx context.Context) error {
	t := time.NewTicker(preconnectIntervalMs.Duration())
	defer t.Stop()
	dials := make(chan struct{}, maxConcurrentDials)
	for {
		for _, reg := range o.newLeaves() {
			go o.connect(ctx, reg, dials)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return fmt.Errorf("open connections: %w", ctx.Err())
		}
	}
}

// fresh returns the serving leaves of which this life has not been seen before.
func (o *Preconnector) newLeaves() []Registration {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := o.registry.All()
	present := make(map[samphirepass.Leaf]bool, len(all))
	var out []Registration
	for _, reg := range all {
		present[reg.Leaf] = true
		if reg.State == samphirepass.LeafServing && o.connected[reg.Leaf] != reg.Incarnation && o.wanted(reg.Announcement) {
			o.connected[reg.Leaf] = reg.Incarnation
			out = append(out, reg)
		}
	}
	for name := range o.connected {
		if !present[name] {
			delete(o.connected, name)
		}
	}
	return out
}

func (o *Preconnector) connect(ctx context.Context, reg Registration, dials chan struct{}) {
	wait := time.NewTimer(time.Duration(rand.Float64() * float64(preconnectJitterMs.Duration())))
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
		return
	}
	dials <- struct{}{}
	defer func() { <-dials }()
	if o.registry.Leaving(reg) {
		return
	}
	t := o.pool.target(reg.Announcement)
	pc := t.conns.acquireNew()
	if pc == nil {
		return
	}
	defer t.conns.release(pc)
	// A leaf that cannot be reached now is met again by the first request to it.
	_ = pc.connect(ctx, reg.Address)
}
