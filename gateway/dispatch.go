package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"samphirepass"
	"samphirepass/leaf"
	"samphirepass/logs"
	"samphirepass/metrics"
	"samphirepass/policy"
)

const (
	// graceFactor times a route's latency target is how long an answer that is already late still waits for stragglers.
	graceFactor = 1
	// typicalStartupMs is the usual time from the start of a gateway until it has the routing, also if all control processes start
	// together with it.
	typicalStartupMs samphirepass.Millis = 700
	// maxStartupWaitMs is the age of the process up to which requests wait for the first routing. Small VMs take about half of it
	// if all processes start together.
	maxStartupWaitMs samphirepass.Millis = 1500
	// startupWaitDivisor limits the wait for the routing to the deadline divided by it, so that a refused client has time to retry.
	startupWaitDivisor = 3
	// retryAfterNoRoutingMs is the minimum retry-after time without a routing, for starts that take longer than usual.
	retryAfterNoRoutingMs samphirepass.Millis = 300
	// retryAfterNoLeafMs is the retry-after time while too few leaves are known; discovery takes about as long.
	retryAfterNoLeafMs samphirepass.Millis = 300
	// retryAfterRefusedMs is the retry-after time if all leaves refused the request.
	retryAfterRefusedMs samphirepass.Millis = 100
	// retryAfterStoppingMs is the retry-after time of a stopping gateway: others take requests.
	retryAfterStoppingMs samphirepass.Millis = 1
	// retryAfterNoPathMs is the retry-after time while neither this gateway nor another one that was asked reaches leaves.
	retryAfterNoPathMs samphirepass.Millis = 250
	// noDeadlineMs is the deadline of a request that names none, before the route's timeout bounds it.
	noDeadlineMs samphirepass.Millis = 1e9
)

// Deliverer sends a request to leaves and is safe for concurrent use.
type Deliverer interface {
	// Deliver sends a request to one leaf of each shard and returns the replies.
	Deliver(ctx context.Context, d leaf.Delivery) leaf.DeliveryResult
	// Covered returns the number of shards with at least one eligible leaf.
	Covered(shards []samphirepass.Service) int
}

// Options set up a Dispatcher.
type Options struct {
	Deliverer Deliverer
	// Ending announces the end of the process; nil means that it never ends.
	Ending *Ending
	// Quarantine holds what is known of requests that crash leaves; nil means that there are none.
	Quarantine *policy.Quarantine
	// OnSuspicion is called with what this gateway adds to Quarantine, for the other gateways.
	OnSuspicion func(samphirepass.Suspicion)
	// Quotas keeps the quotas of accounts over all gateways; nil means that none are kept.
	Quotas  samphirepass.FleetLimiter
	Metrics *metrics.Metrics
	Clock   samphirepass.Clock
	Log     logs.Logger
}

// Dispatcher answers requests by the current routing document. It implements samphirepass.Dispatcher and is safe for concurrent use.
type Dispatcher struct {
	opts      Options
	startedAt samphirepass.Millis
	router    atomic.Pointer[Router]
	// routingReady is closed when the first routing document is applied.
	routingReady chan struct{}
}

// NewDispatcher returns a dispatcher without a routing document.
func NewDispatcher(opts Options) *Dispatcher {
	return &Dispatcher{opts: opts, startedAt: opts.Clock.Now(), routingReady: make(chan struct{})}
}

// ApplyRouting replaces the current routing document if the given one has a higher version, and reports whether it did.
func (d *Dispatcher) ApplyRouting(routing samphirepass.Routing) bool {
	next := NewRouter(routing)
	for {
		current := d.router.Load()
		if current != nil && current.routing.Version >= routing.Version {
			return false
		}
		if d.router.CompareAndSwap(current, next) {
			if routing.HasAccounts {
				d.opts.Metrics.SetAccounts(routing.Accounts)
			}
			if current == nil {
				close(d.routingReady)
			}
			return true
		}
	}
}

// Routing returns the current document and reports whether there is one.
func (d *Dispatcher) Routing() (samphirepass.Routing, bool) {
	r := d.router.Load()
	if r == nil {
		return samphirepass.Routing{}, false
	}
	return r.routing, true
}

// IsShard reports whether a service is a shard of a route in the current document.
func (d *Dispatcher) IsShard(s samphirepass.Service) bool {
	r := d.router.Load()
	return r != nil && r.shards[s]
}

// Shards returns the shards of all scatter-gather routes in the current document, each once.
func (d *Dispatcher) Shards() []samphirepass.Service {
	r := d.router.Load()
	if r == nil {
		return nil
	}
	return slices.Collect(maps.Keys(r.shards))
}

