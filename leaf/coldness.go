package leaf

import (
	"math"

	"samphirepass"
)

const (
	// coldShorterMs is how much earlier the end of a leaf's warm-up must be than other processes believe, to be sent to them. Delays of
	// heartbeats differ by less, except for single ones.
	coldShorterMs samphirepass.Millis = 500
	// coldLongerMs is the same for a later end. Other processes exceed the leaf's limit if they believe in too early an end.
	coldLongerMs samphirepass.Millis = 100
	// coldRenewMs is the time before the end that other processes believe in at which a later one is sent to them, at the latest. A leaf
	// without traffic may state the same remaining time for long, and every heartbeat of it would be sent on otherwise. It is longer
	// than heartbeats are apart or late.
	coldRenewMs = HeartbeatTimeoutMs
	// coldLingerMs is how long the limit of a leaf stays in force after its warm-up, for gateways that learn of the end later.
	coldLingerMs samphirepass.Millis = 3000
	// noneCold is the value of Registry.latestCold while no leaf is cold.
	noneCold = math.MinInt64
	// warmUpBurst is the number of requests that a cold leaf may get at once, and 1 if it tolerates fewer in a second.
	warmUpBurst = 2
)

// never is a time before all others: the zero of a clock is arbitrary.
var never = samphirepass.Millis(math.Inf(-1))

// warm is the coldness of a leaf that has not been cold.
var warm = coldness{until: never, publishedUntil: never, limitedUntil: never}

// coldness is the warm-up of one incarnation of a leaf, in times of this process's clock.
type coldness struct {
	// until is its end as the leaf stated it last, never if it stated that it is warm.
	until samphirepass.Millis
	// publishedUntil is the value of until that was last sent to other processes.
	publishedUntil samphirepass.Millis
	// limitedUntil is the time until which the limit of the leaf is in force.
	limitedUntil samphirepass.Millis
}

// next returns the coldness after a newer announcement with the given remaining time, and whether to send it to other processes.
func (c coldness) next(now, left samphirepass.Millis) (coldness, bool) {
	until := never
	if left > 0 {
		until = now + left
	}
	n := coldness{until: until, publishedUntil: c.publishedUntil, limitedUntil: min(c.limitedUntil, now+coldLingerMs)}
	if left > 0 {
		n.limitedUntil = until + coldLingerMs
	}
	publish := differs(c.publishedUntil-now, left)
	if publish {
		n.publishedUntil = until
	}
	return n, publish
}

// differs reports whether a process that believes in a remaining warm-up of known has to be told that it is left.
func differs(known, left samphirepass.Millis) bool {
	known, left = max(known, 0), max(left, 0)
	if left < known {
		return known-left > coldShorterMs
	}
	return left-known > coldLongerMs && known < max(left/2, coldRenewMs)
}

// ColdLeftMs returns the remaining warm-up time of a leaf, 0 if it is warm.
func (r Registration) ColdLeftMs(now samphirepass.Millis) samphirepass.Millis {
	return max(r.cold.until-now, 0)
}

// ColdnessChange is a change of the remaining warm-up time of a leaf that other processes have to know.
type ColdnessChange struct {
	Announcement samphirepass.Announcement
	// AgeMs is the age of the announcement when it arrived, Direct is set if it came from the leaf itself.
	AgeMs  samphirepass.Millis
	Direct bool
	// KnownMs is the remaining time that was known before, LeftMs the new one; 0 means that the leaf is warm.
	KnownMs, LeftMs samphirepass.Millis
}

// repeatColdness sends the coldness of a leaf to other processes again if one of them sent an older announcement with another one: it, and
// whoever learned from it, may have missed the newer announcement while this process saw no reason to send it.
func (r *Registry) repeatColdness(a samphirepass.Announcement, left samphirepass.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reg, ok := r.leaves[a.Leaf]
	if !ok || reg.Incarnation != a.Incarnation || a.Sequence >= reg.Sequence || reg.State.Leaving() {
		return
	}
	if !differs(left, reg.ColdLeftMs(r.clock.Now())) {
		return
	}
	reg.cold.publishedUntil = reg.cold.until
	r.incrementVersionLocked()
	reg.changedVersion = r.version
	r.leaves[a.Leaf] = reg
}

// coldUntil returns the current incarnation of a leaf and the end of its warm-up.
func (r *Registry) coldUntil(name samphirepass.Leaf) (samphirepass.Incarnation, samphirepass.Millis) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	reg, ok := r.leaves[name]
	if !ok {
		return 0, never
	}
	return reg.Incarnation, reg.cold.until
}

// anyCold reports whether a leaf may be cold at the time that newsAt returns. It is called for each leaf of each request.
func (r *Registry) anyCold(newsAt func() samphirepass.Millis) bool {
	latest := r.latestCold.Load()
	if latest == noneCold {
		return false
	}
	if samphirepass.Millis(latest) > newsAt() {
		return true
	}
	// The swap fails if a leaf has turned cold meanwhile.
	return !r.latestCold.CompareAndSwap(latest, noneCold)
}

// WarmUpLimits returns the limits of the leaves that are cold or were so until a moment ago, for the leader of the log, which leases them.
func (r *Registry) WarmUpLimits(warmUps map[samphirepass.Service]samphirepass.WarmUp) map[samphirepass.LimitKey]samphirepass.RateLimit {
	limits := map[samphirepass.LimitKey]samphirepass.RateLimit{}
	if len(warmUps) == 0 {
		return limits
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	now := r.clock.Now()
	for name, reg := range r.leaves {
		if limit, ok := reg.warmUpLimit(now, warmUps); ok {
			limits[samphirepass.WarmUpLimitKey(name, reg.Incarnation)] = limit
		}
	}
	return limits
}

// WarmUpLimit returns the limit with the given key if it is one of WarmUpLimits.
func (r *Registry) WarmUpLimit(key samphirepass.LimitKey, warmUps map[samphirepass.Service]samphirepass.WarmUp) (samphirepass.RateLimit, bool) {
	name, incarnation, ok := samphirepass.ParseWarmUpLimitKey(key)
	if !ok {
		return samphirepass.RateLimit{}, false
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	reg, known := r.leaves[name]
	if !known || reg.Incarnation != incarnation {
		return samphirepass.RateLimit{}, false
	}
	return reg.warmUpLimit(r.clock.Now(), warmUps)
}

// warmUpLimit returns the limit of a leaf, if it has one now.
func (r Registration) warmUpLimit(now samphirepass.Millis, warmUps map[samphirepass.Service]samphirepass.WarmUp) (samphirepass.RateLimit, bool) {
	perSecond := warmUps[r.Service].PerSecond
	if perSecond <= 0 || r.cold.limitedUntil <= now || r.State.Leaving() {
		return samphirepass.RateLimit{}, false
	}
	limit := samphirepass.RateLimit{PerSecond: perSecond, Burst: 1}
	if perSecond >= warmUpBurst {
		limit.Burst = warmUpBurst
	}
	return limit, true
}
