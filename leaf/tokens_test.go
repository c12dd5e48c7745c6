package leaf_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/leaf"
	"samphirepass/policy"
)

// fakeLimiter is a FleetLimiter with a number of tokens for each limit.
type fakeLimiter struct {
	mu     sync.Mutex
	tokens map[samphirepass.LimitKey]int
	// joinDelay is how long the first request to each limit waits for a share, if it may wait at all.
	joinDelay  samphirepass.Millis
	joined     map[samphirepass.LimitKey]bool
	retryAfter samphirepass.Millis
	// asked counts the calls of Take, granted and returned the requests.
	asked, granted, returned map[samphirepass.LimitKey]int
}

func newFakeLimiter(tokens map[samphirepass.Leaf]int) *fakeLimiter {
	l := &fakeLimiter{
		tokens: map[samphirepass.LimitKey]int{}, joined: map[samphirepass.LimitKey]bool{}, retryAfter: 700, asked: map[samphirepass.LimitKey]int{},
		granted: map[samphirepass.LimitKey]int{}, returned: map[samphirepass.LimitKey]int{},
	}
	for name, n := range tokens {
		l.tokens[samphirepass.WarmUpLimitKey(name, 1)] = n
	}
	return l
}

func (l *fakeLimiter) Take(_ context.Context, key samphirepass.LimitKey, wait samphirepass.Millis) samphirepass.LimitVerdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked[key]++
	if l.joinDelay > 0 && !l.joined[key] {
		if wait < l.joinDelay {
			return samphirepass.LimitVerdict{RetryAfterMs: l.joinDelay}
		}
		l.joined[key] = true
		l.mu.Unlock()
		time.Sleep(l.joinDelay.Duration())
		l.mu.Lock()
	}
	if l.tokens[key] <= 0 {
		return samphirepass.LimitVerdict{RetryAfterMs: l.retryAfter}
	}
	l.tokens[key]--
	l.granted[key]++
	return samphirepass.LimitVerdict{Granted: true}
}

func (l *fakeLimiter) Return(key samphirepass.LimitKey, _ samphirepass.LimitVerdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens[key]++
	l.returned[key]++
}

// used returns the requests to a leaf that were granted and not given back.
func (l *fakeLimiter) used(name samphirepass.Leaf) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := samphirepass.WarmUpLimitKey(name, 1)
	return l.granted[key] - l.returned[key]
}

// coldSetup is a deliverer for shards whose leaves may be cold.
type coldSetup struct {
	registry  *leaf.Registry
	deliverer *leaf.Deliverer
	pool      *leaf.Pool
	limiter   *fakeLimiter
	sender    *scriptedSender
	budget    *fixedBudget
}

// newColdSetup returns a setup with the given number of leaves for each shard, named shard-replica, of which cold ones are so for a minute.
func newColdSetup(limiter *fakeLimiter, sender *scriptedSender, replicas []int, cold func(shard, replica int) bool) *coldSetup {
	clock := samphirepass.SystemClock{}
	s := &coldSetup{registry: leaf.NewRegistry(clock), limiter: limiter, sender: sender, budget: &fixedBudget{remaining: 100}}
	for shard, n := range replicas {
		for replica := range n {
			a := newAnnouncement(fmt.Sprintf("%d-%d", shard, replica), 1, 1, samphirepass.LeafServing)
			a.Service, a.Address = service(shard), fmt.Sprintf("127.0.0.1:%d%d", shard+1, replica)
			if cold(shard, replica) {
				a.ColdMs = 60_000
			}
			s.registry.Apply(a, 0, true)
		}
	}
	s.pool = leaf.NewPool(clock, fixedShares(4))
	s.pool.LimitWarmUps(leaf.WarmUpOptions{
		Registry: s.registry, Limiter: limiter, PerSecond: func(samphirepass.Service) float64 { return 10 },
	})
	if sender.answer == nil {
		sender.answer = func(context.Context, samphirepass.Leaf, int, samphirepass.Attempt) (samphirepass.Reply, error) {
			return okReply()
		}
	}
	s.deliverer = leaf.NewDeliverer(leaf.DelivererOptions{
		Registry: s.registry, Pool: s.pool, Sender: sender, DataCentre: "derby", Chooser: lowestNameChooser{}, Clock: clock,
		Budget: func(samphirepass.Service) samphirepass.Budget { return s.budget }, ExtraPercent: 15,
	})
	return s
}

