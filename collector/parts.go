package collector

import (
	"context"
	"slices"
	"time"

	"samphirepass"
	"samphirepass/directory"
	"samphirepass/gateway"
	"samphirepass/leaf"
	"samphirepass/policy"
)

// mergePartsMs is the part of the time until a partial answer that is kept for reading and merging the answers of several collectors.
const mergePartsMs samphirepass.Millis = 5

// askRestAfterMs is how long after the answers of a part so far the rest is asked for, unless the request has ended. Most requests end as
// soon as all parts have reported; a slow one must not make the others give up.
const askRestAfterMs samphirepass.Millis = 25

// restFunc waits for the complete result of a delivery of which the answers so far are known. If the context has ended, it releases the
// delivery.
type restFunc func(context.Context) leaf.DeliveryResult

// partDelivery returns the delivery of a part of the shards. Of the whole request allowed shards may be missing; due is the share of them
// that may be missing from this part before it waits for the others.
func partDelivery(d leaf.Delivery, p part, allowed, due int) leaf.Delivery {
	delivery := d
	delivery.Shards = make([]samphirepass.Service, len(p.Shards))
	for i, shard := range p.Shards {
		delivery.Shards[i] = d.Shards[shard]
	}
	delivery.Route.ShardServices = delivery.Shards
	delivery.MinShards = max(len(delivery.Shards)-allowed, 1)
	delivery.DueShards = max(len(delivery.Shards)-due, 1)
	return delivery
}

// partEvent reports what is known of a part.
type partEvent struct {
	part   int
	result leaf.DeliveryResult
	// final is unset while leaves may still answer.
	final bool
	// repeat is set if the part was delivered again and this is of the second delivery.
	repeat bool
}

// partEvents bounds the events of a part: two of its delivery, and the result of its repeat.
const partEvents = 3

// partGather is one request whose parts are collected at once. The parts together may lack as many shards as the request; which part
// lacks them does not matter.
type partGather struct {
	delivery leaf.Delivery
	parts    []part
	allowed  int
	events   chan partEvent
	// needRest is closed once the answers so far are too few.
	needRest chan struct{}

	results []leaf.DeliveryResult
	// reported marks the parts with answers so far, final those with a complete result.
	reported, final []bool

	// The remaining fields serve to deliver parts again.
	client      *Client
	ctx         context.Context
	began       samphirepass.Millis
	dataCentres [][]samphirepass.DataCentre
	offers      []directory.CollectorOffer
	// repeatDelay is the time without a frame after which a part is delivered again, 0 if none is.
	repeatDelay samphirepass.Millis
	deliveries  []leaf.Delivery
	sent        []*sentPart
	// running counts the deliveries of each part that have not ended. repeated marks the parts that were delivered again, winner those whose
	// result is of the second delivery.
	running                      []int
	repeated, winner             []bool
	cancelOriginal, cancelRepeat []context.CancelFunc
}

