package leaf

import (
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"

	"samphirepass"
	"samphirepass/policy"
)

const (
	// cancelDelayMs is how long attempts that are no longer needed may run before they are cancelled: cancelling an attempt
	// closes its connection. It is longer than the pauses of leaves, which take about 200 ms.
	cancelDelayMs samphirepass.Millis = 400
	// endedCancelDelayMs replaces cancelDelayMs if the client has gone or the deadline has passed, when the leaf's work is wasted.
	endedCancelDelayMs samphirepass.Millis = 150
	// clientOverheadMs is the part of a route's latency target for the round trip between client and gateway, a new connection, and
	// the time that a VM with a fifth of a core takes to read the request and write the answer.
	clientOverheadMs samphirepass.Millis = 20
	// hedgeDelayDivisor divides a route's latency target into the base hedge delay;
	// a second attempt and the merge fit into the rest of the target.
	hedgeDelayDivisor = 3
	// partialHedgeDivisor divides the time until a partial answer into the longest hedge delay, so that the second attempt, in another data
	// centre, answers before it. Only latency targets below 60 ms get a shorter delay by it than by hedgeDelayDivisor.
	partialHedgeDivisor = 2
	// expectedLatencyDivisor divides a route's latency target into the expected latency of a leaf request
	// before there are measurements. Routes without a target start from defaultExpectedMs.
	expectedLatencyDivisor                     = 8
	defaultExpectedMs      samphirepass.Millis = 20
	// deliveryBytes and shardBytes are what a delivery in flight holds beside its body, by itself and for each shard: a goroutine with an attempt,
	// its permit and contexts, and the answer.
	deliveryBytes = 16 << 10
	shardBytes    = 16 << 10
	// connectionWaitDivisor divides the time of a delivery into the longest expected wait for connections. The slowest of many shards waits for
	// several times as long, and the answers take time as well.
	connectionWaitDivisor = 5
	// roundingTolerance keeps floating-point error from requiring one shard more than the declared share.
	roundingTolerance = 1e-9
)

// PartialAfter returns the time after which an answer to a route with the given latency target is returned without its stragglers.
func PartialAfter(target samphirepass.Millis) samphirepass.Millis {
	return max(target-clientOverheadMs, target/2)
}

// hedgeDelay returns the base hedge delay of a route with the given latency target.
func hedgeDelay(target samphirepass.Millis) samphirepass.Millis {
	return min(target/hedgeDelayDivisor, PartialAfter(target)/partialHedgeDivisor)
}

// Delivery is one client request that goes to one leaf of each of its shards.
type Delivery struct {
	Request samphirepass.ClientRequest
	Route   samphirepass.Route
	// Shards lists the services that the request goes to, a single one if it is not a scatter-gather request.
	Shards []samphirepass.Service
	// PartialAfterMs is the time since the start of the delivery after which an answer with enough shards
	// is returned without its stragglers; 0 means never.
	PartialAfterMs samphirepass.Millis
	// GraceMs is how much longer an answer with too few shards at PartialAfterMs waits for all of them.
	GraceMs samphirepass.Millis
	// MinShards is the least number of shards for an answer; 0 means that the route's MinShardShare decides.
	MinShards int
	// DueShards is the number of shards with which the answer is returned at PartialAfterMs; 0 means MinShards.
	DueShards int
	// Probe makes the first attempt go out alone, and the others only once a leaf has survived the request.
	Probe bool
	// OnPartial is called once with the answers so far if they are fewer than DueShards at PartialAfterMs; it may be nil.
	OnPartial func(DeliveryResult) `codec:"-"`
	// SendsEnd is closed when attempts that have not been sent are withdrawn and no more are started; nil means never.
	SendsEnd <-chan struct{} `codec:"-"`
	// FurtherAttempts is called at most once, before any shard gets more than one attempt that its leaves may have seen, and reports
	// whether shards may; nil means that they may.
	FurtherAttempts func(context.Context) bool `codec:"-"`
	// Extra is set if other attempts on the shards were made before, so that all attempts draw on the retry budget.
	Extra bool
	// Recorded is set if the first attempts have been counted in the retry budget before.
	Recorded bool
}

