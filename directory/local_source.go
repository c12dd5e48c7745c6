package directory

import "context"

// pickLocal returns a source in the own data centre to replace the followed source at address, or "" if that is in the own data
// centre already or there is none. Followers start with seeds whose data centre is not known yet. Only one source is tried at a
// time, so that another one is still followed meanwhile.
func (f *Follower) pickLocal(address string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.o.ControlAddress != "" || f.tryingLocal || f.sources[address].dataCentre == f.o.DataCentre {
		return ""
	}
	now := f.o.Clock.Now()
	for other, s := range f.sources {
		if s.dataCentre == f.o.DataCentre && !s.followed && !s.stale && (!s.localTryFailed || now-s.localTryFailedAt >= localRetryMs) {
			s.followed, f.tryingLocal = true, true
			return other
		}
	}
	return ""
}

// tryLocal polls a source that pickLocal returned and reports whether it is to be followed; otherwise it releases the source.
func (f *Follower) tryLocal(ctx context.Context, address string) bool {
	reply, err := f.poll(ctx, address)
	stale := err == nil && f.applyReply(address, reply)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tryingLocal = false
	if err == nil && !stale {
		return true
	}
	s := f.sources[address]
	s.followed, s.localTryFailed, s.localTryFailedAt = false, true, f.o.Clock.Now()
	f.o.Logf("Source %s in the own data centre is stale or failed (error: %v).", address, err)
	return false
}
