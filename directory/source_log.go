package directory

import (
	"fmt"
	"slices"
	"strings"

	"samphirepass"
)

// sourceLogIntervalMs is the minimum time between two descriptions of the sources in the log.
const sourceLogIntervalMs samphirepass.Millis = 500

// logSources logs what this follower believes of each source and since when, because of an event.
func (f *Follower) logSources(event string) {
	f.mu.Lock()
	now := f.opts.Clock.Now()
	if f.sourcesLogged && now-f.sourcesLoggedAt < sourceLogIntervalMs {
		f.mu.Unlock()
		return
	}
	f.sourcesLogged, f.sourcesLoggedAt = true, now
	contact := "none"
	if f.leaderContacted {
		contact = fmt.Sprintf("%.0f ms ago", now-f.leaderContactAt)
	}
	sources := make([]string, 0, len(f.sources))
	for address, s := range f.sources {
		sources = append(sources, address+" "+s.describe(now))
	}
	f.mu.Unlock()
	slices.Sort(sources)
	f.opts.Logf("Sources after %s: own contact with a leader %s; %s.", event, contact, strings.Join(sources, "; "))
}

// describe returns the beliefs about a source with their ages.
func (s *sourceState) describe(now samphirepass.Millis) string {
	words := []string{string(s.dataCentre)}
	if s.followed {
		words = append(words, "followed")
	}
	if s.replied {
		words = append(words, fmt.Sprintf("replied %.0f ms ago", now-s.repliedAt), fmt.Sprintf("contact with a leader %.0f ms ago", now-s.contactAt))
	}
	if s.isStale(now) {
		words = append(words, "stale")
	}
	if now-s.failedAt < sourceCooldownMs {
		words = append(words, fmt.Sprintf("failed or left %.0f ms ago", now-s.failedAt))
	}
	if s.localTryFailed {
		words = append(words, fmt.Sprintf("try in place of another failed %.0f ms ago", now-s.localTryFailedAt))
	}
	return strings.Join(words, ", ")
}
