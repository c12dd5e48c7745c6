package leaf

import (
	"context"
	"errors"
	"slices"
	"time"

	"samphirepass"
)

// maxFreeRetries bounds the attempts of one shard that cost no leaf anything.
const maxFreeRetries = 4

// result is the end of one attempt.
type result struct {
	shard int
	leaf  samphirepass.Leaf
	reply samphirepass.Reply
	items []samphirepass.Item
	took  samphirepass.Millis
	err   error
}

// shardState is the course of one shard of one request.
type shardState struct {
	tried []samphirepass.Leaf
	// spent counts the attempts that may have cost a leaf work.
	spent   int
	running int
	started samphirepass.Millis
	// hedgeFrom is the time from which the hedge delay counts.
	hedgeFrom samphirepass.Millis
	answered  bool
	closed    bool
	partial   bool
	reply     samphirepass.Reply
	items     []samphirepass.Item
	// cancels cut attempts off one by one, where they are not left to end by themselves.
	cancels []context.CancelCauseFunc
}

// fleet is what an entry sends attempts with.
type fleet struct {
	registry *Registry
	pool     *Pool
	sender   samphirepass.Sender
	centre   samphirepass.DataCentre
	chooser  samphirepass.Chooser
	clock    samphirepass.Clock
}

// course says how one request is sent to its shards.
type course struct {
	hedger samphirepass.Hedger
	// budgets has one element for each shard.
	budgets []samphirepass.Budget
	// attempts bounds the attempts on one shard that may cost a leaf work.
	attempts int
	// once is set where an attempt may follow another only if that one certainly did nothing.
	once bool
	// attempt returns the attempt to send to a leaf now.
	attempt func(shard int) samphirepass.Attempt
	// decode checks an answer further, and may be nil.
	decode func(r *result) error
	// settle is the time since the beginning from which an answer without stragglers is better than a later one, 0 for never.
	settle samphirepass.Millis
	// patience is the time after settle for which a late answer still waits to become whole.
	patience samphirepass.Millis
	// least is the number of shards without which there is no answer, 0 if any number will do.
	least int
	// linger is how long attempts that are no longer needed may go on, so that their connections can be kept.
	linger samphirepass.Millis
	// goneLinger is the same once the client has gone.
	goneLinger samphirepass.Millis
	// congested is set where requests wait for admission, when extra attempts would take the place of first ones.
	congested bool
	// progress is told which part of the shards is still open; it may be nil.
	progress func(left float64)
}

// fanOut is one request on one set of shards; only its own goroutine touches it.
type fanOut struct {
	*fleet
	course
	ctx context.Context
	// attemptCtx outlives ctx by the course's linger.
	attemptCtx context.Context
	leaves     [][]Known
	began      samphirepass.Millis
	shards     []shardState
	results    chan result
	timer      *time.Timer
	// open counts the shards that may still be answered.
	open, answered  int
	halfMs          samphirepass.Millis
	extra, attempts int
	shed, retired   bool
	// late is set once the time to settle has passed without enough answers.
	late bool
	// maybeRun is set once an attempt failed that may have run.
	maybeRun bool
	// lastErr is the error of the attempt that failed last, lastLeaf the leaf that it was sent to.
	lastErr  error
	lastLeaf samphirepass.Leaf
	// failure is the last answer of a leaf that ran an attempt and failed.
	failure *samphirepass.Reply
}

// newFanOut readies a fan-out over leaves, which has one element for each shard.
func newFanOut(ctx context.Context, f *fleet, c course, leaves [][]Known, began samphirepass.Millis) *fanOut {
	return &fanOut{
		fleet: f, course: c, ctx: ctx, leaves: leaves, began: began, shards: make([]shardState, len(leaves)),
		results: make(chan result, len(leaves)*(c.attempts+maxFreeRetries)),
	}
}

