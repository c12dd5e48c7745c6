package ledger

import (
	"container/heap"

	"samphirepass"
)

// maxKeyLeadMs is how far a key's time may lie ahead of the log's.
const maxKeyLeadMs samphirepass.Millis = 60_000

type expiryItem struct {
	key samphirepass.RunKey
	at  samphirepass.Millis
}

// expiryHeap orders run records by the time at which they are removed.
type expiryHeap []expiryItem

func newExpiryHeap(runs map[samphirepass.RunKey]samphirepass.RunRecord) expiryHeap {
	h := make(expiryHeap, 0, len(runs))
	for key, r := range runs {
		h = append(h, expiryItem{key: key, at: r.ExpiresMs})
	}
	heap.Init(&h)
	return h
}

// Len returns the number of records.
func (h expiryHeap) Len() int { return len(h) }

// Less orders by time and then by key.
func (h expiryHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
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
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func (s *State) purgeRuns() {
	for len(s.expiry) > 0 && s.expiry[0].at < s.c.NowMs {
		item := heap.Pop(&s.expiry).(expiryItem)
		r := s.c.Runs[item.key]
		delete(s.c.Runs, item.key)
		keyMs := r.KeyMs
		s.c.PurgedMs[r.Service] = max(s.c.PurgedMs[r.Service], keyMs)
	}
}

func (s *State) applyClaim(c Claim) ClaimResult {
	if !s.c.Formed {
		return ClaimResult{Code: samphirepass.CodeForming}
	}
	r, ok := s.c.Runs[c.Key]
	if ok {
		return s.reclaim(r, c)
	}
	tooOld := c.KeyMs < s.c.NowMs-c.RetentionMs || c.KeyMs <= s.c.PurgedMs[c.Service]
	if tooOld {
		return ClaimResult{Code: samphirepass.CodeKeyExpired}
	}
	if c.KeyMs > s.c.NowMs+maxKeyLeadMs {
		return ClaimResult{Code: samphirepass.CodeInvalid}
	}
	return ClaimResult{Granted: true, Record: s.grant(c)}
}

// reclaim decides a claim of a key that has a record.
func (s *State) reclaim(r samphirepass.RunRecord, c Claim) ClaimResult {
	if r.Digest != c.Digest || r.Service != c.Service {
		return ClaimResult{Code: samphirepass.CodeKeyMismatch}
	}
	if r.Token == c.Token && r.State == samphirepass.RunRunning {
		return ClaimResult{Granted: true, Record: r}
	}
	if r.State == samphirepass.RunNotRun {
		return ClaimResult{Granted: true, Record: s.grant(c)}
	}
	return ClaimResult{Record: settled(r, s.c.NowMs)}
}

func (s *State) grant(c Claim) samphirepass.RunRecord {
	_, had := s.c.Runs[c.Key]
	r := samphirepass.RunRecord{
		Service: c.Service, Caller: c.Caller, Key: c.Key, KeyMs: c.KeyMs, Digest: c.Digest, State: samphirepass.RunRunning,
		Token: c.Token, UntilMs: s.c.NowMs + c.DeadlineMs, ExpiresMs: c.KeyMs + c.RetentionMs,
	}
	if had {
		// The expiry heap holds the key under its first time.
		r.ExpiresMs = s.c.Runs[c.Key].ExpiresMs
	}
	s.c.Runs[c.Key] = r
	if !had {
		heap.Push(&s.expiry, expiryItem{key: c.Key, at: r.ExpiresMs})
	}
	return r
}

func (s *State) applyOutcome(o Outcome) samphirepass.Code {
	r, ok := s.c.Runs[o.Key]
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
	s.c.Runs[o.Key] = r
	return ""
}

// settled turns a record that ran past its time into one of unknown outcome.
func settled(r samphirepass.RunRecord, now samphirepass.Millis) samphirepass.RunRecord {
	if r.State == samphirepass.RunRunning && now > r.UntilMs {
		r.State = samphirepass.RunUnknown
	}
	return r
}

// RunRecord returns the record of key at the wall time now, and whether there is one.
func (s *State) RunRecord(key samphirepass.RunKey, now samphirepass.Millis) (samphirepass.RunRecord, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	r, ok := s.c.Runs[key]
	return settled(r, max(now, s.c.NowMs)), ok
}
