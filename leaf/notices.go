package leaf

import (
	"math"

	"samphirepass"
)

const (
	// limitTTLMs is how long a limit holds after an answer last named it. A leaf names its limit in every answer while it has one.
	limitTTLMs samphirepass.Millis = 20_000
	// limitRefreshMs is the interval at which a limit that has not changed is sent to other processes, which forget it after limitTTLMs.
	limitRefreshMs samphirepass.Millis = 8000
	// limitTolerance is the relative change of a limit that is not sent to other processes.
	limitTolerance = 0.1
	// limitOrderMs is how much newer what another process heard must be to replace what this one knows, as its age leaves out the time
	// on the way.
	limitOrderMs samphirepass.Millis = 50
)

// knownLimit is the limit that a leaf named last.
type knownLimit struct {
	perSecond float64
	heardAt   samphirepass.Millis
	// publishedAt is the value of heardAt that was last sent to other processes.
	publishedAt samphirepass.Millis
}

// LimitPerSecond returns the number of requests a second that the leaf takes from all VMs together, 0 if it has no limit.
func (r Registration) LimitPerSecond(now samphirepass.Millis) float64 {
	if now-r.limit.heardAt > limitTTLMs {
		return 0
	}
	return r.limit.perSecond
}

// SetLimit records the limit that an incarnation of a leaf named, 0 for none, and reports whether to send it to other
// processes. reported is set if another process received the answer.
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
	left := r.ColdLeftMs(now)
	a := AgedAnnouncement{Announcement: r.Announcement, AgeMs: now - r.LastSeenMs, ColdLeftMs: &left}
	if r.limit.heardAt > 0 {
		a.Limit = &samphirepass.LeafLimit{PerSecond: r.LimitPerSecond(now), AgeMs: now - r.limit.heardAt}
	}
	return a
}

// coldLeft returns the remaining warm-up time of the leaf, within the bounds of what leaves may state.
func (a AgedAnnouncement) coldLeft() samphirepass.Millis {
	if a.ColdLeftMs == nil || !(*a.ColdLeftMs >= 0) {
		return a.Announcement.ColdMs - max(a.AgeMs, 0)
	}
	return min(*a.ColdLeftMs, samphirepass.MaxColdMs)
}

// ApplyAged applies what another process sent of a leaf.
func (r *Registry) ApplyAged(a AgedAnnouncement) {
	left := a.coldLeft()
	if newer, _ := r.apply(a.Announcement, a.AgeMs, left, false); !newer {
		r.repeatColdness(a.Announcement, left)
	}
	if a.Limit != nil {
		r.SetLimit(a.Announcement.Leaf, a.Announcement.Incarnation, *a.Limit, true)
	}
}

// NoticeHandler is called with what a leaf said of itself in an answer.
type NoticeHandler func(from samphirepass.Announcement, n samphirepass.LeafNotice)