// run sends the attempts and returns once the request is answered, given up or out of time.
func (f *fanOut) run() {
	var end context.CancelCauseFunc
	f.attemptCtx, end = context.WithCancelCause(context.WithoutCancel(f.ctx))
	defer f.finish(end)
	f.timer = time.NewTimer(time.Hour)
	defer f.timer.Stop()
	f.pay()
	for i := range f.shards {
		if len(f.leaves[i]) > 0 {
			f.open++
			f.launch(i)
		} else {
			f.shards[i].closed = true
		}
	}
	f.schedule()
	for f.open > 0 && !f.settled() && f.reachable() {
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

// pay books the first attempt of each shard, in one go for shards that share a budget.
func (f *fanOut) pay() {
	for i := 0; i < len(f.budgets); {
		n := 1
		for i+n < len(f.budgets) && f.budgets[i+n] == f.budgets[i] {
			n++
		}
		f.budgets[i].Primary(n)
		if f.congested {
			f.budgets[i].Overload()
		}
		i += n
	}
}

// finish ends what still runs, at once or after the linger.
func (f *fanOut) finish(end context.CancelCauseFunc) {
	linger := f.linger
	if f.ctx.Err() != nil {
		linger = f.goneLinger
	}
	if f.running() == 0 || linger == 0 {
		end(context.Cause(f.ctx))
		return
	}
	time.AfterFunc(linger.Duration(), func() { end(samphirepass.ErrBeaten) })
}

// running counts the attempts under way.
func (f *fanOut) running() int {
	n := 0
	for i := range f.shards {
		n += f.shards[i].running
	}
	return n
}

// settled reports whether the answer is better given now, without its stragglers.
func (f *fanOut) settled() bool {
	elapsed := f.clock.Now() - f.began
	if f.settle == 0 || elapsed < f.settle {
		return false
	}
	enough := f.answered > 0 && f.answered >= f.least
	if !f.late && enough {
		return true
	}
	// An answer that is late already may as well become whole.
	f.late = true
	return enough && elapsed >= f.settle+f.patience
}

// reachable reports whether the least number of shards can still be answered.
func (f *fanOut) reachable() bool {
	return f.answered+f.open >= f.least
}

// launch starts an attempt on a leaf that this shard has not tried, if there is one left.
func (f *fanOut) launch(shard int) bool {
	s := &f.shards[shard]
	leaves := f.untried(shard)
	if len(leaves) == 0 || s.spent >= f.course.attempts || len(s.tried) >= f.course.attempts+maxFreeRetries {
		return false
	}
	k := leaves[f.choose(leaves)]
	s.tried = append(s.tried, k.Leaf)
	s.spent++
	s.running++
	s.started = f.clock.Now()
	s.hedgeFrom = s.started
	f.attempts++
	ctx := f.attemptCtx
	if f.linger == 0 {
		var cancel context.CancelCauseFunc
		ctx, cancel = context.WithCancelCause(ctx)
		s.cancels = append(s.cancels, cancel)
	}
	go f.send(ctx, shard, k, f.attempt(shard))
	return true
}

// choose returns the index of the leaf to send to.
func (f *fleet) choose(leaves []Known) int {
	candidates := make([]samphirepass.Candidate, len(leaves))
	for i, k := range leaves {
		candidates[i] = f.pool.Candidate(k, f.centre)
	}
	return f.chooser.Choose(candidates)
}

// untried returns the leaves that a shard may still be asked from; the plan may be older than a leaf's drain.
func (f *fanOut) untried(shard int) []Known {
	tried := f.shards[shard].tried
	if len(tried) == 0 {
		return f.leaves[shard]
	}
	var out []Known
	for _, k := range f.leaves[shard] {
		if !slices.Contains(tried, k.Leaf) && !f.registry.Leaving(k) {
			out = append(out, k)
		}
	}
	return out
}

func (f *fanOut) send(ctx context.Context, shard int, k Known, a samphirepass.Attempt) {
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
		cancel(samphirepass.ErrBeaten)
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
	f.retry(r.shard, f.budgets[r.shard].Take)
}

func (f *fanOut) takeFailure(r result) {
	f.lastErr, f.lastLeaf = r.err, r.leaf
	budget := f.budgets[r.shard]
	pay := budget.Take
	var failure *samphirepass.AttemptError
	if !errors.As(r.err, &failure) {
		failure = &samphirepass.AttemptError{Kind: samphirepass.FailureLost, Err: r.err}
	}
	switch {
	case failure.Kind == samphirepass.FailureShed:
		f.shed = true
		budget.Shed()
		pay = budget.TakeCheap
	case failure.Kind == samphirepass.FailureNotHeld:
		f.retired = true
		pay = budget.TakeCheap
	case failure.Kind == samphirepass.FailureAnswered:
		f.failure = &failure.Reply
	case failure.Free():
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
