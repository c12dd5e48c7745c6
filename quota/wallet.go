package quota

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"samphirepass"
)

const (
	// tokenTTLMs is the longest time that a gateway keeps a token.
	tokenTTLMs samphirepass.Millis = 1000
	// demandMs is the time constant over which the rate of requests is averaged.
	demandMs samphirepass.Millis = 1000
	// prefetchMs is the time for which a gateway asks for tokens at once, if its requests come that often.
	prefetchMs samphirepass.Millis = 200
	// maxWant bounds the tokens of one ask.
	maxWant = 64
	// pocketTTLMs is how long a limit without requests is remembered, crowdedTTLMs that time while more than maxPockets are.
	pocketTTLMs  samphirepass.Millis = 300_000
	crowdedTTLMs samphirepass.Millis = 5_000
	maxPockets                       = 10_000
	// walletSweepMs is the interval between searches for such limits.
	walletSweepMs samphirepass.Millis = 5_000
	// failureMs is how long an issuer that failed or was slow is asked last.
	failureMs samphirepass.Millis = 1000
	// allFailedMs is how long nobody is asked after all issuers have failed.
	allFailedMs samphirepass.Millis = 200
	// noIssuerRetryMs is the retry delay that refused clients receive while no issuer answers.
	noIssuerRetryMs samphirepass.Millis = 300
	// maxRetryMs bounds the time that refused clients are told to wait: it is not known who else comes.
	maxRetryMs samphirepass.Millis = 2000
)

// IssuerAddress is an issuer as a gateway knows it.
type IssuerAddress struct {
	Address    string
	DataCentre samphirepass.DataCentre
}

// Wallet is a gateway's state: the tokens that it holds and what it knows of the issuers. It is not safe for concurrent use. Its times are
// those of one samphirepass.BootClock.
type Wallet struct {
	vm         samphirepass.VM
	dataCentre samphirepass.DataCentre
	pockets    map[samphirepass.LimitKey]*pocket
	// failedAt is when each issuer last failed.
	failedAt map[string]samphirepass.Millis
	sweptAt  samphirepass.Millis
}

// pocket is what a gateway knows of one limit.
type pocket struct {
	tokens    int
	expiresAt samphirepass.Millis
	// ttlMs is how long tokens may be kept.
	ttlMs          samphirepass.Millis
	unlimitedUntil samphirepass.Millis
	// asked is the number of tokens that were asked for and are not answered yet.
	asked int
	// demand is the rate of requests per second as of usedAt.
	demand float64
	usedAt samphirepass.Millis
	// retryAt is when it is worthwhile to ask each issuer again.
	retryAt map[string]samphirepass.Millis
	// owner is an issuer that is known to issue tokens for the limit, if not all do.
	owner string
}

// NewWallet returns a wallet without tokens.
func NewWallet(vm samphirepass.VM, dataCentre samphirepass.DataCentre) *Wallet {
	return &Wallet{vm: vm, dataCentre: dataCentre, pockets: map[samphirepass.LimitKey]*pocket{}, failedAt: map[string]samphirepass.Millis{}}
}

// Count counts one request, whether it is granted or not.
func (w *Wallet) Count(now samphirepass.Millis, key samphirepass.LimitKey) {
	w.sweep(now)
	p := w.pocket(key)
	p.demand = p.demand*math.Exp(-float64(max(now-p.usedAt, 0)/demandMs)) + 1000/float64(demandMs)
	p.usedAt = now
}

// Take uses a token, and reports whether there was one.
func (w *Wallet) Take(now samphirepass.Millis, key samphirepass.LimitKey) bool {
	p := w.pocket(key)
	if now < p.unlimitedUntil {
		return true
	}
	if p.tokens == 0 || now >= p.expiresAt {
		p.tokens = 0
		return false
	}
	p.tokens--
	return true
}

// Return gives back the token of a request that has not run, unless it has expired at expiresAt.
func (w *Wallet) Return(now samphirepass.Millis, key samphirepass.LimitKey, expiresAt samphirepass.Millis) {
	p := w.pocket(key)
	switch {
	case now >= expiresAt:
	case p.tokens == 0 || now >= p.expiresAt:
		p.tokens, p.expiresAt = 1, expiresAt
	default:
		p.tokens, p.expiresAt = p.tokens+1, min(p.expiresAt, expiresAt)
	}
}