// RequiredShards returns the least number of shards for an answer.
func (d Delivery) RequiredShards() int {
	if !d.Route.IsScatterGather() {
		return 1
	}
	if d.MinShards > 0 {
		return d.MinShards
	}
	return max(int(math.Ceil(d.Route.MinShardShare*float64(len(d.Shards))-roundingTolerance)), 1)
}

// WithElapsed returns the delivery with the elapsed time subtracted from its deadline and its partial-answer time.
func (d Delivery) WithElapsed(elapsed samphirepass.Millis) Delivery {
	d.Request.DeadlineMs = max(d.Request.DeadlineMs-elapsed, 1)
	if d.PartialAfterMs > 0 {
		d.PartialAfterMs = max(d.PartialAfterMs-elapsed, 1)
	}
	return d
}

// dueShards returns the number of shards with which the answer is returned at PartialAfterMs.
func (d Delivery) dueShards() int { return max(d.DueShards, d.RequiredShards()) }

// DeliveryResult holds the replies to a Delivery and how it went.
type DeliveryResult struct {
	// Replies has one element for each shard, nil for a shard that did not answer.
	Replies []*samphirepass.Reply
	// Merged replaces Replies where a collector has merged the answer.
	Merged *samphirepass.MergedAnswer
	// Answered counts the shards that answered, KnownShards those with at least one eligible leaf.
	Answered, KnownShards int
	// RequiredShards is the least number of shards for an answer.
	RequiredShards int
	// Failure is the last reply of a leaf that ran the request and reported a failure.
	Failure *samphirepass.Reply
	// LastErr is the error of the most recent failed attempt, LastLeaf the leaf that it was sent to.
	LastErr  error
	LastLeaf samphirepass.Leaf
	// MaybeRun is set if a leaf may have run the request without a usable answer.
	MaybeRun bool
	// Extra counts the hedges and retries, Attempts all leaf requests. An attempt that caused no load and its replacement
	// count as one.
	Extra, Attempts int
	// Parts is the number of parts that several entries delivered, FailedParts those of them without a usable answer.
	Parts, FailedParts int
	// Skipped counts the shards that were left out from the start because their leaves are overloaded, and not asked later.
	Skipped int
	// DegradedShards are the indices of shards for which leaves in other data centres are preferred,
	// because those in the own data centre are slow or fail often.
	DegradedShards []int
	// CrossCentreAttempts counts the leaf requests that went to other data centres.
	CrossCentreAttempts int
	// HalfAnsweredMs is the time until half of the shards had answered or failed.
	HalfAnsweredMs samphirepass.Millis
	// Shed is set if shards are missing and leaves refused work or the deadline passed.
	Shed bool
	// RetryAfterMs is the time until a leaf takes a request, if the request was not sent because too few leaves do now.
	RetryAfterMs samphirepass.Millis
	// SendsEnded is set if Delivery.SendsEnd was closed meanwhile.
	SendsEnded bool
	// Crashes are the leaves that ended while they ran the request, Survived is set if another one ran it and did not.
	Crashes  []samphirepass.LeafCrash
	Survived bool
	// NoPath is set if shards are missing as this process reaches no leaf.
	NoPath bool
	// Crowded is set if nothing was sent as the deliveries in flight in this process leave no memory for another one, or no connections in
	// time.
	Crowded bool
	// Unreached is set if shards are missing and connections to their leaves could not be opened.
	Unreached bool
	// Recorded is set if the first attempts were counted in the retry budget.
	Recorded bool
	// MostAttempts is the largest number of attempts on one shard that its leaves may have seen.
	MostAttempts int
	// Timing says where the time went.
	Timing Timing
}

// Deliverer sends client requests to leaves as their routes declare; it is safe for concurrent use.
type Deliverer struct {
	*fanOutDeps
	budgets      func(samphirepass.Service) samphirepass.Budget
	extraPercent samphirepass.Percent
	shareGates   bool
	path         samphirepass.LeafPath
	memory       *Slots
	returns      policy.ReturnTime
	// crowded counts the refused deliveries.
	crowded atomic.Int64

	mu     sync.Mutex
	routes map[routeStateKey]routeState
}

