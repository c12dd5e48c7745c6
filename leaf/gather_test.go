package leaf_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/leaf"
	"samphirepass/policy"
)

// scripted answers attempts as a test lays down.
type scripted struct {
	mu sync.Mutex
	// answer is called with the leaf and the number of attempts that it has had.
	answer func(ctx context.Context, to samphirepass.Leaf, n int, a samphirepass.Attempt) (samphirepass.Reply, error)
	counts map[samphirepass.Leaf]int
}

func (s *scripted) Send(ctx context.Context, to samphirepass.Announcement, a samphirepass.Attempt) (samphirepass.Reply, error) {
	s.mu.Lock()
	if s.counts == nil {
		s.counts = map[samphirepass.Leaf]int{}
	}
	n := s.counts[to.Leaf]
	s.counts[to.Leaf]++
	s.mu.Unlock()
	return s.answer(ctx, to.Leaf, n, a)
}

func (s *scripted) count(of samphirepass.Leaf) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[of]
}

func good(a samphirepass.Attempt) samphirepass.Reply {
	body, _ := json.Marshal([]samphirepass.Item{{Score: float64(a.Shard), Value: json.RawMessage(fmt.Sprint(a.Snapshot))}})
	return samphirepass.Reply{Body: body}
}

func fail(kind samphirepass.FailureKind) error {
	return &samphirepass.AttemptError{Kind: kind, Err: eris.New("scripted")}
}

func hang(ctx context.Context) (samphirepass.Reply, error) {
	<-ctx.Done()
	return samphirepass.Reply{}, fail(samphirepass.FailureLost)
}

// gatherer has two leaves for each of three shards of snapshot 1, and one for the one shard of snapshot 2's elder.
func gatherer(s *scripted, leaves ...samphirepass.Announcement) *leaf.Gatherer {
	clock := samphirepass.SystemClock{}
	r := leaf.NewRegistry(clock)
	for _, a := range leaves {
		r.Apply(a, 0, true)
	}
	pool := leaf.NewPool(clock, fixedShares(1))
	return leaf.NewGatherer(leaf.NewPlanner(r, clock), pool, s, "derby", policy.Named(policy.NameMeasured, clock), clock)
}

func replicas() []samphirepass.Announcement {
	var out []samphirepass.Announcement
	for shard := range 3 {
		for replica := range 2 {
			name := fmt.Sprintf("%d-%d", shard, replica)
			out = append(out, announcement(name, 1, 1, samphirepass.LeafServing, hold(2, 3, samphirepass.Shard(shard))))
		}
	}
	return out
}

func request(budget samphirepass.Percent) leaf.GatherRequest {
	return leaf.GatherRequest{
		ID: "q", Service: "desk", DeadlineMs: 300,
		Spec: samphirepass.ServiceSpec{HedgeBudgetPercent: budget, Merge: samphirepass.MergeSpec{Kind: samphirepass.MergeConcatenate}},
	}
}

func TestProofCoverageIsTrue(t *testing.T) {
	type reply = func(ctx context.Context, to samphirepass.Leaf, n int, a samphirepass.Attempt) (samphirepass.Reply, error)
	onShard1 := func(f reply) reply {
		return func(ctx context.Context, to samphirepass.Leaf, n int, a samphirepass.Attempt) (samphirepass.Reply, error) {
			if to[0] == '1' {
				return f(ctx, to, n, a)
			}
			return good(a), nil
		}
	}
	failing := func(kind samphirepass.FailureKind) reply {
		return onShard1(func(context.Context, samphirepass.Leaf, int, samphirepass.Attempt) (samphirepass.Reply, error) {
			return samphirepass.Reply{}, fail(kind)
		})
	}
	tests := map[string]struct {
		answer  reply
		budget  samphirepass.Percent
		missing []samphirepass.Shard
	}{
		"all answer": {answer: func(_ context.Context, _ samphirepass.Leaf, _ int, a samphirepass.Attempt) (samphirepass.Reply, error) {
			return good(a), nil
		}, missing: []samphirepass.Shard{}},
		"a shard lost":              {answer: failing(samphirepass.FailureLost), missing: []samphirepass.Shard{1}},
		"a shard refused":           {answer: failing(samphirepass.FailureShed), missing: []samphirepass.Shard{1}},
		"a shard answers otherwise": {answer: failing(samphirepass.FailureMismatch), missing: []samphirepass.Shard{1}},
		"a shard never answers": {answer: onShard1(func(ctx context.Context, _ samphirepass.Leaf, _ int, _ samphirepass.Attempt) (samphirepass.Reply, error) {
			return hang(ctx)
		}), missing: []samphirepass.Shard{1}},
		"a shard's own answers are partial": {answer: onShard1(func(_ context.Context, _ samphirepass.Leaf, _ int, a samphirepass.Attempt) (samphirepass.Reply, error) {
			r := good(a)
			r.Partial = true
			return r, nil
		}), budget: 100, missing: []samphirepass.Shard{1}},
		"one leaf is partial, the other is not": {answer: onShard1(func(_ context.Context, to samphirepass.Leaf, _ int, a samphirepass.Attempt) (samphirepass.Reply, error) {
			r := good(a)
			r.Partial = to == "1-0"
			return r, nil
		}), budget: 100, missing: []samphirepass.Shard{}},
		"the body is not a list of items": {answer: onShard1(func(_ context.Context, _ samphirepass.Leaf, _ int, _ samphirepass.Attempt) (samphirepass.Reply, error) {
			return samphirepass.Reply{Body: []byte(`{"x"`)}, nil
		}), missing: []samphirepass.Shard{1}},
		"an attempt that never left is tried elsewhere without a budget": {answer: onShard1(func(_ context.Context, to samphirepass.Leaf, _ int, a samphirepass.Attempt) (samphirepass.Reply, error) {
			if to == "1-0" {
				return samphirepass.Reply{}, fail(samphirepass.FailureNotSent)
			}
			return good(a), nil
		}), missing: []samphirepass.Shard{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for range 5 {
				g, err := gatherer(&scripted{answer: tt.answer}, replicas()...).Gather(t.Context(), request(tt.budget))
				require.NoError(t, err)
				require.Equal(t, tt.missing, g.Coverage.Missing)
				require.Equal(t, 3, g.Coverage.Total)
				require.Equal(t, 3-len(tt.missing), g.Coverage.Answered)
				require.Equal(t, len(tt.missing) == 0, g.Coverage.Whole())
			}
		})
	}
}

