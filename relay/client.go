package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
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
	// maxTries is the number of gateways that are offered a request, one after the other as each refuses it.
	maxTries = 3
	// roundTripMs is subtracted from the deadline and the partial-answer time for the way to the other gateway and back.
	roundTripMs samphirepass.Millis = 4
	// refreshMs is the interval at which the directory is asked for gateways while they are needed.
	refreshMs samphirepass.Millis = 500
	// firstRefreshWaitMs bounds the wait of a request for the first gateways that the directory names.
	firstRefreshWaitMs samphirepass.Millis = 150
	// idleMs is how long connections to other gateways are kept once they are not needed any more.
	idleMs samphirepass.Millis = 5000
	// unreachedPauseMs is the time for which requests to a service are not passed on after another gateway reached no leaf of it either.
	unreachedPauseMs samphirepass.Millis = 1000
)

// Options set up a Client.
type Options struct {
	// Local delivers the requests that are not passed on.
	Local    gateway.Deliverer
	Registry *leaf.Registry
	// Path is that of this process to leaves.
	Path samphirepass.LeafPath
	// Relays returns gateways that reach leaves.
	Relays func(context.Context) ([]directory.CollectorOffer, error)
	// NewPeers returns a pool of connections to other gateways.
	NewPeers   func() *peer.Pool
	DataCentre samphirepass.DataCentre
	Clock      samphirepass.Clock
	Metrics    *metrics.Metrics
	Log        logs.Logger
}

// Client delivers requests by another deliverer, and passes those on to other gateways that this one cannot send to leaves. It implements
// gateway.Deliverer and is safe for concurrent use.
type Client struct {
	opts Options
	// wake receives a value when gateways are needed.
	wake chan struct{}

	mu     sync.Mutex
	peers  *peer.Pool
	relays *policy.RelayChooser
	// refreshed is closed once gateways have been asked for since they are needed.
	refreshed chan struct{}
	neededAt  samphirepass.Millis
	needed    bool
	// unreachedUntil holds the services whose leaves other gateways did not reach either, and until when that is assumed.
	unreachedUntil map[samphirepass.Service]samphirepass.Millis
}

// NewClient returns a client that knows no other gateway yet.
func NewClient(opts Options) *Client {
	return &Client{
		opts: opts, wake: make(chan struct{}, 1), peers: opts.NewPeers(), relays: policy.NewRelayChooser(opts.DataCentre),
		refreshed: make(chan struct{}), unreachedUntil: map[samphirepass.Service]samphirepass.Millis{},
	}
}

// Covered returns the number of shards with at least one eligible leaf.
func (c *Client) Covered(shards []samphirepass.Service) int { return c.opts.Local.Covered(shards) }

// Deliver delivers a request locally, or passes it on if that cannot reach its leaves.
func (c *Client) Deliver(ctx context.Context, d leaf.Delivery) leaf.DeliveryResult {
	began := c.opts.Clock.Now()
	result := c.opts.Local.Deliver(ctx, d)
	passedOn, ok := c.remainder(d, result)
	if !ok || ctx.Err() != nil {
		return result
	}
	return c.passOn(ctx, passedOn.WithElapsed(c.opts.Clock.Now()-began), result)
}

// remainder returns what is left to deliver of a request after a local delivery, and reports whether to pass it on. What a leaf may have
// is passed on only if the request may be repeated and attempts are left for each shard.
func (c *Client) remainder(d leaf.Delivery, result leaf.DeliveryResult) (leaf.Delivery, bool) {
	if result.Answered > 0 && result.Answered >= result.RequiredShards {
		return d, false
	}
	switch {
	case result.NoPath:
	case result.Unreached && !result.MaybeRun && !result.Shed && result.Answered == 0 && !c.isUnreached(d.Shards):
	default:
		return d, false
	}
	d.OnPartial, d.SendsEnd, d.FurtherAttempts = nil, nil, nil
	d.Recorded = result.Recorded
	if !result.MaybeRun && result.Answered == 0 {
		return d, true
	}
	// Parts of a request at several collectors may have had all attempts.
	if d.Route.Kind != samphirepass.Repeatable || result.Parts > 0 || result.MostAttempts >= d.Route.MaxAttempts {
		return d, false
	}
	d.Route.MaxAttempts -= result.MostAttempts
	d.Extra = true
	return d, true
}

// passOn offers a request to other gateways until one takes it.
func (c *Client) passOn(ctx context.Context, d leaf.Delivery, local leaf.DeliveryResult) leaf.DeliveryResult {
	began := c.opts.Clock.Now()
	c.need(ctx, d.Request.DeadlineMs)
	ctx, cancel := context.WithTimeout(ctx, d.Request.DeadlineMs.Duration())
	defer cancel()
	var tried []string
	for len(tried) < maxTries {
		address, ok := c.begin(tried)
		if !ok {
			break
		}
		tried = append(tried, address)
		result, taken := c.call(ctx, address, d.WithElapsed(c.opts.Clock.Now()-began+roundTripMs))
		if !taken {
			continue
		}
		result.MaybeRun = result.MaybeRun || local.MaybeRun
		result.Attempts += local.Attempts
		if result.Unreached {
			c.setUnreached(d.Shards)
		}
		c.opts.Metrics.RequestRelayed(metrics.RelayTaken)
		return result
	}
	c.opts.Metrics.RequestRelayed(metrics.RelayRefused)
	c.opts.Log.RequestEvent("No other gateway takes the request.", "request", d.Request.ID, "asked", tried, "took-ms", int(c.opts.Clock.Now()-began))
	return local
}

