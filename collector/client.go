package collector

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"samphirepass"
	"samphirepass/directory"
	"samphirepass/gateway"
	"samphirepass/leaf"
	"samphirepass/logs"
	"samphirepass/metrics"
	"samphirepass/peer"
	"samphirepass/policy"
)

const (
	// roundTripMs is subtracted from the deadline and the partial-answer time for the network round trip to the collector.
	roundTripMs samphirepass.Millis = 4
	// overdueMarginMs is added to PartialAfterMs and GraceMs to get the time at which an answer is overdue, and is the interval of
	// further checks. An overdue call ends if the collector is silent; a collector that still sends heartbeats is waiting for leaves.
	overdueMarginMs samphirepass.Millis = 50
	// connectIntervalMs is the interval at which missing connections to collectors are opened.
	connectIntervalMs samphirepass.Millis = 250
	// offersTTLMs is how long known offers are used before they are read again.
	offersTTLMs samphirepass.Millis = 100
	// maxSplits is the number of times that a request's shards are split anew because a data centre has no usable collector, before only
	// those that have one are considered.
	maxSplits = 2
	// degradedTTLMs is how long a shard is collected in another data centre after a collector reported it as degraded:
	// longer than the collector remembers a leaf's slowness, and short compared with the faults that cause it.
	degradedTTLMs samphirepass.Millis = 4000
	// noPathTTLMs is how long a collector that said that it reaches no leaf is not asked again; asking it costs a round trip.
	noPathTTLMs samphirepass.Millis = 1000
	// maxCollectorTries is the number of collectors that are asked for one part before this entry asks the leaves itself, triesWithoutPath
	// the same for an entry that does not reach them all.
	maxCollectorTries = 2
	triesWithoutPath  = 5
	// neverMs is used as the time since the last failure if there was none.
	neverMs samphirepass.Millis = 1e9
)

// errNoTokens reports that a repeat was not sent to a collector that does not know of tokens.
var errNoTokens = fmt.Errorf("%w: the collector does not know of tokens", peer.ErrNotSent)

// Options set up a Client.
type Options struct {
	// Local delivers the requests that are not forwarded to a collector.
	Local    gateway.Deliverer
	Registry *leaf.Registry
	Peers    *peer.Pool
	// Offers returns the offers of other entries to collect for this one, as a slice that the client may reorder.
	Offers func() []directory.CollectorOffer
	// Shards returns the shards of all routes; nil means that connections to other data centres are only opened by requests.
	Shards     func() []samphirepass.Service
	VM         samphirepass.VM
	DataCentre samphirepass.DataCentre
	// Address is the peer address at which this entry collects for others, empty if it does not.
	Address string
	// Collecting reports whether this entry collects for others; nil means that it does not.
	Collecting func() bool
	// Capacity is the capacity of this entry.
	Capacity samphirepass.Capacity
	// Path is that of this entry to leaves; nil means that it is never lost.
	Path  samphirepass.LeafPath
	Clock samphirepass.Clock
	Log   logs.Logger
	// Metrics counts the parts that are delivered again; nil means that they are not counted.
	Metrics *metrics.Metrics
}

// collectorState is what this entry has observed of one collector.
type collectorState struct {
	// inFlight holds the start times of the unanswered requests, oldest first.
	inFlight []samphirepass.Millis
	failedAt samphirepass.Millis
	failed   bool
	// noPathUntil is the time until which the collector counts as reaching no leaf.
	noPathUntil samphirepass.Millis
	// plainUntil is the time until which parts are sent without tokens, as the collector does not know of them.
	plainUntil samphirepass.Millis
}

// Client forwards scatter-gather requests to collectors and delivers all others itself. It implements gateway.Deliverer and is safe for
// concurrent use.
type Client struct {
	opts        Options
	snapshot    atomic.Pointer[offerSnapshot]
	assignments assignmentCache
	tokens      tokenTable

	mu         sync.Mutex
	collectors map[string]*collectorState
	// degradedUntil holds the time until which a shard is not collected in a data centre.
	degradedUntil map[shardLocation]samphirepass.Millis
	// conditions holds the condition in which each offered collector was last seen.
	conditions map[string]samphirepass.CollectorCondition
	// wake receives a value when Serve should look for missing connections at once.
	wake chan struct{}
}

// shardLocation is a shard together with the data centre of some of its leaves.
type shardLocation struct {
	shard      samphirepass.Service
	dataCentre samphirepass.DataCentre
}

