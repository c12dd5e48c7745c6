package leaf

import (
	"context"
	"errors"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"

	"samphirepass"
	"samphirepass/policy"
)

const (
	// maxTokenWaitMs bounds how long a request waits for this process's share of a cold leaf's limit, a round trip to a registrar.
	maxTokenWaitMs samphirepass.Millis = 30
	// tokenWaitDivisor divides a route's latency target into that wait.
	tokenWaitDivisor = 2
	// maxRefusedMs bounds the time for which a refusal by the limiter is kept.
	maxRefusedMs samphirepass.Millis = 5000
	// defaultRefusedMs is that time if the limiter names none.
	defaultRefusedMs samphirepass.Millis = 100
	// tokenHolderMs is how long a cold leaf is preferred to other cold ones after this process was granted a request to it: shares of
	// limits that few processes hold last longer and are larger.
	tokenHolderMs samphirepass.Millis = 3000
	// endedDoubtMs is how long a leaf gets no requests after nothing listened at its address. If it starts again, it is cold, and its
	// announcement arrives within this time: leaves announce themselves every 1,200 ms.
	endedDoubtMs samphirepass.Millis = 1500
	// tokenLogIntervalMs is the time between two log lines on the limits of cold leaves.
	tokenLogIntervalMs samphirepass.Millis = 1000
)

// errTurnedCold means that a leaf has turned cold since the attempt was made, and that its limit takes no further request.
var errTurnedCold = eris.New("the leaf has turned cold and takes no request now")

// TokenOutcome is what became of a request to a cold leaf.
type TokenOutcome string

// The outcomes for requests to cold leaves.
const (
	TokenGranted TokenOutcome = "granted"
	// TokenRefused means that no share of the limit was left.
	TokenRefused TokenOutcome = "refused"
	// TokenReturned means that a granted request was not sent.
	TokenReturned TokenOutcome = "returned"
)

// WarmUpOptions keep the requests to cold leaves within limits that all gateways share.
type WarmUpOptions struct {
	Registry *Registry
	Limiter  samphirepass.FleetLimiter
	// PerSecond returns the number of requests a second that a cold leaf of a service tolerates, 0 if there is no limit.
	PerSecond func(samphirepass.Service) float64
	// SinceContact returns the age of the news of leaves, or false before the first. A leaf is warm once there is news from after the end
	// of its warm-up, which may have been extended before. nil means that the news is always recent.
	SinceContact func() (samphirepass.Millis, bool)
	// OnOutcome is called with each outcome; it may be nil.
	OnOutcome func(TokenOutcome)
	// Logf logs the outcomes of a second in one line; it may be nil.
	Logf func(format string, args ...any)
}

// warmUps is the state of WarmUpOptions.
type warmUps struct {
	WarmUpOptions
	clock samphirepass.Clock

	mu       sync.Mutex
	counts   map[TokenOutcome]int
	loggedAt samphirepass.Millis
	logged   bool
}

// LimitWarmUps keeps the requests to cold leaves within limits; it must be called before the pool is used.
func (p *Pool) LimitWarmUps(opts WarmUpOptions) {
	p.warmUps = &warmUps{WarmUpOptions: opts, clock: p.clock, counts: map[TokenOutcome]int{}}
}

// coldTarget is what is known of a leaf's limit while it is cold.
type coldTarget struct {
	// refusedUntil is the time until which the limit with refusedKey takes no request of this process.
	refusedUntil samphirepass.Millis
	refusedKey   samphirepass.LimitKey
	// grantedAt is when the limit with grantedKey last took a request of this process.
	grantedAt  samphirepass.Millis
	grantedKey samphirepass.LimitKey
	// endedAt is when nothing listened any more at the address of an incarnation, 0 if that was never seen.
	endedAt          samphirepass.Millis
	endedIncarnation samphirepass.Incarnation
}

// waitLocked returns how much longer the limit takes no request of this process, as far as that is known.
func (c *coldTarget) waitLocked(now samphirepass.Millis, key samphirepass.LimitKey) samphirepass.Millis {
	if c.refusedKey != key {
		return 0
	}
	return max(c.refusedUntil-now, 0)
}

// newsAt returns the time of the last news of leaves. What happened later, this process may not know: it can tell that it is cut off only
// when a poll fails, and a warm-up may have been extended by then.
func (w *warmUps) newsAt() samphirepass.Millis {
	now := w.clock.Now()
	if w.SinceContact == nil {
		return now
	}
	if age, ok := w.SinceContact(); ok {
		return now - age
	}
	return now
}

