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

// scriptedSender answers attempts with a function of the test.
type scriptedSender struct {
	mu sync.Mutex
	// answer is called with the leaf and the number of earlier attempts on it.
	answer func(ctx context.Context, to samphirepass.Leaf, n int, a samphirepass.Attempt) (samphirepass.Reply, error)
	counts map[samphirepass.Leaf]int
	// waitAt is a leaf to which no attempt is sent until it is withdrawn.
	waitAt samphirepass.Leaf
}

func (s *scriptedSender) Send(ctx context.Context, to samphirepass.Announcement, a samphirepass.Attempt) (samphirepass.Reply, error) {
	s.mu.Lock()
	if s.counts == nil {
		s.counts = map[samphirepass.Leaf]int{}
	}
	n := s.counts[to.Leaf]
	s.counts[to.Leaf]++
	s.mu.Unlock()
	if to.Leaf == s.waitAt {
		<-a.Permit.Withdrawn()
	}
	if !a.Permit.Use() {
		return samphirepass.Reply{}, attemptError(samphirepass.FailureNotSent)
	}
	return s.answer(ctx, to.Leaf, n, a)
}

func (s *scriptedSender) count(of samphirepass.Leaf) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[of]
}

func itemReply(a samphirepass.Attempt) samphirepass.Reply {
	body, _ := json.Marshal([]samphirepass.Item{{Score: float64(a.Shard), Value: json.RawMessage(fmt.Sprint(a.Snapshot))}})
	return samphirepass.Reply{Body: body}
}

func attemptError(kind samphirepass.FailureKind) error {
	return &samphirepass.AttemptError{Kind: kind, Err: eris.New("scripted")}
}

func waitForCancel(ctx context.Context) (samphirepass.Reply, error) {
	<-ctx.Done()
	return samphirepass.Reply{}, attemptError(samphirepass.FailureLost)
}

// newGatherer returns a gatherer that knows the given leaves.
func newGatherer(s *scriptedSender, leaves ...samphirepass.Announcement) *leaf.Gatherer {
	clock := samphirepass.SystemClock{}
	r := leaf.NewRegistry(clock)
	for _, a := range leaves {
		r.Apply(a, 0, true)
	}
	pool := leaf.NewPool(clock, fixedShares(1))
	return leaf.NewGatherer(leaf.NewPlanner(r, clock), pool, s, "derby", policy.Named(policy.NameMeasured, clock), clock)
}

// replicaAnnouncements returns two leaves for each of the three shards of snapshot 2, named shard-replica.
func replicaAnnouncements() []samphirepass.Announcement {
	var leaves []samphirepass.Announcement
	for shard := range 3 {
		for replica := range 2 {
			name := fmt.Sprintf("%d-%d", shard, replica)
			leaves = append(leaves, newAnnouncement(name, 1, 1, samphirepass.LeafServing, holding(2, 3, samphirepass.Shard(shard))))
		}
	}
	return leaves
}

func newRequest(budget samphirepass.Percent) leaf.GatherRequest {
	return leaf.GatherRequest{
		ID: "q", Service: "desk", DeadlineMs: 300,
		Spec: samphirepass.ServiceSpec{HedgeBudgetPercent: budget, Merge: samphirepass.MergeSpec{Kind: samphirepass.MergeConcatenate}},
	}
}

