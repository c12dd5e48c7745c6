package ledger

import (
	"container/heap"

	"samphirepass"
)

// maxKeyAheadMs is how far the time of a key may be ahead of the state's time.
const maxKeyAheadMs samphirepass.Millis = 60_000

type expiryItem struct {
	key       samphirepass.RunKey
	expiresMs samphirepass.Millis
}

// expiryHeap is a min-heap of run records by expiry time.
type expiryHeap []expiryItem

func newExpiryHeap(runs map[samphirepass.RunKey]samphirepass.RunRecord) expiryHeap {
	h := make(expiryHeap, 0, len(runs))
	for key, r := range runs {
		h = append(h, expiryItem{key: key, expiresMs: r.ExpiresMs})
	}
	heap.Init(&h)
	return h
}

// Len returns the number of records.
func (h expiryHeap) Len() int { return len(h) }

// Less orders by expiry time and then by key.
func (h expiryHeap) Less(i, j int) bool {
	if h[i].expiresMs != h[j].expiresMs {
		return h[i].expiresMs < h[j].expiresMs
	}
	return h[i].key < h[j].key
}

// Swap exchanges two records.
func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a record.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiryItem)) }

// Pop removes the last record.
func (h *expiryHeap) Pop() any {
	old := *h
	item := old[len(old)-1]
	*h = old[:len(old)-1]
	return item
}

// purgeRuns removes expired records. It remembers the newest key time removed for each service, so that a key cannot
// be claimed again after its record is gone, even if the retention of the service grows.
func (s *State) purgeRuns() {
	for len(s.expiry) > 0 && s.expiry[0].expiresMs < s.data.NowMs {
		item := heap.Pop(&s.expiry).(expiryItem)
		r := s.data.Runs[item.key]
		delete(s.data.Runs, item.key)
		keyMs := r.KeyMs
		s.data.NewestPurgedKeyMs[r.Service] = max(s.data.NewestPurgedKeyMs[r.Service], keyMs)
	}
}

func (s *State) applyClaim(c Claim) ClaimResult {
	if !s.data.Formed {
		return ClaimResult{Code: samphirepass.CodeForming}
	}
	r, ok := s.data.Runs[c.Key]
	if ok {
		return s.claimExisting(r, c)
	}
	tooOld := c.KeyMs < s.data.NowMs-c.RetentionMs || c.KeyMs <= s.data.NewestPurgedKeyMs[c.Service]
	if tooOld {
		return ClaimResult{Code: samphirepass.CodeKeyExpired}
	}
	if c.KeyMs > s.data.NowMs+maxKeyAheadMs {
		return ClaimResult{Code: samphirepass.CodeInvalid}
	}
	return ClaimResult{Granted: true, Record: s.grant(c)}
}

// claimExisting decides a claim of a key that already has a record.
func (s *State) claimExisting(r samphirepass.RunRecord, c Claim) ClaimResult {
	if r.Digest != c.Digest || r.Service != c.Service {
		return ClaimResult{Code: samphirepass.CodeKeyMismatch}
	}
	if r.Token == c.Token && r.State == samphirepass.RunRunning {
		return ClaimResult{Granted: true, Record: r}
	}
	if r.State == samphirepass.RunNotRun {
		return ClaimResult{Granted: true, Record: s.grant(c)}
	}
	return ClaimResult{Record: overdueAsUnknown(r, s.data.NowMs)}
}

func (s *State) grant(c Claim) samphirepass.RunRecord {
	_, exists := s.data.Runs[c.Key]
	r := samphirepass.RunRecord{
		Service: c.Service, Caller: c.Caller, Key: c.Key, KeyMs: c.KeyMs, Digest: c.Digest, State: samphirepass.RunRunning,
		Token: c.Token, UntilMs: s.data.NowMs + c.DeadlineMs, ExpiresMs: c.KeyMs + c.RetentionMs,
	}
	if exists {
		// Keep the first expiry time, under which the expiry heap holds the key.
		r.ExpiresMs = s.data.Runs[c.Key].ExpiresMs
	}
	s.data.Runs[c.Key] = r
	if !exists {
		heap.Push(&s.expiry, expiryItem{key: c.Key, expiresMs: r.ExpiresMs})
	}
	return r
}

func (s *State) applyOutcome(o Outcome) samphirepass.Code {
	r, ok := s.data.Runs[o.Key]
	if !ok {
		return samphirepass.CodeNotFound
	}
	if r.Token != o.Token {
		return samphirepass.CodeConflict
	}
	if r.State == o.State {
		return ""
	}
	if r.State != samphirepass.RunRunning && r.State != samphirepass.RunUnknown {
		return samphirepass.CodeConflict
	}
	r.State = o.State
	r.Outcome = o.Outcome
	s.data.Runs[o.Key] = r
	return ""
}

// overdueAsUnknown returns r with its state changed to unknown if it is still running after UntilMs.
func overdueAsUnknown(r samphirepass.RunRecord, now samphirepass.Millis) samphirepass.RunRecord {
	if r.State == samphirepass.RunRunning && now > r.UntilMs {
		r.State = samphirepass.RunUnknown
	}
	return r
}

// RunRecord returns the record of key at the wall time now, and whether there is one.
func (s *State) RunRecord(key samphirepass.RunKey, now samphirepass.Millis) (samphirepass.RunRecord, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	r, ok := s.data.Runs[key]
	return overdueAsUnknown(r, max(now, s.data.NowMs)), ok
}
