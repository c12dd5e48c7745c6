package quota

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"samphirepass"
)

const (
	// capacityPart is the part of the overage and slack of a window that buckets may store. The rest covers issuers that count each other
	// differently for a while, restarts, and tokens that gateways hold.
	capacityPart = 0.5
	// restartMs is the least time that a process is down before it starts again. A restarted issuer has forgotten its buckets, and gives what
	// has accrued meanwhile, and restartPart of the overage and slack: requests of small accounts would otherwise be refused for seconds.
	restartMs   samphirepass.Millis = 250
	restartPart                     = 0.15
	// minCapacity is the least capacity of a bucket, if several issuers share a limit. With buckets of 2 tokens, 0.35 % of the requests of an
	// account of one request a second were refused, as what accrues to full buckets is lost.
	minCapacity = 4.0
	// otherIssuerRetryMs is the time for which a gateway need not ask an issuer again that issues nothing for a key.
	otherIssuerRetryMs samphirepass.Millis = 2000
	// ttlDivisor divides a window into the time for which tokens may be kept: a window may hold what was issued that long before it.
	ttlDivisor = 5
	// sweepIntervalMs is the interval between searches for buckets that are full.
	sweepIntervalMs samphirepass.Millis = 5000
)

// Part says which part of all limits an issuer issues: the same as each of Issuers, itself among them.
type Part struct {
	Self    string
	Issuers []string
}

// Issue is the answer of an issuer for one key.
type Issue struct {
	Granted int
	// RetryMs is the time after which asking this issuer again is worthwhile, if it granted nothing.
	RetryMs samphirepass.Millis
	// Owner is the address of an issuer that issues tokens for the key, if this one does not.
	Owner string
	// Unlimited is set if requests need no tokens for now.
	Unlimited bool
	// TTLMs is how long granted tokens may be kept.
	TTLMs samphirepass.Millis
}

// Issuer issues tokens from its part of each limit. It is not safe for concurrent use. Its times are those of one samphirepass.BootClock.
type Issuer struct {
	startedAt samphirepass.Millis
	// startMs is the time before startedAt for which new buckets have accrued tokens, startPart the part of the overage and slack that they
	// hold in addition.
	startMs   samphirepass.Millis
	startPart float64
	buckets   map[samphirepass.LimitKey]*bucket
	sweptAt   samphirepass.Millis
}

// bucket holds the tokens of one limit as of the time at.
type bucket struct {
	tokens, rate, capacity float64
	at                     samphirepass.Millis
}

// NewIssuer returns the issuer of a process that has just started.
func NewIssuer(now samphirepass.Millis) *Issuer {
	return &Issuer{startedAt: now, startMs: restartMs, startPart: restartPart, buckets: map[samphirepass.LimitKey]*bucket{}, sweptAt: now}
}

// Reset empties all buckets, for an issuer that has just joined: the others have issued its part until now.
func (i *Issuer) Reset(now samphirepass.Millis) {
	i.startedAt, i.startMs, i.startPart = now, 0, 0
	clear(i.buckets)
}

// Issue grants up to want tokens of a limit.
func (i *Issuer) Issue(now samphirepass.Millis, key samphirepass.LimitKey, limit samphirepass.FleetLimit, part Part, want int) Issue {
	if limit.Unlimited {
		return Issue{Unlimited: true}
	}
	owners := part.owners(key, limit)
	if !slices.Contains(owners, part.Self) {
		// Gateways that ask at different times are referred to different issuers.
		return Issue{Owner: owners[int(now)%len(owners)], RetryMs: otherIssuerRetryMs}
	}
	i.sweep(now)
	b := i.bucket(now, key, limit, len(owners))
	granted := min(want, int(b.tokens+tokenRounding))
	if granted > 0 {
		b.tokens = max(b.tokens-float64(granted), 0)
		return Issue{Granted: granted, TTLMs: min(limit.WindowMs/ttlDivisor, tokenTTLMs)}
	}
	if b.rate <= 0 {
		return Issue{RetryMs: otherIssuerRetryMs}
	}
	return Issue{RetryMs: samphirepass.Millis((1 - b.tokens) / b.rate * 1000)}
}

// tokenRounding keeps floating-point error from withholding a token that has accrued.
const tokenRounding = 1e-9

// bucket returns the bucket of a limit that n issuers share, with what has accrued until now.
func (i *Issuer) bucket(now samphirepass.Millis, key samphirepass.LimitKey, limit samphirepass.FleetLimit, n int) *bucket {
	rate, capacity := limit.PerSecond/float64(n), storedTokens(limit)/float64(n)
	b := i.buckets[key]
	if b == nil {
		// The bucket was created when the process started, and nobody has asked for its tokens since.
		b = &bucket{tokens: i.startPart * excess(limit) / float64(n), at: i.startedAt - i.startMs, rate: rate}
		i.buckets[key] = b
	}
	b.tokens = min(b.tokens+float64(max(now-b.at, 0))/1000*min(rate, max(b.rate, 0)), capacity)
	b.rate, b.capacity, b.at = rate, capacity, max(now, b.at)
	return b
}

// storedTokens is the number of tokens that the buckets of all issuers store together.
func storedTokens(l samphirepass.FleetLimit) float64 {
	return l.Burst + capacityPart*excess(l)
}

// excess is the number of requests by which a window may exceed the rate and the burst.
func excess(l samphirepass.FleetLimit) float64 {
	return l.Overage*(l.PerSecond*float64(l.WindowMs)/1000+l.Burst) + l.Slack
}

// sweep drops full buckets that a new one would equal, as the process has run for long enough.
func (i *Issuer) sweep(now samphirepass.Millis) {
	if now-i.sweptAt < sweepIntervalMs {
		return
	}
	i.sweptAt = now
	for key, b := range i.buckets {
		sinceStart := float64(now-i.startedAt+i.startMs) / 1000
		if b.tokens+float64(now-b.at)/1000*b.rate >= b.capacity && sinceStart*b.rate >= b.capacity {
			delete(i.buckets, key)
		}
	}
}

// owners returns the issuers that issue tokens for a key: all of them, unless the buckets of so many would be too small.
func (p Part) owners(key samphirepass.LimitKey, limit samphirepass.FleetLimit) []string {
	n := min(max(int(storedTokens(limit)/minCapacity), 1), len(p.Issuers))
	if n == len(p.Issuers) {
		return p.Issuers
	}
	ranked := slices.Clone(p.Issuers)
	rank := func(address string) uint64 { return xxhash.Sum64String(address + "\x00" + string(key)) }
	slices.SortFunc(ranked, func(a, b string) int {
		if rank(a) > rank(b) {
			return -1
		}
		return 1
	})
	return ranked[:n]
}
