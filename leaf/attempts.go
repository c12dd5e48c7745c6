package leaf

import (
	"context"
	"errors"
	"slices"

	"github.com/rotisserie/eris"

	"samphirepass"
	"samphirepass/policy"
)

// startAttempt starts an attempt on a leaf that the shard has not tried, and reports whether there was one within the limits.
func (f *fanOut) startAttempt(shard int) bool {
	return f.startAttemptOn(shard, f.untriedLeaves(shard))
}

// startAttemptOn is startAttempt for some of the leaves that the shard has not tried.
func (f *fanOut) startAttemptOn(shard int, leaves []Registration) bool {
	s := &f.shards[shard]
	if f.sendsEnded || len(leaves) == 0 || s.countedAttempts >= f.fanOutOptions.maxAttempts || len(s.tried) >= f.fanOutOptions.maxAttempts+maxFreeRetries {
		return false
	}
	reg, key, ok := f.takeLeaf(shard, leaves)
	if !ok {
		return false
	}
	s.tried = append(s.tried, reg.Leaf)
	s.countedAttempts++
	s.sentAttempts++
	s.inFlight++
	s.startedAt = f.clock.Now()
	s.hedgeFrom = s.startedAt
	f.attempts++
	if reg.DataCentre != f.dataCentre {
		f.crossCentreAttempts++
	}
	ctx := f.attemptCtx
	if f.cancelDelay == 0 {
		var cancel context.CancelCauseFunc
		ctx, cancel = context.WithCancelCause(ctx)
		s.cancels = append(s.cancels, cancel)
	}
	a := f.newAttempt(shard)
	// A replacement of an attempt that caused no load counts as a first one.
	a.Extra = s.countedAttempts > 1
	a.Permit = &samphirepass.SendPermit{ColdLimit: key}
	s.permits = append(s.permits, a.Permit)
	go f.sendAttempt(ctx, shard, reg, a)
	return true
}

// choose returns the index of the leaf to which to send an attempt with the given expected latency.
func (f *fanOutDeps) choose(leaves []Registration, expected samphirepass.Millis) int {
	candidates := make([]samphirepass.Candidate, len(leaves))
	for i, reg := range leaves {
		candidates[i] = f.pool.Candidate(reg, f.dataCentre, expected)
	}
	return f.chooser.Choose(candidates)
}

// degradedShards returns the shards for which leaves in other data centres are preferred to those in the own data centre.
// Shards without a leaf in the own data centre do not count.
func (f *fanOut) degradedShards() []int {
	var degraded []int
	for i, leaves := range f.leaves {
		candidates := make([]samphirepass.Candidate, len(leaves))
		for j, reg := range leaves {
			candidates[j] = f.pool.Candidate(reg, f.dataCentre, f.expected)
		}
		if policy.PreferRemote(candidates) {
			degraded = append(degraded, i)
		}
	}
	return degraded
}

// untriedLeaves returns the leaves of a shard without those already tried. For a further attempt it also drops leaves
// that have begun to drain, and those of data centres that have been evacuated, since they were selected.
func (f *fanOut) untriedLeaves(shard int) []Registration {
	tried := f.shards[shard].tried
	if len(tried) == 0 {
		return f.leaves[shard]
	}
	var untried []Registration
	for _, reg := range f.leaves[shard] {
		if !slices.Contains(tried, reg.Leaf) && !f.registry.Leaving(reg) && !f.registry.Evacuated(reg.DataCentre) {
			untried = append(untried, reg)
		}
	}
	return untried
}

func (f *fanOut) sendAttempt(ctx context.Context, shard int, reg Registration, a samphirepass.Attempt) {
	began := f.clock.Now()
	r := attemptResult{shard: shard, leaf: reg.Leaf, incarnation: reg.Incarnation, permit: a.Permit}
	defer func() {
		// An answer that a decoder cannot cope with fails the attempt, not the process.
		if reason := recover(); reason != nil {
			r.err = attemptError(samphirepass.FailureLost, eris.Errorf("attempt on %s panicked: %v", reg.Leaf, reason))
		}
		r.endedAt = f.clock.Now()
		r.took = r.endedAt - began
		f.results <- r
	}()
	r.reply, r.err = f.sender.Send(ctx, reg.Announcement, a)
	if key := a.Permit.ColdLimit; key != "" && causedNoRequest(r.err) {
		f.pool.returnToken(key)
	}
	if r.err == nil && f.decode != nil {
		r.err = f.decode(&r)
	}
}

