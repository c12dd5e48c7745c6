package collector

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// overdueMs is the time beyond settling and patience from which the answer of a collector that has fallen silent is no longer
	// waited for; one that still sends heartbeats waits for leaves.
	overdueMs samphirepass.Millis = 50
	// openEveryMs is the time between two looks for collectors without a connection.
	openEveryMs samphirepass.Millis = 250
	// farCollectors is the number of collectors in other data centres that an entry is connected to.
	farCollectors = 2
	// poorMs is how long a shard is collected elsewhere after a collector called its own leaves of it poor: longer than a leaf's
	// slowness is remembered there, and short beside the troubles that cause it.
	poorMs samphirepass.Millis = 4000
	// maxCollectors bounds the collectors that one request is offered to before this entry collects itself.
	maxCollectors = 2
	// neverMs is the time since something that has not happened.
	neverMs samphirepass.Millis = 1e9
)

// Options set up a Client.
type Options struct {
	// Local delivers what is not passed on.
	Local    gateway.Deliverer
	Registry *leaf.Registry
	Peers    *peer.Pool
	// Offers returns the larger entries that collect for this one.
	Offers     func() []directory.Offer
	VM         samphirepass.VM
	DataCentre samphirepass.DataCentre
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
	// poor holds until when a shard is not collected in a data centre.
	poor map[poorKey]samphirepass.Millis
}

// poorKey names a shard and a data centre whose leaves of it do badly.
type poorKey struct {
	shard  samphirepass.Service
	centre samphirepass.DataCentre
}

// NewClient returns a client that has met no collector.
func NewClient(o Options) *Client {
	return &Client{o: o, records: map[string]*record{}, poor: map[poorKey]samphirepass.Millis{}}
}

// Covered counts the shards for which a leaf is known that may get work.
func (c *Client) Covered(shards []samphirepass.Service) int { return c.o.Local.Covered(shards) }

// Deliver passes a request over shards on, in parts by where the shards have leaves, or delivers it from here.
func (c *Client) Deliver(ctx context.Context, one leaf.Delivery) leaf.DeliveryResult {
	offers := c.offers()
	if !one.Route.IsScatterGather() || len(offers) == 0 {
		return c.o.Local.Deliver(ctx, one)
	}
	centres := c.centres(one.Shards)
	parts := policy.SplitShards(centres, c.o.DataCentre, offered(offers))
	if len(parts) == 1 {
		return c.deliverPart(ctx, one, parts[0], centres, offers)
	}
	allowed := policy.SplitMissingAllowance(len(one.Shards)-one.RequiredShards(), parts)
	outs := make([]leaf.DeliveryResult, len(parts))
	// Without one of its parts there is no answer, and the client is told at once.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	for i, p := range parts {
		wg.Go(func() {
			outs[i] = c.deliverPart(ctx, partOf(one, p, allowed[i]), p, centres, offers)
			if outs[i].Merged == nil {
				cancel()
			}
		})
	}
	wg.Wait()
	return combine(one, outs)
}

// Serve keeps connections to collectors open, so that no request waits for one, until ctx ends.
func (c *Client) Serve(ctx context.Context) error {
	t := time.NewTicker(openEveryMs.Duration())
	defer t.Stop()
	for {
		for _, o := range c.offers() {
			c.o.Peers.Get(o.Address).Open()
		}
		c.forget()
		select {
		case <-t.C:
		case <-ctx.Done():
			return fmt.Errorf("connect to collectors: %w", ctx.Err())
		}
	}
}

