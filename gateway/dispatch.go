package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"samphirepass"
	"samphirepass/leaf"
	"samphirepass/logs"
	"samphirepass/metrics"
)

const (
	// clientPathMs is kept from a route's target for the way between client and entry, there and back, for a new connection, and for what
	// a small VM takes to read the request and to write the answer; measured at a fifth of a core.
	clientPathMs samphirepass.Millis = 20
	// patienceFactor times a route's target is how long an answer that is late already waits to become whole.
	patienceFactor = 1
	// startMs is the time in which an entry usually learns the routing after its start, also where all of control starts with it.
	startMs samphirepass.Millis = 700
	// holdMs is the age of the process up to which a request waits for the first routing: after a start of all processes together
	// small VMs take some half of it to learn the routing.
	holdMs samphirepass.Millis = 1500
	// holdPart of a request's time is how long it waits at most, so that a refusal leaves its client time for another try.
	holdPart = 3
	// retryNoRoutingMs is when a client may come back if the start takes longer.
	retryNoRoutingMs samphirepass.Millis = 300
	// retryNoLeafMs is when a client may come back while too few leaves are known; discovery takes about as long.
	retryNoLeafMs samphirepass.Millis = 300
	// retryRefusedMs is when a client may come back after all leaves refused its request.
	retryRefusedMs samphirepass.Millis = 100
	// unlimitedMs stands for the deadline of a client that named none.
	unlimitedMs samphirepass.Millis = 1e9
)

// Deliverer sends a request to leaves and is safe for concurrent use.
type Deliverer interface {
	Deliver(ctx context.Context, d leaf.Delivery) leaf.DeliveryResult
	Covered(shards []samphirepass.Service) int
}

// Options set up a Dispatcher.
type Options struct {
	Deliverer Deliverer
	Metrics   *metrics.Metrics
	Clock     samphirepass.Clock
	Log       logs.Logger
}

// Dispatcher answers requests by the routes in force; it implements samphirepass.Dispatcher.
type Dispatcher struct {
	o      Options
	began  samphirepass.Millis
	router atomic.Pointer[Router]
	// inForce is closed once there is a routing.
	inForce chan struct{}
}

// NewDispatcher returns a dispatcher without routes.
func NewDispatcher(o Options) *Dispatcher {
	return &Dispatcher{o: o, began: o.Clock.Now(), inForce: make(chan struct{})}
}

// ApplyRouting puts a routing document in force, unless one with the same or a higher version is, and reports whether it did.
func (d *Dispatcher) ApplyRouting(routing samphirepass.Routing) bool {
	next := NewRouter(routing)
	for {
		have := d.router.Load()
		if have != nil && have.routing.Version >= routing.Version {
			return false
		}
		if d.router.CompareAndSwap(have, next) {
			if have == nil {
				close(d.inForce)
			}
			return true
		}
	}
}

// Routing returns the document in force and whether there is one.
func (d *Dispatcher) Routing() (samphirepass.Routing, bool) {
	r := d.router.Load()
	if r == nil {
		return samphirepass.Routing{}, false
	}
	return r.routing, true
}

// IsShard reports whether a service is a shard of a route in force.
func (d *Dispatcher) IsShard(s samphirepass.Service) bool {
	r := d.router.Load()
	return r != nil && r.shards[s]
}

// ClientLimits returns what clients may send, zero before there are routes.
func (d *Dispatcher) ClientLimits() samphirepass.ClientLimits {
	routing, _ := d.Routing()
	return routing.ClientLimits
}