// coldLimit returns the limit of a leaf if the leaf is cold and has one.
func (p *Pool) coldLimit(a samphirepass.Announcement) (samphirepass.LimitKey, bool) {
	if p.warmUps == nil || !p.warmUps.Registry.anyCold(p.warmUps.newsAt) || p.warmUps.PerSecond(a.Service) <= 0 {
		return "", false
	}
	incarnation, until := p.warmUps.Registry.coldUntil(a.Leaf)
	if until <= p.warmUps.newsAt() {
		return "", false
	}
	return samphirepass.WarmUpLimitKey(a.Leaf, incarnation), true
}

// splitCold divides leaves into those without and with the limit of a cold leaf.
func (p *Pool) splitCold(leaves []Registration) (warm, cold []Registration) {
	if p.warmUps == nil || !p.warmUps.Registry.anyCold(p.warmUps.newsAt) {
		return leaves, nil
	}
	for _, reg := range leaves {
		if _, limited := p.coldLimit(reg.Announcement); limited {
			cold = append(cold, reg)
		} else {
			warm = append(warm, reg)
		}
	}
	return warm, cold
}

// takeToken takes a request from the limit of a cold leaf. If the limit does not take it, it returns the time after which another one is
// worthwhile. A refusal without a wait is not kept: it may only mean that this process has no share yet.
func (p *Pool) takeToken(ctx context.Context, reg Registration, key samphirepass.LimitKey, wait samphirepass.Millis) (ok bool, retryAfter samphirepass.Millis) {
	verdict := p.warmUps.Limiter.Take(ctx, key, wait)
	retryAfter = min(verdict.RetryAfterMs, maxRefusedMs)
	if !(retryAfter > 0) {
		retryAfter = defaultRefusedMs
	}
	now := p.clock.Now()
	t := p.target(reg.Announcement)
	t.mu.Lock()
	switch {
	case verdict.Granted:
		t.cold.grantedAt, t.cold.grantedKey, t.cold.refusedKey = now, key, ""
	case wait > 0:
		t.cold.refusedUntil, t.cold.refusedKey = now+retryAfter, key
	}
	t.mu.Unlock()
	if verdict.Granted {
		p.warmUps.record(TokenGranted, key, 0)
		return true, 0
	}
	p.warmUps.record(TokenRefused, key, retryAfter)
	return false, retryAfter
}

// returnToken gives back a request to a cold leaf that was not sent. The limiter is not told when it was granted, and may drop it: a leaf
// that gets fewer requests than it tolerates does no harm.
func (p *Pool) returnToken(key samphirepass.LimitKey) {
	p.warmUps.Limiter.Return(key, samphirepass.LimitVerdict{Granted: true})
	p.warmUps.record(TokenReturned, key, 0)
}

// record counts an outcome, and logs the counts at most once in tokenLogIntervalMs.
func (w *warmUps) record(outcome TokenOutcome, key samphirepass.LimitKey, retryAfter samphirepass.Millis) {
	if w.OnOutcome != nil {
		w.OnOutcome(outcome)
	}
	if w.Logf == nil {
		return
	}
	newsAge := w.clock.Now() - w.newsAt()
	w.mu.Lock()
	w.counts[outcome]++
	now := w.clock.Now()
	if w.logged && now-w.loggedAt < tokenLogIntervalMs {
		w.mu.Unlock()
		return
	}
	counts := w.counts
	w.counts, w.loggedAt, w.logged = map[TokenOutcome]int{}, now, true
	w.mu.Unlock()
	w.Logf("Limits of cold leaves: %d granted, %d refused, %d returned since the last line; last %s %s (retry after %.0f ms, news %.0f ms old).",
		counts[TokenGranted], counts[TokenRefused], counts[TokenReturned], key, outcome, retryAfter, newsAge)
}