func (f *fanOut) handleResult(r attemptResult) {
	s := &f.shards[r.shard]
	s.inFlight--
	if r.notSent() {
		s.sentAttempts--
	}
	s.permits = slices.DeleteFunc(s.permits, func(p *samphirepass.SendPermit) bool { return p == r.permit })
	f.noteOutcome(r)
	if s.closed {
		return
	}
	if r.err != nil {
		f.handleFailure(r)
		return
	}
	f.hedger.Observe(r.took)
	f.times.record(r, f.clock.Now())
	// A reply that the leaf itself marks as partial is kept in case no other leaf returns more.
	if r.reply.Partial {
		f.handlePartial(r)
		return
	}
	s.answered, s.answeredAt, s.partial, s.items, s.reply = true, f.clock.Now(), false, r.items, r.reply
	f.answeredShards++
	f.closeShard(r.shard)
}

// closeShard ends a shard and cancels its other attempts, unless they may finish within the cancel delay.
func (f *fanOut) closeShard(shard int) {
	s := &f.shards[shard]
	s.closed = true
	if s.inFlight > 0 {
		// A lower bound of the latency of the attempts in flight.
		f.hedger.Observe(f.clock.Now() - s.startedAt)
	}
	s.withdraw()
	for _, cancel := range s.cancels {
		cancel(samphirepass.ErrSuperseded)
	}
	f.openShards--
	if f.halfAnsweredMs == 0 && f.openShards <= len(f.shards)/2 {
		f.halfAnsweredMs = f.clock.Now() - f.began
	}
	if f.progress != nil {
		f.progress(float64(f.openShards) / float64(len(f.shards)))
	}
}

func (f *fanOut) handlePartial(r attemptResult) {
	s := &f.shards[r.shard]
	if !s.partial || len(r.items) > len(s.items) {
		s.partial, s.items = true, r.items
	}
	f.retryOrClose(r.shard, f.budgets[r.shard].TakeRetry)
}

func (f *fanOut) handleFailure(r attemptResult) {
	f.lastErr, f.lastLeaf = r.err, r.leaf
	f.unreached = f.unreached || errors.Is(r.err, errNotConnected)
	if errors.Is(r.err, errPaused) {
		f.retryAfter = max(f.retryAfter, f.pool.minWaitMs(f.leaves[r.shard]))
	}
	budget := f.budgets[r.shard]
	takeBudget := budget.TakeRetry
	var failure *samphirepass.AttemptError
	if !errors.As(r.err, &failure) {
		failure = &samphirepass.AttemptError{Kind: samphirepass.FailureLost, Err: r.err}
	}
	switch {
	case failure.Kind == samphirepass.FailureShed:
		f.shed = true
		budget.RecordShed()
		takeBudget = budget.TakeRefusedRetry
	case failure.Kind == samphirepass.FailureNotHeld:
		f.snapshotRetired = true
		takeBudget = budget.TakeRefusedRetry
	case failure.Kind == samphirepass.FailureAnswered:
		f.failure = &failure.Reply
	case failure.CausedNoLoad():
		takeBudget = nil
		f.shards[r.shard].countedAttempts--
	}
	if !failure.NotRun() {
		f.maybeRun = true
		if f.atMostOnce {
			f.closeShard(r.shard)
			return
		}
	}
	f.retryOrClose(r.shard, takeBudget)
}

// retryOrClose starts another attempt if the budget allows one, and closes the shard otherwise.
// It does nothing while another attempt on the shard is in flight.
func (f *fanOut) retryOrClose(shard int, takeBudget func() bool) {
	s := &f.shards[shard]
	if s.inFlight > 0 {
		return
	}
	if f.suspected() || f.awaitsPermission(shard) {
		f.hold(shard, takeBudget)
		return
	}
	if f.ctx.Err() == nil && f.startExtraAttempt(shard, takeBudget) {
		return
	}
	f.closeShard(shard)
}

// startExtraAttempt starts another attempt if takeBudget grants one. A nil takeBudget means that the attempt replaces one
// that caused no load: it needs no budget and does not count as extra.
func (f *fanOut) startExtraAttempt(shard int, takeBudget func() bool) bool {
	leaves := f.untriedLeaves(shard)
	if f.sendsEnded || f.forbidden(shard) || len(leaves) == 0 || f.pool.minWaitMs(leaves) > 0 || !f.takeRetryToken(shard, leaves) {
		return false
	}
	return f.startExtraAttemptOn(shard, leaves, takeBudget)
}