// Dispatch answers one request.
func (d *Dispatcher) Dispatch(ctx context.Context, r samphirepass.ClientRequest) (samphirepass.ClientAnswer, error) {
	began := d.o.Clock.Now()
	router := d.awaitRouter(ctx, r)
	if r.DeadlineMs > 0 {
		r.DeadlineMs = max(r.DeadlineMs-(d.o.Clock.Now()-began), 1)
	}
	if router == nil {
		return d.refuse(r, 0, later(max(startMs-(began-d.began), retryNoRoutingMs), samphirepass.Refuse(samphirepass.CodeUnavailable, "no routing is known yet")))
	}
	route, ok := router.Find(r.Host, r.Path)
	if !ok {
		return d.refuse(r, router.routing.Version, samphirepass.Refuse(samphirepass.CodeNotFound, "no route for this host and path"))
	}
	shards := router.SelectServices(route)
	one := delivery(r, route, shards)
	if one.PartialAfterMs > 0 {
		one.PartialAfterMs = max(one.PartialAfterMs-(d.o.Clock.Now()-began), 1)
	}
	var out leaf.DeliveryResult
	answer, refusal := d.precheck(one)
	if refusal == nil {
		deadline, cancel := context.WithTimeout(ctx, one.Request.DeadlineMs.Duration())
		defer cancel()
		out = d.o.Deliverer.Deliver(deadline, one)
		answer, refusal = conclude(deadline, one, out)
	}
	d.record(router, one, out, refusal, d.o.Clock.Now()-began)
	if refusal != nil {
		return answer, refusal
	}
	return answer, nil
}

// awaitRouter returns the routes in force. A process that has just started and learns them any moment waits for them:
// its clients would lose more time with a refusal and another try.
func (d *Dispatcher) awaitRouter(ctx context.Context, r samphirepass.ClientRequest) *Router {
	if router := d.router.Load(); router != nil {
		return router
	}
	wait := holdMs - (d.o.Clock.Now() - d.began)
	if r.DeadlineMs > 0 {
		wait = min(wait, r.DeadlineMs/holdPart)
	}
	if wait <= 0 {
		return nil
	}
	timeout := time.NewTimer(wait.Duration())
	defer timeout.Stop()
	select {
	case <-d.inForce:
	case <-timeout.C:
	case <-ctx.Done():
	}
	return d.router.Load()
}

// delivery bounds a request by its route and says when its answer is due.
func delivery(r samphirepass.ClientRequest, route samphirepass.Route, shards []samphirepass.Service) leaf.Delivery {
	if r.DeadlineMs <= 0 {
		r.DeadlineMs = unlimitedMs
	}
	r.DeadlineMs = min(r.DeadlineMs, route.TimeoutMs)
	one := leaf.Delivery{Request: r, Route: route, Shards: shards}
	if route.IsScatterGather() && route.LatencyTargetMs > 0 {
		one.PartialAfterMs = max(route.LatencyTargetMs-clientPathMs, route.LatencyTargetMs/2)
		one.GraceMs = patienceFactor * route.LatencyTargetMs
	}
	return one
}

// precheck refuses at once what cannot be served.
func (d *Dispatcher) precheck(one leaf.Delivery) (samphirepass.ClientAnswer, *samphirepass.Refusal) {
	covered := d.o.Deliverer.Covered(one.Shards)
	if covered >= one.RequiredShards() {
		return samphirepass.ClientAnswer{}, nil
	}
	refusal := samphirepass.Refuse(samphirepass.CodeUnavailable, "leaves are known for %d of %d shards", covered, len(one.Shards))
	return samphirepass.ClientAnswer{}, later(retryNoLeafMs, refusal)
}

func later(after samphirepass.Millis, r *samphirepass.Refusal) *samphirepass.Refusal {
	r.RetryAfterMs = after
	return r
}

