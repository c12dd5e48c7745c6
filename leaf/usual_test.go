package leaf

import (
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/policy"
)

type still struct{ now samphirepass.Millis }

func (c *still) Now() samphirepass.Millis  { return c.now }
func (c *still) Wall() samphirepass.Millis { return c.now }

type two struct{}

func (two) Share(samphirepass.Announcement) int { return 2 }
func (two) Version() uint64                     { return 1 }

// TestPausesAndSlowLeaves books answers of the near one of two leaves that pauses now and then, or has turned slow:
// a pause must not send the following requests to another data centre, a slow leaf must.
func TestPausesAndSlowLeaves(t *testing.T) {
	const steps, usual, slow = 20, 20, 150
	tests := map[string]struct {
		slow func(n int) bool
		near bool
	}{
		"steady":                   {func(int) bool { return false }, true},
		"a pause met by a request": {func(n int) bool { return n == steps-1 }, true},
		"a pause met by two":       {func(n int) bool { return n >= steps-2 }, true},
		"slow from some time on":   {func(n int) bool { return n >= steps-4 }, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			clock := &still{now: 1000}
			pool := NewPool(clock, two{})
			near := Known{Announcement: samphirepass.Announcement{Leaf: "near", Address: "10.0.0.1:1", DataCentre: "derby", Slots: 3}}
			far := Known{Announcement: samphirepass.Announcement{Leaf: "far", Address: "10.0.0.2:1", DataCentre: "trent", Slots: 3}}
			for n := range steps {
				took := samphirepass.Millis(usual)
				if tt.slow(n) {
					took = slow
				}
				pool.target(near.Announcement).succeed(clock.now, took, samphirepass.Reply{})
				pool.target(far.Announcement).succeed(clock.now, usual, samphirepass.Reply{})
			}
			choice := policy.Steady{}.Choose([]samphirepass.Candidate{pool.Candidate(near, "derby"), pool.Candidate(far, "derby")})
			require.Equal(t, tt.near, choice == 0)
		})
	}
}