// TestProofRetiredSnapshotStartsAgain has snapshot 2 retired while it is asked for; snapshot 1 still stands.
func TestProofRetiredSnapshotStartsAgain(t *testing.T) {
	s := &scripted{answer: func(_ context.Context, _ samphirepass.Leaf, _ int, a samphirepass.Attempt) (samphirepass.Reply, error) {
		if a.Snapshot == 2 && a.Shard == 1 {
			return samphirepass.Reply{}, fail(samphirepass.FailureNotHeld)
		}
		return good(a), nil
	}}
	leaves := append(replicas(), announcement("old", 1, 1, samphirepass.LeafServing, hold(1, 1, 0)))
	g, err := gatherer(s, leaves...).Gather(t.Context(), request(0))
	require.NoError(t, err)
	require.EqualValues(t, 1, g.Snapshot)
	require.True(t, g.Coverage.Whole())
	for _, item := range g.Items {
		require.Equal(t, "1", string(item.Value), "an item of another snapshot")
	}
}

func TestProofHedges(t *testing.T) {
	slow := func(ctx context.Context, to samphirepass.Leaf, n int, a samphirepass.Attempt) (samphirepass.Reply, error) {
		if to == "1-0" && n >= 60 {
			return hang(ctx)
		}
		time.Sleep(time.Millisecond)
		return good(a), nil
	}
	tests := map[string]struct {
		budget    samphirepass.Percent
		congested bool
		whole     bool
	}{
		"a late shard is asked again": {budget: 50, whole: true},
		"no budget, no hedge":         {budget: 0},
		"none while requests wait":    {budget: 50, congested: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := &scripted{answer: slow}

			g := gatherer(s, replicas()...)
			for range 200 {
				_, err := g.Gather(t.Context(), request(tt.budget))
				require.NoError(t, err)
				if s.count("1-0") >= 60 {
					break
				}
			}
			r := request(tt.budget)
			r.Congested = tt.congested
			hung := false
			for range 40 {
				before := s.count("1-0")
				got, err := g.Gather(t.Context(), r)
				require.NoError(t, err)
				if s.count("1-0") > before {
					hung = true
					require.Equal(t, tt.whole, got.Coverage.Whole())
					break
				}
			}
			require.True(t, hung, "the slow leaf was never asked")
		})
	}
}

// TestProofDrainMidQuery lets a leaf drain after the query was planned; the other leaf's failure must not bring it work.
func TestProofDrainMidQuery(t *testing.T) {
	clock := samphirepass.SystemClock{}
	tests := map[string]struct {
		drains bool
		whole  bool
	}{
		"serving": {whole: true},
		"drains":  {drains: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := leaf.NewRegistry(clock)
			for _, a := range replicas()[:2] {
				a.Holdings[0].Shards = 1
				r.Apply(a, 0, true)
			}
			first := samphirepass.Leaf("")
			s := &scripted{}
			s.answer = func(_ context.Context, to samphirepass.Leaf, _ int, a samphirepass.Attempt) (samphirepass.Reply, error) {
				if first == "" || first == to {
					first = to
					if tt.drains {
						for _, name := range []string{"0-0", "0-1"} {
							r.Apply(announcement(name, 1, 2, samphirepass.LeafDraining, hold(2, 1, 0)), 0, true)
						}
					}
					return samphirepass.Reply{}, fail(samphirepass.FailureNotSent)
				}
				return good(a), nil
			}
			pool := leaf.NewPool(clock, fixedShares(1))
			g := leaf.NewGatherer(leaf.NewPlanner(r, clock), pool, s, "derby", policy.Named(policy.NameMeasured, clock), clock)
			got, err := g.Gather(t.Context(), request(100))
			require.NoError(t, err)
			require.Equal(t, tt.whole, got.Coverage.Whole())
		})
	}
}

func TestMergeTop(t *testing.T) {
	s := &scripted{answer: func(_ context.Context, _ samphirepass.Leaf, _ int, a samphirepass.Attempt) (samphirepass.Reply, error) {
		return good(a), nil
	}}
	r := request(0)
	r.Spec.Merge = samphirepass.MergeSpec{Kind: samphirepass.MergeTop, N: 2}
	g, err := gatherer(s, replicas()...).Gather(t.Context(), r)
	require.NoError(t, err)
	require.Len(t, g.Items, 2)
	require.EqualValues(t, 2, g.Items[0].Score)
	require.EqualValues(t, 1, g.Items[1].Score)
}