// routeStateKey identifies the measurements of one route. A new latency target starts them anew, since the base hedge delay follows from it.
type routeStateKey struct {
	samphirepass.RouteKey
	latencyTargetMs samphirepass.Millis
}

func newRouteStateKey(r samphirepass.Route) routeStateKey {
	return routeStateKey{RouteKey: r.Key(), latencyTargetMs: r.LatencyTargetMs}
}

// routeState holds the measurements of one route.
type routeState struct {
	hedger  samphirepass.Hedger
	skipper *policy.ShardSkipper
	// gate is nil unless share gates are enabled.
	gate *policy.ShareGate
}

// DelivererOptions configures a Deliverer.
type DelivererOptions struct {
	Registry   *Registry
	Pool       *Pool
	Sender     samphirepass.Sender
	DataCentre samphirepass.DataCentre
	Chooser    samphirepass.Chooser
	Clock      samphirepass.Clock
	// Budget returns the budget for hedges and retries of a service.
	Budget func(samphirepass.Service) samphirepass.Budget
	// ExtraPercent is the percentage of hedges and retries that the hedgers are tuned for.
	ExtraPercent samphirepass.Percent
	// Path is that of this process to leaves; nil means that it is never lost.
	Path samphirepass.LeafPath
	// Memory bounds the bytes that deliveries in flight hold; nil means that they are not bounded.
	Memory *Slots
	// ShareGates makes routes to single leaves refuse the accounts with the largest use while the leaves report that requests queue there.
	ShareGates bool
}

// NewDeliverer returns a deliverer for an entry.
func NewDeliverer(opts DelivererOptions) *Deliverer {
	return &Deliverer{
		fanOutDeps: &fanOutDeps{registry: opts.Registry, pool: opts.Pool, sender: opts.Sender, dataCentre: opts.DataCentre, chooser: opts.Chooser, clock: opts.Clock},
		budgets:    opts.Budget, extraPercent: opts.ExtraPercent, shareGates: opts.ShareGates, path: opts.Path, memory: opts.Memory, routes: map[routeStateKey]routeState{},
	}
}

func (d *Deliverer) routeState(route samphirepass.Route) routeState {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := newRouteStateKey(route)
	s, ok := d.routes[key]
	if !ok {
		s = routeState{
			hedger:  policy.NewQuantileHedger(d.extraPercent).WithBaseDelay(hedgeDelay(route.LatencyTargetMs)),
			skipper: policy.NewShardSkipper(),
		}
		if d.shareGates {
			s.gate = policy.NewShareGate()
		}
		d.routes[key] = s
	}
	return s
}

// expectedLatency returns the median latency of a route's leaf requests, or an estimate before there are measurements.
func expectedLatency(h samphirepass.Hedger, route samphirepass.Route) samphirepass.Millis {
	if ms := h.MedianLatency(); ms > 0 {
		return ms
	}
	if route.LatencyTargetMs > 0 {
		return route.LatencyTargetMs / expectedLatencyDivisor
	}
	return defaultExpectedMs
}

