package leaf

import (
	"context"
	"math"
	"sync"

	"samphirepass"
	"samphirepass/policy"
)

const (
	// lingerMs lets an attempt that is no longer needed end by itself, which keeps its connection; pauses of leaves last about 200 ms.
	lingerMs samphirepass.Millis = 400
	// goneLingerMs is the same once the client has gone, when a leaf's work is of use to nobody.
	goneLingerMs samphirepass.Millis = 150
	// hedgePart of a route's target is when a shard counts as late at the latest: a second attempt and the merge still fit into the rest.
	hedgePart = 3
	// expectedPart of a route's target stands for the usual time of a leaf request before it is known; without a target expectedMs does.
	expectedPart                     = 8
	expectedMs   samphirepass.Millis = 20
	// shareTolerance keeps rounding from asking for one shard more than the declared share.
	shareTolerance = 1e-9
)

// Delivery is one request of a client on its way to one leaf of each of its shards.
type Delivery struct {
	Request samphirepass.ClientRequest
	Route   samphirepass.Route
	// Shards are the services to ask; a request that goes to one service has just that.
	Shards []samphirepass.Service
	// PartialAfterMs is the time from which an answer without stragglers is better than a late one, 0 for never.
	PartialAfterMs samphirepass.Millis
	// GraceMs is how long an answer that is late already waits to become whole.
	GraceMs samphirepass.Millis
	// MinShards is the number of shards without which there is no answer, 0 if the route's share tells.
	MinShards int
}

// RequiredShards returns the number of shards without which there is no answer.
func (d Delivery) RequiredShards() int {
	if !d.Route.IsScatterGather() {
		return 1
	}
	if d.MinShards > 0 {
		return d.MinShards
	}
	return max(int(math.Ceil(d.Route.MinShardShare*float64(len(d.Shards))-shareTolerance)), 1)
}

// DeliveryResult is what the leaves gave.
type DeliveryResult struct {
	// Replies has one element for each shard, nil where none came.
	Replies []*samphirepass.Reply
	// Merged is the answer over all shards where another entry collected it, in place of Replies.
	Merged *samphirepass.MergedAnswer
	// Answered counts the replies, Known the shards for which a leaf was known.
	Answered, Known int
	// RequiredShards is the number of replies without which there is no answer.
	RequiredShards int
	// Failure is the last answer of a leaf that ran the request and failed.
	Failure *samphirepass.Reply
	// LastErr is the error of the attempt that failed last, LastLeaf the leaf that it was sent to.
	LastErr  error
	LastLeaf samphirepass.Leaf
	// MaybeRun is set where a leaf may have run the request.
	MaybeRun bool
	// Extra counts the hedges and retries, Attempts all leaf requests.
	Extra, Attempts int
	// DegradedShards are the shards whose leaves in the own data centre are so slow or fail so often that others are preferred.
	DegradedShards []int
	// CrossCentreAttempts counts the leaf requests that went to other data centres.
	CrossCentreAttempts int
	// HalfMs is the time after which half of the shards had been answered or given up.
	HalfMs samphirepass.Millis
	// Shed is set where shards lack because leaves refused work or the deadline passed.
	Shed bool
}

// Deliverer passes clients' requests on by routes; it is safe for concurrent use.
type Deliverer struct {
	*fleet
	budgets func(samphirepass.Service) samphirepass.Budget
	percent samphirepass.Percent

	mu      sync.Mutex
	hedgers map[samphirepass.RouteName]samphirepass.Hedger
}

// DelivererOptions set up a Deliverer.
type DelivererOptions struct {
	Registry *Registry
	Pool     *Pool
	Sender   samphirepass.Sender
	Centre   samphirepass.DataCentre
	Chooser  samphirepass.Chooser
	Clock    samphirepass.Clock
	// Budget returns the budget of extra attempts of a service.
	Budget func(samphirepass.Service) samphirepass.Budget
	// ExtraPercent is the share of extra attempts that budgets are meant for.
	ExtraPercent samphirepass.Percent
}