// ShardLists returns the shards of each scatter-gather route in the current document, as lists that do not change.
func (d *Dispatcher) ShardLists() [][]samphirepass.Service {
	r := d.router.Load()
	if r == nil {
		return nil
	}
	var lists [][]samphirepass.Service
	for _, route := range r.routing.Routes {
		if route.IsScatterGather() {
			lists = append(lists, route.ShardServices)
		}
	}
	return lists
}

// MaxShards returns the largest number of shards of a route in the current document.
func (d *Dispatcher) MaxShards() int {
	r := d.router.Load()
	if r == nil {
		return 0
	}
	return r.maxShards
}

// ClientLimits returns the limits on clients' requests of the current document, or the zero value if there is none.
func (d *Dispatcher) ClientLimits() samphirepass.ClientLimits {
	routing, _ := d.Routing()
	return routing.ClientLimits
}

// Dispatch answers one request by its route; an error is always a *samphirepass.Refusal.
func (d *Dispatcher) Dispatch(ctx context.Context, r samphirepass.ClientRequest) (samphirepass.ClientAnswer, error) {
	began := d.opts.Clock.Now()
	router := d.awaitRouter(ctx, r)
	if r.DeadlineMs > 0 {
		r.DeadlineMs = max(r.DeadlineMs-(d.opts.Clock.Now()-began), 1)
	}
	if router == nil {
		return d.refuse(r, 0, withRetryAfter(max(typicalStartupMs-(began-d.startedAt), retryAfterNoRoutingMs), samphirepass.Refuse(samphirepass.CodeUnavailable, "no routing is known yet")))
	}
	route, ok := router.Find(r.Host, r.Path)
	if !ok {
		return d.refuse(r, router.routing.Version, samphirepass.Refuse(samphirepass.CodeNotFound, "no route for this host and path"))
	}
	account, ok := router.Authenticate(route, r.Key)
	if !ok {
		return d.refuse(r, router.routing.Version, samphirepass.Refuse(samphirepass.CodeUnauthorized, "the route needs the key of an account"))
	}
	r.Forwarded.HideCredentials = router.routing.HasAccounts
	if account != nil {
		r.Forwarded.Account = account.Name
		if account.HasRank {
			route.Rank = account.Rank
		}
	}
	shards := router.SelectServices(route)
	delivery := newDelivery(r, route, shards)
	if delivery.PartialAfterMs > 0 {
		delivery.PartialAfterMs = max(delivery.PartialAfterMs-(d.opts.Clock.Now()-began), 1)
	}
	var result leaf.DeliveryResult
	var admitted samphirepass.LimitVerdict
	answer, refusal := d.checkCoverage(delivery)
	if refusal == nil {
		refusal = d.checkCut(delivery)
	}
	if refusal == nil {
		delivery.Probe, refusal = d.checkQuarantine(delivery)
	}
	if refusal == nil {
		admitted, refusal = d.checkQuota(ctx, account, &delivery)
	}
	if refusal == nil {
		deliverCtx, cancel := context.WithTimeout(ctx, delivery.Request.DeadlineMs.Duration())
		defer cancel()
		if d.opts.Ending != nil {
			var release context.CancelFunc
			deliverCtx, release = d.opts.Ending.bound(deliverCtx, &delivery)
			defer release()
		}
		result = d.opts.Deliverer.Deliver(deliverCtx, delivery)
		d.recordCrashes(delivery, result)
		answer, refusal = buildAnswer(deliverCtx, delivery, result)
		if result.SendsEnded {
			d.referElsewhere(refusal)
		}
	}
	if admitted.Granted && refusal != nil && refusal.NotRun {
		d.opts.Quotas.Return(samphirepass.AccountLimitKey(account.Name), admitted)
	}
	d.recordResult(router, delivery, result, refusal, d.opts.Clock.Now()-began)
	if refusal != nil {
		return answer, refusal
	}
	return answer, nil
}

// awaitRouter returns the current router, or nil if there is none. Shortly after the start of the process it waits for the first
// one, as a refusal and a retry would cost the client more time.
func (d *Dispatcher) awaitRouter(ctx context.Context, r samphirepass.ClientRequest) *Router {
	if router := d.router.Load(); router != nil {
		return router
	}
	wait := maxStartupWaitMs - (d.opts.Clock.Now() - d.startedAt)
	if r.DeadlineMs > 0 {
		wait = min(wait, r.DeadlineMs/startupWaitDivisor)
	}
	if wait <= 0 {
		return nil
	}
	timeout := time.NewTimer(wait.Duration())
	defer timeout.Stop()
	select {
	case <-d.routingReady:
	case <-timeout.C:
	case <-ctx.Done():
	}
	return d.router.Load()
}

