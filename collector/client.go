package collector

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"samphirepass"
	"samphirepass/directory"
	"samphirepass/gateway"
	"samphirepass/leaf"
	"samphirepass/logs"
	"samphirepass/peer"
	"samphirepass/policy"
)

const (
	// wayMs is kept from the time to settle and the deadline for the way to the collector and back.
	wayMs samphirepass.Millis = 4
	// overdueMs is the time beyond settling and patience after which a collector's answer is no longer waited for.
	overdueMs samphirepass.Millis = 100
	// maxCollectors bounds the collectors that one request is offered to before this entry collects itself.
	maxCollectors = 2
	// neverMs is the time since something that has not happened.
	neverMs samphirepass.Millis = 1e9
)

// Options set up a Client.
type Options struct {
	// Own delivers what is not passed on.
	Own      gateway.Deliverer
	Registry *leaf.Registry
	Peers    *peer.Pool
	// Offers returns the larger entries that collect for this one.
	Offers func() []directory.Offer
	Centre samphirepass.DataCentre
	// Capacity is that of this entry.
	Capacity samphirepass.Capacity
	Clock    samphirepass.Clock
	Log      logs.Logger
}

// record is what this entry has met of one collector.
type record struct {
	begun    []samphirepass.Millis
	failedAt samphirepass.Millis
	failed   bool
}

// Client passes requests over shards to larger entries and delivers all others itself; it implements gateway.Deliverer.
type Client struct {
	o Options

	mu      sync.Mutex
	records map[string]*record
}

// NewClient returns a client that has met no collector.
func NewClient(o Options) *Client {
	return &Client{o: o, records: map[string]*record{}}
}

// Covered counts the shards for which a leaf is known that may get work.
func (c *Client) Covered(shards []samphirepass.Service) int { return c.o.Own.Covered(shards) }

// Deliver passes a request over shards on, in parts by where the shards have leaves, or delivers it from here.
func (c *Client) Deliver(ctx context.Context, one leaf.Delivery) leaf.Delivered {
	offers := c.o.Offers()
	if !one.Route.Gathers() || len(offers) == 0 {
		return c.o.Own.Deliver(ctx, one)
	}
	centres := c.centres(one.Shards)
	parts := policy.SplitShards(centres, c.o.Centre, offered(offers))
	if len(parts) == 1 {
		return c.deliverPart(ctx, one, parts[0], centres, offers)
	}
	allowed := policy.SplitAllowance(len(one.Shards)-one.Least(), parts)
	outs := make([]leaf.Delivered, len(parts))
	var wg sync.WaitGroup
	for i, p := range parts {
		wg.Go(func() {
			outs[i] = c.deliverPart(ctx, partOf(one, p, allowed[i]), p, centres, offers)
		})
	}
	wg.Wait()
	return combine(one, outs)
}

// offered returns the data centres of the offers.
func offered(offers []directory.Offer) []samphirepass.DataCentre {
	var out []samphirepass.DataCentre
	for _, o := range offers {
		if !slices.Contains(out, o.DataCentre) {
			out = append(out, o.DataCentre)
		}
	}
	return out
}

// centres returns, for each shard, the data centres that have a leaf of it.
func (c *Client) centres(shards []samphirepass.Service) [][]samphirepass.DataCentre {
	out := make([][]samphirepass.DataCentre, len(shards))
	for i, s := range shards {
		for _, k := range c.o.Registry.Serving(s) {
			out[i] = append(out[i], k.DataCentre)
		}
	}
	return out
}

// partOf returns the delivery of a part of the shards, of which the allowed number may be missing.
func partOf(one leaf.Delivery, p samphirepass.ShardPart, allowed int) leaf.Delivery {
	out := one
	out.Shards = make([]samphirepass.Service, len(p.Shards))
	for i, at := range p.Shards {
		out.Shards[i] = one.Shards[at]
	}
	out.Route.Shards = out.Shards
	out.LeastShards = max(len(out.Shards)-allowed, 1)
	return out
}

// combine puts the parts of an answer together; it is none if a part lacks more than its share of the allowed shards.
func combine(one leaf.Delivery, outs []leaf.Delivered) leaf.Delivered {
	all := leaf.Delivered{Least: one.Least()}
	var merged []*samphirepass.GatheredAnswer
	for _, out := range outs {
		all.Answered += out.Answered
		all.Known += out.Known
		all.Extra += out.Extra
		all.Attempts += out.Attempts
		all.Far += out.Far
		all.MaybeRun = all.MaybeRun || out.MaybeRun || out.Answered > 0
		all.HalfMs = max(all.HalfMs, out.HalfMs)
		all.Shed = all.Shed || out.Shed
		if out.LastErr != nil {
			all.LastErr, all.LastLeaf = out.LastErr, out.LastLeaf
		}
		if out.Merged != nil {
			merged = append(merged, out.Merged)
		}
	}
	if len(merged) == len(outs) {
		all.Merged = gateway.Combine(one.Route.Top, merged)
	} else {
		// What has come without the others is no answer.
		all.Answered = 0
	}
	return all
}

