package collector_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/peer"
)

// TestProofLateRefusalLeavesNoAttempts guards against more attempts on a shard than the route allows: a collector that was silent refuses its
// part after the part was delivered again, and the part must not be sent to a third one.
func TestProofLateRefusalLeavesNoAttempts(t *testing.T) {
	n := 0
	var failing atomic.Bool
	f := startFleet(t, 1000, func(h *peer.Handlers) {
		if n++; n == 5 {
			peer.HandleCall(h, "collect-limited", func(context.Context, struct{}) (struct{}, error) {
				return struct{}{}, samphirepass.Refuse(samphirepass.CodeOverloaded, "busy")
			})
		}
	}, func(samphirepass.Leaf, samphirepass.Attempt) (time.Duration, samphirepass.FailureKind) {
		if !failing.Load() {
			return 10 * time.Millisecond, ""
		}
		return 15 * time.Millisecond, samphirepass.FailureLost
	})
	failing.Store(true)
	f.members[4].freeze(true)
	time.AfterFunc(160*time.Millisecond, func() { f.members[4].freeze(false) })
	d := f.delivery()
	d.Route.MinShardShare = 0.01
	f.client.Deliver(t.Context(), d)
	time.Sleep(300 * time.Millisecond)
	most, _ := f.leaves.most()
	require.LessOrEqual(t, most, d.Route.MaxAttempts)
}
