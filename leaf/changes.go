package leaf

import (
	"slices"

	"samphirepass"
)

// SilentMs is the time without a heartbeat after which a leaf is reported silent; heartbeats may be seconds late.
const SilentMs samphirepass.Millis = 6000

// ChangesSince returns the announcements that changed after the given version, for a follower, and the current version.
func (r *Registry) ChangesSince(version uint64) ([]AgedAnnouncement, uint64) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if version == r.version {
		return nil, r.version
	}
	now := r.clock.Now()
	var changes []AgedAnnouncement
	for _, reg := range r.leaves {
		if reg.changedVersion > version {
			changes = append(changes, reg.aged(now))
		}
	}
	return changes, r.version
}

// SilentLeaves returns the serving leaves without a heartbeat for SilentMs, in the order of names.
// If most leaves are silent at once, the fault is more likely in this process or its network, and it returns none.
func (r *Registry) SilentLeaves() []samphirepass.Leaf {
	r.mu.RLock()
	defer r.mu.RUnlock()
	now := r.clock.Now()
	serving := 0
	var silent []samphirepass.Leaf
	for name, reg := range r.leaves {
		if reg.State != samphirepass.LeafServing {
			continue
		}
		serving++
		if now-reg.LastSeenMs > SilentMs {
			silent = append(silent, name)
		}
	}
	if len(silent) > serving/2 {
		return nil
	}
	slices.Sort(silent)
	return silent
}

// SetSilentReport replaces the silent leaves reported by a source of announcements.
// If present is false, the source is lost and its report is removed.
func (r *Registry) SetSilentReport(source string, silent []samphirepass.Leaf, present bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !present {
		delete(r.silentReports, source)
		r.serving = nil
		return
	}
	if previous := r.silentReports[source]; previous == nil || len(previous) != len(silent) || slices.ContainsFunc(silent, func(name samphirepass.Leaf) bool { return !previous[name] }) {
		r.serving = nil
	}
	names := make(map[samphirepass.Leaf]bool, len(silent))
	for _, name := range silent {
		names[name] = true
	}
	r.silentReports[source] = names
}

// Serving returns the serving leaves of a service, without those that all sources report as silent and those of
// evacuated data centres.
// The slice is shared and must not be changed. Every request calls Serving for each of its shards,
// so the result is cached until something changes.
func (r *Registry) Serving(service samphirepass.Service) []Registration {
	r.mu.RLock()
	serving := r.serving
	r.mu.RUnlock()
	if serving == nil {
		serving = r.indexServing()
	}
	return serving[service]
}

// indexServing groups the leaves for Serving by service.
func (r *Registry) indexServing() map[samphirepass.Service][]Registration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.serving != nil {
		return r.serving
	}
	r.serving = map[samphirepass.Service][]Registration{}
	for name, reg := range r.leaves {
		if reg.State == samphirepass.LeafServing && !r.Evacuated(reg.DataCentre) && !r.reportedSilentLocked(name) {
			r.serving[reg.Service] = append(r.serving[reg.Service], reg)
		}
	}
	return r.serving
}

// reportedSilentLocked reports whether all sources report a leaf as silent.
func (r *Registry) reportedSilentLocked(name samphirepass.Leaf) bool {
	for _, silent := range r.silentReports {
		if !silent[name] {
			return false
		}
	}
	return len(r.silentReports) > 0
}

// ServingVersion returns a number that changes with the announcements and with the number of leaves that sources report as silent.
func (r *Registry) ServingVersion() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	sum := r.version
	for _, silent := range r.silentReports {
		sum += uint64(len(silent)) << 32
	}
	return sum
}