// confirmColdLimit counts an attempt that is about to be written in the limit of a leaf that has turned cold since the attempt was made, and
// returns that limit, empty if nothing was counted. permit is that of the attempt. Attempts may wait for a connection when a leaf restarts,
// and all of them would reach it at once.
func (p *Pool) confirmColdLimit(ctx context.Context, to samphirepass.Announcement, permit *samphirepass.SendPermit) (samphirepass.LimitKey, error) {
	key, cold := p.coldLimit(to)
	switch {
	case !cold:
		return "", nil
	case permit == nil || permit.ColdLimit == "":
	case permit.ColdLimit == key:
		return "", nil
	default:
		return "", errTurnedCold
	}
	if verdict := p.warmUps.Limiter.Take(ctx, key, 0); !verdict.Granted {
		p.warmUps.record(TokenRefused, key, verdict.RetryAfterMs)
		return "", errTurnedCold
	}
	p.warmUps.record(TokenGranted, key, 0)
	return key, nil
}

// causedNoRequest reports whether an attempt did not reach the leaf that it was meant for.
func causedNoRequest(err error) bool {
	var failure *samphirepass.AttemptError
	return errors.As(err, &failure) && (failure.Kind == samphirepass.FailureNotSent || failure.Kind == samphirepass.FailureGone)
}

// noteEnd records that nothing listens at the address of a leaf, if an attempt showed that. The leaf gets no requests for endedDoubtMs
// or until the next news, unless a later incarnation is known.
func (p *Pool) noteEnd(a samphirepass.Announcement, err error) {
	if p.warmUps == nil || p.warmUps.PerSecond(a.Service) <= 0 {
		return
	}
	var failure *samphirepass.AttemptError
	crashed := errors.As(err, &failure) && failure.Kind == samphirepass.FailureCrashed
	if !crashed && !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	t := p.target(a)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cold.endedAt, t.cold.endedIncarnation = p.clock.Now(), a.Incarnation
}

// endedWaitLocked returns how much longer a leaf gets no requests because it may have started again, 0 if it has not ended.
func (p *Pool) endedWaitLocked(t *target, incarnation samphirepass.Incarnation) samphirepass.Millis {
	if p.warmUps == nil || t.cold.endedIncarnation != incarnation {
		return 0
	}
	return max(t.cold.endedAt+endedDoubtMs-p.warmUps.newsAt(), 0)
}

// coldToken is a request that has been taken from the limit of a cold leaf.
type coldToken struct {
	reg Registration
	key samphirepass.LimitKey
}

// tokenWait returns how long a request of a route waits for this process's share of limits.
func tokenWait(route samphirepass.Route) samphirepass.Millis {
	if route.LatencyTargetMs <= 0 {
		return maxTokenWaitMs
	}
	return min(route.LatencyTargetMs/tokenWaitDivisor, maxTokenWaitMs)
}

// allBusy reports whether a request to any of the leaves, which may be none, is expected to wait or fail: a cold leaf is better then.
func (f *fanOut) allBusy(leaves []Registration) bool {
	for _, reg := range leaves {
		c := f.pool.Candidate(reg, f.dataCentre, f.expected)
		queued := c.MaxConnections > 0 && c.InFlight >= c.MaxConnections
		if !queued && !policy.Ejected(c) && !policy.Stalled(c, max(c.MedianLatencyMs, f.expected)) {
			return false
		}
	}
	return true
}

// chooseCold returns the index of the cold leaf to ask first: one of which this process holds a share, if there is any.
func (f *fanOut) chooseCold(leaves []Registration) int {
	now := f.clock.Now()
	var held []Registration
	var indices []int
	for i, reg := range leaves {
		key, _ := f.pool.coldLimit(reg.Announcement)
		t := f.pool.target(reg.Announcement)
		t.mu.Lock()
		if t.cold.grantedKey == key && now-t.cold.grantedAt < tokenHolderMs {
			held, indices = append(held, reg), append(indices, i)
		}
		t.mu.Unlock()
	}
	if len(held) > 0 {
		return indices[f.choose(held, f.expected)]
	}
	return f.choose(leaves, f.expected)
}

// takeColdToken takes a request from the limit of one of the cold leaves that take one within their other limits. It waits at most wait
// for this process's share of the first of them. If none takes one, it returns nil and the time after which another request is worthwhile.
func (f *fanOut) takeColdToken(leaves []Registration, wait samphirepass.Millis) (*coldToken, samphirepass.Millis) {
	shortest := samphirepass.Millis(0)
	for len(leaves) > 0 {
		i := f.chooseCold(leaves)
		reg := leaves[i]
		leaves = without(leaves, i)
		key, cold := f.pool.coldLimit(reg.Announcement)
		retryAfter := f.pool.waitMs(reg)
		if cold && retryAfter == 0 {
			var ok bool
			if ok, retryAfter = f.pool.takeToken(f.ctx, reg, key, wait); ok {
				return &coldToken{reg: reg, key: key}, 0
			}
			wait = 0
		}
		if shortest == 0 || (retryAfter > 0 && retryAfter < shortest) {
			shortest = retryAfter
		}
	}
	return nil, shortest
}

