package directory

import "context"

// pickLocal returns a source in the follower's own data centre to try in place of the followed source at address, and marks it as
// followed. It returns "" if the followed source is in that data centre too or there is no such source. Followers start with seeds,
// whose data centres they only learn from the replies. Only one local source is tried at a time, so that another source is still
// followed meanwhile.
func (f *Follower) pickLocal(address string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.opts.ControlAddress != "" || f.tryingLocal || f.sources[address].dataCentre == f.opts.DataCentre {
		return ""
	}
	now := f.opts.Clock.Now()
	for candidate, s := range f.sources {
		if s.dataCentre == f.opts.DataCentre && !s.followed && !s.isStale(now) && (!s.localTryFailed || now-s.localTryFailedAt >= localRetryMs) {
			s.followed, f.tryingLocal = true, true
			return candidate
		}
	}
	return ""
}

// tryLocal asks a source that pickLocal returned and reports whether the follower should switch to it; otherwise it releases the source.
func (f *Follower) tryLocal(ctx context.Context, address string) bool {
	reply, err := f.probe(ctx, address)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tryingLocal = false
	if err == nil && !reply.stale {
		return true
	}
	s := f.sources[address]
	s.followed, s.localTryFailed, s.localTryFailedAt = false, true, f.opts.Clock.Now()
	f.opts.Logf("Source %s, which is in this data centre, is stale or failed (error: %v).", address, err)
	return false
}
