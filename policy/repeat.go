package policy

import (
	"sync"

	"samphirepass"
)

const (
	// repeatDelayDivisor divides a route's latency target into the time without a frame after which a part may be repeated, less
	// repeatMarginMs: as for hedges, a second delivery and the merge fit into the rest.
	repeatDelayDivisor = 3
	// repeatMarginMs is the time that a sign of life may take on its way, beside that between the two divisors.
	repeatMarginMs samphirepass.Millis = 15
	// signOfLifeDivisor divides a route's latency target into the interval at which a collector shows that it works on a part.
	signOfLifeDivisor = 4
	// repeatLatenessMs is the lateness of its timer from which an entry does not trust that it has read what arrived.
	repeatLatenessMs samphirepass.Millis = 5
	// minRepeatTimeMs is the least time before the deadline for which a part is repeated: a fast leaf and two messages.
	minRepeatTimeMs samphirepass.Millis = 10
	// maxSilentShare is the share of a request's parts above which the entry rather than its collectors seems to be cut off or overloaded.
	maxSilentShare = 1.0 / 3
	// silentDelayShare is the share of the delay from which a collector counts as silent for that: the parts of a request are not all sent
	// at once, and the first one must not be repeated before the others have been silent as long. It is above the interval of signs of life.
	silentDelayShare = 0.75
)

// RepeatDelay returns the time without a frame of its collector after which a part of a route may be repeated.
func RepeatDelay(latencyTarget samphirepass.Millis) samphirepass.Millis {
	return latencyTarget/repeatDelayDivisor + repeatMarginMs
}

// SignOfLifeInterval returns the interval at which a collector shows that it works on a part of a route.
func SignOfLifeInterval(latencyTarget samphirepass.Millis) samphirepass.Millis {
	return latencyTarget / signOfLifeDivisor
}

// LimitsAttempts reports whether the parts of a route's requests are delivered with a token for further attempts, without which a part cannot
// be repeated.
func LimitsAttempts(route samphirepass.Route) bool {
	return route.Kind == samphirepass.Repeatable && route.MaxAttempts > 1 && route.LatencyTargetMs > 0
}

// TokenHolder says who may make further attempts on the shards of a part.
type TokenHolder string

// The holders of a token.
const (
	// TokenFree means that nobody has made further attempts.
	TokenFree TokenHolder = ""
	// TokenCollector means that the collector may have made further attempts.
	TokenCollector TokenHolder = "collector"
	// TokenEntry means that the entry may have repeated the part.
	TokenEntry TokenHolder = "entry"
)

// AttemptToken is the right to make further attempts on the shards of a part. Only one holder ever gets it. It is safe for concurrent use,
// and its zero value is free.
type AttemptToken struct {
	mu     sync.Mutex
	holder TokenHolder
}

// Take gives a free token to a holder and reports whether it was free.
func (t *AttemptToken) Take(holder TokenHolder) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.holder != TokenFree {
		return false
	}
	t.holder = holder
	return true
}

// Holder returns the holder of the token.
func (t *AttemptToken) Holder() TokenHolder {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holder
}

// SentPart is what an entry has observed of a part that it sent to a collector.
type SentPart struct {
	// Pending is set while the part is not answered.
	Pending bool
	// Repeatable is set if the collector makes further attempts only with the token, and the token is free.
	Repeatable bool
	// Lost is set if the connection was lost or the collector failed after the part was sent.
	Lost bool
	// NoPath is set if the collector said that it reaches no leaf any more.
	NoPath bool
	// SilentMs is the time since the last frame of the collector, or since the part was sent if that is less.
	SilentMs samphirepass.Millis
}

// looksDead reports whether a part's collector shows no sign of life.
func (p SentPart) looksDead(delay samphirepass.Millis) bool {
	return p.Pending && !p.NoPath && (p.Lost || p.SilentMs >= delay)
}

// RepeatConditions are the conditions of an entry when it decides which parts of a request to repeat.
type RepeatConditions struct {
	// DelayMs is the RepeatDelay of the route.
	DelayMs samphirepass.Millis
	// LateMs is how late the timer fired that led to the decision.
	LateMs samphirepass.Millis
	// RemainingMs is the time until the deadline of the request.
	RemainingMs samphirepass.Millis
}

// PartsToRepeat returns the indices of the parts to deliver again. If too many collectors look dead at once these are only the parts of
// collectors that said that they reach no leaf; if this process itself was late there are none.
func PartsToRepeat(parts []SentPart, c RepeatConditions) []int {
	if c.LateMs >= repeatLatenessMs || c.RemainingMs < minRepeatTimeMs {
		return nil
	}
	silent := 0
	var repeat, dead []int
	for i, p := range parts {
		if p.Pending && p.Repeatable && p.NoPath {
			repeat = append(repeat, i)
		}
		if p.looksDead(silentDelayShare * c.DelayMs) {
			silent++
		}
		if p.Repeatable && p.looksDead(c.DelayMs) {
			dead = append(dead, i)
		}
	}
	if float64(silent) > maxSilentShare*float64(len(parts)) {
		return repeat
	}
	return append(repeat, dead...)
}

// NextRepeatCheck returns the time until a part may be found dead, and false if there is no part to look at. A check that led to nothing is
// made again after the margin, one of a part that was not sent yet after the whole delay.
func NextRepeatCheck(parts []SentPart, delay samphirepass.Millis) (samphirepass.Millis, bool) {
	next, ok := delay, false
	for _, p := range parts {
		switch {
		case !p.Pending:
			continue
		case p.Repeatable && (p.NoPath || p.SilentMs >= delay):
			next = min(next, repeatMarginMs)
		case p.Repeatable:
			next = min(next, delay-p.SilentMs)
		}
		ok = true
	}
	return next, ok
}