// offers returns the collectors of this entry: those in its data centre that are much larger, and a few others,
// each entry in an order of its own.
func (c *Client) offers() []directory.Offer {
	all := c.o.Offers()
	rank := func(o directory.Offer) uint64 { return xxhash.Sum64String(string(c.o.VM) + "/" + o.Address) }
	slices.SortFunc(all, func(a, b directory.Offer) int { return cmp.Compare(rank(a), rank(b)) })
	out, far := all[:0], 0
	for _, o := range all {
		if o.DataCentre != c.o.DataCentre {
			far++
		}
		if (o.DataCentre == c.o.DataCentre && o.Capacity.SuitsOffloadFrom(c.o.Capacity)) || (o.DataCentre != c.o.DataCentre && far <= farCollectors) {
			out = append(out, o)
		}
	}
	return out
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

// centres returns, for each shard, the data centres that have a leaf of it which does well, or any leaf if none does.
func (c *Client) centres(shards []samphirepass.Service) [][]samphirepass.DataCentre {
	out := make([][]samphirepass.DataCentre, len(shards))
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.o.Clock.Now()
	for i, s := range shards {
		leaves := c.o.Registry.Serving(s)
		for _, k := range leaves {
			if c.poor[poorKey{s, k.DataCentre}] <= now {
				out[i] = append(out[i], k.DataCentre)
			}
		}
		if len(out[i]) > 0 {
			continue
		}
		for _, k := range leaves {
			out[i] = append(out[i], k.DataCentre)
		}
	}
	return out
}

// notePoor takes in which of a part's shards do badly in the data centre that collected it.
func (c *Client) notePoor(shards []samphirepass.Service, poor []int, centre samphirepass.DataCentre) {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := c.o.Clock.Now() + poorMs
	for i, s := range shards {
		key := poorKey{s, centre}
		if slices.Contains(poor, i) {
			c.poor[key] = until
		} else {
			delete(c.poor, key)
		}
	}
}

// partOf returns the delivery of a part of the shards, of which the allowed number may be missing.
func partOf(one leaf.Delivery, p samphirepass.ShardPart, allowed int) leaf.Delivery {
	out := one
	out.Shards = make([]samphirepass.Service, len(p.Shards))
	for i, at := range p.Shards {
		out.Shards[i] = one.Shards[at]
	}
	out.Route.ShardServices = out.Shards
	out.MinShards = max(len(out.Shards)-allowed, 1)
	return out
}

// combine puts the parts of an answer together; it is none if a part lacks more than its share of the allowed shards.
func combine(one leaf.Delivery, outs []leaf.DeliveryResult) leaf.DeliveryResult {
	all := leaf.DeliveryResult{RequiredShards: one.RequiredShards()}
	var merged []*samphirepass.MergedAnswer
	for _, out := range outs {
		all.Answered += out.Answered
		all.Known += out.Known
		all.Extra += out.Extra
		all.Attempts += out.Attempts
		all.CrossCentreAttempts += out.CrossCentreAttempts
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
		all.Merged = gateway.MergeParts(one.Route.TopK, merged)
	} else {
		// What has come without the others is no answer.
		all.Answered = 0
	}
	return all
}

// deliverPart has a part of the shards collected elsewhere, or collects it here.
func (c *Client) deliverPart(ctx context.Context, one leaf.Delivery, p samphirepass.ShardPart, centres [][]samphirepass.DataCentre, offers []directory.Offer) leaf.DeliveryResult {
	began := c.o.Clock.Now()
	for range maxCollectors {
		to, ok := c.choose(one, p, centres, offers)
		if !ok {
			break
		}
		out, sent := c.collect(ctx, to.Address, since(one, c.o.Clock.Now()-began))
		if !sent {
			continue
		}
		if out.Merged != nil {
			c.notePoor(one.Shards, out.DegradedShards, to.DataCentre)
		}
		return out
	}
	one = since(one, c.o.Clock.Now()-began)
	out := c.o.Local.Deliver(ctx, one)
	if out.Answered > 0 && out.Answered >= out.RequiredShards {
		out.Merged = gateway.MergeReplies(one, out)
		c.notePoor(one.Shards, out.DegradedShards, c.o.DataCentre)
	}
	return out
}

// since takes the time that has passed from what is left to a request.
func since(one leaf.Delivery, passed samphirepass.Millis) leaf.Delivery {
	one.Request.DeadlineMs = max(one.Request.DeadlineMs-passed, 1)
	if one.PartialAfterMs > 0 {
		one.PartialAfterMs = max(one.PartialAfterMs-passed, 1)
	}
	return one
}

// choose returns the collector to ask for a part, if this entry does not better itself:
// near leaves it asks itself unless the collector is much larger.
func (c *Client) choose(one leaf.Delivery, p samphirepass.ShardPart, centres [][]samphirepass.DataCentre, offers []directory.Offer) (directory.Offer, bool) {
	var candidates []samphirepass.CollectorCandidate
	var of []directory.Offer
	c.mu.Lock()
	now := c.o.Clock.Now()
	for _, offer := range offers {
		if p.DataCentre == c.o.DataCentre && !offer.Capacity.SuitsOffloadFrom(c.o.Capacity) {
			continue
		}
		candidate := samphirepass.CollectorCandidate{
			Address: offer.Address, SameDataCentre: offer.DataCentre == c.o.DataCentre, LocalShardShare: near(p, centres, offer.DataCentre),
			SinceFailureMs: neverMs,
		}
		candidate.SilentMs, candidate.Connected = c.o.Peers.Get(offer.Address).SilentFor()
		if r := c.records[offer.Address]; r != nil {
			candidate.InFlight = len(r.begun)
			if len(r.begun) > 0 {
				candidate.OldestInFlightMs = now - r.begun[0]
			}
			if r.failed {
				candidate.SinceFailureMs = now - r.failedAt
			}
		}
		candidates, of = append(candidates, candidate), append(of, offer)
	}
	c.mu.Unlock()
	if len(candidates) == 0 {
		return directory.Offer{}, false
	}
	i := policy.ChooseCollector(candidates)
	if i < 0 {
		c.o.Log.Decision("Request is collected here: no collector is sound.", "request", one.Request.ID, "collectors", len(candidates))
		return directory.Offer{}, false
	}
	return of[i], true
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

// forget drops what is no longer so.
func (c *Client) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.o.Clock.Now()
	maps.DeleteFunc(c.poor, func(_ poorKey, until samphirepass.Millis) bool { return until <= now })
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
func (c *Client) collect(ctx context.Context, address string, one leaf.Delivery) (out leaf.DeliveryResult, sent bool) {
	to := c.o.Peers.Get(address)
	bounded, cancel := context.WithTimeout(ctx, one.Request.DeadlineMs.Duration())
	defer cancel()
	if one.PartialAfterMs > 0 {
		go endIfSilent(bounded, cancel, to, one.PartialAfterMs+one.GraceMs+overdueMs)
	}
	began := c.start(address)
	req := collectRequest{Delivery: since(one, wayMs)}
	// The shards stand beside the route.
	req.Delivery.Route.ShardServices = nil
	var reply collectReply
	err := to.Call(bounded, kindCollect, req, &reply)
	refusal := samphirepass.AsRefusal(err)
	notSent := errors.Is(err, peer.ErrNotSent) || (refusal != nil && refusal.NotRun)
	// A client that has gone says nothing against the collector.
	c.finish(address, began, err != nil && ctx.Err() == nil)
	if err != nil {
		c.o.Log.Decision("Collector failed.", "request", one.Request.ID, "collector", address, "sent", !notSent,
			"took-ms", int(c.o.Clock.Now()-began), "reason", err.Error())
		return leaf.DeliveryResult{RequiredShards: one.RequiredShards(), MaybeRun: true, LastErr: fmt.Errorf("collect at %s: %w", address, err)}, !notSent
	}
	out = leaf.DeliveryResult{
		Merged: reply.Merged, Answered: reply.Answered, Known: reply.Known, RequiredShards: reply.Least, Extra: reply.Extra,
		Attempts: reply.Attempts, MaybeRun: reply.MaybeRun, LastLeaf: reply.LastLeaf, DegradedShards: reply.Poor,
	}
	if reply.LastError != "" {
		out.LastErr = eris.New(reply.LastError)
	}
	return out, true
}

// endIfSilent gives a call up once its answer is overdue and the other end has fallen silent.
func endIfSilent(ctx context.Context, cancel context.CancelFunc, to *peer.Client, overdue samphirepass.Millis) {
	t := time.NewTimer(overdue.Duration())
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		if silent, stands := to.SilentFor(); !stands || silent > policy.CollectorSilenceMs {
			cancel()
			return
		}
		t.Reset(overdueMs.Duration())
	}
}
