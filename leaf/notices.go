package leaf

import (
	"math"

	"samphirepass"
)

const (
	// limitTTLMs is how long a limit holds after a VM last heard of it. A leaf names its limit in every answer while it has one.
	limitTTLMs samphirepass.Millis = 20_000
	// limitRefreshMs is the interval at which other processes are told of a limit that has not changed.
	limitRefreshMs samphirepass.Millis = 8000
	// limitTolerance is the relative change of a limit of which other processes are not told.
	limitTolerance = 0.1
	// limitOrderMs is how much newer what another process heard must be to replace what this one knows, as its age leaves out the time
	// on the way.
	limitOrderMs samphirepass.Millis = 50
)

// knownLimit is the limit that a leaf named last.
type knownLimit struct {
	perSecond float64
	heardAt   samphirepass.Millis
	// publishedAt is the value of heardAt of which other processes were last told.
	publishedAt samphirepass.Millis
}

// LimitPerSecond returns the number of requests a second that the leaf takes from all VMs together, 0 if it has no limit.
func (r Registration) LimitPerSecond(now samphirepass.Millis) float64 {
	if now-r.limit.heardAt > limitTTLMs {
		return 0
	}
	return r.limit.perSecond
}

// SetLimit records the limit that an incarnation of a leaf named, 0 for none, and reports whether other processes should be told.
// reported is set if another process has heard it.
func (r *Registry) SetLimit(name samphirepass.Leaf, incarnation samphirepass.Incarnation, limit samphirepass.LeafLimit, reported bool) bool {
	r.mu.RLock()
	reg, ok := r.leaves[name]
	r.mu.RUnlock()
	if !ok || reg.Incarnation != incarnation || (limit.PerSecond == 0 && reg.limit.perSecond == 0) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	reg, ok = r.leaves[name]
	heardAt := r.clock.Now() - limit.AgeMs
	newerThan := reg.limit.heardAt
	if reported {
		newerThan += limitOrderMs
	}
	if !ok || reg.Incarnation != incarnation || heardAt <= newerThan {
		return false
	}
	reg.limit.heardAt = heardAt
	known := reg.limit.perSecond
	changed := math.Abs(limit.PerSecond-known) > limitTolerance*known || heardAt-reg.limit.publishedAt >= limitRefreshMs
	if changed {
		reg.limit.perSecond, reg.limit.publishedAt = limit.PerSecond, heardAt
		r.incrementVersionLocked()
		reg.changedVersion = r.version
	}
	r.leaves[name] = reg
	return changed
}

// SetLeaving records that an incarnation of a leaf takes no new requests any more, and reports whether this was not yet known.
func (r *Registry) SetLeaving(name samphirepass.Leaf, incarnation samphirepass.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	reg, ok := r.leaves[name]
	if !ok || reg.Incarnation != incarnation || reg.State.Leaving() {
		return false
	}
	r.setStateLocked(reg, samphirepass.LeafDraining)
	return true
}

// aged returns the registration as it is sent to other processes.
func (r Registration) aged(now samphirepass.Millis) AgedAnnouncement {
	a := AgedAnnouncement{Announcement: r.Announcement, AgeMs: now - r.LastSeenMs}
	if r.limit.heardAt > 0 {
		a.Limit = &samphirepass.LeafLimit{PerSecond: r.LimitPerSecond(now), AgeMs: now - r.limit.heardAt}
	}
	return a
}

// ApplyAged applies what another process sent of a leaf.
func (r *Registry) ApplyAged(a AgedAnnouncement) {
	r.Apply(a.Announcement, a.AgeMs, false)
	if a.Limit != nil {
		r.SetLimit(a.Announcement.Leaf, a.Announcement.Incarnation, *a.Limit, true)
	}
}

// NoticeHandler is called with what a leaf said of itself in an answer.
type NoticeHandler func(from samphirepass.Announcement, n samphirepass.LeafNotice)

// reserve takes a request to a leaf from this entry's share of its limit, and reports whether the leaf takes it now.
func (p *Pool) reserve(reg Registration) bool {
	now := p.clock.Now()
	limit := reg.LimitPerSecond(now)
	t := p.target(reg.Announcement)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pauseLocked(now, reg.Incarnation) > 0 {
		return false
	}
	return limit == 0 || t.limiter.Take(now, limit, p.shares.Senders(reg.Announcement))
}

// waitMs returns the time until a leaf takes another request of this entry, 0 if it does now.
func (p *Pool) waitMs(reg Registration) samphirepass.Millis {
	now := p.clock.Now()
	limit := reg.LimitPerSecond(now)
	t := p.target(reg.Announcement)
	t.mu.Lock()
	defer t.mu.Unlock()
	wait := t.pauseLocked(now, reg.Incarnation)
	if limit > 0 {
		wait = max(wait, t.limiter.Wait(now, limit, p.shares.Senders(reg.Announcement)))
	}
	return wait
}

// pause records that a leaf wants no requests of this entry for some time.
func (p *Pool) pause(a samphirepass.Announcement, d samphirepass.Millis) {
	t := p.target(a)
	t.mu.Lock()
	defer t.mu.Unlock()
	until := p.clock.Now() + d
	if t.pausedIncarnation == a.Incarnation {
		until = max(until, t.pausedUntil)
	}
	t.pausedUntil, t.pausedIncarnation = until, a.Incarnation
}

// pauseLocked returns how much longer the leaf wants no requests of this entry, 0 if it does.
func (t *target) pauseLocked(now samphirepass.Millis, incarnation samphirepass.Incarnation) samphirepass.Millis {
	if t.pausedIncarnation != incarnation {
		return 0
	}
	return max(t.pausedUntil-now, 0)
}

// minWaitMs returns the time until one of the leaves takes a request, 0 if one does now or there is none.
func (p *Pool) minWaitMs(leaves []Registration) samphirepass.Millis {
	shortest := samphirepass.Millis(0)
	for i, reg := range leaves {
		wait := p.waitMs(reg)
		if wait == 0 {
			return 0
		}
		if i == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}

// reserveLeaf chooses one of the leaves for an attempt and takes the attempt from its limit. ok is false if none takes one now.
func (f *fanOut) reserveLeaf(leaves []Registration) (reg Registration, ok bool) {
	for len(leaves) > 0 {
		i := f.choose(leaves, f.expected)
		if f.pool.reserve(leaves[i]) {
			return leaves[i], true
		}
		rest := make([]Registration, 0, len(leaves)-1)
		leaves = append(append(rest, leaves[:i]...), leaves[i+1:]...)
	}
	return Registration{}, false
}

// checkLimits reports whether leaves of enough shards take a request now. If not, it sets retryAfter: a request that cannot be served
// should not use up what the leaves still take.
func (f *fanOut) checkLimits() bool {
	taking, shortest := 0, samphirepass.Millis(0)
	for _, leaves := range f.leaves {
		if len(leaves) == 0 {
			continue
		}
		wait := f.pool.minWaitMs(leaves)
		if wait == 0 {
			taking++
			continue
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	if shortest == 0 || taking >= max(f.requiredShards, 1) {
		return true
	}
	f.retryAfter = shortest
	return false
}
