package leaf

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"samphirepass"
)

const (
	// maxFreeRetries bounds the attempts on one shard that caused a leaf no load.
	maxFreeRetries = 4
	// timerToleranceMs is how much before its time a timer may fire, as times are rounded; without it the timer would be set again.
	timerToleranceMs samphirepass.Millis = 0.001
	// ownDelayMs is the lateness of a timer from which this process was short of processor time and may not have read answers yet.
	ownDelayMs samphirepass.Millis = 5
	// ownDelayShardShare is the share of a request's shards that seem late together in that case; fewer are late by themselves.
	ownDelayShardShare = 0.25
)

var (
	errLimited = eris.New("no leaf takes a request now: each has reached its limit, or asked for a pause")
	// errMemory means that nothing was sent as too many requests are in flight.
	errMemory          = eris.New("the memory for requests in flight is in use")
	errConnectionsBusy = eris.New("too many requests wait for connections to leaves")
)

// attemptResult is the outcome of one attempt.
type attemptResult struct {
	shard int
	leaf  samphirepass.Leaf
	// incarnation is that of the leaf.
	incarnation samphirepass.Incarnation
	permit      *samphirepass.SendPermit
	reply       samphirepass.Reply
	items       []samphirepass.Item
	took        samphirepass.Millis
	// endedAt is when the attempt ended.
	endedAt samphirepass.Millis
	err     error
}

// shardState is the progress of one shard of one request.
type shardState struct {
	tried []samphirepass.Leaf
	// countedAttempts counts the attempts that may have caused a leaf load.
	countedAttempts int
	// sentAttempts counts the attempts of which the leaf may have seen anything.
	sentAttempts int
	inFlight     int
	// startedAt is the start of the latest attempt.
	startedAt samphirepass.Millis
	// hedgeFrom is the time at which the hedge delay starts.
	hedgeFrom samphirepass.Millis
	answered  bool
	// answeredAt is the time of the answer, if answered is set.
	answeredAt samphirepass.Millis
	// closed is set once the shard is answered or given up.
	closed bool
	// skipped is set while the shard is left out although it has leaves.
	skipped bool
	// held is set while the next attempt waits until a leaf has survived the request; takeBudget grants that attempt, nil without need.
	held       bool
	takeBudget func() bool
	// partial is set while items come from a partial reply.
	partial bool
	reply   samphirepass.Reply
	items   []samphirepass.Item
	// permits holds those of the attempts in flight.
	permits []*samphirepass.SendPermit
	// cancels holds one function for each attempt; it is only filled if cancelDelay is 0.
	cancels []context.CancelCauseFunc
	// token is what has been taken from the limit of a cold leaf for the next attempt, nil if nothing has.
	token *coldToken
}

// fanOutDeps holds what fan-outs share to choose leaves and send attempts.
type fanOutDeps struct {
	registry   *Registry
	pool       *Pool
	sender     samphirepass.Sender
	dataCentre samphirepass.DataCentre
	chooser    samphirepass.Chooser
	clock      samphirepass.Clock
}

// fanOutOptions configures the fan-out of one request.
type fanOutOptions struct {
	hedger samphirepass.Hedger
	// budgets has one element for each shard.
	budgets []samphirepass.Budget
	// expected is the expected latency of an attempt, 0 if it is not known.
	expected samphirepass.Millis
	// maxAttempts bounds the attempts on one shard that may cause a leaf load.
	maxAttempts int
	// atMostOnce allows another attempt only if the leaf certainly did not run the previous one.
	atMostOnce bool
	// newAttempt returns an attempt without its permit.
	newAttempt func(shard int) samphirepass.Attempt
	// decode parses a reply in an attempt's own goroutine; it may be nil.
	decode func(r *attemptResult) error
	// partialAfter is the time since the start after which an answer with enough shards is returned without its stragglers,
	// 0 for never.
	partialAfter samphirepass.Millis
	// grace is how much longer an answer with too few shards at partialAfter waits for all of them.
	grace samphirepass.Millis
	// skip holds the shards that are only asked if the request cannot succeed without them.
	skip []int
	// requiredShards is the least number of shards for an answer, 0 for any number.
	requiredShards int
	// dueShards is the number of shards with which the answer is returned at partialAfter, at least requiredShards.
	dueShards int
	// onPartial is called once if fewer than dueShards have answered at partialAfter; it may be nil.
	onPartial func()
	// cancelDelay is how long attempts that are no longer needed may still run, so that their connections can be reused;
	// 0 cancels them at once.
	cancelDelay samphirepass.Millis
	// tokenWait bounds the wait for this process's share of the limits of cold leaves.
	tokenWait samphirepass.Millis
	// endedCancelDelay replaces cancelDelay if the request's context has ended.
	endedCancelDelay samphirepass.Millis
	// congested is set while requests wait for admission: extra attempts would then displace first ones.
	congested bool
	// probe makes the first attempt go out alone, and the others only once a leaf has survived the request.
	probe bool
	// sendsEnd is closed when unsent attempts are withdrawn and no more are started; it may be nil.
	sendsEnd <-chan struct{}
	// extra makes first attempts draw on the budgets like retries.
	extra bool
	// recorded is set once the first attempts are counted in the budgets.
	recorded bool
	// pathLost is closed when this process reaches no leaf; nil means never.
	pathLost <-chan struct{}
	// progress is called with the fraction of shards still open; it may be nil.
	progress func(open float64)
}

