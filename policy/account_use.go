package policy

import (
	"math"
	"sync"

	"samphirepass"
)

const (
	// useDecayMs is the time constant with which use is forgotten. With 5 s, an account that begins to send 8 times its usual went before a
	// steady large one for seconds, which was then served 0.85 as often; with 0.1 s, chance decides between accounts (0.88).
	useDecayMs samphirepass.Millis = 1000
	// maxTrackedAccounts bounds each of the two generations of accounts whose use is remembered.
	maxTrackedAccounts = 8192
	// useEpochs is the number of time constants after which use is scaled anew, so that weights stay within the range of numbers.
	useEpochs = 20
	// minServedShare is the least share of an account's requests that is served, as a fraction of the share of all requests: equal
	// shares alone could give an account with large usual demand far less. The requirement is 0.25, the rest a margin.
	minServedShare = 0.3
)

// AccountUse measures the recent use of each account, and how much it asked for; older use weighs exponentially less. Its memory is bounded:
// accounts that were not seen while many others were are forgotten. It is safe for concurrent use.
type AccountUse struct {
	mu sync.Mutex
	// decayMs is the time constant with which use is forgotten.
	decayMs samphirepass.Millis
	// Values are scaled so that they grow with the time since landmark in place of decaying: their order then changes only with use.
	landmark samphirepass.Millis
	epoch    int
	// recent holds the accounts seen last, older those seen before.
	recent, older map[samphirepass.AccountName]*accountEntry
	all           accountEntry
}

// accountEntry holds the scaled use and demand of an account as of an epoch.
type accountEntry struct {
	used, offered float64
	epoch         int
}

// NewAccountUse returns a measurement in which no account has used anything.
func NewAccountUse() *AccountUse { return newAccountUse(useDecayMs) }

func newAccountUse(decayMs samphirepass.Millis) *AccountUse {
	return &AccountUse{decayMs: decayMs, recent: map[samphirepass.AccountName]*accountEntry{}}
}

// Serve records a request of an account that is served without having waited.
func (u *AccountUse) Serve(now samphirepass.Millis, account samphirepass.AccountName) {
	u.mu.Lock()
	defer u.mu.Unlock()
	weight := u.weightLocked(now)
	e := u.entryLocked(account)
	u.offerLocked(e, weight)
	u.useLocked(e, weight)
}

// recentUse returns the recent use of an account, in requests.
func (u *AccountUse) recentUse(now samphirepass.Millis, account samphirepass.AccountName) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	weight := u.weightLocked(now)
	return u.entryLocked(account).used / weight
}

// Tracked returns the number of accounts whose use is remembered.
func (u *AccountUse) Tracked() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.recent) + len(u.older)
}

// weightLocked returns what one request weighs now.
func (u *AccountUse) weightLocked(now samphirepass.Millis) float64 {
	if u.landmark == 0 {
		u.landmark = now
	}
	if n := math.Floor(float64((now - u.landmark) / (useEpochs * u.decayMs))); n > 0 {
		u.landmark += samphirepass.Millis(n) * useEpochs * u.decayMs
		u.epoch += int(n)
		u.scaleLocked(&u.all)
	}
	return math.Exp(float64((now - u.landmark) / u.decayMs))
}

func (u *AccountUse) entryLocked(account samphirepass.AccountName) *accountEntry {
	e := u.recent[account]
	if e == nil {
		if len(u.recent) >= maxTrackedAccounts {
			u.recent, u.older = map[samphirepass.AccountName]*accountEntry{}, u.recent
		}
		if e = u.older[account]; e == nil {
			e = &accountEntry{epoch: u.epoch}
		}
		delete(u.older, account)
		u.recent[account] = e
	}
	u.scaleLocked(e)
	return e
}

// scaleLocked brings an entry to the current epoch.
func (u *AccountUse) scaleLocked(e *accountEntry) {
	if e.epoch == u.epoch {
		return
	}
	f := math.Exp(-useEpochs * float64(u.epoch-e.epoch))
	e.used, e.offered, e.epoch = e.used*f, e.offered*f, u.epoch
}

func (u *AccountUse) offerLocked(e *accountEntry, weight float64) {
	e.offered += weight
	u.all.offered += weight
}

func (u *AccountUse) useLocked(e *accountEntry, weight float64) {
	e.used += weight
	u.all.used += weight
}

// neglectedLocked reports whether an account is served so much less often than all that it goes before accounts with less use.
func (u *AccountUse) neglectedLocked(e *accountEntry) bool {
	return e.used*u.all.offered < minServedShare*u.all.used*e.offered
}