// TestProofCoverageIsTrue guards against counting a shard as answered without a whole answer, or as missing with one.
func TestProofCoverageIsTrue(t *testing.T) {
	type reply = func(ctx context.Context, to samphirepass.Leaf, n int, a samphirepass.Attempt) (samphirepass.Reply, error)
	onShard1 := func(f reply) reply {
		return func(ctx context.Context, to samphirepass.Leaf, n int, a samphirepass.Attempt) (samphirepass.Reply, error) {
			if to[0] == '1' {
				return f(ctx, to, n, a)
			}
			return itemReply(a), nil
		}
	}
	failing := func(kind samphirepass.FailureKind) reply {
		return onShard1(func(context.Context, samphirepass.Leaf, int, samphirepass.Attempt) (samphirepass.Reply, error) {
			return samphirepass.Reply{}, attemptError(kind)
		})
	}
	tests := map[string]struct {
		answer  reply
		budget  samphirepass.Percent
		missing []samphirepass.Shard
	}{
		"all answer": {answer: func(_ context.Context, _ samphirepass.Leaf, _ int, a samphirepass.Attempt) (samphirepass.Reply, error) {
			return itemReply(a), nil
		}, missing: []samphirepass.Shard{}},
		"a shard lost":                    {answer: failing(samphirepass.FailureLost), missing: []samphirepass.Shard{1}},
		"a shard refused":                 {answer: failing(samphirepass.FailureShed), missing: []samphirepass.Shard{1}},
		"a shard's answer does not match": {answer: failing(samphirepass.FailureMismatch), missing: []samphirepass.Shard{1}},
		"a shard never answers": {answer: onShard1(func(ctx context.Context, _ samphirepass.Leaf, _ int, _ samphirepass.Attempt) (samphirepass.Reply, error) {
			return waitForCancel(ctx)
		}), missing: []samphirepass.Shard{1}},
		"a shard's own answers are partial": {answer: onShard1(func(_ context.Context, _ samphirepass.Leaf, _ int, a samphirepass.Attempt) (samphirepass.Reply, error) {
			r := itemReply(a)
			r.Partial = true
			return r, nil
		}), budget: 100, missing: []samphirepass.Shard{1}},
		"one leaf is partial, the other is not": {answer: onShard1(func(_ context.Context, to samphirepass.Leaf, _ int, a samphirepass.Attempt) (samphirepass.Reply, error) {
			r := itemReply(a)
			r.Partial = to == "1-0"
			return r, nil
		}), budget: 100, missing: []samphirepass.Shard{}},
		"the body is not a list of items": {answer: onShard1(func(_ context.Context, _ samphirepass.Leaf, _ int, _ samphirepass.Attempt) (samphirepass.Reply, error) {
			return samphirepass.Reply{Body: []byte(`{"x"`)}, nil
		}), missing: []samphirepass.Shard{1}},
		"an attempt that was not sent is retried elsewhere without a budget": {answer: onShard1(func(_ context.Context, to samphirepass.Leaf, _ int, a samphirepass.Attempt) (samphirepass.Reply, error) {
			if to == "1-0" {
				return samphirepass.Reply{}, attemptError(samphirepass.FailureNotSent)
			}
			return itemReply(a), nil
		}), missing: []samphirepass.Shard{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for range 5 {
				result, err := newGatherer(&scriptedSender{answer: tt.answer}, replicaAnnouncements()...).Gather(t.Context(), newRequest(tt.budget))
				require.NoError(t, err)
				require.Equal(t, tt.missing, result.Coverage.Missing)
				require.Equal(t, 3, result.Coverage.Total)
				require.Equal(t, 3-len(tt.missing), result.Coverage.Answered)
				require.Equal(t, len(tt.missing) == 0, result.Coverage.Whole())
			}
		})
	}
}

// TestProofRetiredSnapshotRestartsQuery guards against a mixed or incomplete answer when a leaf has already retired snapshot 2:
// the query restarts on snapshot 1.
func TestProofRetiredSnapshotRestartsQuery(t *testing.T) {
	s := &scriptedSender{answer: func(_ context.Context, _ samphirepass.Leaf, _ int, a samphirepass.Attempt) (samphirepass.Reply, error) {
		if a.Snapshot == 2 && a.Shard == 1 {
			return samphirepass.Reply{}, attemptError(samphirepass.FailureNotHeld)
		}
		return itemReply(a), nil
	}}
	leaves := append(replicaAnnouncements(), newAnnouncement("old", 1, 1, samphirepass.LeafServing, holding(1, 1, 0)))
	result, err := newGatherer(s, leaves...).Gather(t.Context(), newRequest(0))
	require.NoError(t, err)
	require.EqualValues(t, 1, result.Snapshot)
	require.True(t, result.Coverage.Whole())
	for _, item := range result.Items {
		require.Equal(t, "1", string(item.Value), "an item of another snapshot")
	}
}