func allCold(int, int) bool  { return true }
func noneCold(int, int) bool { return false }

// oneShard returns a delivery to the first shard.
func oneShard() leaf.Delivery {
	route := testRoute
	route.Services = []samphirepass.WeightedService{{Service: service(0), Weight: 1}}
	return newDelivery(route)
}

// TestProofColdShardAnswersWithinTokens has all three leaves of a shard cold: requests are answered as far as tokens allow, and refused with
// the limiter's time afterwards. It guards against a shard without answers after a restart of its data centre, and against a crash of its
// leaves by more requests than they tolerate.
func TestProofColdShardAnswersWithinTokens(t *testing.T) {
	s := newColdSetup(newFakeLimiter(map[samphirepass.Leaf]int{"0-0": 3, "0-1": 2, "0-2": 1}), &scriptedSender{}, []int{3}, allCold)
	answered := 0
	for range 20 {
		result, took := deliver(s.deliverer, oneShard())
		answered += result.Answered
		if result.Answered == 0 {
			require.False(t, result.MaybeRun)
			require.Zero(t, result.Attempts)
			require.LessOrEqual(t, result.RetryAfterMs, samphirepass.Millis(700))
			require.Greater(t, result.RetryAfterMs, samphirepass.Millis(400), "700 ms less the time since the first refusal")
			require.Less(t, took, 50*time.Millisecond)
		}
	}
	require.Equal(t, 6, answered)
	for name, n := range map[samphirepass.Leaf]int{"0-0": 3, "0-1": 2, "0-2": 1} {
		require.Equal(t, n, s.sender.count(name), name)
		require.Equal(t, n, s.limiter.used(name), name)
	}
}

// TestWarmLeavesComeFirst checks which leaf gets a request. It guards against tokens that are spent while warm leaves are free, and against
// a warm leaf that takes no more while cold ones have a share left.
func TestWarmLeavesComeFirst(t *testing.T) {
	coldFirst := func(_, replica int) bool { return replica == 0 }
	tests := map[string]struct {
		cold      func(shard, replica int) bool
		prepare   func(s *coldSetup)
		perSecond float64
		want      samphirepass.Leaf
		asked     bool
	}{
		"a warm leaf":       {coldFirst, func(*coldSetup) {}, 10, "0-1", false},
		"no limit declared": {coldFirst, func(*coldSetup) {}, 0, "0-0", false},
		"the warm leaf is at its own limit": {coldFirst, func(s *coldSetup) {
			s.registry.SetLimit("0-1", 1, samphirepass.LeafLimit{PerSecond: 0.01}, false)
			deliver(s.deliverer, oneShard())
		}, 10, "0-0", true},
		"the warm leaf leaves":         {coldFirst, func(s *coldSetup) { s.registry.SetLeaving("0-1", 1) }, 10, "0-0", true},
		"the cold leaf is warm early":  {allCold, func(s *coldSetup) { s.apply("0-1", 1, 2, 0) }, 10, "0-1", false},
		"the warm leaf is cold again":  {noneCold, func(s *coldSetup) { s.apply("0-0", 1, 2, 9000) }, 10, "0-1", false},
		"a cold leaf has started anew": {noneCold, func(s *coldSetup) { s.apply("0-0", 2, 1, 9000) }, 10, "0-1", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newColdSetup(newFakeLimiter(map[samphirepass.Leaf]int{"0-0": 3, "0-1": 3}), &scriptedSender{}, []int{2}, tt.cold)
			s.pool.LimitWarmUps(leaf.WarmUpOptions{
				Registry: s.registry, Limiter: s.limiter, PerSecond: func(samphirepass.Service) float64 { return tt.perSecond },
			})
			tt.prepare(s)
			before := s.sender.count(tt.want)
			result, _ := deliver(s.deliverer, oneShard())
			require.Equal(t, 1, result.Answered)
			require.Equal(t, before+1, s.sender.count(tt.want))
			require.Equal(t, tt.asked, len(s.limiter.asked) > 0)
		})
	}
}

func (s *coldSetup) apply(name string, incarnation samphirepass.Incarnation, sequence uint64, coldMs samphirepass.Millis) {
	known, _ := s.registry.Newest(samphirepass.Leaf(name))
	a := known.Announcement
	a.Incarnation, a.Sequence, a.ColdMs = incarnation, sequence, coldMs
	s.registry.Apply(a, 0, true)
}