// fanOut sends one request to a set of shards; only the goroutine that calls run changes it.
type fanOut struct {
	*fanOutDeps
	fanOutOptions
	ctx context.Context
	// attemptCtx outlives ctx by the cancel delay.
	attemptCtx context.Context
	leaves     [][]Registration
	began      samphirepass.Millis
	shards     []shardState
	results    chan attemptResult
	timer      *time.Timer
	// timerAt is the time that timer is set to.
	timerAt samphirepass.Millis
	// openShards counts the shards that may still be answered.
	openShards, answeredShards int
	halfAnsweredMs             samphirepass.Millis
	// crossCentreAttempts counts the attempts on leaves in other data centres.
	extraAttempts, attempts, crossCentreAttempts int
	// shed is set once a leaf has refused work or the deadline has passed, snapshotRetired once a leaf no longer held the snapshot.
	shed, snapshotRetired bool
	// late is set once partialAfter has passed without enough answers.
	late bool
	// maybeRun is set once an attempt has failed that the leaf may have run.
	maybeRun bool
	// mayStillRun is set if an attempt had been sent and was not answered when the fan-out ended.
	mayStillRun bool
	// lastErr is the error of the most recent failed attempt, lastLeaf the leaf that it was sent to.
	lastErr  error
	lastLeaf samphirepass.Leaf
	// retryAfter is the time until a leaf takes a request, if too few do now.
	retryAfter samphirepass.Millis
	times      timingRecorder
	// crashes are the leaves that ended while they ran the request, survived is set once another one has run it and not ended.
	crashes  []samphirepass.LeafCrash
	survived bool
	// alone is set while the only attempt in flight is to show whether the request crashes leaves.
	alone bool
	// sendsEnded is set once sendsEnd is closed.
	sendsEnded bool
	permission permission
	// condemned is set once a leaf has crashed under an attempt that was alone: there are no further attempts.
	condemned bool
	// failure is the last reply of a leaf that ran an attempt and reported a failure.
	failure *samphirepass.Reply
	// noPath is set once pathLost is closed, unreached once a connection could not be opened.
	noPath, unreached bool
}

// newFanOut returns a fan-out over leaves, which has one element for each shard.
func newFanOut(ctx context.Context, deps *fanOutDeps, opts fanOutOptions, leaves [][]Registration, began samphirepass.Millis) *fanOut {
	mostLeaves := 0
	for _, shardLeaves := range leaves {
		mostLeaves = max(mostLeaves, len(shardLeaves))
	}
	// A shard has one attempt on each of its leaves at most; routing documents may allow any number.
	opts.maxAttempts = min(opts.maxAttempts, mostLeaves)
	return &fanOut{
		fanOutDeps: deps, fanOutOptions: opts, ctx: ctx, leaves: leaves, began: began, shards: make([]shardState, len(leaves)),
		results: make(chan attemptResult, len(leaves)*(opts.maxAttempts+maxFreeRetries)),
	}
}

// run sends the attempts and returns once the request is answered, can no longer succeed or its context ends.
func (f *fanOut) run() {
	var cancel context.CancelCauseFunc
	f.attemptCtx, cancel = context.WithCancelCause(context.WithoutCancel(f.ctx))
	defer f.cancelRemaining(cancel)
	defer f.withdrawUnsent()
	f.timer = time.NewTimer(time.Hour)
	defer f.timer.Stop()
	defer f.returnTokens()
	if !f.checkLimits() || !f.takeTokens() {
		f.lastErr = errLimited
		return
	}
	if !f.extra && !f.recorded {
		f.recordPrimaries()
		f.recorded = true
	}
	for _, i := range f.skip {
		f.shards[i].skipped = len(f.leaves[i]) > 0
	}
	for i := range f.shards {
		if len(f.leaves[i]) > 0 && !f.shards[i].skipped {
			f.openFirst(i)
		} else {
			f.shards[i].closed = true
		}
	}
	f.times.timing.StartMs = f.clock.Now() - f.began
	f.resetTimer()
	for !f.acceptPartial() && f.canSucceed() && f.openShards > 0 {
		if f.startAlone(); f.openShards == 0 {
			return
		}
		select {
		case r := <-f.results:
			f.handleResult(r)
		case <-f.timer.C:
			f.times.timing.TimerLateMs = max(f.times.timing.TimerLateMs, f.clock.Now()-f.timerAt)
			if !f.discountOwnDelay() {
				f.hedgeLateShards()
			}
			f.resetTimer()
		case granted := <-f.permission.reply:
			f.handlePermission(granted)
		case <-f.sendsEnd:
			f.endSends()
		case <-f.pathLost:
			if f.losePath() {
				return
			}
		case <-f.ctx.Done():
			f.shed = f.shed || errors.Is(f.ctx.Err(), context.DeadlineExceeded)
			f.observeUnfinished()
			return
		}
	}
}