// NewClient returns a client that has not used any collector yet.
func NewClient(opts Options) *Client {
	c := &Client{opts: opts, collectors: map[string]*collectorState{}, degradedUntil: map[shardLocation]samphirepass.Millis{}, conditions: map[string]samphirepass.CollectorCondition{}, wake: make(chan struct{}, 1)}
	peer.HandleCall(opts.Peers.Handlers(), kindFurther, c.tokens.grant)
	return c
}

// Covered returns the number of shards with at least one eligible leaf.
func (c *Client) Covered(shards []samphirepass.Service) int { return c.opts.Local.Covered(shards) }

// Deliver splits a scatter-gather request by the data centres of the shards' leaves, spreads it over the collectors there and forwards
// the parts. It delivers other requests, and all requests while there are no collectors, from this entry.
func (c *Client) Deliver(ctx context.Context, d leaf.Delivery) leaf.DeliveryResult {
	if !d.Route.IsScatterGather() {
		return c.opts.Local.Deliver(ctx, d)
	}
	offers := c.usableOffers(len(d.Shards))
	// Several collectors could not send a single attempt first.
	if len(offers) == 0 || d.Probe {
		return c.opts.Local.Deliver(ctx, d)
	}
	dataCentres := c.shardDataCentres(d.Shards)
	var parts []part
	for _, p := range c.splitShards(dataCentres, offers) {
		parts = append(parts, c.spreadPart(p, d.Shards, offers)...)
	}
	if len(parts) == 1 {
		// A request that is not divided has no other parts that could make up for missing shards.
		result, _ := c.deliverPart(ctx, d, parts[0], nil, dataCentres, offers)
		return result
	}
	return c.gatherParts(ctx, d, parts, dataCentres, offers)
}

// Serve keeps connections to collectors open until ctx ends, so that requests do not wait for a dial.
func (c *Client) Serve(ctx context.Context) error {
	t := time.NewTicker(connectIntervalMs.Duration())
	defer t.Stop()
	for {
		c.connect()
		c.removeExpired()
		c.logConditions()
		select {
		case <-t.C:
		case <-c.wake:
		case <-ctx.Done():
			return fmt.Errorf("connect to collectors: %w", ctx.Err())
		}
	}
}