// TestHedgesSpendNoTokens has the first leaf of a shard hang. It guards against a second attempt on a cold leaf whose share is needed by
// requests that have no answer otherwise.
func TestHedgesSpendNoTokens(t *testing.T) {
	tests := map[string]struct {
		cold     func(shard, replica int) bool
		answered int
		used     int
	}{
		"the others are cold":     {func(_, replica int) bool { return replica > 0 }, 0, 0},
		"all are cold":            {allCold, 0, 1},
		"another is warm":         {noneCold, 1, 0},
		"the first alone is cold": {func(_, replica int) bool { return replica == 0 }, 0, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sender := &scriptedSender{}
			slow := samphirepass.Leaf("0-0")
			if name == "the first alone is cold" {
				// The first attempt goes to the first warm leaf, the hedge to no cold one.
				slow = "0-1"
			}
			sender.answer = func(ctx context.Context, to samphirepass.Leaf, _ int, _ samphirepass.Attempt) (samphirepass.Reply, error) {
				if to == slow {
					return waitForCancel(ctx)
				}
				return okReply()
			}
			replicas := []int{2}
			s := newColdSetup(newFakeLimiter(map[samphirepass.Leaf]int{"0-0": 9, "0-1": 9}), sender, replicas, tt.cold)
			delivery := oneShard()
			delivery.Request.DeadlineMs = 200
			result, _ := deliver(s.deliverer, delivery)
			require.Equal(t, tt.answered, result.Answered)
			require.Equal(t, tt.used, s.limiter.used("0-0")+s.limiter.used("0-1"))
			require.Equal(t, 1+tt.answered, result.Attempts)
		})
	}
}

// TestIncompleteRequestSpendsNoToken has one shard of three without a token. It guards against tokens that go to requests which cannot be
// answered, so that those which could are refused, too.
func TestIncompleteRequestSpendsNoToken(t *testing.T) {
	tests := map[string]struct {
		minShare float64
		answered int
	}{
		"all shards are needed": {1, 0},
		"two are enough":        {0.6, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			limiter := newFakeLimiter(map[samphirepass.Leaf]int{"0-0": 5, "1-0": 5})
			s := newColdSetup(limiter, &scriptedSender{}, []int{1, 1, 2}, allCold)
			route := testRoute
			route.MinShardShare = tt.minShare
			result, _ := deliver(s.deliverer, newDelivery(route))
			require.Equal(t, tt.answered, result.Answered)
			require.Equal(t, tt.answered/2, s.limiter.used("0-0"))
			require.Equal(t, tt.answered/2, s.limiter.used("1-0"))
			require.Equal(t, tt.answered, result.Attempts)
			if tt.answered == 0 {
				require.Positive(t, result.RetryAfterMs)
				require.False(t, result.MaybeRun)
			}
		})
	}
}

