package leaf

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"

	"samphirepass"
)

// result is the end of one attempt.
type result struct {
	shard int
	leaf  samphirepass.Leaf
	reply samphirepass.Reply
	items []samphirepass.Item
	took  samphirepass.Millis
	err   error
}

// shardState is the course of one shard of one query.
type shardState struct {
	tried   []samphirepass.Leaf
	running int
	started samphirepass.Millis
	// hedgeFrom is the time from which the hedge delay counts.
	hedgeFrom samphirepass.Millis
	answered  bool
	partial   bool
	items     []samphirepass.Item
	cancels   []context.CancelCauseFunc
}

// fanOut is one query on one snapshot; only its own goroutine touches it.
type fanOut struct {
	*decisions
	g       *Gatherer
	ctx     context.Context
	request Request
	plan    Plan
	began   samphirepass.Millis
	shards  []shardState
	results chan result
	timer   *time.Timer
	// open counts the shards that may still be answered.
	open            int
	halfMs          samphirepass.Millis
	extra, attempts int
	shed, retired   bool
}

func (f *fanOut) run() {
	f.timer = time.NewTimer(time.Hour)
	defer f.timer.Stop()
	for i := range f.shards {
		if len(f.plan.Shards[i]) > 0 {
			f.open++
			f.launch(i)
		}
	}
	f.budget.Primary(f.attempts)
	if f.request.Congested {
		f.budget.Overload()
	}
	f.schedule()
	for f.open > 0 {
		select {
		case r := <-f.results:
			f.take(r)
		case <-f.timer.C:
			f.hedge()
			f.schedule()
		case <-f.ctx.Done():
			f.shed = f.shed || errors.Is(f.ctx.Err(), context.DeadlineExceeded)
			f.cutOff()
			return
		}
	}
}

// launch starts an attempt on a leaf that this shard has not tried, if there is one left.
func (f *fanOut) launch(shard int) bool {
	s := &f.shards[shard]
	leaves := f.untried(shard)
	if len(leaves) == 0 || len(s.tried) >= maxAttempts {
		return false
	}
	candidates := make([]samphirepass.Candidate, len(leaves))
	for i, k := range leaves {
		candidates[i] = f.g.pool.Candidate(k, f.g.centre)
	}
	k := leaves[f.g.policy.Chooser.Choose(candidates)]
	s.tried = append(s.tried, k.Leaf)
	s.running++
	s.started = f.g.clock.Now()
	s.hedgeFrom = s.started
	f.attempts++
	ctx, cancel := context.WithCancelCause(f.ctx)
	s.cancels = append(s.cancels, cancel)
	a := samphirepass.Attempt{
		Request: samphirepass.RequestID(uuid.NewString()), Service: f.request.Service, Snapshot: f.plan.Snapshot,
		Shard: samphirepass.Shard(shard), Body: f.request.Body,
		DeadlineMs: f.request.DeadlineMs - replyReserveMs - (s.started - f.began),
	}
	go f.attempt(ctx, shard, k, a)
	return true
}

// untried returns the leaves that a shard may still be asked from; the plan may be older than a leaf's drain.
func (f *fanOut) untried(shard int) []Known {
	tried := f.shards[shard].tried
	if len(tried) == 0 {
		return f.plan.Shards[shard]
	}
	var out []Known
	for _, k := range f.plan.Shards[shard] {
		if !slices.Contains(tried, k.Leaf) && !f.g.planner.Leaving(k) {
			out = append(out, k)
		}
	}
	return out
}

func (f *fanOut) attempt(ctx context.Context, shard int, k Known, a samphirepass.Attempt) {
	began := f.g.clock.Now()
	r := result{shard: shard, leaf: k.Leaf}
	r.reply, r.err = f.g.sender.Send(ctx, k.Announcement, a)
	if r.err == nil {
		if err := json.Unmarshal(r.reply.Body, &r.items); err != nil {
			r.err = failed(samphirepass.FailureMismatch, fmt.Errorf("decode items of %s: %w", k.Leaf, err))
		}
	}
	r.took = f.g.clock.Now() - began
	f.results <- r
}

func (f *fanOut) take(r result) {
	s := &f.shards[r.shard]
	s.running--
	if s.answered {
		return
	}
	if r.err != nil {
		f.takeFailure(r)
		return
	}
	f.hedger.Observe(r.took)
	// A leaf's own partial answer is kept in case no other leaf does better.
	if r.reply.Partial {
		f.takePartial(r)
		return
	}
	s.answered, s.partial, s.items = true, false, r.items
	f.close(r.shard)
}

