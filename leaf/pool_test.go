package leaf

import (
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/policy"
)

type manualClock struct{ now samphirepass.Millis }

func (c *manualClock) Now() samphirepass.Millis  { return c.now }
func (c *manualClock) Wall() samphirepass.Millis { return c.now }

type fixedShares struct{}

func (fixedShares) Share(samphirepass.Announcement) int   { return 2 }
func (fixedShares) Version() uint64                       { return 1 }
func (fixedShares) Senders(samphirepass.Announcement) int { return 1 }

// TestPausesAndSlowLeaves guards against a single pause of the local leaf that sends the next requests to another data centre,
// and against staying with a local leaf that has become slow.
func TestPausesAndSlowLeaves(t *testing.T) {
	const steps, usual, slow = 20, 20, 150
	tests := map[string]struct {
		slow func(n int) bool
		// atOnce is set if the slow answers belong to requests that were in flight together.
		atOnce bool
		local  bool
	}{
		"steady":                      {func(int) bool { return false }, false, true},
		"a pause delays one request":  {func(n int) bool { return n == steps-1 }, false, true},
		"a pause delays two at once":  {func(n int) bool { return n >= steps-2 }, true, true},
		"a pause delays four at once": {func(n int) bool { return n >= steps-4 }, true, true},
		"slow from some time on":      {func(n int) bool { return n >= steps-2 }, false, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			clock := &manualClock{now: 1000}
			pool := NewPool(clock, fixedShares{})
			local := Registration{Announcement: samphirepass.Announcement{Leaf: "near", Address: "10.0.0.1:1", DataCentre: "derby", Slots: 3}}
			remote := Registration{Announcement: samphirepass.Announcement{Leaf: "far", Address: "10.0.0.2:1", DataCentre: "trent", Slots: 3}}
			for n := range steps {
				took := samphirepass.Millis(usual)
				if tt.slow(n) {
					took = slow
				}
				if !tt.atOnce || !tt.slow(n-1) {
					clock.now += took
				}
				pool.target(local.Announcement).recordSuccess(clock.now, took, 0, samphirepass.Reply{})
				pool.target(remote.Announcement).recordSuccess(clock.now, usual, 0, samphirepass.Reply{})
			}
			choice := policy.LeastCostChooser{}.Choose([]samphirepass.Candidate{pool.Candidate(local, "derby", 0), pool.Candidate(remote, "derby", 0)})
			require.Equal(t, tt.local, choice == 0)
		})
	}
}

// TestMixOfQuickAndSlowKinds guards against a choice of the remote one of two equal leaves because the local one last answered,
// or is still working on, a slower kind of request.
func TestMixOfQuickAndSlowKinds(t *testing.T) {
	const quick, slow = 7, 20
	clock := &manualClock{now: 1000}
	pool := NewPool(clock, fixedShares{})
	local := Registration{Announcement: samphirepass.Announcement{Leaf: "near", Address: "10.0.0.1:1", DataCentre: "derby", Slots: 3}}
	remote := Registration{Announcement: samphirepass.Announcement{Leaf: "far", Address: "10.0.0.2:1", DataCentre: "trent", Slots: 3}}
	for range medianWindow {
		clock.now += slow
		pool.target(local.Announcement).recordSuccess(clock.now, slow, slow, samphirepass.Reply{})
		pool.target(remote.Announcement).recordSuccess(clock.now, quick, quick, samphirepass.Reply{})
	}
	choose := func(expected samphirepass.Millis) int {
		return policy.LeastCostChooser{}.Choose([]samphirepass.Candidate{pool.Candidate(local, "derby", expected), pool.Candidate(remote, "derby", expected)})
	}
	require.Equal(t, 0, choose(slow))
	require.Equal(t, 0, choose(quick))

	pool.target(local.Announcement).start(inFlightAttempt{startedAt: clock.now, expected: slow})
	clock.now += 2 * slow
	require.Equal(t, 0, choose(quick), "a slow request that takes twice its expected latency is no pause")
	clock.now += 2 * slow
	require.Equal(t, 1, choose(quick), "a slow request that takes four times its expected latency is a pause")
}

// TestIntermittentlyFailingLeaf guards against staying with a local leaf that loses a third of its answers:
// it never fails three times in a row, but each loss costs another attempt.
func TestIntermittentlyFailingLeaf(t *testing.T) {
	clock := &manualClock{now: 1000}
	pool := NewPool(clock, fixedShares{})
	local := Registration{Announcement: samphirepass.Announcement{Leaf: "near", Address: "10.0.0.1:1", DataCentre: "derby", Slots: 3}}
	remote := Registration{Announcement: samphirepass.Announcement{Leaf: "far", Address: "10.0.0.2:1", DataCentre: "trent", Slots: 3}}
	choose := func() int {
		return policy.LeastCostChooser{}.Choose([]samphirepass.Candidate{pool.Candidate(local, "derby", 20), pool.Candidate(remote, "derby", 20)})
	}
	for n := range 30 {
		clock.now += 20
		pool.target(remote.Announcement).recordSuccess(clock.now, 20, 20, samphirepass.Reply{})
		if n%3 == 0 {
			pool.target(local.Announcement).recordFailure(clock.now)
			continue
		}
		pool.target(local.Announcement).recordSuccess(clock.now, 20, 20, samphirepass.Reply{})
	}
	require.Equal(t, 1, choose())
	clock.now += 3 * failureRateDecayMs
	require.Equal(t, 0, choose(), "old failures decay")
}

// TestPauseOutlivesTheRegistration guards against requests in a pause that a leaf has asked for, as its heartbeats were late meanwhile and
// it was forgotten, and against targets that are kept for good.
func TestPauseOutlivesTheRegistration(t *testing.T) {
	clock := &manualClock{now: 1000}
	pool := NewPool(clock, fixedShares{})
	a := samphirepass.Announcement{Leaf: "near", Address: "10.0.0.1:1", DataCentre: "derby", Slots: 3, Incarnation: 1}
	reg := Registration{Announcement: a}
	pool.pause(a, 5000)
	pool.Refresh(nil)
	clock.now += 2000
	require.Equal(t, samphirepass.Millis(3000), pool.waitMs(reg))
	require.True(t, pool.mayConnect(a))
	restarted := reg
	restarted.Incarnation = 2
	require.Zero(t, pool.waitMs(restarted), "another incarnation has not asked for it")
	clock.now += 3000
	pool.Refresh(nil)
	require.Empty(t, pool.targets)
}