// TestUnsentAttemptReturnsToken checks after which outcomes a request is given back. It guards against a cold leaf that idles because tokens
// are lost with attempts that never reached it, and against requests over its limit.
func TestUnsentAttemptReturnsToken(t *testing.T) {
	tests := map[samphirepass.FailureKind]bool{
		samphirepass.FailureNotSent: true, samphirepass.FailureGone: true, samphirepass.FailureShed: false, samphirepass.FailureLost: false,
		samphirepass.FailureAnswered: false, samphirepass.FailureCrashed: false, samphirepass.FailureMismatch: false,
	}
	for kind, returned := range tests {
		t.Run(string(kind), func(t *testing.T) {
			sender := &scriptedSender{answer: func(context.Context, samphirepass.Leaf, int, samphirepass.Attempt) (samphirepass.Reply, error) {
				return samphirepass.Reply{}, attemptError(kind)
			}}
			s := newColdSetup(newFakeLimiter(map[samphirepass.Leaf]int{"0-0": 3}), sender, []int{1}, allCold)
			deliver(s.deliverer, oneShard())
			want := 1
			if returned {
				want = 0
			}
			require.Equal(t, 1, s.sender.count("0-0"))
			require.Equal(t, want, s.limiter.used("0-0"))
		})
	}
	t.Run("withdrawn", func(t *testing.T) {
		sender := &scriptedSender{waitAt: "1-0"}
		s := newColdSetup(newFakeLimiter(map[samphirepass.Leaf]int{"0-0": 3, "1-0": 3}), sender, []int{1, 1, 1}, func(shard, _ int) bool { return shard < 2 })
		delivery := newDelivery(testRoute)
		delivery.PartialAfterMs = 30
		result, _ := deliver(s.deliverer, delivery)
		require.Equal(t, 2, result.Answered)
		require.Eventually(t, func() bool { return s.limiter.used("1-0") == 0 }, time.Second, time.Millisecond)
		require.Equal(t, 1, s.limiter.used("0-0"))
	})
	t.Run("a retry on another cold leaf", func(t *testing.T) {
		sender := &scriptedSender{answer: func(_ context.Context, to samphirepass.Leaf, _ int, _ samphirepass.Attempt) (samphirepass.Reply, error) {
			if to == "0-0" {
				return samphirepass.Reply{}, attemptError(samphirepass.FailureGone)
			}
			return okReply()
		}}
		s := newColdSetup(newFakeLimiter(map[samphirepass.Leaf]int{"0-0": 3, "0-1": 3}), sender, []int{2}, allCold)
		result, _ := deliver(s.deliverer, oneShard())
		require.Equal(t, 1, result.Answered)
		require.Equal(t, 0, s.limiter.used("0-0"))
		require.Equal(t, 1, s.limiter.used("0-1"))
	})
	t.Run("no budget for a retry", func(t *testing.T) {
		sender := &scriptedSender{answer: func(context.Context, samphirepass.Leaf, int, samphirepass.Attempt) (samphirepass.Reply, error) {
			return samphirepass.Reply{}, attemptError(samphirepass.FailureShed)
		}}
		s := newColdSetup(newFakeLimiter(map[samphirepass.Leaf]int{"0-0": 3, "0-1": 3}), sender, []int{2}, allCold)
		s.budget.remaining = 0
		deliver(s.deliverer, oneShard())
		require.Equal(t, 1, s.limiter.used("0-0"))
		require.Equal(t, 0, s.limiter.used("0-1"))
	})
}

// TestOneLimitIsNotSpentWhenAnotherRefuses has a cold leaf be at the limit that it named. It guards against a shared token that is spent on
// an attempt which is not sent, and against a part of its own limit that is spent without a token.
func TestOneLimitIsNotSpentWhenAnotherRefuses(t *testing.T) {
	s := newColdSetup(newFakeLimiter(map[samphirepass.Leaf]int{"0-0": 5}), &scriptedSender{}, []int{1}, allCold)
	s.registry.SetLimit("0-0", 1, samphirepass.LeafLimit{PerSecond: 0.01}, false)
	for range 5 {
		deliver(s.deliverer, oneShard())
	}
	require.Equal(t, 1, s.sender.count("0-0"))
	require.Equal(t, 1, s.limiter.used("0-0"))

	s = newColdSetup(newFakeLimiter(map[samphirepass.Leaf]int{"0-0": 5, "0-1": 9}), &scriptedSender{}, []int{2}, allCold)
	s.registry.SetLimit("0-0", 1, samphirepass.LeafLimit{PerSecond: 0.01}, false)
	for range 5 {
		deliver(s.deliverer, oneShard())
	}
	require.Equal(t, 1, s.limiter.asked[samphirepass.WarmUpLimitKey("0-0", 1)], "a token that would be given back is not asked for")
	require.Equal(t, 4, s.limiter.used("0-1"))

	s = newColdSetup(newFakeLimiter(nil), &scriptedSender{}, []int{1}, allCold)
	s.registry.SetLimit("0-0", 1, samphirepass.LeafLimit{PerSecond: 0.01}, false)
	for range 5 {
		deliver(s.deliverer, oneShard())
	}
	s.apply("0-0", 1, 2, 0)
	result, _ := deliver(s.deliverer, oneShard())
	require.Equal(t, 1, result.Answered, "the leaf's own limit has not been touched")
}

