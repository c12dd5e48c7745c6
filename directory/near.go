package directory

import "context"

// nearer takes a contact in the own data centre that may take the place of a source in another one, or none: the first sources
// are seeds, of which it is not known where they are. Only one is tried at a time, so that another source is followed meanwhile.
func (f *Follower) nearer(address string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.o.ControlAddress != "" || f.tryingNear || f.contacts[address].centre == f.o.DataCentre {
		return ""
	}
	now := f.o.Clock.Now()
	for other, c := range f.contacts {
		if c.centre == f.o.DataCentre && !c.followed && !c.stale && (!c.missed || now-c.missedAt >= nearRetryMs) {
			c.followed, f.tryingNear = true, true
			return other
		}
	}
	return ""
}

// tryNear asks a contact that nearer took, and gives it back if it does not answer.
func (f *Follower) tryNear(ctx context.Context, address string) bool {
	reply, err := f.ask(ctx, address)
	stale := err == nil && f.take(address, reply)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tryingNear = false
	if err == nil && !stale {
		return true
	}
	c := f.contacts[address]
	c.followed, c.missed, c.missedAt = false, true, f.o.Clock.Now()
	f.o.Logf("Source %s in the own data centre is not followed (error: %v).", address, err)
	return false
}
