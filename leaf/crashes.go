package leaf

import (
	"errors"
	"net/http"

	"samphirepass"
)

// suspected reports whether the request may crash the leaves that run it: leaves have ended under it, now or earlier, and none has survived
// it.
func (f *fanOut) suspected() bool {
	return !f.survived && (f.probe || len(f.crashes) > 0)
}

// noteOutcome records whether a leaf has survived the request or crashed under it.
func (f *fanOut) noteOutcome(r attemptResult) {
	var failure *samphirepass.AttemptError
	switch {
	case r.err == nil, errors.As(r.err, &failure) && failure.Kind == samphirepass.FailureAnswered && !gaveUp(failure.Reply):
		f.noteSurvival()
	case failure != nil && failure.Kind == samphirepass.FailureCrashed:
		f.crashes = append(f.crashes, samphirepass.LeafCrash{Leaf: r.leaf, Incarnation: r.incarnation, Alone: f.alone})
		if f.alone {
			f.condemned = true
			f.closeHeld()
		}
	}
	f.alone = false
}

// gaveUp reports whether the leaf stopped work on the request at its deadline: nobody knows what it would have come to.
func gaveUp(r samphirepass.Reply) bool {
	return r.Answer != nil && r.Answer.Status == http.StatusGatewayTimeout
}

// noteSurvival starts the attempts that were held.
func (f *fanOut) noteSurvival() {
	if f.survived {
		return
	}
	f.survived = true
	for i := range f.shards {
		if f.shards[i].held {
			f.startHeld(i)
		}
	}
}

// hold makes the next attempt on a shard wait until a leaf has survived the request. takeBudget grants it, nil means that none is needed.
func (f *fanOut) hold(shard int, takeBudget func() bool) {
	if f.condemned {
		f.closeShard(shard)
		return
	}
	s := &f.shards[shard]
	s.closed, s.held, s.takeBudget = false, true, takeBudget
}

// startHeld starts the attempt that was held on a shard, or closes the shard if there is none.
func (f *fanOut) startHeld(shard int) {
	if f.awaitsPermission(shard) {
		return
	}
	s := &f.shards[shard]
	s.held = false
	started := false
	switch {
	case f.ctx.Err() != nil:
	case len(s.tried) == 0:
		started = (!f.extra || f.budgets[shard].TakeRetry()) && f.startAttempt(shard)
	default:
		started = f.startExtraAttempt(shard, s.takeBudget)
	}
	if !started {
		f.closeShard(shard)
	}
	f.resetTimer()
}

// startAlone starts one held attempt if none is in flight.
func (f *fanOut) startAlone() {
	for i := range f.shards {
		if !f.suspected() || f.attemptsInFlight() > 0 || f.permission.pending() {
			return
		}
		if f.shards[i].held {
			f.startHeld(i)
			f.alone = f.shards[i].inFlight > 0
		}
	}
}

// closeHeld gives up the shards whose attempts were held.
func (f *fanOut) closeHeld() {
	for i := range f.shards {
		if s := &f.shards[i]; s.held {
			s.held = false
			f.closeShard(i)
		}
	}
}
