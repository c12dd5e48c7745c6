package policy_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/policy"
)

// emulatedShard is the leaves of a shard, whose slots take requests in the order of their arrival.
type emulatedShard struct {
	// freeAt holds the times at which the slots become free.
	freeAt []samphirepass.Millis
}

// finish returns when a request that arrives now ends, or false if the queue is longer than maxWaitMs.
func (e *emulatedShard) finish(now, work, maxWaitMs samphirepass.Millis) (samphirepass.Millis, bool) {
	first := 0
	for i, at := range e.freeAt {
		if at < e.freeAt[first] {
			first = i
		}
	}
	start := max(now, e.freeAt[first])
	if start-now > maxWaitMs {
		return 0, false
	}
	e.freeAt[first] = start + work
	return e.freeAt[first], true
}

// emulation is a load of requests over ten shards, of which a request may lack one.
type emulation struct {
	// slots is the number of slots of each shard.
	slots    [10]int
	perS     float64
	requests int
}

const (
	emulatedWorkMs  samphirepass.Millis = 20
	emulatedQueueMs samphirepass.Millis = 120
	emulatedDueMs   samphirepass.Millis = 130
	requiredShards                      = 9
)

// outcome is what a request's asked shards are known to have done at a time.
type outcome struct {
	at     samphirepass.Millis
	shard  samphirepass.Service
	onTime bool
}

// run returns the share of requests with enough shards in time, and the mean share of shards in their answers.
func (e emulation) run(skip func(shards []samphirepass.Service) []int, record func(samphirepass.Service, bool)) (served, whole float64) {
	random := rand.New(rand.NewPCG(7, 9))
	var shards []samphirepass.Service
	var leaves []*emulatedShard
	for i, n := range e.slots {
		shards = append(shards, samphirepass.Service(fmt.Sprint("s", i)))
		leaves = append(leaves, &emulatedShard{freeAt: make([]samphirepass.Millis, n)})
	}
	var pending []outcome
	now := samphirepass.Millis(0)
	for range e.requests {
		now += samphirepass.Millis(random.ExpFloat64() * 1000 / e.perS)
		for len(pending) > 0 && pending[0].at <= now {
			record(pending[0].shard, pending[0].onTime)
			pending = pending[1:]
		}
		skipped := map[int]bool{}
		for _, i := range skip(shards) {
			skipped[i] = true
		}
		inTime := 0
		for i, l := range leaves {
			if skipped[i] {
				continue
			}
			end, ok := l.finish(now, emulatedWorkMs*samphirepass.Millis(0.5+random.Float64()), emulatedQueueMs)
			onTime := ok && end-now <= emulatedDueMs
			if onTime {
				inTime++
			}
			pending = append(pending, outcome{now + emulatedDueMs, shards[i], onTime})
		}
		if inTime >= requiredShards {
			served++
			whole += float64(inTime) / float64(len(shards))
		}
	}
	return served / float64(e.requests), whole / max(served, 1)
}

// TestOverloadedShards answers the load pattern of shards that have lost most of their leaves: they get more requests than they can
// serve, so all their answers are late, and with two of them no request is complete enough in time although it may lack a shard.
func TestOverloadedShards(t *testing.T) {
	tests := map[string]struct {
		slots [10]int
		// minServed is the least share of requests that must be served in time: 0.8 of what the slots allow, which is all of them,
		// as each request needs one of the overloaded shards at most.
		minServed float64
		// minGain is the least difference to the share without skipping.
		minGain float64
	}{
		"none":                 {[10]int{9, 9, 9, 9, 9, 9, 9, 9, 9, 9}, 0.99, 0},
		"one, which may lack":  {[10]int{3, 9, 9, 9, 9, 9, 9, 9, 9, 9}, 0.99, 0},
		"two":                  {[10]int{3, 3, 9, 9, 9, 9, 9, 9, 9, 9}, 0.8, 0.2},
		"two and a busy third": {[10]int{3, 3, 6, 9, 9, 9, 9, 9, 9, 9}, 0.8, 0.2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := emulation{slots: tt.slots, perS: 190, requests: 20_000}
			baseline, _ := e.run(func([]samphirepass.Service) []int { return nil }, func(samphirepass.Service, bool) {})
			skipper := policy.NewShardSkipper()
			served, whole := e.run(func(shards []samphirepass.Service) []int { return skipper.Select(shards, len(shards)-requiredShards) }, skipper.Record)
			t.Logf("served in time: %.3f without skipping, %.3f with it, mean share of shards %.3f", baseline, served, whole)
			require.GreaterOrEqual(t, served, tt.minServed)
			require.GreaterOrEqual(t, served, baseline+tt.minGain)
		})
	}
}

// TestBriefPauseSkipsNothing guards against leaving out a shard after the few late answers of a leaf that paused.
func TestBriefPauseSkipsNothing(t *testing.T) {
	s := policy.NewShardSkipper()
	for range 3 {
		s.Record("a", false)
	}
	for range 1000 {
		require.Empty(t, s.Select([]samphirepass.Service{"a", "b"}, 1))
	}
	for range 50 {
		s.Record("a", false)
	}
	skipped := 0
	for range 1000 {
		skipped += len(s.Select([]samphirepass.Service{"a", "b"}, 1))
	}
	require.Greater(t, skipped, 700)
	require.Less(t, skipped, 950, "some requests show when the shard has recovered")
	require.Empty(t, s.Select([]samphirepass.Service{"a", "b"}, 0), "a request that may lack no shard leaves none out")
	for range 100 {
		s.Record("a", true)
	}
	for range 1000 {
		require.Empty(t, s.Select([]samphirepass.Service{"a", "b"}, 1))
	}
}
