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
	cancelDelayMs samphirepass.Millis = 400
	// goneLingerMs is the same once the client has gone, when a leaf's work is of use to nobody.
	clientGoneCancelDelayMs samphirepass.Millis = 150
	// hedgePart of a route's target is when a shard counts as late at the latest: a second attempt and the merge still fit into the rest.
	hedgeDelayDivisor = 3
	// expectedPart of a route's target stands for the usual time of a leaf request before it is known; without a target expectedMs does.
	expectedLatencyDivisor                     = 8
	defaultExpectedMs      samphirepass.Millis = 20
	// shareTolerance keeps rounding from asking for one shard more than the declared share.
	roundingTolerance = 1e-9
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
	return max(int(math.Ceil(d.Route.MinShardShare*float64(len(d.Shards))-roundingTolerance)), 1)
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
	*fanOutDeps
	budgets      func(samphirepass.Service) samphirepass.Budget
	extraPercent samphirepass.Percent

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
		fanOutDeps: &fanOutDeps{registry: o.Registry, pool: o.Pool, sender: o.Sender, centre: o.Centre, chooser: o.Chooser, clock: o.Clock},
		budgets:    o.Budget, extraPercent: o.ExtraPercent, hedgers: map[samphirepass.RouteName]samphirepass.Hedger{},
	}
}

func (d *Deliverer) hedger(route samphirepass.Route) samphirepass.Hedger {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.hedgers[route.Name]
	if h == nil {
		h = policy.NewQuantileHedger(d.extraPercent).WithBaseDelay(route.LatencyTargetMs / hedgeDelayDivisor)
		d.hedgers[route.Name] = h
	}
	return h
}

// usual returns how long a leaf usually takes for a request of a route.
func expectedLatency(h samphirepass.Hedger, route samphirepass.Route) samphirepass.Millis {
	if ms := h.MedianLatency(); ms > 0 {
		return ms
	}
	if route.LatencyTargetMs > 0 {
		return route.LatencyTargetMs / expectedLatencyDivisor
	}
	return defaultExpectedMs
}

// Retain forgets what was measured of routes that are no longer there.
func (d *Deliverer) Retain(routes []samphirepass.Route) {
	present := make(map[samphirepass.RouteName]bool, len(routes))
	for _, r := range routes {
		present[r.Name] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.hedgers {
		if !present[name] {
			delete(d.hedgers, name)
		}
	}
}

// serving returns the leaves of a service that this entry may send to: they serve, and it may hold connections to them.
func (d *Deliverer) eligible(s samphirepass.Service) []Registration {
	all := d.registry.Serving(s)
	allowed := make([]Registration, 0, len(all))
	for _, reg := range all {
		if d.pool.mayConnect(reg.Announcement) {
			allowed = append(allowed, reg)
		}
	}
	return allowed
}

// Covered counts the shards for which a leaf is known that may get work.
func (d *Deliverer) Covered(shards []samphirepass.Service) int {
	n := 0
	for _, s := range shards {
		if len(d.eligible(s)) > 0 {
			n++
		}
	}
	return n
}

// Deliver sends a request to one leaf of each shard and returns what came before the request's deadline.
func (d *Deliverer) Deliver(ctx context.Context, delivery Delivery) DeliveryResult {
	began := d.clock.Now()
	leaves := make([][]Registration, len(delivery.Shards))
	opts := fanOutOptions{
		hedger: d.hedger(delivery.Route), budgets: make([]samphirepass.Budget, len(delivery.Shards)),
		maxAttempts: max(delivery.Route.MaxAttempts, 1), atMostOnce: delivery.Route.Kind == samphirepass.AtMostOnce,
		partialAfter: delivery.PartialAfterMs, grace: delivery.GraceMs, requiredShards: delivery.RequiredShards(), cancelDelay: cancelDelayMs, clientGoneCancelDelay: clientGoneCancelDelayMs,
	}
	opts.expected = expectedLatency(opts.hedger, delivery.Route)
	out := DeliveryResult{RequiredShards: opts.requiredShards, Replies: make([]*samphirepass.Reply, len(delivery.Shards))}
	for i, s := range delivery.Shards {
		opts.budgets[i] = d.budgets(s)
		leaves[i] = d.eligible(s)
		if len(leaves[i]) > 0 {
			out.Known++
		}
	}
	opts.newAttempt = func(shard int) samphirepass.Attempt {
		return samphirepass.Attempt{
			Request: delivery.Request.ID, Service: delivery.Shards[shard], Forwarded: &delivery.Request.Forwarded, AtMostOnce: opts.atMostOnce, ExpectedMs: opts.expected,
			DeadlineMs: delivery.Request.DeadlineMs - (d.clock.Now() - began),
		}
	}
	f := newFanOut(ctx, d.fanOutDeps, opts, leaves, began)
	f.run()
	for i := range f.shards {
		if s := &f.shards[i]; s.answered {
			out.Replies[i] = &s.reply
		}
	}
	out.LastErr, out.LastLeaf = f.lastErr, f.lastLeaf
	out.Answered, out.Failure, out.MaybeRun = f.answeredShards, f.failure, f.maybeRun || f.attemptsInFlight() > 0
	out.CrossCentreAttempts = f.crossCentreAttempts
	if delivery.Route.IsScatterGather() {
		out.DegradedShards = f.degradedShards()
	}
	out.Extra, out.Attempts, out.HalfMs, out.Shed = f.extraAttempts, f.attempts, f.halfMs, f.shed && f.answeredShards < len(f.shards)
	return out
}
