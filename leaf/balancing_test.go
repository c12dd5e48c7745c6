package leaf

import (
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/policy"
)

// TestUnevenLeavesAreMeasured guards against measurements of a pool with which a service of uneven leaves is not switched on, or one of
// alike leaves is: each leaf gives ten answers a second, of two kinds of requests, and pauses now and then.
func TestUnevenLeavesAreMeasured(t *testing.T) {
	for name, slowness := range map[string]samphirepass.Millis{"uneven": 1.6, "alike": 1} {
		t.Run(name, func(t *testing.T) {
			clock := &manualClock{now: 1000}
			pool := NewPool(clock, fixedShares{})
			pool.MeasureSpeeds()
			balancer := policy.NewBalancer(policy.BalancerOptions{DataCentres: 1, Clock: clock})
			leaves := []Registration{
				{Announcement: samphirepass.Announcement{Leaf: "a", Service: "listings", Address: "10.0.0.1:1", DataCentre: "derby", Slots: 2}},
				{Announcement: samphirepass.Announcement{Leaf: "b", Service: "listings", Address: "10.0.0.2:1", DataCentre: "derby", Slots: 2}},
			}
			reason := policy.ReasonAlike
			for n := range 300 {
				clock.now += 100
				expected := samphirepass.Millis(60)
				if n%3 == 0 {
					expected = 7.5
				}
				for i, reg := range leaves {
					took := expected
					if i == 1 {
						took *= slowness
					}
					if n%40 == 20*i {
						took += 100
					}
					pool.target(reg.Announcement).recordSuccess(clock.now, took, expected, samphirepass.Reply{})
				}
				candidates := []samphirepass.Candidate{pool.Candidate(leaves[0], "derby", 60), pool.Candidate(leaves[1], "derby", 60)}
				_, reason = balancer.Decide(candidates)
			}
			require.Equal(t, slowness > 1, reason != policy.ReasonAlike)
			c := pool.Candidate(leaves[0], "derby", 60)
			require.Equal(t, samphirepass.Service("listings"), c.Service)
			require.Equal(t, samphirepass.DataCentre("derby"), c.DataCentre)
			require.InDelta(t, 75, float64(c.UsualLatencyMs), 25)
		})
	}
}
