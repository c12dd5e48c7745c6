package leaf

import "samphirepass"

// reserve takes a request to a leaf from this entry's share of its limit, and reports whether the leaf takes it now.
func (p *Pool) reserve(reg Registration) bool {
	now := p.clock.Now()
	limit := reg.LimitPerSecond(now)
	t := p.target(reg.Announcement)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pauseLocked(now, reg.Incarnation) > 0 || p.endedWaitLocked(t, reg.Incarnation) > 0 {
		return false
	}
	return limit == 0 || t.limiter.Take(now, limit, p.shares.Senders(reg.Announcement))
}

// waitMs returns the time until a leaf takes another request of this entry, 0 if it does now.
func (p *Pool) waitMs(reg Registration) samphirepass.Millis {
	now := p.clock.Now()
	limit := reg.LimitPerSecond(now)
	key, cold := p.coldLimit(reg.Announcement)
	t := p.target(reg.Announcement)
	t.mu.Lock()
	defer t.mu.Unlock()
	wait := max(t.pauseLocked(now, reg.Incarnation), p.endedWaitLocked(t, reg.Incarnation))
	if cold {
		wait = max(wait, t.cold.waitLocked(now, key))
	}
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

// pauseMs is pauseLocked for a caller without the lock.
func (t *target) pauseMs(now samphirepass.Millis, incarnation samphirepass.Incarnation) samphirepass.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pauseLocked(now, incarnation)
}

// isPaused reports whether an incarnation of the leaf wants no requests.
func (t *target) isPaused(now samphirepass.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pausedUntil > now
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

// reserveLeaf chooses one of the leaves for an attempt and takes the attempt from its limits. ok is false if none takes one now.
// key is the limit of a cold leaf from which it was taken, empty for a warm one.
func (f *fanOut) reserveLeaf(leaves []Registration) (reg Registration, key samphirepass.LimitKey, ok bool) {
	warm, cold := f.pool.splitCold(leaves)
	spilled := len(cold) > 0 && f.allBusy(warm)
	if spilled {
		if reg, key, ok = f.reserveCold(cold); ok {
			return reg, key, true
		}
	}
	if reg, ok = f.reserveAny(warm); ok || spilled {
		return reg, "", ok
	}
	return f.reserveCold(cold)
}

// reserveAny is reserveLeaf for leaves without limits of cold leaves.
func (f *fanOut) reserveAny(leaves []Registration) (reg Registration, ok bool) {
	for len(leaves) > 0 {
		i := f.choose(leaves, f.expected)
		if f.pool.reserve(leaves[i]) {
			return leaves[i], true
		}
		leaves = without(leaves, i)
	}
	return Registration{}, false
}

// without returns a copy of leaves without the one at index i.
func without(leaves []Registration, i int) []Registration {
	rest := make([]Registration, 0, len(leaves)-1)
	return append(append(rest, leaves[:i]...), leaves[i+1:]...)
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