// openFirst starts the first attempt on a shard. If no leaf takes one, the shard is closed.
func (f *fanOut) openFirst(shard int) {
	if f.suspected() {
		f.openShards++
		f.hold(shard, nil)
		return
	}
	if (!f.extra || f.budgets[shard].TakeRetry()) && f.startAttempt(shard) {
		f.openShards++
		if f.extra {
			f.extraAttempts++
		}
		return
	}
	f.lastErr = errLimited
	f.shards[shard].closed = true
}

// recordPrimaries records the first attempt of each shard, with one call for a sequence of shards that share a budget.
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

// cancelRemaining cancels the attempts in flight, at once or after the cancel delay.
func (f *fanOut) cancelRemaining(cancel context.CancelCauseFunc) {
	delay := f.cancelDelay
	if f.ctx.Err() != nil {
		delay = f.endedCancelDelay
	}
	if f.noPath {
		cancel(samphirepass.ErrNoPath)
		return
	}
	if f.attemptsInFlight() == 0 || delay == 0 {
		cancel(context.Cause(f.ctx))
		return
	}
	time.AfterFunc(delay.Duration(), func() { cancel(samphirepass.ErrSuperseded) })
}

// endSends withdraws the unsent attempts and gives up the shards whose next attempt was held. The shards of withdrawn attempts are closed
// once these have returned.
func (f *fanOut) endSends() {
	f.sendsEnd, f.sendsEnded = nil, true
	for i := range f.shards {
		f.shards[i].withdraw()
	}
	f.closeHeld()
}

// losePath withdraws the unsent attempts as no leaf is reached, and reports whether the fan-out ends. One whose request may not be repeated
// goes on while a leaf may have it: its answer may arrive once the path is back.
func (f *fanOut) losePath() bool {
	f.pathLost, f.noPath, f.lastErr = nil, true, samphirepass.ErrNoPath
	f.endSends()
	if !f.atMostOnce {
		return true
	}
	for i := range f.shards {
		if s := &f.shards[i]; s.inFlight > 0 && !s.withdraw() {
			return false
		}
	}
	return true
}

// withdrawUnsent withdraws the attempts that still wait for a connection, whose answers nobody needs any more.
func (f *fanOut) withdrawUnsent() {
	for i := range f.shards {
		s := &f.shards[i]
		if s.inFlight > 0 && !s.withdraw() {
			f.mayStillRun = true
		}
	}
}

// withdraw withdraws the unsent attempts in flight on a shard, and reports whether none has been sent.
func (s *shardState) withdraw() bool {
	unsent := true
	for _, p := range s.permits {
		unsent = p.Withdraw() && unsent
	}
	return unsent
}

// attemptsInFlight counts the attempts in flight on all shards.
func (f *fanOut) attemptsInFlight() int {
	n := 0
	for i := range f.shards {
		n += f.shards[i].inFlight
	}
	return n
}

// acceptPartial reports whether to return the answer now, without its stragglers.
func (f *fanOut) acceptPartial() bool {
	elapsed := f.clock.Now() - f.began + timerToleranceMs
	if f.partialAfter == 0 || elapsed < f.partialAfter {
		return false
	}
	enough := f.answeredShards > 0 && f.answeredShards >= f.dueShards
	if !f.late && enough {
		return true
	}
	if !f.late && f.onPartial != nil {
		f.onPartial()
	}
	// The answer is late already, so it waits for the other shards until the grace time is over.
	f.late = true
	return enough && elapsed >= f.partialAfter+f.grace
}

// canSucceed reports whether the required number of shards can still be reached. If others have failed, it starts skipped ones.
func (f *fanOut) canSucceed() bool {
	for i := range f.shards {
		if f.answeredShards+f.openShards >= f.dueShards {
			return true
		}
		if s := &f.shards[i]; s.skipped {
			s.skipped, s.closed = false, false
			f.openFirst(i)
			f.resetTimer()
		}
	}
	return f.answeredShards+f.openShards >= f.requiredShards
}