// newDelivery returns the delivery of a request, with its deadline bounded by the route's timeout and the times after which a
// partial answer is returned.
func newDelivery(r samphirepass.ClientRequest, route samphirepass.Route, shards []samphirepass.Service) leaf.Delivery {
	if r.DeadlineMs <= 0 {
		r.DeadlineMs = noDeadlineMs
	}
	r.DeadlineMs = min(r.DeadlineMs, route.TimeoutMs)
	delivery := leaf.Delivery{Request: r, Route: route, Shards: shards}
	if route.IsScatterGather() && route.LatencyTargetMs > 0 {
		delivery.PartialAfterMs = leaf.PartialAfter(route.LatencyTargetMs)
		delivery.GraceMs = graceFactor * route.LatencyTargetMs
	}
	return delivery
}

// checkCoverage refuses a request if leaves are known for fewer shards than it requires.
func (d *Dispatcher) checkCoverage(delivery leaf.Delivery) (samphirepass.ClientAnswer, *samphirepass.Refusal) {
	covered := d.opts.Deliverer.Covered(delivery.Shards)
	if covered >= delivery.RequiredShards() {
		return samphirepass.ClientAnswer{}, nil
	}
	refusal := samphirepass.Refuse(samphirepass.CodeUnavailable, "leaves are known for %d of %d shards", covered, len(delivery.Shards))
	return samphirepass.ClientAnswer{}, withRetryAfter(retryAfterNoLeafMs, refusal)
}

// checkCut refuses a request that may still be in flight when the process ends. The client can send it to another gateway at once.
func (d *Dispatcher) checkCut(delivery leaf.Delivery) *samphirepass.Refusal {
	if d.opts.Ending == nil {
		return nil
	}
	left, ending := d.opts.Ending.CutIn()
	if !ending || delivery.Request.DeadlineMs <= left {
		return nil
	}
	return withRetryAfter(retryAfterStoppingMs, samphirepass.Refuse(samphirepass.CodeStopping, "the gateway stops in %.0f ms, and the request may take %.0f ms", left, delivery.Request.DeadlineMs))
}

// referElsewhere makes the refusal of a request that was not sent because the process ends say so: the client can send the request to
// another gateway at once.
func (d *Dispatcher) referElsewhere(refusal *samphirepass.Refusal) {
	if refusal == nil || !refusal.NotRun {
		return
	}
	left, _ := d.opts.Ending.CutIn()
	refusal.Code, refusal.RetryAfterMs = samphirepass.CodeStopping, retryAfterStoppingMs
	refusal.Message = fmt.Sprintf("the gateway stops in %.0f ms, and the request still waited for a leaf", left)
}

func withRetryAfter(after samphirepass.Millis, r *samphirepass.Refusal) *samphirepass.Refusal {
	r.RetryAfterMs = after
	return r
}

// buildAnswer turns the result of a delivery into an answer or a refusal.
func buildAnswer(ctx context.Context, delivery leaf.Delivery, result leaf.DeliveryResult) (samphirepass.ClientAnswer, *samphirepass.Refusal) {
	if result.Answered > 0 && result.Answered >= result.RequiredShards {
		if !delivery.Route.IsScatterGather() {
			return samphirepass.ClientAnswer{Leaf: result.Replies[0]}, nil
		}
		if result.Merged != nil {
			return samphirepass.ClientAnswer{Merged: result.Merged}, nil
		}
		return samphirepass.ClientAnswer{Merged: MergeReplies(delivery, result)}, nil
	}
	switch {
	case result.NoPath && !result.MaybeRun && result.Answered == 0:
		return samphirepass.ClientAnswer{}, withRetryAfter(max(result.RetryAfterMs, retryAfterNoPathMs), samphirepass.Refuse(samphirepass.CodeNoPath, "the gateway reaches no leaf, and no other one took the request"))
	case result.Crowded && !result.MaybeRun && result.Answered == 0:
		return samphirepass.ClientAnswer{}, withRetryAfter(result.RetryAfterMs, samphirepass.Refuse(samphirepass.CodeOverloaded, "too many requests are in flight at the gateway"))
	case !result.MaybeRun && result.Answered == 0:
		return samphirepass.ClientAnswer{}, withRetryAfter(max(result.RetryAfterMs, retryAfterRefusedMs), samphirepass.Refuse(samphirepass.CodeOverloaded, "every leaf that was asked refused the request"))
	case errors.Is(context.Cause(ctx), errEnding):
		return samphirepass.ClientAnswer{}, samphirepass.RefuseUnknown("%d of %d shards answered before the gateway stopped", result.Answered, len(delivery.Shards))
	case ctx.Err() != nil:
		refusal := samphirepass.RefuseUnknown("%d of %d shards answered in time", result.Answered, len(delivery.Shards))
		refusal.Code = samphirepass.CodeDeadline
		return samphirepass.ClientAnswer{}, refusal
	case result.Failure != nil && !delivery.Route.IsScatterGather():
		return samphirepass.ClientAnswer{Leaf: result.Failure}, nil
	default:
		return samphirepass.ClientAnswer{}, samphirepass.RefuseUnknown("%d of %d shards answered and the others failed", result.Answered, len(delivery.Shards))
	}
}

