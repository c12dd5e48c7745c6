package collector_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/leaf"
	"samphirepass/metrics"
)

// testPath is a path to leaves that a test loses. Its zero value is up.
type testPath struct {
	mu   sync.Mutex
	lost chan struct{}
}

func (p *testPath) Narrow() bool { return false }

func (p *testPath) Lost() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lost == nil {
		p.lost = make(chan struct{})
	}
	return p.lost
}

func (p *testPath) lose() {
	p.Lost()
	close(p.lost)
}

// TestProofCollectorsWithoutPathCostNoRequest guards against requests that fail as parts of them are collected where no leaf is reached,
// also if most collectors are cut off and seem overloaded.
func TestProofCollectorsWithoutPathCostNoRequest(t *testing.T) {
	for name, cut := range map[string]int{"one": 1, "most": 6} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 100, nil, quick)
			require.Equal(t, fleetShards, f.client.Deliver(t.Context(), f.delivery()).Answered)
			for _, m := range f.members[:cut] {
				m.path.lose()
			}
			for range 20 {
				began := time.Now()
				result := f.client.Deliver(t.Context(), f.delivery())
				require.Equal(t, fleetShards, result.Answered)
				require.Less(t, time.Since(began), 200*time.Millisecond)
			}
			require.Equal(t, "0", f.repeats(metrics.RepeatFailed))
		})
	}
}

// TestProofPathLostHalfwayCostsNoRequest guards against the loss of the requests that are under way when collectors lose their paths.
func TestProofPathLostHalfwayCostsNoRequest(t *testing.T) {
	f := startFleet(t, 100, nil, func(samphirepass.Leaf, samphirepass.Attempt) (time.Duration, samphirepass.FailureKind) {
		return 60 * time.Millisecond, ""
	})
	require.Equal(t, fleetShards, f.client.Deliver(t.Context(), f.delivery()).Answered)
	time.AfterFunc(30*time.Millisecond, func() {
		for _, m := range f.members[:4] {
			m.path.lose()
		}
	})
	result := f.client.Deliver(t.Context(), f.delivery())
	require.Equal(t, fleetShards, result.Answered)
	require.Len(t, result.Merged.Signatures, fleetShards, "each shard is merged once")
	most, _ := f.leaves.most()
	require.LessOrEqual(t, most, 2, "attempts on one shard")
}

// TestEntryWithoutPathLeavesAllToCollectors guards against parts that an entry asks leaves for itself though it reaches none.
func TestEntryWithoutPathLeavesAllToCollectors(t *testing.T) {
	d := largeDelivery(20)
	collectors := []*testCollector{startCollector(t, 0), startCollector(t, 0)}
	c, own := startEntryWithoutPath(t, d, collectors)
	result := c.Deliver(t.Context(), d)
	require.Equal(t, 20, result.Answered)
	require.Empty(t, own.calls())
}

// TestNoPathAnywhereIsSaid guards against a request without any path that seems refused by leaves, or maybe run.
func TestNoPathAnywhereIsSaid(t *testing.T) {
	f := startFleet(t, 100, nil, quick)
	f.path.lose()
	for _, m := range f.members {
		m.path.lose()
	}
	began := time.Now()
	var result leaf.DeliveryResult
	for range 2 {
		result = f.client.Deliver(t.Context(), f.delivery())
		require.True(t, result.NoPath)
		require.False(t, result.MaybeRun)
		require.Zero(t, result.Answered)
	}
	require.Less(t, time.Since(began), 200*time.Millisecond)
}