// call sends a request to one gateway. taken is false if it certainly has not sent the request to any leaf.
func (c *Client) call(ctx context.Context, address string, d leaf.Delivery) (result leaf.DeliveryResult, taken bool) {
	began := c.opts.Clock.Now()
	var reply relayReply
	err := c.pool().Get(address).Call(ctx, kindRelay, relayRequest{Delivery: d, Evacuations: c.opts.Registry.Evacuations()}, &reply)
	refusal := samphirepass.AsRefusal(err)
	notSent := errors.Is(err, peer.ErrNotSent) || (refusal != nil && refusal.NotRun) || (err == nil && reply.NoPath && !reply.MaybeRun && reply.Answered == 0)
	now := c.opts.Clock.Now()
	c.mu.Lock()
	// A client that has gone says nothing about the gateway.
	c.relays.End(now, address, (notSent || err != nil) && ctx.Err() == nil)
	c.mu.Unlock()
	if err != nil {
		c.opts.Log.RequestEvent("Request not passed on.", "request", d.Request.ID, "gateway", address, "sent", !notSent, "took-ms", int(now-began), "reason", err.Error())
		result = leaf.DeliveryResult{RequiredShards: d.RequiredShards(), MaybeRun: true, LastErr: fmt.Errorf("pass on to %s: %w", address, err)}
		return result, !notSent
	}
	return reply.result(), !notSent
}

// begin returns the gateway to offer a request to, other than those tried before, and counts the request as in flight there.
func (c *Client) begin(tried []string) (address string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relays.Begin(c.opts.Clock.Now(), tried)
}

func (c *Client) pool() *peer.Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peers
}

// need makes Serve ask for gateways, and waits a moment for the first ones.
func (c *Client) need(ctx context.Context, deadline samphirepass.Millis) {
	c.mu.Lock()
	c.neededAt, c.needed = c.opts.Clock.Now(), true
	refreshed := c.refreshed
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	select {
	case <-refreshed:
		return
	default:
	}
	wait := time.NewTimer(min(firstRefreshWaitMs, deadline/2).Duration())
	defer wait.Stop()
	select {
	case <-refreshed:
	case <-wait.C:
	case <-ctx.Done():
	}
}

func (c *Client) isUnreached(services []samphirepass.Service) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock.Now()
	for _, s := range services {
		if now < c.unreachedUntil[s] {
			return true
		}
	}
	return false
}

func (c *Client) setUnreached(services []samphirepass.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock.Now()
	for s, until := range c.unreachedUntil {
		if until <= now {
			delete(c.unreachedUntil, s)
		}
	}
	for _, s := range services {
		c.unreachedUntil[s] = now + unreachedPauseMs
	}
}

// Serve keeps the gateways up to date while they are needed, until ctx ends.
func (c *Client) Serve(ctx context.Context) error {
	defer func() { c.pool().Close() }()
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		lost := c.opts.Path.Lost()
		if samphirepass.PathLost(c.opts.Path) {
			c.mu.Lock()
			c.neededAt, c.needed = c.opts.Clock.Now(), true
			c.mu.Unlock()
			lost = nil
		}
		if c.refresh(ctx) {
			t.Reset(refreshMs.Duration())
		} else {
			t.Stop()
		}
		select {
		case <-t.C:
		case <-lost:
		case <-c.wakeIfIdle():
		case <-ctx.Done():
			return fmt.Errorf("find other gateways: %w", ctx.Err())
		}
	}
}

// wakeIfIdle returns the channel by which requests wake Serve, nil while gateways are refreshed anyway.
func (c *Client) wakeIfIdle() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.needed {
		return nil
	}
	return c.wake
}

// refresh asks the directory for gateways and reports whether they are still needed. If not, it closes the connections to them.
func (c *Client) refresh(ctx context.Context) bool {
	c.mu.Lock()
	if !c.needed {
		c.mu.Unlock()
		return false
	}
	if c.opts.Clock.Now()-c.neededAt > idleMs && c.relays.InFlight() == 0 {
		old := c.peers
		c.peers, c.needed, c.refreshed = c.opts.NewPeers(), false, make(chan struct{})
		c.relays.Reset()
		c.mu.Unlock()
		old.Close()
		return false
	}
	c.mu.Unlock()
	offers, err := c.opts.Relays(ctx)
	if err != nil {
		c.opts.Log.RequestEvent("No source names other gateways.", "reason", err.Error())
	}
	relays := make([]samphirepass.Relay, len(offers))
	for i, offer := range offers {
		relays[i] = samphirepass.Relay{Address: offer.Address, DataCentre: offer.DataCentre, Capacity: offer.Capacity}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.relays.NameRelays(relays)
	}
	for _, relay := range relays {
		c.peers.Get(relay.Address).Preconnect()
	}
	select {
	case <-c.refreshed:
	default:
		close(c.refreshed)
	}
	return true
}