// deliverPart has a part of the shards collected elsewhere, or collects it here.
func (c *Client) deliverPart(ctx context.Context, one leaf.Delivery, p samphirepass.ShardPart, centres [][]samphirepass.DataCentre, offers []directory.Offer) leaf.Delivered {
	began := c.o.Clock.Now()
	for range maxCollectors {
		address := c.choose(one, p, centres, offers)
		if address == "" {
			break
		}
		out, sent := c.collect(ctx, address, since(one, c.o.Clock.Now()-began))
		if sent {
			return out
		}
	}
	one = since(one, c.o.Clock.Now()-began)
	out := c.o.Own.Deliver(ctx, one)
	if out.Answered > 0 && out.Answered >= out.Least {
		out.Merged = gateway.Merge(one, out)
	}
	return out
}

// since takes the time that has passed from what is left to a request.
func since(one leaf.Delivery, passed samphirepass.Millis) leaf.Delivery {
	one.Request.DeadlineMs = max(one.Request.DeadlineMs-passed, 1)
	if one.SettleMs > 0 {
		one.SettleMs = max(one.SettleMs-passed, 1)
	}
	return one
}

// choose returns the address of the collector to ask for a part, or nothing if this entry does better itself:
// near leaves it asks itself unless the collector is much larger.
func (c *Client) choose(one leaf.Delivery, p samphirepass.ShardPart, centres [][]samphirepass.DataCentre, offers []directory.Offer) string {
	var candidates []samphirepass.CollectorCandidate
	c.mu.Lock()
	now := c.o.Clock.Now()
	for _, offer := range offers {
		if p.Centre == c.o.Centre && !offer.Capacity.Dwarfs(c.o.Capacity) {
			continue
		}
		candidate := samphirepass.CollectorCandidate{
			Address: offer.Address, SameCentre: offer.DataCentre == c.o.Centre, Near: near(p, centres, offer.DataCentre),
			SilentMs: c.o.Peers.Get(offer.Address).SilentFor(), SinceFailureMs: neverMs,
		}
		if r := c.records[offer.Address]; r != nil {
			candidate.InFlight = len(r.begun)
			if len(r.begun) > 0 {
				candidate.OldestMs = now - r.begun[0]
			}
			if r.failed {
				candidate.SinceFailureMs = now - r.failedAt
			}
		}
		candidates = append(candidates, candidate)
	}
	c.mu.Unlock()
	if len(candidates) == 0 {
		return ""
	}
	i := policy.ChooseCollector(candidates)
	if i < 0 {
		c.o.Log.Decision("Request is collected here: no collector is sound.", "request", one.Request.ID, "collectors", len(candidates))
		return ""
	}
	return candidates[i].Address
}

// near returns the share of a part's shards that have a leaf in a data centre.
func near(p samphirepass.ShardPart, centres [][]samphirepass.DataCentre, centre samphirepass.DataCentre) float64 {
	n := 0
	for _, at := range p.Shards {
		if slices.Contains(centres[at], centre) {
			n++
		}
	}
	return float64(n) / float64(len(p.Shards))
}

func (c *Client) start(address string) samphirepass.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.records[address]
	if r == nil {
		r = &record{}
		c.records[address] = r
	}
	now := c.o.Clock.Now()
	r.begun = append(r.begun, now)
	return now
}

func (c *Client) finish(address string, began samphirepass.Millis, failed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.records[address]
	if i := slices.Index(r.begun, began); i >= 0 {
		r.begun = slices.Delete(r.begun, i, i+1)
	}
	if failed {
		r.failed, r.failedAt = true, c.o.Clock.Now()
	}
}

// collect asks one collector; sent is false where the request certainly went to no leaf and may be offered to another.
// Where that is open it is not sent again: both together could ask more leaves of a shard than the route allows.
func (c *Client) collect(ctx context.Context, address string, one leaf.Delivery) (out leaf.Delivered, sent bool) {
	limit := one.Request.DeadlineMs
	if one.SettleMs > 0 {
		limit = min(limit, one.SettleMs+one.PatienceMs+overdueMs)
	}
	bounded, cancel := context.WithTimeout(ctx, limit.Duration())
	defer cancel()
	began := c.start(address)
	req := collectRequest{Delivery: since(one, wayMs)}
	// The shards stand beside the route.
	req.Delivery.Route.Shards = nil
	var reply collectReply
	err := c.o.Peers.Get(address).Call(bounded, kindCollect, req, &reply)
	refusal := samphirepass.AsRefusal(err)
	notSent := errors.Is(err, peer.ErrNotSent) || (refusal != nil && refusal.NotRun)
	// A client that has gone says nothing against the collector.
	c.finish(address, began, err != nil && ctx.Err() == nil)
	if err != nil {
		c.o.Log.Decision("Collector failed.", "request", one.Request.ID, "collector", address, "sent", !notSent,
			"took-ms", int(c.o.Clock.Now()-began), "reason", err.Error())
		return leaf.Delivered{Least: one.Least(), MaybeRun: true, LastErr: fmt.Errorf("collect at %s: %w", address, err)}, !notSent
	}
	out = leaf.Delivered{
		Merged: reply.Merged, Answered: reply.Answered, Known: reply.Known, Least: reply.Least, Extra: reply.Extra,
		Attempts: reply.Attempts, MaybeRun: reply.MaybeRun, LastLeaf: reply.LastLeaf,
	}
	if reply.LastError != "" {
		out.LastErr = eris.New(reply.LastError)
	}
	return out, true
}
