package leaf

import (
	"slices"

	"samphirepass"
)

// SilentMs is the time without a sign of life after which a leaf is reported silent; heartbeats may come seconds late.
const SilentMs samphirepass.Millis = 6000

// ChangesSince returns what changed after a version, for a follower, and the present version.
func (r *Registry) ChangesSince(version uint64) ([]AgedAnnouncement, uint64) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if version == r.version {
		return nil, r.version
	}
	now := r.clock.Now()
	var out []AgedAnnouncement
	for _, reg := range r.leaves {
		if reg.changedVersion > version {
			out = append(out, AgedAnnouncement{Announcement: reg.Announcement, AgeMs: now - reg.LastSeenMs})
		}
	}
	return out, r.version
}

// SilentLeaves returns the serving leaves without a sign of life for SilentMs, in the order of names.
// Where most leaves fell silent at once the fault is likelier on this side, and none is returned.
func (r *Registry) SilentLeaves() []samphirepass.Leaf {
	r.mu.RLock()
	defer r.mu.RUnlock()
	now := r.clock.Now()
	serving := 0
	var out []samphirepass.Leaf
	for name, reg := range r.leaves {
		if reg.State != samphirepass.LeafServing {
			continue
		}
		serving++
		if now-reg.LastSeenMs > SilentMs {
			out = append(out, name)
		}
	}
	if len(out) > serving/2 {
		return nil
	}
	slices.Sort(out)
	return out
}

// SetSilentReport takes in which leaves a source of announcements calls silent; present is false where the source is lost, which takes its report back.
func (r *Registry) SetSilentReport(source string, silent []samphirepass.Leaf, present bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !present {
		delete(r.silentReports, source)
		r.serving = nil
		return
	}
	if had := r.silentReports[source]; had == nil || len(had) != len(silent) || slices.ContainsFunc(silent, func(name samphirepass.Leaf) bool { return !had[name] }) {
		r.serving = nil
	}
	set := make(map[samphirepass.Leaf]bool, len(silent))
	for _, name := range silent {
		set[name] = true
	}
	r.silentReports[source] = set
}

// Serving returns the leaves of a service that may get work: they serve, and not all sources call them silent.
// The slice is shared and must not be changed. Each request asks for all of its shards, so the answer is kept until something changes.
func (r *Registry) Serving(service samphirepass.Service) []Registration {
	r.mu.RLock()
	serving := r.serving
	r.mu.RUnlock()
	if serving == nil {
		serving = r.indexServing()
	}
	return serving[service]
}

// indexServing sorts the leaves that may get work by service.
func (r *Registry) indexServing() map[samphirepass.Service][]Registration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.serving != nil {
		return r.serving
	}
	r.serving = map[samphirepass.Service][]Registration{}
	for name, reg := range r.leaves {
		if reg.State == samphirepass.LeafServing && !r.reportedSilentLocked(name) {
			r.serving[reg.Service] = append(r.serving[reg.Service], reg)
		}
	}
	return r.serving
}

func (r *Registry) reportedSilentLocked(name samphirepass.Leaf) bool {
	for _, silent := range r.silentReports {
		if !silent[name] {
			return false
		}
	}
	return len(r.silentReports) > 0
}

// ServingVersion returns a number that changes with what Serving returns.
func (r *Registry) ServingVersion() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	sum := r.version
	for _, silent := range r.silentReports {
		sum += uint64(len(silent)) << 32
	}
	return sum
}
