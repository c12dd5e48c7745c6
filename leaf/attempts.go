package leaf

import (
	"context"
	"errors"
	"slices"

	"samphirepass"
	"samphirepass/policy"
)

// launch starts an attempt on a leaf that this shard has not tried, if there is one left.
func (f *fanOut) launch(shard int) bool {
	s := &f.shards[shard]
	leaves := f.untried(shard)
	if len(leaves) == 0 || s.spent >= f.course.attempts || len(s.tried) >= f.course.attempts+maxFreeRetries {
		return false
	}
	k := leaves[f.choose(leaves, f.expected)]
	s.tried = append(s.tried, k.Leaf)
	s.spent++
	s.running++
	s.started = f.clock.Now()
	s.hedgeFrom = s.started
	f.attempts++
	if k.DataCentre != f.centre {
		f.far++
	}
	ctx := f.attemptCtx
	if f.linger == 0 {
		var cancel context.CancelCauseFunc
		ctx, cancel = context.WithCancelCause(ctx)
		s.cancels = append(s.cancels, cancel)
	}
	go f.send(ctx, shard, k, f.attempt(shard))
	return true
}

// choose returns the index of the leaf to send an attempt to that usually takes the expected time.
func (f *fleet) choose(leaves []Registration, expected samphirepass.Millis) int {
	candidates := make([]samphirepass.Candidate, len(leaves))
	for i, k := range leaves {
		candidates[i] = f.pool.Candidate(k, f.centre, expected)
	}
	return f.chooser.Choose(candidates)
}

// poor returns the shards whose near leaves are worse than those in other data centres; those without a near leaf are not meant.
func (f *fanOut) poor() []int {
	var out []int
	for i, leaves := range f.leaves {
		candidates := make([]samphirepass.Candidate, len(leaves))
		for j, k := range leaves {
			candidates[j] = f.pool.Candidate(k, f.centre, f.expected)
		}
		if policy.PreferRemote(candidates) {
			out = append(out, i)
		}
	}
	return out
}

// untried returns the leaves that a shard may still be asked from; the plan may be older than a leaf's drain.
func (f *fanOut) untried(shard int) []Registration {
	tried := f.shards[shard].tried
	if len(tried) == 0 {
		return f.leaves[shard]
	}
	var out []Registration
	for _, k := range f.leaves[shard] {
		if !slices.Contains(tried, k.Leaf) && !f.registry.Leaving(k) {
			out = append(out, k)
		}
	}
	return out
}

func (f *fanOut) send(ctx context.Context, shard int, k Registration, a samphirepass.Attempt) {
	began := f.clock.Now()
	r := result{shard: shard, leaf: k.Leaf}
	r.reply, r.err = f.sender.Send(ctx, k.Announcement, a)
	if r.err == nil && f.decode != nil {
		r.err = f.decode(&r)
	}
	r.took = f.clock.Now() - began
	f.results <- r
}

func (f *fanOut) take(r result) {
	s := &f.shards[r.shard]
	s.running--
	if s.closed {
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
	s.answered, s.partial, s.items, s.reply = true, false, r.items, r.reply
	f.answered++
	f.close(r.shard)
}

// close ends a shard and cuts off what still runs for it.
func (f *fanOut) close(shard int) {
	s := &f.shards[shard]
	s.closed = true
	if s.running > 0 {
		f.hedger.Observe(f.clock.Now() - s.started)
	}
	for _, cancel := range s.cancels {
		cancel(samphirepass.ErrSuperseded)
	}
	f.open--
	if f.halfMs == 0 && f.open <= len(f.shards)/2 {
		f.halfMs = f.clock.Now() - f.began
	}
	if f.progress != nil {
		f.progress(float64(f.open) / float64(len(f.shards)))
	}
}

func (f *fanOut) takePartial(r result) {
	s := &f.shards[r.shard]
	if !s.partial || len(r.items) > len(s.items) {
		s.partial, s.items = true, r.items
	}
	f.retry(r.shard, f.budgets[r.shard].TakeRetry)
}

func (f *fanOut) takeFailure(r result) {
	f.lastErr, f.lastLeaf = r.err, r.leaf
	budget := f.budgets[r.shard]
	pay := budget.TakeRetry
	var failure *samphirepass.AttemptError
	if !errors.As(r.err, &failure) {
		failure = &samphirepass.AttemptError{Kind: samphirepass.FailureLost, Err: r.err}
	}
	switch {
	case failure.Kind == samphirepass.FailureShed:
		f.shed = true
		budget.RecordShed()
		pay = budget.TakeRefusedRetry
	case failure.Kind == samphirepass.FailureNotHeld:
		f.retired = true
		pay = budget.TakeRefusedRetry
	case failure.Kind == samphirepass.FailureAnswered:
		f.failure = &failure.Reply
	case failure.CausedNoLoad():
		pay = nil
		f.shards[r.shard].spent--
	}
	if !failure.NotRun() {
		f.maybeRun = true
		if f.once {
			f.close(r.shard)
			return
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
	next := f.nextSettle()
	for i := range f.shards {
		if at := f.shards[i].hedgeFrom + delay; ok && f.hedgeable(i) && (next < 0 || at < next) {
			next = at
		}
	}
	if next >= 0 {
		f.timer.Reset((next - f.clock.Now()).Duration())
	}
}

// nextSettle returns the next time at which the answer may be better given as it is, or a negative number.
func (f *fanOut) nextSettle() samphirepass.Millis {
	if f.settle == 0 {
		return -1
	}
	now := f.clock.Now()
	for _, at := range []samphirepass.Millis{f.began + f.settle, f.began + f.settle + f.patience} {
		if at > now {
			return at
		}
	}
	return -1
}

// hedgeable reports whether a shard waits for one attempt and could have another.
func (f *fanOut) hedgeable(shard int) bool {
	s := &f.shards[shard]
	return !f.once && !s.closed && s.running == 1 && s.spent < f.course.attempts && len(f.untried(shard)) > 0
}

func (f *fanOut) hedge() {
	delay, ok := f.hedger.Delay()
	if !ok {
		return
	}
	now := f.clock.Now()
	for i := range f.shards {
		if !f.hedgeable(i) || now-f.shards[i].hedgeFrom < delay {
			continue
		}
		if !f.extraAttempt(i, f.budgets[i].TakeHedge) {
			// Without budget the shard is looked at again after another delay.
			f.shards[i].hedgeFrom = now
		}
	}
}

// cutOff books the attempts that the deadline ended as at least as slow as they were.
func (f *fanOut) cutOff() {
	now := f.clock.Now()
	for i := range f.shards {
		if s := &f.shards[i]; !s.closed && s.running > 0 {
			f.hedger.Observe(now - s.started)
		}
	}
}