// TestProofHedges makes one leaf hang: its shard is answered only if a hedge is sent to the other leaf.
func TestProofHedges(t *testing.T) {
	slow := func(ctx context.Context, to samphirepass.Leaf, n int, a samphirepass.Attempt) (samphirepass.Reply, error) {
		if to == "1-0" && n >= 60 {
			return waitForCancel(ctx)
		}
		time.Sleep(time.Millisecond)
		return itemReply(a), nil
	}
	tests := map[string]struct {
		budget    samphirepass.Percent
		congested bool
		whole     bool
	}{
		"a late shard is hedged":       {budget: 50, whole: true},
		"no budget, no hedge":          {budget: 0},
		"no hedge while requests wait": {budget: 50, congested: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := &scriptedSender{answer: slow}

			g := newGatherer(s, replicaAnnouncements()...)
			for range 200 {
				_, err := g.Gather(t.Context(), newRequest(tt.budget))
				require.NoError(t, err)
				if s.count("1-0") >= 60 {
					break
				}
			}
			r := newRequest(tt.budget)
			r.Congested = tt.congested
			hung := false
			for range 40 {
				before := s.count("1-0")
				result, err := g.Gather(t.Context(), r)
				require.NoError(t, err)
				if s.count("1-0") > before {
					hung = true
					require.Equal(t, tt.whole, result.Coverage.Whole())
					break
				}
			}
			require.True(t, hung, "the slow leaf was never asked")
		})
	}
}

// TestProofDrainMidQuery guards against a retry on a leaf that began to drain after the query was planned.
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
			for _, a := range replicaAnnouncements()[:2] {
				a.Holdings[0].Shards = 1
				r.Apply(a, 0, true)
			}
			first := samphirepass.Leaf("")
			s := &scriptedSender{}
			s.answer = func(_ context.Context, to samphirepass.Leaf, _ int, a samphirepass.Attempt) (samphirepass.Reply, error) {
				if first == "" || first == to {
					first = to
					if tt.drains {
						for _, name := range []string{"0-0", "0-1"} {
							r.Apply(newAnnouncement(name, 1, 2, samphirepass.LeafDraining, holding(2, 1, 0)), 0, true)
						}
					}
					return samphirepass.Reply{}, attemptError(samphirepass.FailureNotSent)
				}
				return itemReply(a), nil
			}
			pool := leaf.NewPool(clock, fixedShares(1))
			g := leaf.NewGatherer(leaf.NewPlanner(r, clock), pool, s, "derby", policy.Named(policy.NameMeasured, clock), clock)
			result, err := g.Gather(t.Context(), newRequest(100))
			require.NoError(t, err)
			require.Equal(t, tt.whole, result.Coverage.Whole())
		})
	}
}

func TestMergeTop(t *testing.T) {
	s := &scriptedSender{answer: func(_ context.Context, _ samphirepass.Leaf, _ int, a samphirepass.Attempt) (samphirepass.Reply, error) {
		return itemReply(a), nil
	}}
	r := newRequest(0)
	r.Spec.Merge = samphirepass.MergeSpec{Kind: samphirepass.MergeTop, N: 2}
	result, err := newGatherer(s, replicaAnnouncements()...).Gather(t.Context(), r)
	require.NoError(t, err)
	require.Len(t, result.Items, 2)
	require.EqualValues(t, 2, result.Items[0].Score)
	require.EqualValues(t, 1, result.Items[1].Score)
}