// MergeReplies merges the replies of the shards that answered.
func MergeReplies(delivery leaf.Delivery, result leaf.DeliveryResult) *samphirepass.MergedAnswer {
	a := &samphirepass.MergedAnswer{Missing: len(delivery.Shards) - result.Answered, Body: mergeTopK(result.Replies, delivery.Route.TopK)}
	for _, reply := range result.Replies {
		if reply != nil {
			a.Signatures = append(a.Signatures, reply.Answer.Signature)
		}
	}
	return a
}

// MergeParts merges the answers for disjoint parts of the shards, keeping the topK greatest records.
func MergeParts(topK int, parts []*samphirepass.MergedAnswer) *samphirepass.MergedAnswer {
	merged := &samphirepass.MergedAnswer{}
	replies := make([]*samphirepass.Reply, len(parts))
	for i, p := range parts {
		merged.Signatures = append(merged.Signatures, p.Signatures...)
		merged.Missing += p.Missing
		replies[i] = &samphirepass.Reply{Body: p.Body}
	}
	merged.Body = mergeTopK(replies, topK)
	return merged
}

// refuse records a request that was refused before a route was found, and returns the refusal.
func (d *Dispatcher) refuse(r samphirepass.ClientRequest, version samphirepass.RoutingVersion, refusal *samphirepass.Refusal) (samphirepass.ClientAnswer, error) {
	d.opts.Metrics.ObserveRequest("", 0, metrics.QueryRefused, 0)
	d.opts.Log.RequestEvent("Request refused.", "request", r.ID, "host", r.Host, "path", r.Path, "routing", version, "code", refusal.Code, "reason", refusal.Message)
	return samphirepass.ClientAnswer{}, refusal
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// recordResult counts and logs how a request ended.
func (d *Dispatcher) recordResult(router *Router, delivery leaf.Delivery, result leaf.DeliveryResult, refusal *samphirepass.Refusal, elapsed samphirepass.Millis) {
	outcome := metrics.QueryWhole
	switch {
	case refusal != nil:
		outcome = metrics.QueryRefused
	case result.Answered < len(delivery.Shards):
		outcome = metrics.QueryPartial
	}
	label := router.Label(delivery.Route)
	d.opts.Metrics.ObserveRequest(label, delivery.Route.Rank, outcome, elapsed)
	if delivery.Request.Forwarded.HideCredentials {
		d.opts.Metrics.ObserveAccount(delivery.Request.Forwarded.Account, refusal == nil, elapsed)
	}
	d.opts.Metrics.Attempts(samphirepass.Service(label), result.Attempts, result.Extra)
	if refusal != nil {
		d.opts.Log.RequestEvent("Request not served.", "request", delivery.Request.ID, "route", label, "routing", router.routing.Version,
			"code", refusal.Code, "reason", refusal.Message, "not-run", refusal.NotRun, "shards", len(delivery.Shards), "known", result.KnownShards,
			"answered", result.Answered, "parts", result.Parts, "failed-parts", result.FailedParts, "attempts", result.Attempts, "allowed", delivery.Route.MaxAttempts, "kind", delivery.Route.Kind, "extra", result.Extra, "deadline-ms", int(delivery.Request.DeadlineMs), "took-ms", int(elapsed),
			"last-leaf", result.LastLeaf, "last-error", errorText(result.LastErr))
		return
	}
	d.opts.Log.RequestEvent("Request answered.", "request", delivery.Request.ID, "route", label, "routing", router.routing.Version, "result", outcome,
		"shards", len(delivery.Shards), "answered", result.Answered, "attempts", result.Attempts, "extra", result.Extra, "skipped", result.Skipped, "took-ms", int(elapsed))
}