// NewDeliverer returns a deliverer for an entry.
func NewDeliverer(o DelivererOptions) *Deliverer {
	return &Deliverer{
		fleet:   &fleet{registry: o.Registry, pool: o.Pool, sender: o.Sender, centre: o.Centre, chooser: o.Chooser, clock: o.Clock},
		budgets: o.Budget, percent: o.ExtraPercent, hedgers: map[samphirepass.RouteName]samphirepass.Hedger{},
	}
}

func (d *Deliverer) hedger(route samphirepass.Route) samphirepass.Hedger {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.hedgers[route.Name]
	if h == nil {
		h = policy.NewQuantileHedger(d.percent).WithBaseDelay(route.LatencyTargetMs / hedgePart)
		d.hedgers[route.Name] = h
	}
	return h
}

// usual returns how long a leaf usually takes for a request of a route.
func usual(h samphirepass.Hedger, route samphirepass.Route) samphirepass.Millis {
	if ms := h.MedianLatency(); ms > 0 {
		return ms
	}
	if route.LatencyTargetMs > 0 {
		return route.LatencyTargetMs / expectedPart
	}
	return expectedMs
}

// Retain forgets what was measured of routes that are no longer there.
func (d *Deliverer) Retain(routes []samphirepass.Route) {
	there := make(map[samphirepass.RouteName]bool, len(routes))
	for _, r := range routes {
		there[r.Name] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.hedgers {
		if !there[name] {
			delete(d.hedgers, name)
		}
	}
}

// serving returns the leaves of a service that this entry may send to: they serve, and it may hold connections to them.
func (d *Deliverer) serving(s samphirepass.Service) []Registration {
	all := d.registry.Serving(s)
	allowed := make([]Registration, 0, len(all))
	for _, k := range all {
		if d.pool.allowed(k.Announcement) {
			allowed = append(allowed, k)
		}
	}
	return allowed
}

// Covered counts the shards for which a leaf is known that may get work.
func (d *Deliverer) Covered(shards []samphirepass.Service) int {
	n := 0
	for _, s := range shards {
		if len(d.serving(s)) > 0 {
			n++
		}
	}
	return n
}

// Deliver sends a request to one leaf of each shard and returns what came before the request's deadline.
func (d *Deliverer) Deliver(ctx context.Context, one Delivery) DeliveryResult {
	began := d.clock.Now()
	leaves := make([][]Registration, len(one.Shards))
	c := course{
		hedger: d.hedger(one.Route), budgets: make([]samphirepass.Budget, len(one.Shards)),
		attempts: max(one.Route.MaxAttempts, 1), once: one.Route.Kind == samphirepass.AtMostOnce,
		settle: one.PartialAfterMs, patience: one.GraceMs, least: one.RequiredShards(), linger: lingerMs, goneLinger: goneLingerMs,
	}
	c.expected = usual(c.hedger, one.Route)
	out := DeliveryResult{RequiredShards: c.least, Replies: make([]*samphirepass.Reply, len(one.Shards))}
	for i, s := range one.Shards {
		c.budgets[i] = d.budgets(s)
		leaves[i] = d.serving(s)
		if len(leaves[i]) > 0 {
			out.Known++
		}
	}
	c.attempt = func(shard int) samphirepass.Attempt {
		return samphirepass.Attempt{
			Request: one.Request.ID, Service: one.Shards[shard], Forwarded: &one.Request.Forwarded, AtMostOnce: c.once, ExpectedMs: c.expected,
			DeadlineMs: one.Request.DeadlineMs - (d.clock.Now() - began),
		}
	}
	f := newFanOut(ctx, d.fleet, c, leaves, began)
	f.run()
	for i := range f.shards {
		if s := &f.shards[i]; s.answered {
			out.Replies[i] = &s.reply
		}
	}
	out.LastErr, out.LastLeaf = f.lastErr, f.lastLeaf
	out.Answered, out.Failure, out.MaybeRun = f.answered, f.failure, f.maybeRun || f.running() > 0
	out.CrossCentreAttempts = f.far
	if one.Route.IsScatterGather() {
		out.DegradedShards = f.poor()
	}
	out.Extra, out.Attempts, out.HalfMs, out.Shed = f.extra, f.attempts, f.halfMs, f.shed && f.answered < len(f.shards)
	return out
}