// TestShardsWaitForSharesTogether has three cold shards of whose limits the gateway holds no share yet. It guards against requests that are
// refused although the fleet has tokens, and against a wait that adds up over the shards.
func TestShardsWaitForSharesTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := newFakeLimiter(map[samphirepass.Leaf]int{"0-0": 5, "1-0": 5, "2-0": 5})
		limiter.joinDelay = 8
		s := newColdSetup(limiter, &scriptedSender{}, []int{1, 1, 1}, allCold)
		result, took := deliver(s.deliverer, newDelivery(testRoute))
		require.Equal(t, 3, result.Answered)
		require.Less(t, took, 12*time.Millisecond)

		limiter.joinDelay, limiter.joined = 50, map[samphirepass.LimitKey]bool{}
		result, took = deliver(s.deliverer, newDelivery(testRoute))
		require.Zero(t, result.Answered, "a share that does not come in time")
		require.Positive(t, result.RetryAfterMs)
		require.Less(t, took, 40*time.Millisecond)
	})
}

// TestQueuedAttemptsAtLeafThatTurnsCold has attempts wait for the only connection to a leaf when it turns cold. It guards against a leaf that
// restarts under traffic and gets all that has piled up at once.
func TestQueuedAttemptsAtLeafThatTurnsCold(t *testing.T) {
	b := startBusyLeaf(t, 300*time.Millisecond)
	clock := samphirepass.SystemClock{}
	r := leaf.NewRegistry(clock)
	a := newAnnouncement("0-0", 1, 1, samphirepass.LeafServing)
	a.Service, a.Address = service(0), b.address
	r.Apply(a, 0, true)
	limiter := newFakeLimiter(map[samphirepass.Leaf]int{"0-0": 1})
	pool := leaf.NewPool(clock, fixedShares(1))
	pool.LimitWarmUps(leaf.WarmUpOptions{Registry: r, Limiter: limiter, PerSecond: func(samphirepass.Service) float64 { return 10 }})
	d := leaf.NewDeliverer(leaf.DelivererOptions{
		Registry: r, Pool: pool, Sender: leaf.NewSender(pool, leaf.Native{}, clock), DataCentre: "derby", Chooser: lowestNameChooser{}, Clock: clock,
		Budget: func(samphirepass.Service) samphirepass.Budget { return &fixedBudget{} }, ExtraPercent: 15,
	})
	occupy(t, d, b)
	var wg sync.WaitGroup
	var mu sync.Mutex
	answered, maybeRun := 0, 0
	for i := range 5 {
		wg.Go(func() {
			result, _ := deliver(d, busyDelivery(samphirepass.RequestID(fmt.Sprint("queued-", i)), 1, 1500))
			mu.Lock()
			defer mu.Unlock()
			answered += result.Answered
			if result.MaybeRun {
				maybeRun++
			}
		})
	}
	time.Sleep(30 * time.Millisecond)
	a.Sequence, a.ColdMs = 2, 60_000
	r.Apply(a, 0, true)
	wg.Wait()
	require.Equal(t, 1, answered)
	require.Zero(t, maybeRun)
	require.Equal(t, 1, limiter.used("0-0"))
}

// TestTokenOfUnwrittenAttemptIsReturned sends an attempt whose time is over to a leaf that has turned cold. It guards against tokens that
// are lost with the attempts that wait for a connection when a leaf restarts.
func TestTokenOfUnwrittenAttemptIsReturned(t *testing.T) {
	b := startBusyLeaf(t, 0)
	clock := samphirepass.SystemClock{}
	r := leaf.NewRegistry(clock)
	a := newAnnouncement("0-0", 1, 1, samphirepass.LeafServing)
	a.Address, a.ColdMs = b.address, 60_000
	r.Apply(a, 0, true)
	limiter := newFakeLimiter(map[samphirepass.Leaf]int{"0-0": 1})
	pool := leaf.NewPool(clock, fixedShares(1))
	pool.LimitWarmUps(leaf.WarmUpOptions{Registry: r, Limiter: limiter, PerSecond: func(samphirepass.Service) float64 { return 10 }})
	s := leaf.NewSender(pool, leaf.Native{}, clock)
	late := newAttempt("late", "")
	late.ExpiresAtMs = clock.Now() - 1
	_, err := s.Send(t.Context(), a, late)
	require.Equal(t, samphirepass.FailureNotSent, kindOf(err))
	require.Equal(t, 1, limiter.granted[samphirepass.WarmUpLimitKey("0-0", 1)])
	require.Zero(t, limiter.used("0-0"))

	other := newAttempt("other", "")
	other.Permit = &samphirepass.SendPermit{ColdLimit: samphirepass.WarmUpLimitKey("0-0", 0)}
	_, err = s.Send(t.Context(), a, other)
	require.Equal(t, samphirepass.FailureNotSent, kindOf(err), "counted for an earlier start of the leaf")
	_, sent := b.deadline("other")
	require.False(t, sent)
}