// reserveCold is reserveLeaf for cold leaves. Nothing is taken from one limit of a leaf if another one refuses.
func (f *fanOut) reserveCold(leaves []Registration) (Registration, samphirepass.LimitKey, bool) {
	token, _ := f.takeColdToken(leaves, 0)
	if token == nil {
		return Registration{}, "", false
	}
	if !f.pool.reserve(token.reg) {
		f.pool.returnToken(token.key)
		return Registration{}, "", false
	}
	return token.reg, token.key, true
}

// useToken takes the first attempt on a shard from the other limits of the cold leaf whose token the shard holds. ok is false if it holds
// none or they refuse.
func (f *fanOut) useToken(shard int) (reg Registration, key samphirepass.LimitKey, ok bool) {
	s := &f.shards[shard]
	token := s.token
	if token == nil {
		return Registration{}, "", false
	}
	if f.registry.Leaving(token.reg) || !f.pool.reserve(token.reg) {
		f.returnToken(shard)
		return Registration{}, "", false
	}
	s.token = nil
	return token.reg, token.key, true
}

// takeLeaf takes an attempt on a shard from the limits of the leaf whose token the shard holds, or of one of leaves.
func (f *fanOut) takeLeaf(shard int, leaves []Registration) (Registration, samphirepass.LimitKey, bool) {
	if reg, key, ok := f.useToken(shard); ok {
		return reg, key, true
	}
	return f.reserveLeaf(leaves)
}

// returnToken gives back the token that a shard holds, if any.
func (f *fanOut) returnToken(shard int) {
	if s := &f.shards[shard]; s.token != nil {
		f.pool.returnToken(s.token.key)
		s.token = nil
	}
}

func (f *fanOut) returnTokens() {
	for i := range f.shards {
		f.returnToken(i)
	}
}

// takeRetryToken reports whether one of the leaves takes another attempt on a shard, and takes a token if all of them are cold.
func (f *fanOut) takeRetryToken(shard int, leaves []Registration) bool {
	warm, cold := f.pool.splitCold(leaves)
	if len(cold) == 0 || f.anyTakes(warm) {
		return true
	}
	f.shards[shard].token, _ = f.takeColdToken(cold, 0)
	return f.shards[shard].token != nil
}

// anyTakes reports whether one of the leaves takes a request now, as far as its limits are known.
func (f *fanOut) anyTakes(leaves []Registration) bool {
	for _, reg := range leaves {
		if f.pool.waitMs(reg) == 0 {
			return true
		}
	}
	return false
}

// takeTokens takes a token for each shard whose leaves are all cold, and reports whether enough shards can be asked. If not, it sets
// retryAfter, and run gives all of them back: a request that cannot be completed spends none. The shards wait for their shares at the same time.
func (f *fanOut) takeTokens() bool {
	if f.pool == nil || f.pool.warmUps == nil || f.suspected() {
		return true
	}
	skipped := make(map[int]bool, len(f.skip))
	for _, i := range f.skip {
		skipped[i] = true
	}
	var wg sync.WaitGroup
	needed, available := 0, 0
	retryAfter := make([]samphirepass.Millis, len(f.leaves))
	for i, leaves := range f.leaves {
		warm, cold := f.pool.splitCold(leaves)
		if len(cold) == 0 || f.anyTakes(warm) {
			if len(leaves) > 0 && f.pool.minWaitMs(leaves) == 0 {
				available++
			}
			continue
		}
		if skipped[i] {
			continue
		}
		needed++
		// Each goroutine changes its own shard only.
		wg.Go(func() { f.shards[i].token, retryAfter[i] = f.takeColdToken(cold, f.tokenWait) })
	}
	if needed == 0 {
		return true
	}
	wg.Wait()
	for i := range f.shards {
		if f.shards[i].token != nil {
			available++
		}
	}
	if available >= max(f.requiredShards, 1) {
		return true
	}
	for _, wait := range retryAfter {
		if wait > 0 && (f.retryAfter == 0 || wait < f.retryAfter) {
			f.retryAfter = wait
		}
	}
	return false
}
