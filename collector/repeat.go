package collector

import (
	"context"
	"slices"
	"sync"
	"time"

	"samphirepass"
	"samphirepass/directory"
	"samphirepass/leaf"
	"samphirepass/metrics"
	"samphirepass/policy"
)

// plainCollectMs is how long an older collector, which does not know of tokens, is sent its parts without them, before it is tried again.
const plainCollectMs samphirepass.Millis = 10000

// tokenTable holds the tokens of the parts in flight, by number; it is safe for concurrent use.
type tokenTable struct {
	mu     sync.Mutex
	last   uint64
	tokens map[uint64]*policy.AttemptToken
}

// add makes a token and returns it with its number.
func (t *tokenTable) add() (uint64, *policy.AttemptToken) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tokens == nil {
		t.tokens = map[uint64]*policy.AttemptToken{}
	}
	t.last++
	token := &policy.AttemptToken{}
	t.tokens[t.last] = token
	return t.last, token
}

// remove makes a token unavailable to collectors.
func (t *tokenTable) remove(n uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.tokens, n)
}

// grant answers a collector that asks for the token of a part.
func (t *tokenTable) grant(_ context.Context, req furtherRequest) (furtherReply, error) {
	t.mu.Lock()
	token := t.tokens[req.Token]
	t.mu.Unlock()
	return furtherReply{Granted: token != nil && token.Take(policy.TokenCollector)}, nil
}

// sentPart follows a part to the collector that has it; it is safe for concurrent use.
type sentPart struct {
	table *tokenTable

	mu sync.Mutex
	// address is that of the collector to which the part was sent, empty if it was not, or not with a token.
	address string
	sentAt  samphirepass.Millis
	number  uint64
	token   *policy.AttemptToken
	lost    bool
	noPath  bool
}

// start records that the part is sent to a collector with a new token, and returns its number.
func (s *sentPart) start(address string, now samphirepass.Millis) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address, s.sentAt, s.lost, s.noPath = address, now, false, false
	s.number, s.token = s.table.add()
	return s.number
}

// withdraw records that the collector has not taken the part, or takes it without a token. It reports false if the part has been delivered
// again meanwhile, which leaves no attempts for another collector.
func (s *sentPart) withdraw() bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.token != nil && !s.token.Take(policy.TokenCollector) {
		return false
	}
	s.table.remove(s.number)
	s.address, s.token, s.lost, s.noPath = "", nil, false, false
	return true
}

// setLost records that the collector was lost or failed, or that it reaches no leaf. It does nothing if s is nil.
func (s *sentPart) setLost(noPath bool) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost, s.noPath = !noPath, noPath
}

// end makes the token unavailable once the part needs no further attempts. It does nothing if s is nil.
func (s *sentPart) end() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.remove(s.number)
}

// take takes the token for a repeat, and returns the collector that had the part.
func (s *sentPart) take() (address string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address, s.token != nil && s.token.Take(policy.TokenEntry)
}

// observe describes the part to the policy.
func (c *Client) observe(s *sentPart, pending bool) policy.SentPart {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.address == "" {
		return policy.SentPart{Pending: pending}
	}
	silent, connected := c.opts.Peers.Get(s.address).SinceLastFrame()
	return policy.SentPart{
		Pending: pending, Repeatable: s.token != nil && s.token.Holder() == policy.TokenFree, Lost: s.lost || !connected, NoPath: s.noPath,
		SilentMs: min(silent, c.opts.Clock.Now()-s.sentAt),
	}
}

// repeatParts delivers the parts again whose collectors show no sign of life. late is how late the timer of the check fired.
func (g *partGather) repeatParts(late samphirepass.Millis) {
	now := g.client.opts.Clock.Now()
	observed := g.observe()
	dead := policy.PartsToRepeat(observed, policy.RepeatConditions{
		DelayMs: g.repeatDelay, LateMs: late, RemainingMs: g.delivery.Request.DeadlineMs - (now - g.began),
	})
	for _, i := range dead {
		address, ok := g.sent[i].take()
		if !ok {
			continue
		}
		g.client.markFailed(address)
		g.client.opts.Log.RequestEvent("Part delivered again.", "request", g.delivery.Request.ID, "collector", address, "shards", len(g.parts[i].Shards),
			"lost", observed[i].Lost, "silent-ms", int(observed[i].SilentMs), "delay-ms", int(g.repeatDelay), "age-ms", int(now-g.began),
			"repeated", len(dead), "parts", len(g.parts), "timer-late-ms", int(late))
		g.running[i]++
		g.repeated[i] = true
		ctx, cancel := context.WithCancel(g.ctx)
		g.cancelRepeat[i] = cancel
		go func() {
			defer cancel()
			result := g.client.repeatPart(ctx, g.deliveries[i].WithElapsed(now-g.began), g.delivery.Shards, g.parts[i], address, g.dataCentres, g.offers)
			g.events <- partEvent{part: i, result: result, final: true, repeat: true}
		}()
	}
}