// TestEndedLeafGetsNothingUntilNews has nothing listen at a leaf's address any more. It guards against a gateway without contact to
// registrars that sends as before to a leaf which has started again and is cold.
func TestEndedLeafGetsNothingUntilNews(t *testing.T) {
	clock := &manualClock{now: 50_000}
	r := leaf.NewRegistry(clock)
	a := newAnnouncement("0-0", 1, 1, samphirepass.LeafServing)
	// Nothing listens on port 1.
	a.Service, a.Address = service(0), "127.0.0.1:1"
	r.Apply(a, 0, true)
	age := samphirepass.Millis(0)
	pool := leaf.NewPool(clock, fixedShares(1))
	pool.LimitWarmUps(leaf.WarmUpOptions{
		Registry: r, Limiter: newFakeLimiter(nil), PerSecond: func(samphirepass.Service) float64 { return 10 },
		SinceContact: func() (samphirepass.Millis, bool) { return age, true },
	})
	d := leaf.NewDeliverer(leaf.DelivererOptions{
		Registry: r, Pool: pool, Sender: leaf.NewSender(pool, leaf.Native{}, clock), DataCentre: "derby", Chooser: lowestNameChooser{}, Clock: clock,
		Budget: func(samphirepass.Service) samphirepass.Budget { return &fixedBudget{} }, ExtraPercent: 15,
	})
	tries := func() bool {
		delivery := oneShard()
		delivery.Request.Forwarded = samphirepass.ForwardedRequest{Method: "GET", Target: "/"}
		result, _ := deliver(d, delivery)
		require.False(t, result.MaybeRun)
		return result.RetryAfterMs == 0
	}
	require.True(t, tries())
	require.False(t, tries(), "the leaf may have started again")
	clock.now += 1600
	age = 900
	require.False(t, tries(), "the news is older")
	clock.now += 300
	age = 0
	require.True(t, tries(), "it would have been announced by now")
	clock.now += 30_000
	age = 30_000
	require.False(t, tries(), "nobody would have told")
	age = 100
	require.True(t, tries(), "contact is back")
	clock.now += 60_000
	age = 60_000
	require.False(t, tries())
	a.Incarnation = 2
	r.Apply(a, 0, true)
	require.True(t, tries(), "a later start is known")
}

// fleet is a model of gateways that send to the three leaves of one shard, which share limits by a fake limiter.
type fleet struct {
	mu  sync.Mutex
	rng *rand.Rand
	// luck decides how attempts end. The order of attempts is not the same in each run, unlike the events.
	luck      *rand.Rand
	clock     bubbleClock
	registrar *leaf.Registry
	warmUps   map[samphirepass.Service]samphirepass.WarmUp
	buckets   map[samphirepass.LimitKey]*policy.LeafLimiter
	cutAt     []samphirepass.Millis
	// coldSince and coldUntil are the truth of each leaf; sent holds the times of the requests to it.
	coldSince, coldUntil map[samphirepass.Leaf]samphirepass.Millis
	sent                 map[samphirepass.Leaf][]samphirepass.Millis
	answered, refused    int
}

// fleetShare is the limiter of one gateway of a fleet.
type fleetShare struct {
	fleet   *fleet
	gateway int
}

// Take grants nothing to a gateway that is cut off, nor for a limit that the leader does not know.
func (s fleetShare) Take(_ context.Context, key samphirepass.LimitKey, _ samphirepass.Millis) samphirepass.LimitVerdict {
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	limit, ok := f.registrar.WarmUpLimit(key, f.warmUps)
	if !ok || f.cutAt[s.gateway] > 0 {
		return samphirepass.LimitVerdict{RetryAfterMs: 100}
	}
	if f.buckets[key] == nil {
		f.buckets[key] = &policy.LeafLimiter{}
	}
	now := f.clock.Now()
	if !f.buckets[key].Take(now, limit.PerSecond, 1) {
		return samphirepass.LimitVerdict{RetryAfterMs: f.buckets[key].Wait(now, limit.PerSecond, 1)}
	}
	return samphirepass.LimitVerdict{Granted: true}
}

