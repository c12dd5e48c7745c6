package policy_test

import (
	"math/rand"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/policy"
)

const budgetBytes = 1 << 20

func newClientMemory(connections int) *policy.ClientMemory {
	return policy.NewClientMemory(policy.ClientMemoryLimits{Bytes: budgetBytes, Connections: connections})
}

// evictions counts evictions by the state of the client.
type evictions struct{ idle, sending, reading atomic.Int64 }

func (e *evictions) evict(s policy.ClientState) {
	switch s {
	case policy.ClientIdle:
		e.idle.Add(1)
	case policy.ClientSending:
		e.sending.Add(1)
	case policy.ClientReading:
		e.reading.Add(1)
	}
}

// TestProofLongestHeldMemoryGoesFirst guards against an eviction of a client that makes progress, or whose request may be running.
func TestProofLongestHeldMemoryGoesFirst(t *testing.T) {
	m := newClientMemory(0)
	var stalled, moving, running, other evictions
	connect := func(e *evictions, s policy.ClientState, bytes int64) *policy.ClientHolder {
		h, err := m.Connect(0, "front", e.evict)
		require.NoError(t, err)
		require.True(t, h.Enter(s, 0))
		require.NoError(t, h.Resize(0, bytes))
		return h
	}
	running1 := connect(&running, policy.ClientSending, 100_000)
	require.True(t, running1.Enter(policy.ClientWaiting, 0))
	stalled1 := connect(&stalled, policy.ClientSending, 200_000)
	moving1 := connect(&moving, policy.ClientSending, 300_000)
	h, err := m.Connect(0, "front", other.evict)
	require.NoError(t, err)
	require.ErrorIs(t, h.Resize(0, 200_000), policy.ErrMemoryShort, "nothing has stalled yet")
	moving1.Progress(5000, 2000)
	stalled1.Progress(5000, 20)
	require.NoError(t, h.Resize(5010, 200_000))
	require.Eventually(t, func() bool { return stalled.sending.Load() == 1 }, time.Second, time.Millisecond)
	require.True(t, stalled1.Evicted())
	require.False(t, stalled1.Enter(policy.ClientWaiting, 5010), "an evicted request must not be run")
	require.ErrorIs(t, h.Resize(5010, 500_000), policy.ErrMemoryShort)
	require.Zero(t, moving.sending.Load()+running.sending.Load()+running.reading.Load())
	for _, c := range []*policy.ClientHolder{running1, stalled1, moving1, h} {
		c.Close()
	}
	used, connections := m.Used()
	require.Zero(t, used)
	require.Zero(t, connections)
}

// TestProofOrdinaryRequestsKeepAReserve guards against large requests that leave no memory for small ones.
func TestProofOrdinaryRequestsKeepAReserve(t *testing.T) {
	m := newClientMemory(0)
	var e evictions
	for i := 0; ; i++ {
		h, err := m.Connect(0, "front", e.evict)
		require.NoError(t, err)
		require.True(t, h.Enter(policy.ClientSending, 0))
		if h.Resize(0, 100_000) != nil {
			require.Greater(t, i, 3)
			break
		}
	}
	h, err := m.Connect(0, "front", e.evict)
	require.NoError(t, err)
	require.NoError(t, h.Resize(0, 60_000))
}

// TestProofIdleConnectionsGoLast guards against closing a connection that its client may use again while others do nothing.
func TestProofIdleConnectionsGoLast(t *testing.T) {
	const limit = 8
	tests := map[string]struct {
		others  func(*policy.ClientHolder)
		evicted func(used, others *evictions) int64
	}{
		"others never sent anything":  {func(*policy.ClientHolder) {}, func(_, others *evictions) int64 { return others.idle.Load() }},
		"others stopped in a request": {func(h *policy.ClientHolder) { h.Enter(policy.ClientSending, 0) }, func(_, others *evictions) int64 { return others.sending.Load() }},
		"others do not read":          {func(h *policy.ClientHolder) { h.Enter(policy.ClientWaiting, 0); h.Writing(0) }, func(_, others *evictions) int64 { return others.reading.Load() }},
		"others run":                  {func(h *policy.ClientHolder) { h.Enter(policy.ClientWaiting, 0) }, func(used, _ *evictions) int64 { return used.idle.Load() }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := newClientMemory(limit)
			var used, others evictions
			h, err := m.Connect(0, "front", used.evict)
			require.NoError(t, err)
			h.Idle(0, 15_000)
			for range limit*3/4 - 1 {
				h, err := m.Connect(0, "front", others.evict)
				require.NoError(t, err)
				tt.others(h)
			}
			_, err = m.Connect(12_000, "front", others.evict)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return tt.evicted(&used, &others) == 1 }, time.Second, time.Millisecond)
			_, err = m.Connect(12_000, "metrics", others.evict)
			require.NoError(t, err, "one address leaves connections to the others")
		})
	}
}

// TestProofClientMemoryIsBounded guards against a series of requests, answers and evictions after which more is held than is allowed, or
// something is held by nobody.
func TestProofClientMemoryIsBounded(t *testing.T) {
	for seed := range int64(200) {
		rnd := rand.New(rand.NewSource(seed))
		m := newClientMemory(20)
		var e evictions
		var all []*policy.ClientHolder
		now := samphirepass.Millis(1)
		for range 500 {
			now += samphirepass.Millis(rnd.Intn(30))
			if len(all) == 0 || rnd.Intn(5) == 0 {
				if h, err := m.Connect(now, "front", e.evict); err == nil {
					all = append(all, h)
				}
				continue
			}
			i := rnd.Intn(len(all))
			switch h := all[i]; rnd.Intn(8) {
			case 0:
				h.Enter(policy.ClientSending, now)
			case 1, 2:
				_ = h.Resize(now, rnd.Int63n(400_000))
			case 3:
				h.Enter(policy.ClientWaiting, now)
			case 4:
				h.Writing(now)
				_ = h.Add(now, rnd.Int63n(400_000))
			case 5:
				h.Idle(now, 15_000)
			case 6:
				h.Progress(now, rnd.Intn(3000))
			case 7:
				h.Close()
				all = append(all[:i], all[i+1:]...)
			}
			used, connections := m.Used()
			require.LessOrEqual(t, used, int64(2*budgetBytes), "seed %d", seed)
			require.LessOrEqual(t, connections, 20, "seed %d", seed)
			require.GreaterOrEqual(t, used, int64(0), "seed %d", seed)
		}
		for _, h := range all {
			h.Close()
		}
		used, connections := m.Used()
		require.Zero(t, used, "seed %d", seed)
		require.Zero(t, connections, "seed %d", seed)
	}
}