// Retain drops the measurements of all routes but the given ones.
func (d *Deliverer) Retain(routes []samphirepass.Route) {
	present := make(map[routeStateKey]bool, len(routes))
	for _, r := range routes {
		present[newRouteStateKey(r)] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for key := range d.routes {
		if !present[key] {
			delete(d.routes, key)
		}
	}
}

// eligible returns the serving leaves of a service to which this entry may hold connections.
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

// keepConnected removes the leaves to which no connection is open, and returns the number of shards that keep any.
func (d *Deliverer) keepConnected(leaves [][]Registration) int {
	n := 0
	for i := range leaves {
		leaves[i] = slices.DeleteFunc(leaves[i], func(reg Registration) bool { return !d.pool.target(reg.Announcement).conns.isReachable() })
		if len(leaves[i]) > 0 {
			n++
		}
	}
	return n
}

// Covered counts the shards with at least one eligible leaf.
func (d *Deliverer) Covered(shards []samphirepass.Service) int {
	n := 0
	for _, s := range shards {
		if len(d.eligible(s)) > 0 {
			n++
		}
	}
	return n
}

// Deliver sends a request to one leaf of each shard and returns the replies that came before its deadline. It ends as soon as no leaf is
// reached, unless the request may not be repeated and a leaf may have it.
func (d *Deliverer) Deliver(ctx context.Context, delivery Delivery) DeliveryResult {
	began := d.clock.Now()
	if d.memory == nil {
		return d.deliver(ctx, delivery, began)
	}
	n := delivery.memoryBytes()
	if _, ok := d.memory.Take(ctx, delivery, n); !ok {
		return d.refuseCrowded(delivery, errMemory)
	}
	defer func() { d.memory.Release(n, d.clock.Now()-began) }()
	if d.waitsTooLong(delivery) {
		return d.refuseCrowded(delivery, errConnectionsBusy)
	}
	d.returns.Admit(began)
	return d.deliver(ctx, delivery, began)
}

// InFlight returns the bytes that deliveries in flight hold, and the number of those that were refused as too many were in flight.
func (d *Deliverer) InFlight() (bytes, refused int64) {
	if d.memory != nil {
		bytes = d.memory.Used()
	}
	return bytes, d.crowded.Load()
}

// refuseCrowded returns the result of a delivery that is not started.
func (d *Deliverer) refuseCrowded(delivery Delivery, reason error) DeliveryResult {
	d.crowded.Add(1)
	return DeliveryResult{RequiredShards: delivery.RequiredShards(), LastErr: reason, RetryAfterMs: d.returns.Refuse(d.clock.Now()), Shed: true, Crowded: true}
}

// waitsTooLong reports whether attempts on more shards than may be missing would wait too long for connections. Where accounts are declared,
// the queues for connections decide that by rank and use; while leaves are not reached, another process may deliver the request.
func (d *Deliverer) waitsTooLong(delivery Delivery) bool {
	if !d.pool.connectionsBusy() || delivery.Request.Forwarded.HideCredentials || samphirepass.PathLost(d.path) || samphirepass.PathNarrow(d.path) {
		return false
	}
	known, late := 0, 0
	for _, s := range delivery.Shards {
		leaves := d.eligible(s)
		if len(leaves) == 0 {
			continue
		}
		known++
		wait := samphirepass.Millis(math.MaxFloat64)
		for _, reg := range leaves {
			wait = min(wait, d.pool.target(reg.Announcement).conns.waitMs())
		}
		if wait > delivery.Request.DeadlineMs/connectionWaitDivisor {
			late++
		}
	}
	return known-late < delivery.RequiredShards()
}

// memoryBytes returns what the delivery holds while it is in flight.
func (d Delivery) memoryBytes() int64 {
	return deliveryBytes + int64(len(d.Request.Forwarded.Body)) + shardBytes*int64(len(d.Shards))
}

// deliver is Deliver for a delivery that began at the given time.
func (d *Deliverer) deliver(ctx context.Context, delivery Delivery, began samphirepass.Millis) DeliveryResult {
	leaves := make([][]Registration, len(delivery.Shards))
	state := d.routeState(delivery.Route)
	opts := fanOutOptions{
		hedger: state.hedger, budgets: make([]samphirepass.Budget, len(delivery.Shards)),
		maxAttempts: max(delivery.Route.MaxAttempts, 1), atMostOnce: delivery.Route.Kind == samphirepass.AtMostOnce,
		partialAfter: delivery.PartialAfterMs, grace: delivery.GraceMs, requiredShards: delivery.RequiredShards(), dueShards: delivery.dueShards(),
		cancelDelay: cancelDelayMs, endedCancelDelay: endedCancelDelayMs, probe: delivery.Probe,
		sendsEnd: delivery.SendsEnd, extra: delivery.Extra, recorded: delivery.Recorded,
	}
	if d.path != nil {
		opts.pathLost = d.path.Lost()
	}
	opts.expected = expectedLatency(opts.hedger, delivery.Route)
	opts.tokenWait = tokenWait(delivery.Route)
	result := DeliveryResult{RequiredShards: opts.requiredShards}
	for i, s := range delivery.Shards {
		opts.budgets[i] = d.budgets(s)
		leaves[i] = d.eligible(s)
		if len(leaves[i]) > 0 {
			result.KnownShards++
		}
	}
	// On a narrow path another process may reach the shards that this one does not.
	if samphirepass.PathLost(d.path) || (samphirepass.PathNarrow(d.path) && d.keepConnected(leaves) < result.KnownShards) {
		result.LastErr, result.NoPath = samphirepass.ErrNoPath, true
		return result
	}
	if delivery.PartialAfterMs > 0 {
		opts.skip = state.skipper.Select(delivery.Shards, result.KnownShards-opts.dueShards)
	}
	opts.newAttempt = func(shard int) samphirepass.Attempt {
		return samphirepass.Attempt{
			Request: delivery.Request.ID, Service: delivery.Shards[shard], Forwarded: &delivery.Request.Forwarded,
			AtMostOnce: opts.atMostOnce, ExpectedMs: opts.expected, Rank: delivery.Route.Rank,
			ExpiresAtMs: began + delivery.Request.DeadlineMs,
		}
	}
	gated := state.gate != nil && delivery.Request.Forwarded.HideCredentials && !delivery.Route.IsScatterGather()
	if gated && !state.gate.Admit(began, delivery.Request.Forwarded.Account, delivery.Route.Rank) {
		result.LastErr, result.RetryAfterMs, result.Shed = errCrowded, gateRetryAfterMs(), true
		return result
	}
	f := newFanOut(ctx, d.fanOutDeps, opts, leaves, began)
	f.permission.ask = delivery.FurtherAttempts
	if delivery.OnPartial != nil {
		f.onPartial = func() { delivery.OnPartial(f.deliveryResult(delivery, result)) }
	}
	f.run()
	if gated && f.shards[0].answered {
		state.gate.Observe(d.clock.Now(), f.shards[0].reply.Load)
	}
	if delivery.PartialAfterMs > 0 && !f.noPath {
		f.recordPunctuality(state.skipper, delivery.Shards)
	}
	return f.deliveryResult(delivery, result)
}

// deliveryResult returns result, which holds what was known before the first attempt, with the answers so far.
func (f *fanOut) deliveryResult(delivery Delivery, result DeliveryResult) DeliveryResult {
	result.Replies = make([]*samphirepass.Reply, len(f.shards))
	for i := range f.shards {
		s := &f.shards[i]
		if s.answered {
			reply := s.reply
			result.Replies[i] = &reply
		}
		if s.skipped {
			result.Skipped++
		}
		result.MostAttempts = max(result.MostAttempts, s.sentAttempts)
	}
	result.NoPath, result.Recorded = f.noPath && f.answeredShards < len(f.shards), f.recorded
	result.Unreached = f.unreached && f.answeredShards < len(f.shards)
	result.LastErr, result.LastLeaf = f.lastErr, f.lastLeaf
	result.Answered, result.Failure, result.MaybeRun = f.answeredShards, f.failure, f.maybeRun || f.mayStillRun
	result.Timing = f.times.result()
	result.Crashes, result.Survived = f.crashes, f.survived
	result.RetryAfterMs, result.SendsEnded = f.retryAfter, f.sendsEnded && !f.noPath
	result.CrossCentreAttempts = f.crossCentreAttempts
	if delivery.Route.IsScatterGather() {
		result.DegradedShards = f.degradedShards()
	}
	result.Extra, result.Attempts, result.HalfAnsweredMs, result.Shed = f.extraAttempts, f.attempts, f.halfAnsweredMs, f.shed && f.answeredShards < len(f.shards)
	return result
}

// recordPunctuality tells the skipper of each shard that was asked whether it answered in time. It leaves out the shards that had
// time left when the request ended.
func (f *fanOut) recordPunctuality(skipper *policy.ShardSkipper, shards []samphirepass.Service) {
	dueAt := f.began + f.partialAfter
	due := f.clock.Now() >= dueAt-timerToleranceMs
	for i := range f.shards {
		s := &f.shards[i]
		switch {
		case len(s.tried) == 0:
		case s.answered:
			skipper.Record(shards[i], s.answeredAt <= dueAt)
		case due, s.closed:
			skipper.Record(shards[i], false)
		}
	}
}
