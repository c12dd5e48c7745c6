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
type attemptResult struct {
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
	charged   int
	inFlight  int
	startedAt samphirepass.Millis
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
type fanOutDeps struct {
	registry *Registry
	pool     *Pool
	sender   samphirepass.Sender
	centre   samphirepass.DataCentre
	chooser  samphirepass.Chooser
	clock    samphirepass.Clock
}

// course says how one request is sent to its shards.
type fanOutOptions struct {
	hedger samphirepass.Hedger
	// budgets has one element for each shard.
	budgets []samphirepass.Budget
	// expected is the usual time of an attempt, 0 if it is not known.
	expected samphirepass.Millis
	// attempts bounds the attempts on one shard that may cost a leaf work.
	maxAttempts int
	// once is set where an attempt may follow another only if that one certainly did nothing.
	atMostOnce bool
	// attempt returns the attempt to send to a leaf now.
	newAttempt func(shard int) samphirepass.Attempt
	// decode checks an answer further, and may be nil.
	decode func(r *attemptResult) error
	// settle is the time since the beginning from which an answer without stragglers is better than a later one, 0 for never.
	partialAfter samphirepass.Millis
	// patience is the time after settle for which a late answer still waits to become whole.
	grace samphirepass.Millis
	// least is the number of shards without which there is no answer, 0 if any number will do.
	requiredShards int
	// linger is how long attempts that are no longer needed may go on, so that their connections can be kept.
	cancelDelay samphirepass.Millis
	// goneLinger is the same once the client has gone.
	clientGoneCancelDelay samphirepass.Millis
	// congested is set where requests wait for admission, when extra attempts would take the place of first ones.
	congested bool
	// progress is told which part of the shards is still open; it may be nil.
	progress func(left float64)
}

// fanOut is one request on one set of shards; only its own goroutine touches it.
type fanOut struct {
	*fanOutDeps
	fanOutOptions
	ctx context.Context
	// attemptCtx outlives ctx by the course's linger.
	attemptCtx context.Context
	leaves     [][]Registration
	began      samphirepass.Millis
	shards     []shardState
	results    chan attemptResult
	timer      *time.Timer
	// open counts the shards that may still be answered.
	openShards, answeredShards int
	halfMs                     samphirepass.Millis
	// far counts the attempts on leaves in other data centres.
	extraAttempts, attempts, crossCentreAttempts int
	shed, snapshotRetired                        bool
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
func newFanOut(ctx context.Context, deps *fanOutDeps, opts fanOutOptions, leaves [][]Registration, began samphirepass.Millis) *fanOut {
	return &fanOut{
		fanOutDeps: deps, fanOutOptions: opts, ctx: ctx, leaves: leaves, began: began, shards: make([]shardState, len(leaves)),
		results: make(chan attemptResult, len(leaves)*(opts.maxAttempts+maxFreeRetries)),
	}
}

// run sends the attempts and returns once the request is answered, given up or out of time.
func (f *fanOut) run() {
	var cancel context.CancelCauseFunc
	f.attemptCtx, cancel = context.WithCancelCause(context.WithoutCancel(f.ctx))
	defer f.cancelRemaining(cancel)
	f.timer = time.NewTimer(time.Hour)
	defer f.timer.Stop()
	f.recordPrimaries()
	for i := range f.shards {
		if len(f.leaves[i]) > 0 {
			f.openShards++
			f.startAttempt(i)
		} else {
			f.shards[i].closed = true
		}
	}
	f.resetTimer()
	for f.openShards > 0 && !f.acceptPartial() && f.canSucceed() {
		select {
		case r := <-f.results:
			f.handleResult(r)
		case <-f.timer.C:
			f.hedgeLateShards()
			f.resetTimer()
		case <-f.ctx.Done():
			f.shed = f.shed || errors.Is(f.ctx.Err(), context.DeadlineExceeded)
			f.observeUnfinished()
			return
		}
	}
}

// pay books the first attempt of each shard, in one go for shards that share a budget.
func (f *fanOut) recordPrimaries() {
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
func (f *fanOut) cancelRemaining(cancel context.CancelCauseFunc) {
	delay := f.cancelDelay
	if f.ctx.Err() != nil {
		delay = f.clientGoneCancelDelay
	}
	if f.attemptsInFlight() == 0 || delay == 0 {
		cancel(context.Cause(f.ctx))
		return
	}
	time.AfterFunc(delay.Duration(), func() { cancel(samphirepass.ErrSuperseded) })
}

// running counts the attempts under way.
func (f *fanOut) attemptsInFlight() int {
	n := 0
	for i := range f.shards {
		n += f.shards[i].inFlight
	}
	return n
}

// settled reports whether the answer is better given now, without its stragglers.
func (f *fanOut) acceptPartial() bool {
	elapsed := f.clock.Now() - f.began
	if f.partialAfter == 0 || elapsed < f.partialAfter {
		return false
	}
	enough := f.answeredShards > 0 && f.answeredShards >= f.requiredShards
	if !f.late && enough {
		return true
	}
	// An answer that is late already may as well become whole.
	f.late = true
	return enough && elapsed >= f.partialAfter+f.grace
}

// reachable reports whether the least number of shards can still be answered.
func (f *fanOut) canSucceed() bool {
	return f.answeredShards+f.openShards >= f.requiredShards
}
