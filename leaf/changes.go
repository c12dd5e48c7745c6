package leaf

import (
	"slices"

	"samphirepass"
)

// SilentMs is the time without a heartbeat after which a leaf is reported silent; heartbeats may be seconds late.
const SilentMs samphirepass.Millis = 6000

// settledSilenceMs is the time for which a leaf has to be reported silent before it no longer counts among those that fell silent at once.
const settledSilenceMs samphirepass.Millis = 600_000

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

// SilentLeaves returns the serving leaves without a heartbeat for SilentMs, in the order of names. If most leaves fall silent at once, the fault
// is more likely in this process or its network, and they are left out; those that have been reported for settledSilenceMs do not count.
func (r *Registry) SilentLeaves() []samphirepass.Leaf {
	r.mu.RLock()
	defer r.mu.RUnlock()
	r.silentMu.Lock()
	defer r.silentMu.Unlock()
	now := r.clock.Now()
	heard := 0
	var recent, settled []samphirepass.Leaf
	for name, reg := range r.leaves {
		if reg.State != samphirepass.LeafServing {
			continue
		}
		since, reported := r.silentSince[name]
		switch {
		case now-reg.LastSeenMs <= SilentMs:
			heard++
		case reported && reg.LastSeenMs < since && now-since >= settledSilenceMs:
			settled = append(settled, name)
		default:
			recent = append(recent, name)
		}
	}
	if len(recent) > (heard+len(recent))/2 {
		recent = nil
	}
	if heard == 0 {
		return nil
	}
	silent := slices.Concat(settled, recent)
	slices.Sort(silent)
	r.noteSilentLocked(now, silent)
	return silent
}

// noteSilentLocked records since when each of the silent leaves has been reported, without a heartbeat meanwhile.
func (r *Registry) noteSilentLocked(now samphirepass.Millis, silent []samphirepass.Leaf) {
	since := make(map[samphirepass.Leaf]samphirepass.Millis, len(silent))
	for _, name := range silent {
		since[name] = now
		if earlier, ok := r.silentSince[name]; ok && r.leaves[name].LastSeenMs < earlier {
			since[name] = earlier
		}
	}
	r.silentSince = since
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