// Wake makes Serve read the offers anew and open missing connections at once. After a restart of all processes each request over shards
// would otherwise wait for the next interval, or be delivered without collectors.
func (c *Client) Wake() {
	c.snapshot.Store(nil)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// deliverPart forwards a part of the shards to a collector, or asks the leaves from this entry if no collector takes it. If the
// collector still waits for leaves, rest returns the complete result. track follows the part to its collector; nil means that it may not be
// delivered again.
func (c *Client) deliverPart(ctx context.Context, d leaf.Delivery, p part, track *sentPart, dataCentres [][]samphirepass.DataCentre, offers []directory.CollectorOffer) (result leaf.DeliveryResult, rest restFunc) {
	began := c.opts.Clock.Now()
	tries := maxCollectorTries
	if samphirepass.PathLost(c.opts.Path) || samphirepass.PathNarrow(c.opts.Path) {
		tries = triesWithoutPath
	}
	for try := range tries {
		offer, ok := p.collector, p.spread
		if p.local {
			break
		}
		if !p.spread || try > 0 {
			offer, ok = c.chooseCollector(d, p, dataCentres, offers)
		}
		if !ok {
			break
		}
		result, rest, sent := c.collect(ctx, offer.Address, d.WithElapsed(c.opts.Clock.Now()-began), track)
		if !sent {
			continue
		}
		if result.Merged != nil {
			c.updateDegraded(d.Shards, result.DegradedShards, offer.DataCentre)
		}
		return result, rest
	}
	d = d.WithElapsed(c.opts.Clock.Now() - began)
	result = c.opts.Local.Deliver(ctx, d)
	if result.Answered > 0 && result.Answered >= result.RequiredShards {
		result.Merged = gateway.MergeReplies(d, result)
		c.updateDegraded(d.Shards, result.DegradedShards, c.opts.DataCentre)
	}
	return result, nil
}

// chooseCollector returns the collector for a part and reports whether there is one. For a part in this entry's own data centre that is
// not spread it considers only collectors that are much larger than this entry.
func (c *Client) chooseCollector(d leaf.Delivery, p part, dataCentres [][]samphirepass.DataCentre, offers []directory.CollectorOffer) (directory.CollectorOffer, bool) {
	var candidates []samphirepass.CollectorCandidate
	var candidateOffers []directory.CollectorOffer
	c.mu.Lock()
	for _, offer := range offers {
		if !p.spread && p.DataCentre == c.opts.DataCentre && !offer.Capacity.SuitsOffloadFrom(c.opts.Capacity) && !samphirepass.PathLost(c.opts.Path) {
			continue
		}
		candidate := c.candidateLocked(offer)
		candidate.LocalShardShare = localShardShare(p.ShardPart, dataCentres, offer.DataCentre)
		candidates, candidateOffers = append(candidates, candidate), append(candidateOffers, offer)
	}
	c.mu.Unlock()
	if len(candidates) == 0 {
		return directory.CollectorOffer{}, false
	}
	i := policy.ChooseCollector(candidates)
	if i < 0 {
		c.opts.Log.RequestEvent("No healthy collector; collecting the request locally.", "request", d.Request.ID, "collectors", len(candidates))
		return directory.CollectorOffer{}, false
	}
	return candidateOffers[i], true
}

// candidateLocked describes a collector to the policy.
func (c *Client) candidateLocked(offer directory.CollectorOffer) samphirepass.CollectorCandidate {
	candidate := samphirepass.CollectorCandidate{Address: offer.Address, SameDataCentre: offer.DataCentre == c.opts.DataCentre, SinceFailureMs: neverMs}
	candidate.SilentMs, candidate.Connected = c.opts.Peers.Get(offer.Address).SinceLastFrame()
	s := c.collectors[offer.Address]
	if s == nil {
		return candidate
	}
	now := c.opts.Clock.Now()
	candidate.InFlight = len(s.inFlight)
	if len(s.inFlight) > 0 {
		candidate.OldestInFlightMs = now - s.inFlight[0]
	}
	if s.failed {
		candidate.SinceFailureMs = now - s.failedAt
	}
	candidate.NoPath = now < s.noPathUntil
	return candidate
}

// localShardShare returns the fraction of a part's shards that have a leaf in the data centre.
func localShardShare(p samphirepass.ShardPart, dataCentres [][]samphirepass.DataCentre, dataCentre samphirepass.DataCentre) float64 {
	n := 0
	for _, i := range p.Shards {
		if slices.Contains(dataCentres[i], dataCentre) {
			n++
		}
	}
	return float64(n) / float64(len(p.Shards))
}

// startRequest records a request to a collector as in flight and returns its start time.
func (c *Client) startRequest(address string) samphirepass.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.collectors[address]
	if s == nil {
		s = &collectorState{}
		c.collectors[address] = s
	}
	now := c.opts.Clock.Now()
	s.inFlight = append(s.inFlight, now)
	return now
}