// close ends a shard and cuts off what still runs for it.
func (f *fanOut) close(shard int) {
	s := &f.shards[shard]
	if s.running > 0 {
		f.hedger.Observe(f.g.clock.Now() - s.started)
	}
	for _, cancel := range s.cancels {
		cancel(samphirepass.ErrBeaten)
	}
	f.open--
	if f.halfMs == 0 && f.open <= len(f.shards)/2 {
		f.halfMs = f.g.clock.Now() - f.began
	}
	if f.request.Progress != nil {
		f.request.Progress(float64(f.open) / float64(len(f.shards)))
	}
}

func (f *fanOut) takePartial(r result) {
	s := &f.shards[r.shard]
	if !s.partial || len(r.items) > len(s.items) {
		s.partial, s.items = true, r.items
	}
	f.retry(r.shard, f.budget.Take)
}

func (f *fanOut) takeFailure(r result) {
	pay := f.budget.Take
	var failure *samphirepass.AttemptError
	if errors.As(r.err, &failure) {
		switch {
		case failure.Kind == samphirepass.FailureShed:
			f.shed = true
			f.budget.Shed()
			pay = f.budget.TakeCheap
		case failure.Kind == samphirepass.FailureNotHeld:
			f.retired = true
			pay = f.budget.TakeCheap
		case failure.Free():
			pay = nil
		}
	}
	f.retry(r.shard, pay)
}

// retry starts another attempt if it can be paid for, and gives the shard up if nothing runs for it any more.
func (f *fanOut) retry(shard int, pay func() bool) {
	s := &f.shards[shard]
	if s.running > 0 {
		return
	}
	if f.ctx.Err() == nil && f.extraAttempt(shard, pay) {
		return
	}
	f.close(shard)
}

// extraAttempt starts another attempt; one in place of an attempt that cost the leaf nothing needs no pay.
func (f *fanOut) extraAttempt(shard int, pay func() bool) bool {
	if len(f.untried(shard)) == 0 || (pay != nil && !pay()) {
		return false
	}
	if !f.launch(shard) {
		return false
	}
	if pay == nil {
		f.attempts--
	} else {
		f.extra++
	}
	f.schedule()
	return true
}

// schedule sets the timer to the time at which the next shard counts as late.
func (f *fanOut) schedule() {
	delay, ok := f.hedger.Delay()
	if !ok {
		return
	}
	next := samphirepass.Millis(-1)
	for i := range f.shards {
		if at := f.shards[i].hedgeFrom + delay; f.hedgeable(i) && (next < 0 || at < next) {
			next = at
		}
	}
	if next >= 0 {
		f.timer.Reset((next - f.g.clock.Now()).Duration())
	}
}

// hedgeable reports whether a shard waits for one attempt and could have another.
func (f *fanOut) hedgeable(shard int) bool {
	s := &f.shards[shard]
	return !s.answered && s.running == 1 && len(s.tried) < maxAttempts && len(f.untried(shard)) > 0
}

func (f *fanOut) hedge() {
	delay, _ := f.hedger.Delay()
	now := f.g.clock.Now()
	for i := range f.shards {
		if !f.hedgeable(i) || now-f.shards[i].hedgeFrom < delay {
			continue
		}
		if !f.extraAttempt(i, f.budget.TakeHedge) {
			// Without budget the shard is looked at again after another delay.
			f.shards[i].hedgeFrom = now
		}
	}
}

// cutOff books the attempts that the deadline ended as at least as slow as they were.
func (f *fanOut) cutOff() {
	now := f.g.clock.Now()
	for i := range f.shards {
		if s := &f.shards[i]; !s.answered && s.running > 0 {
			f.hedger.Observe(now - s.started)
		}
	}
}

func (f *fanOut) gathered() Gathered {
	out := Gathered{Snapshot: f.plan.Snapshot, Extra: f.extra, Attempts: f.attempts, Shed: f.shed}
	out.HalfMs = f.halfMs
	if out.HalfMs == 0 {
		out.HalfMs = f.g.clock.Now() - f.began
	}
	out.Coverage.Total = len(f.shards)
	out.Coverage.Missing = []samphirepass.Shard{}
	for i := range f.shards {
		s := &f.shards[i]
		if s.answered {
			out.Coverage.Answered++
		} else {
			out.Coverage.Missing = append(out.Coverage.Missing, samphirepass.Shard(i))
		}
		out.Items = append(out.Items, s.items...)
	}
	out.Shed = out.Shed && !out.Coverage.Whole()
	out.Items = merge(out.Items, f.request.Spec.Merge)
	return out
}

// merge applies the declared merge to the items of all shards, in the order of shards.
func merge(items []samphirepass.Item, spec samphirepass.MergeSpec) []samphirepass.Item {
	if items == nil {
		items = []samphirepass.Item{}
	}
	if spec.Kind != samphirepass.MergeTop {
		return items
	}
	slices.SortStableFunc(items, func(a, b samphirepass.Item) int { return cmp.Compare(b.Score, a.Score) })
	return items[:min(len(items), spec.N)]
}