// conclude turns what the leaves gave into an answer or a refusal.
func conclude(ctx context.Context, one leaf.Delivery, out leaf.DeliveryResult) (samphirepass.ClientAnswer, *samphirepass.Refusal) {
	if out.Answered > 0 && out.Answered >= out.RequiredShards {
		if !one.Route.IsScatterGather() {
			return samphirepass.ClientAnswer{Leaf: out.Replies[0]}, nil
		}
		if out.Merged != nil {
			return samphirepass.ClientAnswer{Merged: out.Merged}, nil
		}
		return samphirepass.ClientAnswer{Merged: MergeReplies(one, out)}, nil
	}
	switch {
	case !out.MaybeRun && out.Answered == 0:
		return samphirepass.ClientAnswer{}, later(retryRefusedMs, samphirepass.Refuse(samphirepass.CodeOverloaded, "every leaf that was asked refused the request"))
	case ctx.Err() != nil:
		refusal := samphirepass.RefuseUnknown("%d of %d shards answered in time", out.Answered, len(one.Shards))
		refusal.Code = samphirepass.CodeDeadline
		return samphirepass.ClientAnswer{}, refusal
	case out.Failure != nil && !one.Route.IsScatterGather():
		return samphirepass.ClientAnswer{Leaf: out.Failure}, nil
	default:
		return samphirepass.ClientAnswer{}, samphirepass.RefuseUnknown("%d of %d shards answered and the others failed", out.Answered, len(one.Shards))
	}
}

// MergeReplies returns the answer over the shards that answered.
func MergeReplies(one leaf.Delivery, out leaf.DeliveryResult) *samphirepass.MergedAnswer {
	a := &samphirepass.MergedAnswer{Missing: len(one.Shards) - out.Answered, Body: mergeTop(out.Replies, one.Route.TopK)}
	for _, reply := range out.Replies {
		if reply != nil {
			a.Signatures = append(a.Signatures, reply.Answer.Signature)
		}
	}
	return a
}

// MergeParts returns one answer of several parts of the shards.
func MergeParts(top int, parts []*samphirepass.MergedAnswer) *samphirepass.MergedAnswer {
	out := &samphirepass.MergedAnswer{}
	bodies := make([]*samphirepass.Reply, len(parts))
	for i, p := range parts {
		out.Signatures = append(out.Signatures, p.Signatures...)
		out.Missing += p.Missing
		bodies[i] = &samphirepass.Reply{Body: p.Body}
	}
	out.Body = mergeTop(bodies, top)
	return out
}

// refuse records a request that was refused before it had a plan.
func (d *Dispatcher) refuse(r samphirepass.ClientRequest, version samphirepass.RoutingVersion, refusal *samphirepass.Refusal) (samphirepass.ClientAnswer, error) {
	d.o.Metrics.Request("", 0, metrics.QueryRefused, 0)
	d.o.Log.Decision("Request refused.", "request", r.ID, "host", r.Host, "path", r.Path, "routing", version, "code", refusal.Code, "reason", refusal.Message)
	return samphirepass.ClientAnswer{}, refusal
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// record books how a request ended, with what decided it.
func (d *Dispatcher) record(router *Router, one leaf.Delivery, out leaf.DeliveryResult, refusal *samphirepass.Refusal, took samphirepass.Millis) {
	result := metrics.QueryWhole
	switch {
	case refusal != nil:
		result = metrics.QueryRefused
	case out.Answered < len(one.Shards):
		result = metrics.QueryPartial
	}
	d.o.Metrics.Request(string(one.Route.Name), one.Route.Rank, result, took)
	d.o.Metrics.Attempts(samphirepass.Service(one.Route.Name), out.Attempts, out.Extra)
	if refusal != nil {
		d.o.Log.Decision("Request not served.", "request", one.Request.ID, "route", one.Route.Name, "routing", router.routing.Version,
			"code", refusal.Code, "reason", refusal.Message, "not-run", refusal.NotRun, "shards", len(one.Shards), "known", out.Known,
			"answered", out.Answered, "attempts", out.Attempts, "allowed", one.Route.MaxAttempts, "kind", one.Route.Kind, "extra", out.Extra, "deadline-ms", int(one.Request.DeadlineMs), "took-ms", int(took),
			"last-leaf", out.LastLeaf, "last-error", errorText(out.LastErr))
		return
	}
	d.o.Log.Decision("Request answered.", "request", one.Request.ID, "route", one.Route.Name, "routing", router.routing.Version, "result", result,
		"shards", len(one.Shards), "answered", out.Answered, "attempts", out.Attempts, "extra", out.Extra, "took-ms", int(took))
}
