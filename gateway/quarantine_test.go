package gateway_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/gateway"
	"samphirepass/leaf"
	"samphirepass/metrics"
	"samphirepass/policy"
)

// TestProofDeadlyRequestIsRefusedAtOnce guards against a request that is delivered again and again although leaves crash under it, and against
// the refusal of others.
func TestProofDeadlyRequestIsRefusedAtOnce(t *testing.T) {
	deadly := leaf.DeliveryResult{RequiredShards: 3, MaybeRun: true, Crashes: []samphirepass.LeafCrash{{Leaf: "a"}, {Leaf: "b"}, {Leaf: "c"}}}
	d := &fakeDeliverer{covered: 4, result: deadly}
	var reported []samphirepass.Suspicion
	clock := samphirepass.SystemClock{}
	dispatcher := gateway.NewDispatcher(gateway.Options{
		Deliverer: d, Quarantine: policy.NewQuarantine(clock), OnSuspicion: func(s samphirepass.Suspicion) { reported = append(reported, s) },
		Metrics: metrics.NewMetrics(), Clock: clock,
	})
	dispatcher.ApplyRouting(samphirepass.Routing{Version: 1, Routes: []samphirepass.Route{scatterGatherRoute, singleRoute}})
	send := func(id samphirepass.RequestID, target string) *samphirepass.Refusal {
		r := request("/g/")
		r.ID, r.Forwarded.Target = id, target
		_, err := dispatcher.Dispatch(t.Context(), r)
		return samphirepass.AsRefusal(err)
	}
	require.Equal(t, samphirepass.CodeOutcomeUnknown, send("1", "/deadly").Code)
	require.False(t, d.deliveries[0].Probe)
	d.result.Crashes = []samphirepass.LeafCrash{{Leaf: "d", Alone: true}}
	require.Equal(t, samphirepass.CodeOutcomeUnknown, send("2", "/deadly").Code)
	require.True(t, d.deliveries[1].Probe, "a single leaf shows whether the request is to blame")
	refusal := send("3", "/deadly")
	require.Equal(t, samphirepass.CodeQuarantined, refusal.Code)
	require.True(t, refusal.NotRun)
	require.Greater(t, refusal.RetryAfterMs, samphirepass.Millis(1000))
	require.Len(t, d.deliveries, 2, "a refused request is not delivered")
	require.Len(t, reported, 2)

	d.result = leaf.DeliveryResult{Replies: []*samphirepass.Reply{reply("a", ""), reply("b", ""), reply("c", ""), nil}, Answered: 3, RequiredShards: 3, Survived: true}
	require.Nil(t, send("4", "/other"))
	require.False(t, d.deliveries[2].Probe)
	// Leaves that crash under a request that others survive do so for another reason.
	d.result.Crashes = []samphirepass.LeafCrash{{Leaf: "e"}, {Leaf: "f"}, {Leaf: "g", Alone: true}}
	require.Nil(t, send("5", "/healthy"))
	require.Nil(t, send("6", "/healthy"))
	require.False(t, d.deliveries[4].Probe)
	require.Len(t, reported, 2)
}
