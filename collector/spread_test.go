package collector_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/collector"
	"samphirepass/directory"
	"samphirepass/leaf"
	"samphirepass/peer"
)

// largeDelivery returns a delivery to n shards, of which a tenth may be missing.
func largeDelivery(n int) leaf.Delivery {
	d := scatterGatherDelivery()
	d.Shards = nil
	for i := range n {
		d.Shards = append(d.Shards, samphirepass.Service(fmt.Sprint("shard-", i)))
	}
	d.Route.ShardServices, d.Route.MinShardShare = d.Shards, 0.9
	return d
}

// startEntryForSpread returns the client of an entry whose data centre has all leaves and the given collectors, the first of which is much
// larger than the others.
func startEntryForSpread(t *testing.T, d leaf.Delivery, collectors []*testCollector) (*collector.Client, *fakeDeliverer) {
	t.Helper()
	r := leaf.NewRegistry(clock)
	for _, s := range d.Shards {
		announce(r, s, "derby")
	}
	var offers []directory.CollectorOffer
	for i, tc := range collectors {
		capacity := samphirepass.Capacity{Cores: 0.2}
		if i == 0 {
			capacity.Cores = 0.5
		}
		offers = append(offers, directory.CollectorOffer{Address: tc.relay.Address(), DataCentre: "derby", Capacity: capacity})
	}
	ownDeliverer := &fakeDeliverer{}
	peers := &peer.Pool{}
	t.Cleanup(peers.Close)
	c := collector.NewClient(collector.Options{
		VM: "small", Local: ownDeliverer, Registry: r, Peers: peers, Offers: func() []directory.CollectorOffer { return slices.Clone(offers) },
		Shards: func() []samphirepass.Service { return d.Shards }, DataCentre: "derby", Capacity: samphirepass.Capacity{Cores: 0.2}, Clock: clock,
	})
	serveUntilConnected(t, c, peers, offers)
	return c, ownDeliverer
}

// TestProofCollectorsShareOneRequest guards against one collector asking the leaves of all shards of a request while others are idle.
func TestProofCollectorsShareOneRequest(t *testing.T) {
	var collectors []*testCollector
	for range 5 {
		collectors = append(collectors, startCollector(t, 0))
	}
	d := largeDelivery(90)
	c, ownDeliverer := startEntryForSpread(t, d, collectors)
	result := c.Deliver(t.Context(), d)
	require.Equal(t, 90, result.Answered)
	require.Len(t, result.Merged.Signatures, 90)
	require.Empty(t, ownDeliverer.calls())
	var collected []samphirepass.Service
	for _, tc := range collectors {
		for _, call := range tc.deliverer.calls() {
			require.LessOrEqual(t, len(call.Shards), 50, "no collector takes most of the request")
			collected = append(collected, call.Shards...)
		}
	}
	require.ElementsMatch(t, d.Shards, collected, "each shard is collected once")
}
