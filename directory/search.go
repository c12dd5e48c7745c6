package directory

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirepass"
)

const (
	// firstWave is the number of sources that are asked at first, if several are; each further wave is twice as large.
	firstWave = 3
	// waveIntervalMs is the time after which the next sources are asked if none has proved a contact with a leader.
	waveIntervalMs samphirepass.Millis = 200
	// probeTimeoutMs bounds the wait for a source that need not hold the poll: a dial and some round trips.
	probeTimeoutMs samphirepass.Millis = 500
	// probeIntervalMs is the time before a source that failed or was stale when asked is asked again in a search.
	probeIntervalMs samphirepass.Millis = 1000
	// vainSearchLogMs is the minimum time between log lines on searches in a row that found nothing.
	vainSearchLogMs samphirepass.Millis = 5000
	// refreshRetryMs is the pause before Refresh asks for the second time: connections may have been closed from the other end during a
	// freeze.
	refreshRetryMs samphirepass.Millis = 10
)

// Penalties in the high bits of a source's rank, above its shifted hash; the lowest rank is preferred and a later penalty outweighs
// the earlier ones.
const (
	rankShift         = 8
	rankRemote uint64 = 1 << 60
	rankStale  uint64 = 1 << 61
	rankFailed uint64 = 1 << 62
)

// probe asks a source for its contact with a leader and for the routing document and the evacuations, which are put in force if they are newer.
func (f *Follower) probe(ctx context.Context, address string) (polledReply, error) {
	reply, err := f.poll(ctx, address, pollOptions{controlStateOnly: true})
	if err == nil {
		f.applyControlState(reply)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sources[address]
	if s == nil {
		return reply, err
	}
	now := f.opts.Clock.Now()
	s.probedAt, s.probed = now, true
	switch {
	case err == nil:
		f.noteReplyLocked(s, reply, now)
	case ctx.Err() == nil:
		s.failedAt = now
	}
	return reply, err
}

// ask probes sources in waves until one proves a contact with a leader, and returns its address, or "" if none does. The time that it takes
// grows with the logarithm of the number of sources, however many of them are silent.
func (f *Follower) ask(ctx context.Context, addresses []string) string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		address string
		proved  bool
	}
	answers := make(chan answer, len(addresses))
	asked, answered := 0, 0
	for wave := firstWave; answered < len(addresses); wave *= 2 {
		for _, address := range addresses[asked:min(asked+wave, len(addresses))] {
			go func() {
				reply, err := f.probe(ctx, address)
				answers <- answer{address, err == nil && !reply.stale}
			}()
			asked++
		}
		next := time.NewTimer(waveIntervalMs.Duration())
		for due := false; answered < asked && !due; {
			select {
			case a := <-answers:
				answered++
				if a.proved {
					next.Stop()
					return a.address
				}
			case <-next.C:
				due = asked < len(addresses)
			case <-ctx.Done():
				next.Stop()
				return ""
			}
		}
		next.Stop()
	}
	return ""
}

// search looks for a source in contact with a leader, in place of a followed one that was lost or is stale, and marks it as followed. It returns ""
// if there is none, or if the source is only stale and another followed one is in contact: leaves may announce themselves to the stale one only.
// One search runs at a time, so that the next one finds what it has learned.
func (f *Follower) search(ctx context.Context, address string, lost bool) string {
	f.searchMu.Lock()
	defer f.searchMu.Unlock()
	if !lost && f.followsFresh(address) {
		return ""
	}
	began := f.opts.Clock.Now()
	candidates := f.searchCandidates()
	found := f.ask(ctx, candidates)
	if ctx.Err() != nil {
		return ""
	}
	f.mu.Lock()
	s := f.sources[found]
	if s == nil || s.followed {
		found = ""
	} else {
		s.followed = true
	}
	now := f.opts.Clock.Now()
	logs := len(candidates) > 0 && (found != "" || !f.searchLogged || now-f.searchLoggedAt >= vainSearchLogMs)
	if logs {
		f.searchLoggedAt, f.searchLogged = now, found == ""
	}
	f.mu.Unlock()
	if logs {
		f.opts.Logf("Searched for a source in place of %s (lost: %t): %d known to ask, found %q after %.0f ms.", address, lost, len(candidates), found, now-began)
	}
	return found
}

// followsFresh reports whether a followed source other than that at address has lately proved a contact with a leader.
func (f *Follower) followsFresh(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Clock.Now()
	for other, s := range f.sources {
		if other != address && s.followed && s.replied && !s.stale && now-s.repliedAt < pollWaitMs+pollMarginMs {
			return true
		}
	}
	return false
}

// searchCandidates returns the sources that are not followed, the best first. It leaves out those that were just asked in vain.
func (f *Follower) searchCandidates() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Clock.Now()
	var candidates []string
	for address, s := range f.sources {
		inVain := s.isStale(now) || now-s.failedAt < sourceCooldownMs
		if s.followed || address == f.opts.ControlAddress || (inVain && s.probed && now-s.probedAt < probeIntervalMs) {
			continue
		}
		candidates = append(candidates, address)
	}
	slices.SortFunc(candidates, func(a, b string) int { return cmp.Compare(f.rankLocked(a, now), f.rankLocked(b, now)) })
	return candidates
}

// rankLocked returns the rank of a source among those to follow; the lowest one is preferred.
func (f *Follower) rankLocked(address string, now samphirepass.Millis) uint64 {
	s := f.sources[address]
	// The hash includes the VM, so that followers prefer different sources.
	rank := xxhash.Sum64String(string(f.opts.VM)+address) >> rankShift
	if s.dataCentre != f.opts.DataCentre {
		rank |= rankRemote
	}
	if s.isStale(now) {
		rank |= rankStale
	}
	if now-s.failedAt < sourceCooldownMs {
		rank |= rankFailed
	}
	return rank
}

// Refresh asks sources, the followed ones first, for the routing document and the evacuations, until one in contact with a leader has replied
// and what is newer is in force, or ctx ends.
func (f *Follower) Refresh(ctx context.Context) {
	began := f.opts.Clock.Now()
	rounds, found, pause := 0, "", refreshRetryMs
	for ctx.Err() == nil && found == "" {
		if rounds > 0 {
			select {
			case <-time.After(pause.Duration()):
			case <-ctx.Done():
			}
			pause = retryPauseMs
		}
		rounds++
		found = f.ask(ctx, f.refreshAddresses())
	}
	f.opts.Logf("Resumed after a freeze; a source with a leader has answered: %t, after %.0f ms and %d rounds.", found != "", f.opts.Clock.Now()-began, rounds)
}

// refreshAddresses returns all sources, the followed ones first.
func (f *Follower) refreshAddresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Clock.Now()
	addresses := make([]string, 0, len(f.sources))
	for address := range f.sources {
		addresses = append(addresses, address)
	}
	order := func(address string) uint64 {
		if f.sources[address].followed {
			return 0
		}
		return f.rankLocked(address, now)
	}
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(order(a), order(b)) })
	return addresses
}
