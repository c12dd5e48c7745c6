package leaf_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/leaf"
	"samphirepass/policy"
)

// grant is a budget that allows a fixed number of extra attempts.
type grant struct {
	mu   sync.Mutex
	left int
}

func (g *grant) take() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.left--
	return g.left >= 0
}

func (g *grant) RecordPrimary(int)      {}
func (g *grant) TakeRetry() bool        { return g.take() }
func (g *grant) TakeHedge() bool        { return g.take() }
func (g *grant) TakeRefusedRetry() bool { return g.take() }
func (g *grant) RecordShed()            {}
func (g *grant) RecordOverload()        {}

var routed = samphirepass.Route{Name: "r", Kind: samphirepass.Repeatable, TimeoutMs: 500, LatencyTargetMs: 100, MaxAttempts: 2, MinShardShare: 0.6}

func service(i int) samphirepass.Service { return samphirepass.Service(fmt.Sprint("shard-", i)) }

// delivery has three shards with two leaves each, named shard-replica.
func delivery(route samphirepass.Route) leaf.Delivery {
	d := leaf.Delivery{Request: samphirepass.ClientRequest{ID: "q", DeadlineMs: 500}, Route: route}
	for i := range 3 {
		d.Shards = append(d.Shards, service(i))
	}
	if route.Services == nil {
		d.Route.ShardServices = d.Shards
	} else {
		d.Shards = d.Shards[:1]
	}
	return d
}

func deliverer(s *scripted, budget samphirepass.Budget) (*leaf.Deliverer, *leaf.Registry) {
	clock := samphirepass.SystemClock{}
	r := leaf.NewRegistry(clock)
	for shard := range 3 {
		for replica := range 2 {
			a := announcement(fmt.Sprintf("%d-%d", shard, replica), 1, 1, samphirepass.LeafServing)
			a.Service, a.Address = service(shard), fmt.Sprintf("127.0.0.1:%d%d", shard+1, replica)
			r.Apply(a, 0, true)
		}
	}
	pool := leaf.NewPool(clock, fixedShares(2))
	return leaf.NewDeliverer(leaf.DelivererOptions{
		Registry: r, Pool: pool, Sender: s, Centre: "derby", Chooser: first{}, Clock: clock,
		Budget: func(samphirepass.Service) samphirepass.Budget { return budget }, ExtraPercent: 15,
	}), r
}

// first prefers the leaf with the lowest name.
type first struct{}

func (first) Choose(candidates []samphirepass.Candidate) int {
	best := 0
	for i, c := range candidates {
		if c.Leaf < candidates[best].Leaf {
			best = i
		}
	}
	return best
}

func run(d *leaf.Deliverer, one leaf.Delivery) (leaf.DeliveryResult, time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), one.Request.DeadlineMs.Duration())
	defer cancel()
	began := time.Now()
	return d.Deliver(ctx, one), time.Since(began)
}

func ok() (samphirepass.Reply, error) {
	return samphirepass.Reply{Answer: &samphirepass.LeafAnswer{Status: 200}}, nil
}

// TestAnswerSettlesBeforeItsTarget leaves one shard hanging: the answer goes out with the others before the target time.
func TestAnswerSettlesBeforeItsTarget(t *testing.T) {
	s := &scripted{answer: func(ctx context.Context, to samphirepass.Leaf, _ int, _ samphirepass.Attempt) (samphirepass.Reply, error) {
		if to[0] == '1' {
			return hang(ctx)
		}
		return ok()
	}}
	d, _ := deliverer(s, &grant{})
	one := delivery(routed)
	one.PartialAfterMs, one.GraceMs = 60, 100
	out, took := run(d, one)
	require.Equal(t, 2, out.Answered)
	require.Nil(t, out.Replies[1])
	require.InDelta(t, 60, float64(took.Milliseconds()), 30)
}

// TestLateAnswerWaitsToBecomeWhole has too few shards in time, and the last of them a little later.
func TestLateAnswerWaitsToBecomeWhole(t *testing.T) {
	s := &scripted{answer: func(_ context.Context, to samphirepass.Leaf, _ int, _ samphirepass.Attempt) (samphirepass.Reply, error) {
		if to[0] != '0' {
			time.Sleep(time.Duration(to[0]-'0') * 50 * time.Millisecond)
		}
		return ok()
	}}
	d, _ := deliverer(s, &grant{})
	one := delivery(routed)
	one.PartialAfterMs, one.GraceMs = 30, 200
	out, _ := run(d, one)
	require.Equal(t, 3, out.Answered)
}

// TestHopelessRequestEndsAtOnce fails more shards than may be missing.
func TestHopelessRequestEndsAtOnce(t *testing.T) {
	s := &scripted{answer: func(ctx context.Context, to samphirepass.Leaf, _ int, _ samphirepass.Attempt) (samphirepass.Reply, error) {
		if to[0] == '0' {
			return hang(ctx)
		}
		return samphirepass.Reply{}, fail(samphirepass.FailureLost)
	}}
	d, _ := deliverer(s, &grant{left: 10})
	out, took := run(d, delivery(routed))
	require.Zero(t, out.Answered)
	require.True(t, out.MaybeRun)
	require.Less(t, took, 100*time.Millisecond)
}

