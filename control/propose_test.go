package control_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/control"
	"samphirepass/ledger"
	"samphirepass/peer"
)

// BenchmarkClaim measures claims committed through one client of three members by 16 goroutines per CPU.
func BenchmarkClaim(b *testing.B) {
	members := startMembers(b, 3)
	awaitFormed(b, members[0].opts.Members)
	peers := &peer.Pool{}
	defer peers.Close()
	c := control.NewClient(members[0].opts.Members, peers)
	now := samphirepass.SystemClock{}.Wall()
	var n atomic.Int64
	b.SetParallelism(16)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			key := samphirepass.RunKey(fmt.Sprint(n.Add(1)))
			claim := ledger.Claim{Service: "s", Key: key, KeyMs: now, Token: string(key), DeadlineMs: 1000, RetentionMs: 1e7}
			result, err := c.Propose(context.Background(), ledger.Command{Claim: &claim})
			if err != nil || !result.Claim.Granted {
				b.Error(err)
			}
		}
	})
	require.Positive(b, n.Load())
}