// finishRequest removes a request from those in flight and records whether the collector failed.
func (c *Client) finishRequest(address string, began samphirepass.Millis, failed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.collectors[address]
	if i := slices.Index(s.inFlight, began); i >= 0 {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
	if failed {
		s.failed, s.failedAt = true, c.opts.Clock.Now()
	}
}

// collect forwards a request to one collector. sent is false if the request certainly reached no leaf, so that another collector may
// be asked. If that is uncertain the request is sent again only with the token of its part: otherwise both collectors together could make
// more attempts than the route allows.
func (c *Client) collect(ctx context.Context, address string, d leaf.Delivery, track *sentPart) (result leaf.DeliveryResult, rest restFunc, sent bool) {
	peerClient := c.opts.Peers.Get(address)
	callCtx, cancel := context.WithTimeout(ctx, d.Request.DeadlineMs.Duration())
	defer cancel()
	if d.PartialAfterMs > 0 {
		go cancelIfSilent(callCtx, cancel, c.opts.Clock, peerClient, d.PartialAfterMs+d.GraceMs+overdueMarginMs)
	}
	began := c.startRequest(address)
	req := collectRequest{Delivery: d.WithElapsed(roundTripMs), KnownShards: c.knownShards(d.Shards), Evacuations: c.opts.Registry.Evacuations()}
	// Delivery.Shards already holds the shards.
	req.Delivery.Route.ShardServices = nil
	reply, err := c.callCollector(callCtx, address, req, track)
	refusal := samphirepass.AsRefusal(err)
	notSent := errors.Is(err, peer.ErrNotSent) || (refusal != nil && refusal.NotRun)
	switch {
	case notSent:
		notSent = track.withdraw()
	case err != nil:
		track.setLost(isNoPath(refusal) || (refusal != nil && refusal.Code == samphirepass.CodeUnavailable))
	}
	// An error after the client went away does not count as a failure of the collector.
	c.finishRequest(address, began, err != nil && ctx.Err() == nil && !errors.Is(err, errNoTokens) && !isNoPath(refusal))
	if isNoPath(refusal) {
		c.setNoPath(address)
	}
	if err != nil {
		c.opts.Log.RequestEvent("Collect request failed.", "request", d.Request.ID, "collector", address, "sent", !notSent,
			"took-ms", int(c.opts.Clock.Now()-began), "reason", err.Error())
		return leaf.DeliveryResult{RequiredShards: d.RequiredShards(), MaybeRun: true, LastErr: fmt.Errorf("collect at %s: %w", address, err)}, nil, !notSent
	}
	if reply.Unfinished != 0 {
		rest = func(ctx context.Context) leaf.DeliveryResult { return c.collectRest(ctx, address, d.Request.ID, reply) }
	}
	return reply.result(), rest, true
}

// isNoPath reports whether a collector said that it reaches no leaf.
func isNoPath(refusal *samphirepass.Refusal) bool {
	return refusal != nil && refusal.Code == samphirepass.CodeNoPath
}

// setNoPath records that a collector reaches no leaf.
func (c *Client) setNoPath(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.collectors[address].noPathUntil = c.opts.Clock.Now() + noPathTTLMs
}

// callCollector sends a request to a collector, with a token for further attempts if track follows it. A repeat is sent without any token.
func (c *Client) callCollector(ctx context.Context, address string, req collectRequest, track *sentPart) (reply collectReply, err error) {
	peerClient := c.opts.Peers.Get(address)
	if (track != nil || req.Delivery.Extra) && c.takesTokens(address) {
		if track != nil {
			req.Token = track.start(address, c.opts.Clock.Now())
		}
		err = peerClient.Call(ctx, kindCollectLimited, req, &reply)
		if refusal := samphirepass.AsRefusal(err); refusal == nil || refusal.Code != samphirepass.CodeNotFound {
			return reply, err
		}
		c.setPlain(address)
		if !track.withdraw() {
			return reply, err
		}
		req.Token = 0
	}
	if req.Delivery.Extra {
		// An older collector would count the attempts as first ones.
		return reply, errNoTokens
	}
	err = peerClient.Call(ctx, kindCollect, req, &reply)
	return reply, err
}

// knownShards counts the shards of which this entry knows a serving leaf, in whatever data centre.
func (c *Client) knownShards(shards []samphirepass.Service) int {
	n := 0
	for _, s := range shards {
		if len(c.opts.Registry.Serving(s)) > 0 {
			n++
		}
	}
	return n
}

// collectRest waits for the complete result of a request of which a collector has returned the answers so far. Without it these count. If ctx
// has ended, it releases the delivery at the collector instead.
func (c *Client) collectRest(ctx context.Context, address string, id samphirepass.RequestID, partial collectReply) leaf.DeliveryResult {
	if ctx.Err() != nil {
		c.opts.Peers.Get(address).Notify(kindRelease, collectRestRequest{Unfinished: partial.Unfinished})
		return partial.result()
	}
	began := c.opts.Clock.Now()
	var reply collectReply
	if err := c.opts.Peers.Get(address).Call(ctx, kindCollectRest, collectRestRequest{Unfinished: partial.Unfinished}, &reply); err != nil {
		if ctx.Err() != nil {
			// The request has ended without it.
			return partial.result()
		}
		c.opts.Log.RequestEvent("Rest of a collect request failed.", "request", id, "collector", address, "took-ms", int(c.opts.Clock.Now()-began), "reason", err.Error())
		return partial.result()
	}
	return reply.result()
}

// cancelIfSilent cancels a call once its answer is overdue and the connection is lost or silent. overdue is the time from now.
func cancelIfSilent(ctx context.Context, cancel context.CancelFunc, clock samphirepass.Clock, peerClient *peer.Client, overdue samphirepass.Millis) {
	began := clock.Now()
	t := time.NewTimer(overdue.Duration())
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		// Before the request the collector had less reason to send frames.
		if silent, connected := peerClient.SinceLastFrame(); !connected || min(silent, clock.Now()-began) > policy.CollectorSilenceMs {
			cancel()
			return
		}
		t.Reset(overdueMarginMs.Duration())
	}
}