// TestOnceIsNeverRepeated lets the first leaf of a request that may run once fail in every way.
func TestOnceIsNeverRepeated(t *testing.T) {
	tests := map[string]struct {
		kind     samphirepass.FailureKind
		attempts int
		maybeRun bool
	}{
		"refused":                   {samphirepass.FailureShed, 2, false},
		"another leaf":              {samphirepass.FailureGone, 2, false},
		"no byte written":           {samphirepass.FailureNotSent, 2, false},
		"lost":                      {samphirepass.FailureLost, 1, true},
		"answer of another request": {samphirepass.FailureMismatch, 1, true},
		"failed":                    {samphirepass.FailureAnswered, 1, true},
		"silent":                    {samphirepass.FailureSilent, 1, true},
	}
	once := routed
	once.Kind = samphirepass.AtMostOnce
	once.Services = []samphirepass.WeightedService{{Service: service(0), Weight: 1}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := &scripted{answer: func(_ context.Context, to samphirepass.Leaf, _ int, _ samphirepass.Attempt) (samphirepass.Reply, error) {
				if to == "0-0" {
					return samphirepass.Reply{}, fail(tt.kind)
				}
				return ok()
			}}
			d, _ := deliverer(s, &grant{left: 10})
			out, _ := run(d, delivery(once))
			require.Equal(t, tt.attempts, s.count("0-0")+s.count("0-1"))
			require.Equal(t, tt.maybeRun, out.MaybeRun)
		})
	}
}

// TestOnceIsNeverHedged keeps the only attempt waiting for long.
func TestOnceIsNeverHedged(t *testing.T) {
	once := routed
	once.Kind = samphirepass.AtMostOnce
	once.Services = []samphirepass.WeightedService{{Service: service(0), Weight: 1}}
	var slow atomic.Bool
	s := &scripted{answer: func(ctx context.Context, _ samphirepass.Leaf, _ int, _ samphirepass.Attempt) (samphirepass.Reply, error) {
		if slow.Load() {
			return hang(ctx)
		}
		return ok()
	}}
	d, _ := deliverer(s, &grant{left: 1000})
	for range 200 {
		run(d, delivery(once))
	}
	slow.Store(true)
	before := s.count("0-0") + s.count("0-1")
	out, _ := run(d, delivery(once))
	require.Equal(t, before+1, s.count("0-0")+s.count("0-1"))
	require.True(t, out.MaybeRun, "what is still under way may have run")
}

// TestBudgetBoundsAttempts fails every first attempt, with no budget for another.
func TestBudgetBoundsAttempts(t *testing.T) {
	s := &scripted{answer: func(context.Context, samphirepass.Leaf, int, samphirepass.Attempt) (samphirepass.Reply, error) {
		return samphirepass.Reply{}, fail(samphirepass.FailureShed)
	}}
	one := routed
	one.Services, one.MaxAttempts = []samphirepass.WeightedService{{Service: service(0), Weight: 1}}, 9
	d, r := deliverer(s, &grant{left: 1})
	third := announcement("0-2", 1, 1, samphirepass.LeafServing)
	third.Service = service(0)
	r.Apply(third, 0, true)
	out, _ := run(d, delivery(one))
	require.Equal(t, 1, out.Extra)
	require.Equal(t, 2, out.Attempts)
	require.False(t, out.MaybeRun)
}

// TestUnsentAttemptsAreFree has a leaf that no byte reaches: the other one is asked though there is no budget.
func TestUnsentAttemptsAreFree(t *testing.T) {
	s := &scripted{answer: func(_ context.Context, to samphirepass.Leaf, _ int, _ samphirepass.Attempt) (samphirepass.Reply, error) {
		if to[2] == '0' {
			return samphirepass.Reply{}, fail(samphirepass.FailureNotSent)
		}
		return ok()
	}}
	d, _ := deliverer(s, &grant{})
	out, _ := run(d, delivery(routed))
	require.Equal(t, 3, out.Answered)
	require.Zero(t, out.Extra)
}

// TestLosersEndByThemselves hedges a slow leaf and checks that its attempt is not cut while it may still end.
func TestLosersEndByThemselves(t *testing.T) {
	ended := make(chan error, 1)
	var slow atomic.Bool
	s := &scripted{answer: func(ctx context.Context, to samphirepass.Leaf, _ int, _ samphirepass.Attempt) (samphirepass.Reply, error) {
		if slow.Load() && to == "0-0" {
			select {
			case <-time.After(150 * time.Millisecond):
				ended <- nil
			case <-ctx.Done():
				ended <- ctx.Err()
			}
		}
		return ok()
	}}
	d, _ := deliverer(s, &grant{left: 1000})
	for range 100 {
		run(d, delivery(routed))
	}
	slow.Store(true)
	out, took := run(d, delivery(routed))
	require.Equal(t, 3, out.Answered)
	require.Less(t, took, 140*time.Millisecond)
	require.NoError(t, <-ended)
}