// setRepeatTimer sets the timer to the next time at which a part may need to be delivered again, and returns that time.
func (g *partGather) setRepeatTimer(t *time.Timer) samphirepass.Millis {
	now := g.client.opts.Clock.Now()
	if g.repeatDelay == 0 {
		return now
	}
	if next, ok := policy.NextRepeatCheck(g.observe(), g.repeatDelay); ok {
		t.Reset(next.Duration())
		return now + next
	}
	return now
}

// observe describes the parts to the policy.
func (g *partGather) observe() []policy.SentPart {
	observed := make([]policy.SentPart, len(g.parts))
	for i := range g.parts {
		observed[i] = g.client.observe(g.sent[i], !g.reported[i])
	}
	return observed
}

// repeatPart delivers a part again with one attempt on each shard, through other collectors than the one that had it. all are the shards of
// the whole request.
func (c *Client) repeatPart(ctx context.Context, d leaf.Delivery, all []samphirepass.Service, p part, failed string, dataCentres [][]samphirepass.DataCentre, offers []directory.CollectorOffer) leaf.DeliveryResult {
	d.Route.MaxAttempts, d.Extra, d.OnPartial, d.FurtherAttempts = 1, true, nil, noFurtherAttempts
	offers = slices.DeleteFunc(slices.Clone(offers), func(o directory.CollectorOffer) bool { return o.Address == failed })
	partDataCentres := make([][]samphirepass.DataCentre, len(p.Shards))
	for i, shard := range p.Shards {
		partDataCentres[i] = dataCentres[shard]
	}
	return c.gatherParts(ctx, d, c.spreadAgain(p, all, offers), partDataCentres, offers)
}

// noFurtherAttempts is a leaf.Delivery.FurtherAttempts that refuses.
func noFurtherAttempts(context.Context) bool { return false }

// spreadAgain divides a part among the other collectors of its data centre as later requests will be, so that they have connections to the
// leaves. The shards of the result are indices into those of the part.
func (c *Client) spreadAgain(p part, all []samphirepass.Service, offers []directory.CollectorOffer) []part {
	whole := samphirepass.ShardPart{DataCentre: p.DataCentre}
	for i := range p.Shards {
		whole.Shards = append(whole.Shards, i)
	}
	usable := c.usableCollectors(c.collectorsIn(p.DataCentre, offers))
	if !policy.SpreadsRequest(len(all), len(usable)) {
		return []part{{ShardPart: whole}}
	}
	assigned := c.assignedCollectors(all, p.DataCentre, usable)
	parts := make([]part, len(usable))
	for i, offer := range usable {
		parts[i] = part{ShardPart: samphirepass.ShardPart{DataCentre: p.DataCentre}, spread: true, collector: offer, local: offer.Address == c.opts.Address}
	}
	for i, shard := range p.Shards {
		parts[assigned[shard]].Shards = append(parts[assigned[shard]].Shards, i)
	}
	return slices.DeleteFunc(parts, func(p part) bool { return len(p.Shards) == 0 })
}

// markFailed makes the next requests avoid a collector for a while.
func (c *Client) markFailed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.collectors[address]; s != nil {
		s.failed, s.failedAt = true, c.opts.Clock.Now()
	}
}

// takesTokens reports whether a collector may know of tokens.
func (c *Client) takesTokens(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.collectors[address]
	return s == nil || s.plainUntil <= c.opts.Clock.Now()
}

// setPlain records that a collector does not know of tokens.
func (c *Client) setPlain(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.collectors[address].plainUntil = c.opts.Clock.Now() + plainCollectMs
}

// countRepeat counts a repeated part.
func (c *Client) countRepeat(outcome metrics.RepeatOutcome) {
	if c.opts.Metrics != nil {
		c.opts.Metrics.PartRepeated(outcome)
	}
}

// handlePart records an event of a part. The first usable answer to a part counts, and the other delivery of it ends: answers are never
// merged twice.
func (g *partGather) handlePart(e partEvent) {
	i := e.part
	if e.final {
		g.running[i]--
	}
	if g.final[i] || (g.results[i].Merged != nil && e.repeat != g.winner[i]) {
		return
	}
	usable := e.result.Merged != nil
	if !usable && g.running[i] > 0 && e.final {
		// The other delivery may still answer.
		return
	}
	if usable && g.results[i].Merged == nil && g.repeated[i] {
		outcome := metrics.RepeatOvertaken
		if e.repeat {
			outcome = metrics.RepeatAnswered
			g.cancelOriginal[i]()
		} else {
			g.cancelRepeat[i]()
		}
		g.client.countRepeat(outcome)
	}
	if !usable && e.final && g.repeated[i] {
		g.client.countRepeat(metrics.RepeatFailed)
	}
	g.winner[i] = e.repeat
	g.results[i], g.reported[i], g.final[i] = e.result, true, e.final
}