func (s fleetShare) Return(samphirepass.LimitKey, samphirepass.LimitVerdict) {}

// Send records a request; some attempts hang, some are shed, so that hedges and retries follow.
func (f *fleet) Send(ctx context.Context, to samphirepass.Announcement, a samphirepass.Attempt) (samphirepass.Reply, error) {
	if !a.Permit.Use() {
		return samphirepass.Reply{}, attemptError(samphirepass.FailureNotSent)
	}
	f.mu.Lock()
	f.sent[to.Leaf] = append(f.sent[to.Leaf], f.clock.Now())
	luck := f.luck.IntN(20)
	f.mu.Unlock()
	switch {
	case luck == 0:
		return waitForCancel(ctx)
	case luck < 3:
		return samphirepass.Reply{}, attemptError(samphirepass.FailureShed)
	}
	time.Sleep(10 * time.Millisecond)
	return okReply()
}

// TestProofSumOverGatewaysStaysInColdLimits has 20 gateways send three times what the cold leaves of a shard tolerate, while leaves turn cold
// again, get warm early and state longer warm-ups, and gateways are cut off from the registrars. It guards against leaves that crash under
// more requests in a second than they tolerate, and against a shard that is refused although its leaves would take more.
func TestProofSumOverGatewaysStaysInColdLimits(t *testing.T) {
	const (
		gateways  = 20
		perSecond = 10
		// newsMs is the time within which gateways learn that a warm leaf has turned cold, with the next heartbeat.
		newsMs         samphirepass.Millis = 1500
		overage, slack                     = 1.5, 5
	)
	for seed := range uint64(6) {
		synctest.Test(t, func(t *testing.T) {
			clock := bubbleClock{started: time.Now().Add(-time.Hour)}
			f := &fleet{
				rng: rand.New(rand.NewPCG(seed, 2)), luck: rand.New(rand.NewPCG(seed, 3)), clock: clock, registrar: leaf.NewRegistry(clock), cutAt: make([]samphirepass.Millis, gateways),
				warmUps: map[samphirepass.Service]samphirepass.WarmUp{service(0): {DurationMs: 10_000, PerSecond: perSecond}},
				buckets: map[samphirepass.LimitKey]*policy.LeafLimiter{}, coldSince: map[samphirepass.Leaf]samphirepass.Millis{},
				coldUntil: map[samphirepass.Leaf]samphirepass.Millis{}, sent: map[samphirepass.Leaf][]samphirepass.Millis{},
			}
			names := []samphirepass.Leaf{"0-0", "0-1", "0-2"}
			sequences := map[samphirepass.Leaf]uint64{}
			announce := func(name samphirepass.Leaf) {
				a := newAnnouncement(string(name), 1, 0, samphirepass.LeafServing)
				sequences[name]++
				a.Sequence, a.Service, a.Address = sequences[name], service(0), "127.0.0.1:1"+string(name[2:])
				a.ColdMs = max(f.coldUntil[name]-clock.Now(), 0)
				f.registrar.Apply(a, 0, true)
			}
			registries := make([]*leaf.Registry, gateways)
			versions := make([]uint64, gateways)
			deliverers := make([]*leaf.Deliverer, gateways)
			for g := range gateways {
				own := bubbleClock{started: time.Now().Add(-time.Duration(g) * time.Minute)}
				registries[g] = leaf.NewRegistry(own)
				pool := leaf.NewPool(own, fixedShares(4))
				pool.LimitWarmUps(leaf.WarmUpOptions{
					Registry: registries[g], Limiter: fleetShare{f, g}, PerSecond: func(s samphirepass.Service) float64 { return f.warmUps[s].PerSecond },
					SinceContact: func() (samphirepass.Millis, bool) {
						f.mu.Lock()
						defer f.mu.Unlock()
						if f.cutAt[g] == 0 {
							return 100, true
						}
						return clock.Now() - f.cutAt[g], true
					},
				})
				deliverers[g] = leaf.NewDeliverer(leaf.DelivererOptions{
					Registry: registries[g], Pool: pool, Sender: f, DataCentre: "derby", Chooser: policy.LeastCostChooser{}, Clock: own,
					Budget: func(samphirepass.Service) samphirepass.Budget { return &fixedBudget{remaining: 2} }, ExtraPercent: 15,
				})
			}
			// A data centre starts: all leaves are cold.
			for _, name := range names {
				f.coldSince[name], f.coldUntil[name] = clock.Now(), clock.Now()+20_000
				announce(name)
			}
			type window struct{ from, to samphirepass.Millis }
			cold := map[samphirepass.Leaf][]window{}
			var wg sync.WaitGroup
			for tick := range 600 {
				time.Sleep(100 * time.Millisecond)
				now := clock.Now()
				f.mu.Lock()
				allKnownCold := true
				for _, name := range names {
					allKnownCold = allKnownCold && f.coldUntil[name] > now+1000 && f.coldSince[name] < now-newsMs
				}
				// What a gateway cannot know when it is cut off is left out: a leaf that was warm then.
				if g := f.rng.IntN(gateways); allKnownCold && f.cutAt[g] == 0 && f.rng.IntN(4) == 0 {
					f.cutAt[g] = now
				}
				if g := f.rng.IntN(gateways); f.rng.IntN(10) == 0 {
					f.cutAt[g] = 0
				}
				name := names[f.rng.IntN(len(names))]
				switch event := f.rng.IntN(40); {
				case event == 0 && f.coldUntil[name] <= now:
					f.coldSince[name], f.coldUntil[name] = now, now+samphirepass.Millis(2000+f.rng.IntN(15_000))
				case event == 1 && tick >= 100 && f.coldUntil[name] > now:
					cold[name] = append(cold[name], window{f.coldSince[name], now})
					f.coldUntil[name] = now
				case event < 6 && f.coldUntil[name] > now+1500:
					f.coldUntil[name] += samphirepass.Millis(f.rng.IntN(8000))
				}
				for _, n := range names {
					if ended := f.coldUntil[n]; ended <= now && ended > now-100 {
						cold[n] = append(cold[n], window{f.coldSince[n], ended})
					}
				}
				cut := append([]samphirepass.Millis{}, f.cutAt...)
				f.mu.Unlock()
				for i, n := range names {
					if (tick+4*i)%12 == 0 {
						announce(n)
					}
				}
				for g := range gateways {
					if cut[g] > 0 {
						continue
					}
					changes, version := f.registrar.ChangesSince(versions[g])
					versions[g] = version
					for _, change := range changes {
						registries[g].ApplyAged(change)
					}
				}
				// 20 gateways with a request every 200 ms or so: 100 a second for leaves that take 30 when cold.
				for g := range gateways {
					if f.rng.IntN(2) == 0 {
						continue
					}
					wg.Go(func() {
						result, _ := deliver(deliverers[g], oneShard())
						f.mu.Lock()
						defer f.mu.Unlock()
						if result.Answered > 0 {
							f.answered++
						} else {
							f.refused++
						}
					})
				}
			}
			wg.Wait()
			// Attempts that are no longer needed are cancelled a moment later.
			time.Sleep(2 * time.Second)
			counted := 0
			for _, name := range names {
				if f.coldUntil[name] > clock.Now() {
					cold[name] = append(cold[name], window{f.coldSince[name], clock.Now()})
				}
				checked := 0
				for _, w := range cold[name] {
					for _, at := range f.sent[name] {
						if at < w.from+newsMs || at+1000 > w.to {
							continue
						}
						n := 0
						for _, other := range f.sent[name] {
							if other >= at && other < at+1000 {
								n++
							}
						}
						checked++
						require.LessOrEqual(t, float64(n), perSecond*overage+slack, "seed %d: leaf %s from %.0f", seed, name, at)
					}
				}
				counted += checked
			}
			require.Greater(t, counted, 100)
			total := 0
			for _, name := range names {
				total += len(f.sent[name])
			}
			t.Logf("seed %d: %d requests to leaves, %d answered, %d refused", seed, total, f.answered, f.refused)
			// In the first 10 s all leaves are cold for certain, and take 10 to 12 a second each.
			start := f.sent["0-0"][0]
			early := 0
			for _, name := range names {
				for _, at := range f.sent[name] {
					if at > start+2000 && at < start+3000 {
						early++
					}
				}
			}
			require.GreaterOrEqual(t, early, 24, "requests in a second that the three cold leaves take")
		})
	}
}
