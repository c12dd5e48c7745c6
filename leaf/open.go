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
	openEveryMs samphirepass.Millis = 250
	// openSpreadMs spreads the first connections of all entries to one leaf, each of which holds a slot for a moment.
	openSpreadMs samphirepass.Millis = 1500
	// openAtOnce bounds the connections that are opened at a time.
	openAtOnce = 8
)

// Preconnector opens one connection to each leaf before a request needs it: where entries are many and each leaf sees
// few requests of each, a large part of the first requests would wait for a new connection, and leaves for all of them.
type Preconnector struct {
	registry *Registry
	pool     *Pool
	// ahead reports whether a connection to a leaf is worth opening ahead of need.
	ahead func(samphirepass.Announcement) bool

	mu sync.Mutex
	// opened holds the lives of leaves that a connection has been opened to, whatever became of it.
	opened map[samphirepass.Leaf]samphirepass.Incarnation
}

// NewPreconnector returns an opener of connections to those leaves in registry for which ahead reports true.
func NewPreconnector(registry *Registry, pool *Pool, ahead func(samphirepass.Announcement) bool) *Preconnector {
	return &Preconnector{registry: registry, pool: pool, ahead: ahead, opened: map[samphirepass.Leaf]samphirepass.Incarnation{}}
}

// Serve runs until ctx ends.
func (o *Preconnector) Serve(ctx context.Context) error {
	t := time.NewTicker(openEveryMs.Duration())
	defer t.Stop()
	slots := make(chan struct{}, openAtOnce)
	for {
		for _, k := range o.fresh() {
			go o.open(ctx, k, slots)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return fmt.Errorf("open connections: %w", ctx.Err())
		}
	}
}

// fresh returns the serving leaves of which this life has not been seen before.
func (o *Preconnector) fresh() []Registration {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.registry.All()
	there := make(map[samphirepass.Leaf]bool, len(known))
	var out []Registration
	for _, k := range known {
		there[k.Leaf] = true
		if k.State == samphirepass.LeafServing && o.opened[k.Leaf] != k.Incarnation && o.ahead(k.Announcement) {
			o.opened[k.Leaf] = k.Incarnation
			out = append(out, k)
		}
	}
	for name := range o.opened {
		if !there[name] {
			delete(o.opened, name)
		}
	}
	return out
}

func (o *Preconnector) open(ctx context.Context, k Registration, slots chan struct{}) {
	wait := time.NewTimer(time.Duration(rand.Float64() * float64(openSpreadMs.Duration())))
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
		return
	}
	slots <- struct{}{}
	defer func() { <-slots }()
	if o.registry.Leaving(k) {
		return
	}
	t := o.pool.target(k.Announcement)
	one := t.lanes.acquireFirst()
	if one == nil {
		return
	}
	defer t.lanes.release(one)
	// A leaf that cannot be reached now is met again by the first request to it.
	_ = one.open(ctx, k.Address)
}