// ExpiresAt returns the time until which the token that was taken last may be returned, 0 if it may not.
func (w *Wallet) ExpiresAt(now samphirepass.Millis, key samphirepass.LimitKey) samphirepass.Millis {
	p := w.pocket(key)
	if now < p.unlimitedUntil {
		return 0
	}
	return p.expiresAt
}

// Ask returns the number of tokens to ask for now, less those that were asked for and are not answered.
func (w *Wallet) Ask(key samphirepass.LimitKey) int {
	p := w.pocket(key)
	want := min(max(int(p.demand*float64(prefetchMs)/1000)-p.asked, 1), maxWant)
	p.asked += want
	return want
}

// Answered records that an ask for some tokens has been answered or has failed.
func (w *Wallet) Answered(key samphirepass.LimitKey, want int) {
	p := w.pocket(key)
	p.asked = max(p.asked-want, 0)
}

// Candidates returns the issuers to ask, the best first. It leaves out those that have nothing for the limit now; if all are left out, wait is
// the time until one may have.
func (w *Wallet) Candidates(now samphirepass.Millis, key samphirepass.LimitKey, issuers []IssuerAddress) (candidates []IssuerAddress, wait samphirepass.Millis) {
	p := w.pocket(key)
	wait = maxRetryMs
	reachable := false
	for _, issuer := range issuers {
		if retryAt := p.retryAt[issuer.Address]; retryAt > now {
			wait = min(wait, retryAt-now)
			continue
		}
		candidates = append(candidates, issuer)
		if at, failed := w.failedAt[issuer.Address]; !failed || now-at >= allFailedMs {
			reachable = true
		}
	}
	if !reachable {
		return nil, min(wait, noIssuerRetryMs)
	}
	rank := func(issuer IssuerAddress) uint64 {
		rank := xxhash.Sum64String(string(w.vm)+"\x00"+string(key)+"\x00"+issuer.Address) >> 3
		if issuer.DataCentre != w.dataCentre {
			rank |= 1 << 61
		}
		if issuer.Address == p.owner {
			rank = 0
		}
		if at, failed := w.failedAt[issuer.Address]; failed && now-at < failureMs {
			rank |= 1 << 62
		}
		return rank
	}
	slices.SortFunc(candidates, func(a, b IssuerAddress) int { return cmp.Compare(rank(a), rank(b)) })
	return candidates, wait
}

// Apply applies an issuer's answer to an ask that was sent at sentAt.
func (w *Wallet) Apply(now, sentAt samphirepass.Millis, key samphirepass.LimitKey, from string, issue Issue) {
	p := w.pocket(key)
	if issue.Unlimited {
		p.unlimitedUntil = now + tokenTTLMs
		return
	}
	if issue.Owner != "" {
		p.owner = issue.Owner
	}
	if issue.Granted == 0 {
		if p.retryAt == nil {
			p.retryAt = map[string]samphirepass.Millis{}
		}
		p.retryAt[from] = now + min(issue.RetryMs, maxRetryMs)
		return
	}
	if now >= p.expiresAt {
		p.tokens = 0
	}
	// Tokens of several answers expire with the earliest of them.
	expires := sentAt + issue.TTLMs
	if p.tokens > 0 {
		expires = min(expires, p.expiresAt)
	}
	if now < expires {
		p.tokens += issue.Granted
		p.expiresAt = expires
	}
}

// Fail records that an issuer did not answer in time, or does not issue now.
func (w *Wallet) Fail(now samphirepass.Millis, from string) { w.failedAt[from] = now }

func (w *Wallet) pocket(key samphirepass.LimitKey) *pocket {
	p := w.pockets[key]
	if p == nil {
		p = &pocket{}
		w.pockets[key] = p
	}
	return p
}

// sweep forgets limits that had no requests for long.
func (w *Wallet) sweep(now samphirepass.Millis) {
	if now-w.sweptAt < walletSweepMs {
		return
	}
	w.sweptAt = now
	ttl := pocketTTLMs
	if len(w.pockets) > maxPockets {
		ttl = crowdedTTLMs
	}
	for key, p := range w.pockets {
		if now-p.usedAt > ttl {
			delete(w.pockets, key)
		}
	}
}
