package leaf

import (
	"context"
	"errors"
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
	// expected is the usual time of an attempt, 0 if it is not known.
	expected samphirepass.Millis
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
	leaves     [][]Registration
	began      samphirepass.Millis
	shards     []shardState
	results    chan result
	timer      *time.Timer
	// open counts the shards that may still be answered.
	open, answered int
	halfMs         samphirepass.Millis
	// far counts the attempts on leaves in other data centres.
	extra, attempts, far int
	shed, retired        bool
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
func newFanOut(ctx context.Context, f *fleet, c course, leaves [][]Registration, began samphirepass.Millis) *fanOut {
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
		f.budgets[i].RecordPrimary(n)
		if f.congested {
			f.budgets[i].RecordOverload()
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
	time.AfterFunc(linger.Duration(), func() { end(samphirepass.ErrSuperseded) })
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