// TestAttemptsEndAfterTheClient cuts a request off and checks that no leaf works on for long.
func TestAttemptsEndAfterTheClient(t *testing.T) {
	ended := make(chan time.Time, 3)
	s := &scripted{answer: func(ctx context.Context, _ samphirepass.Leaf, _ int, _ samphirepass.Attempt) (samphirepass.Reply, error) {
		<-ctx.Done()
		ended <- time.Now()
		return samphirepass.Reply{}, fail(samphirepass.FailureLost)
	}}
	d, _ := deliverer(s, &grant{})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	began := time.Now()
	d.Deliver(ctx, delivery(routed))
	for range 3 {
		require.Less(t, (<-ended).Sub(began), 400*time.Millisecond)
	}
}

func TestAddressBelongsToTheLaterLeaf(t *testing.T) {
	r := leaf.NewRegistry(&manual{})
	at := func(name string, started samphirepass.Millis, sequence uint64) samphirepass.Announcement {
		a := announcement(name, samphirepass.Incarnation(started), sequence, samphirepass.LeafServing)
		a.Address, a.StartedMs, a.Service = "10.0.0.1:80", started, "desk"
		return a
	}
	hear := func(a samphirepass.Announcement) bool {
		newer, _ := r.Apply(a, 0, true)
		return newer
	}
	require.True(t, hear(at("old", 1000, 5)))
	require.True(t, hear(at("new", 2000, 1)))
	require.False(t, hear(at("old", 1000, 6)), "a late heartbeat does not take the address back")
	serving := r.Serving("desk")
	require.Len(t, serving, 1)
	require.Equal(t, samphirepass.Leaf("new"), serving[0].Leaf)
	require.True(t, hear(at("old", 3000, 1)), "the same name with a later start is another life")
	require.Equal(t, samphirepass.Leaf("old"), r.Serving("desk")[0].Leaf)
	require.True(t, r.MarkGone("old"))
	require.False(t, r.MarkGone("old"))
	require.False(t, hear(at("old", 3000, 9)), "a life that is over stays over")
	require.Empty(t, r.Serving("desk"))
}

func TestChangesSince(t *testing.T) {
	clock := &manual{}
	r := leaf.NewRegistry(clock)
	r.Apply(announcement("a", 1, 1, samphirepass.LeafServing), 0, true)
	all, version := r.ChangesSince(0)
	require.Len(t, all, 1)
	r.Apply(announcement("a", 1, 2, samphirepass.LeafServing), 0, true)
	none, same := r.ChangesSince(version)
	require.Empty(t, none, "a sign of life is no change")
	require.Equal(t, version, same)
	select {
	case <-r.Changed(version):
		require.Fail(t, "nothing has changed")
	default:
	}
	changed := r.Changed(version)
	r.Apply(announcement("a", 1, 3, samphirepass.LeafDraining), 0, true)
	<-changed
	news, _ := r.ChangesSince(version)
	require.Len(t, news, 1)
	require.Equal(t, samphirepass.LeafDraining, news[0].Announcement.State)
}

// TestSilentLeaves has sources disagree: a leaf is passed over only if all of them call it silent.
func TestSilentLeaves(t *testing.T) {
	clock := &manual{}
	r := leaf.NewRegistry(clock)
	for _, name := range []string{"a", "b", "c"} {
		x := announcement(name, 1, 1, samphirepass.LeafServing)
		x.Service = "desk"
		r.Apply(x, 0, true)
	}
	clock.now = leaf.SilentMs + 1
	require.Empty(t, r.SilentLeaves(), "where all fall silent the fault is on this side")
	for _, name := range []string{"b", "c"} {
		r.ApplyHeartbeat(leaf.Heartbeat{Leaf: samphirepass.Leaf(name), Incarnation: 1, Sequence: 2})
	}
	require.Equal(t, []samphirepass.Leaf{"a"}, r.SilentLeaves())
	r.SetSilentReport("one", []samphirepass.Leaf{"a"}, true)
	require.Len(t, r.Serving("desk"), 2)
	r.SetSilentReport("two", nil, true)
	require.Len(t, r.Serving("desk"), 3)
	r.SetSilentReport("two", nil, false)
	require.Len(t, r.Serving("desk"), 2, "a lost source has no say")
}

var _ samphirepass.Budget = (*policy.WindowBudget)(nil)

// TestLostAnswerIsAskedForAgain loses the answer of the first leaf of a request that may be repeated.
func TestLostAnswerIsAskedForAgain(t *testing.T) {
	s := &scripted{answer: func(_ context.Context, to samphirepass.Leaf, _ int, _ samphirepass.Attempt) (samphirepass.Reply, error) {
		if to == "0-0" {
			return samphirepass.Reply{}, fail(samphirepass.FailureLost)
		}
		return ok()
	}}
	one := routed
	one.Services = []samphirepass.WeightedService{{Service: service(0), Weight: 1}}
	clock := samphirepass.SystemClock{}
	d, _ := deliverer(s, policy.NewWindowBudget(policy.WindowLimits{Ratio: 0.2, SpanMs: 10_000, Slack: 60}, func() float64 { return 0.1 }, clock))
	out, _ := run(d, delivery(one))
	require.Equal(t, 1, out.Answered)
}