// gatherParts delivers the parts and returns once enough shards have answered, or too many cannot answer any more.
func (c *Client) gatherParts(ctx context.Context, d leaf.Delivery, parts []part, dataCentres [][]samphirepass.DataCentre, offers []directory.CollectorOffer) leaf.DeliveryResult {
	if d.PartialAfterMs > 0 {
		d.PartialAfterMs = max(d.PartialAfterMs-mergePartsMs, 1)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n := len(parts)
	g := &partGather{
		delivery: d, parts: parts, allowed: len(d.Shards) - d.RequiredShards(), events: make(chan partEvent, partEvents*n), needRest: make(chan struct{}),
		results: make([]leaf.DeliveryResult, n), reported: make([]bool, n), final: make([]bool, n),
		client: c, ctx: ctx, began: c.opts.Clock.Now(), dataCentres: dataCentres, offers: offers,
		deliveries: make([]leaf.Delivery, n), sent: make([]*sentPart, n), running: make([]int, n), repeated: make([]bool, n), winner: make([]bool, n),
		cancelOriginal: make([]context.CancelFunc, n), cancelRepeat: make([]context.CancelFunc, n),
	}
	if policy.LimitsAttempts(d.Route) && !d.Extra {
		g.repeatDelay = policy.RepeatDelay(d.Route.LatencyTargetMs)
	}
	shardParts := make([]samphirepass.ShardPart, len(parts))
	for i, p := range parts {
		shardParts[i] = p.ShardPart
	}
	due := policy.SplitMissingAllowance(g.allowed, shardParts)
	for i, p := range parts {
		delivery := partDelivery(d, p, g.allowed, due[i])
		g.deliveries[i], g.running[i] = delivery, 1
		if g.repeatDelay > 0 {
			g.sent[i] = &sentPart{table: &c.tokens}
		}
		ctx, cancel := context.WithCancel(ctx)
		g.cancelOriginal[i] = cancel
		go func() {
			defer cancel()
			defer g.sent[i].end()
			delivery.OnPartial = func(result leaf.DeliveryResult) {
				if result.Answered >= result.RequiredShards {
					result.Merged = gateway.MergeReplies(delivery, result)
				}
				g.events <- partEvent{part: i, result: result}
			}
			result, rest := c.deliverPart(ctx, delivery, p, g.sent[i], dataCentres, offers)
			if rest != nil {
				g.events <- partEvent{part: i, result: result}
				ask := time.NewTimer(askRestAfterMs.Duration())
				select {
				case <-g.needRest:
				case <-ask.C:
				case <-ctx.Done():
				}
				ask.Stop()
				result = rest(ctx)
			}
			g.events <- partEvent{part: i, result: result, final: true}
		}()
	}
	return g.wait()
}

// wait handles events until the request is answered or has failed. Every part reports at the latest when its context ends.
func (g *partGather) wait() leaf.DeliveryResult {
	var late <-chan time.Time
	if g.delivery.PartialAfterMs > 0 {
		t := time.NewTimer((g.delivery.PartialAfterMs + roundTripMs).Duration())
		defer t.Stop()
		late = t.C
	}
	repeat := time.NewTimer(time.Hour)
	defer repeat.Stop()
	checkAt := g.setRepeatTimer(repeat)
	isLate, askedRest := false, false
	for {
		select {
		case e := <-g.events:
			if e.final && !e.repeat && e.result.Merged == nil && g.repeatDelay > 0 {
				g.repeatParts(0)
			}
			g.handlePart(e)
		case <-repeat.C:
			g.repeatParts(g.client.opts.Clock.Now() - checkAt)
			checkAt = g.setRepeatTimer(repeat)
		case <-late:
			isLate = true
		}
		complete := !slices.Contains(g.final, false)
		switch {
		case complete, g.missing(g.final, 0) > g.allowed && !g.allRefused():
			return g.combine()
		case isLate && g.missing(g.reported, 1) <= g.allowed:
			return g.combine()
		case isLate && !askedRest && !slices.Contains(g.reported, false):
			close(g.needRest)
			askedRest = true
		}
	}
}

// allRefused reports whether all parts that ended did so before anything was sent, as no leaf is reached. The others may end alike: the
// request can then be passed on as a whole.
func (g *partGather) allRefused() bool {
	for i, r := range g.results {
		if g.final[i] && (!r.NoPath || r.MaybeRun || r.Answered > 0) {
			return false
		}
	}
	return true
}

// missing returns the number of shards that the selected parts lack, and unknown times the shards of the others.
func (g *partGather) missing(selected []bool, unknown int) int {
	n := 0
	for i, p := range g.parts {
		switch {
		case !selected[i]:
			n += unknown * len(p.Shards)
		case g.results[i].Merged == nil:
			n += len(p.Shards)
		default:
			n += len(p.Shards) - g.results[i].Answered
		}
	}
	return n
}

// combine merges the results of the parts. There is no answer if more shards are missing than may be.
func (g *partGather) combine() leaf.DeliveryResult {
	d := g.delivery
	combined := leaf.DeliveryResult{RequiredShards: d.RequiredShards(), Parts: len(g.parts)}
	var merged []*samphirepass.MergedAnswer
	for i, r := range g.results {
		combined.MaybeRun = combined.MaybeRun || r.MaybeRun || r.Answered > 0 || !g.final[i]
		combined.KnownShards += r.KnownShards
		combined.Extra += r.Extra
		combined.Skipped += r.Skipped
		combined.Attempts += r.Attempts
		combined.CrossCentreAttempts += r.CrossCentreAttempts
		combined.RetryAfterMs = max(combined.RetryAfterMs, r.RetryAfterMs)
		combined.HalfAnsweredMs = max(combined.HalfAnsweredMs, r.HalfAnsweredMs)
		combined.Shed = combined.Shed || r.Shed
		combined.Crashes = append(combined.Crashes, r.Crashes...)
		combined.Survived = combined.Survived || r.Survived
		combined.NoPath = combined.NoPath || (r.NoPath && r.Merged == nil)
		if r.LastErr != nil {
			combined.LastErr, combined.LastLeaf = r.LastErr, r.LastLeaf
		}
		if r.Merged != nil {
			combined.Answered += r.Answered
			merged = append(merged, r.Merged)
		} else {
			combined.FailedParts++
		}
	}
	if combined.Answered > 0 && combined.Answered >= combined.RequiredShards {
		combined.Merged = gateway.MergeParts(d.Route.TopK, merged)
		combined.Merged.Missing = len(d.Shards) - combined.Answered
	} else {
		// The parts that arrived cannot be used without the others.
		combined.Answered = 0
	}
	return combined
}