// startHedge starts a second attempt on a shard whose first one is late. It uses no cold leaf: what these may take is for requests that
// have no answer otherwise.
func (f *fanOut) startHedge(shard int) bool {
	leaves, _ := f.pool.splitCold(f.untriedLeaves(shard))
	if f.sendsEnded || f.forbidden(shard) || len(leaves) == 0 || f.pool.minWaitMs(leaves) > 0 {
		return false
	}
	return f.startExtraAttemptOn(shard, leaves, f.budgets[shard].TakeHedge)
}

func (f *fanOut) startExtraAttemptOn(shard int, leaves []Registration, takeBudget func() bool) bool {
	if takeBudget != nil && !takeBudget() {
		f.returnToken(shard)
		return false
	}
	if !f.startAttemptOn(shard, leaves) {
		f.returnToken(shard)
		return false
	}
	if takeBudget == nil {
		f.attempts--
	} else {
		f.extraAttempts++
	}
	f.resetTimer()
	return true
}

// resetTimer sets the timer to the next time at which a shard is due for a hedge or a partial answer may be returned.
func (f *fanOut) resetTimer() {
	delay, ok := f.hedger.Delay()
	next := f.nextPartialDeadline()
	for i := range f.shards {
		if at := f.shards[i].hedgeFrom + delay; ok && f.canHedge(i) && (next < 0 || at < next) {
			next = at
		}
	}
	if next >= 0 {
		f.timerAt = next
		f.timer.Reset((next - f.clock.Now()).Duration())
	}
}

// discountOwnDelay reports whether the timer fired late and many shards seem late. It then gives each shard that much more time before
// a hedge, as answers may have arrived that were not read yet: hedging all shards at once would double the load on the leaves and on
// this process.
func (f *fanOut) discountOwnDelay() bool {
	delay, ok := f.hedger.Delay()
	now := f.clock.Now()
	late := now - f.timerAt
	if !ok || late < ownDelayMs {
		return false
	}
	due := 0
	for i := range f.shards {
		if s := &f.shards[i]; !s.closed && s.inFlight == 1 && now-s.hedgeFrom >= delay {
			due++
		}
	}
	if float64(due) < ownDelayShardShare*float64(len(f.shards)) {
		return false
	}
	for i := range f.shards {
		f.shards[i].hedgeFrom += late
	}
	return true
}

// nextPartialDeadline returns the next time at which a partial answer may be returned, or a negative number if there is none.
func (f *fanOut) nextPartialDeadline() samphirepass.Millis {
	if f.partialAfter == 0 {
		return -1
	}
	now := f.clock.Now() + timerToleranceMs
	for _, at := range []samphirepass.Millis{f.began + f.partialAfter, f.began + f.partialAfter + f.grace} {
		if at > now {
			return at
		}
	}
	return -1
}

// canHedge reports whether a shard waits for a single attempt and may have another one.
func (f *fanOut) canHedge(shard int) bool {
	s := &f.shards[shard]
	return !f.atMostOnce && !f.suspected() && !f.permission.blocks() && !s.closed && s.inFlight == 1 && s.countedAttempts < f.fanOutOptions.maxAttempts && len(f.untriedLeaves(shard)) > 0
}

func (f *fanOut) hedgeLateShards() {
	delay, ok := f.hedger.Delay()
	if !ok {
		return
	}
	now := f.clock.Now()
	for i := range f.shards {
		if !f.canHedge(i) || now-f.shards[i].hedgeFrom+timerToleranceMs < delay {
			continue
		}
		if warm, _ := f.pool.splitCold(f.untriedLeaves(i)); len(warm) == 0 || f.pool.minWaitMs(warm) > 0 {
			f.shards[i].hedgeFrom = now
			continue
		}
		if f.awaitsPermission(i) {
			return
		}
		if !f.startHedge(i) {
			// Without budget the shard is checked again after another delay.
			f.shards[i].hedgeFrom = now
		}
	}
}

// observeUnfinished records the elapsed time of the attempts that were in flight when the request's context ended,
// a lower bound of their latency.
func (f *fanOut) observeUnfinished() {
	now := f.clock.Now()
	for i := range f.shards {
		if s := &f.shards[i]; !s.closed && s.inFlight > 0 {
			f.hedger.Observe(now - s.startedAt)
		}
	}
}
