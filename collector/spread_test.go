package collector_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

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
	return startEntryForSpreadWith(t, d, collectors, r)
}

// startEntryForSpreadWith does the same with the leaves of a registry.
func startEntryForSpreadWith(t *testing.T, d leaf.Delivery, collectors []*testCollector, r *leaf.Registry) (*collector.Client, *fakeDeliverer) {
	t.Helper()
	return startEntryWith(t, d, collectors, r, nil)
}

// startEntryWithoutPath is startEntryForSpread for an entry that reaches no leaf.
func startEntryWithoutPath(t *testing.T, d leaf.Delivery, collectors []*testCollector) (*collector.Client, *fakeDeliverer) {
	t.Helper()
	r := leaf.NewRegistry(clock)
	for _, s := range d.Shards {
		announce(r, s, "derby")
	}
	path := &testPath{}
	path.lose()
	return startEntryWith(t, d, collectors, r, path)
}

func startEntryWith(t *testing.T, d leaf.Delivery, collectors []*testCollector, r *leaf.Registry, path samphirepass.LeafPath) (*collector.Client, *fakeDeliverer) {
	t.Helper()
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
		Path: path,
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

// TestProofPartsShareWhatMayBeMissing guards against a request that is late, though it lacks no more shards than it may, because one part
// lacks more than its share.
func TestProofPartsShareWhatMayBeMissing(t *testing.T) {
	tests := map[string]struct {
		// late are the shards that one collector lacks at the time of the partial answer.
		late, answered int
		within         time.Duration
	}{
		"as many as may be missing": {9, 81, 300 * time.Millisecond},
		"one more":                  {10, 90, 2 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			collectors := []*testCollector{startCollector(t, 0), startCollector(t, 0), startCollector(t, 0)}
			collectors[0].deliverer.late, collectors[0].deliverer.lateBy = tt.late, 500*time.Millisecond
			d := largeDelivery(90)
			c, _ := startEntryForSpread(t, d, collectors)
			began := time.Now()
			result := c.Deliver(t.Context(), d)
			require.Less(t, time.Since(began), tt.within)
			require.Equal(t, tt.answered, result.Answered)
			require.Len(t, result.Merged.Signatures, tt.answered)
			require.Equal(t, 90-tt.answered, result.Merged.Missing)
		})
	}
}

// TestUnfinishedDeliveryEndsWithoutItsEntry has an entry not ask for the rest of a delivery: the collector must not go on with it.
func TestUnfinishedDeliveryEndsWithoutItsEntry(t *testing.T) {
	collectors := []*testCollector{startCollector(t, 0), startCollector(t, 0), startCollector(t, 0)}
	collectors[0].deliverer.late, collectors[0].deliverer.lateBy = 9, time.Minute
	d := largeDelivery(90)
	c, _ := startEntryForSpread(t, d, collectors)
	require.Equal(t, 81, c.Deliver(t.Context(), d).Answered)
	require.Eventually(t, func() bool { return collectors[0].deliverer.cancelled.Load() == 1 }, 300*time.Millisecond, 5*time.Millisecond)
}

// TestLostCollectorLosesOnlyItsShards cuts off one collector, which has fewer shards than the request may lack, after it has read its part.
func TestLostCollectorLosesOnlyItsShards(t *testing.T) {
	collectors := []*testCollector{startCollector(t, 0), startCollector(t, 0), startCollector(t, time.Minute)}
	d := largeDelivery(90)
	d.Route.MinShardShare = 0.5
	c, _ := startEntryForSpread(t, d, collectors)
	began := time.Now()
	result := c.Deliver(t.Context(), d)
	require.Less(t, time.Since(began), 300*time.Millisecond, "the answers of the others are enough")
	require.Equal(t, 90-len(collectors[2].deliverer.calls()[0].Shards), result.Answered)
}

// TestProofSlowCollectorCostsNoRequest guards against requests that need every collector: one that is slow or lost would fail all of them.
func TestProofSlowCollectorCostsNoRequest(t *testing.T) {
	var collectors []*testCollector
	for range 12 {
		collectors = append(collectors, startCollector(t, 0))
	}
	d := largeDelivery(135)
	c, _ := startEntryForSpread(t, d, collectors)
	for _, slow := range collectors {
		slow.deliverer.setWait(400 * time.Millisecond)
		began := time.Now()
		result := c.Deliver(t.Context(), d)
		require.Less(t, time.Since(began), 300*time.Millisecond)
		require.GreaterOrEqual(t, result.Answered, d.RequiredShards())
		require.Less(t, result.Answered, 135, "each collector has a part")
		time.Sleep(500 * time.Millisecond)
		slow.deliverer.setWait(0)
	}
}

// TestPartsOfADataCentreAreEven guards against collectors that are in charge of equal numbers of shards, most of which are collected in
// another data centre.
func TestPartsOfADataCentreAreEven(t *testing.T) {
	var collectors []*testCollector
	for range 6 {
		collectors = append(collectors, startCollector(t, 0))
	}
	d := largeDelivery(135)
	r := leaf.NewRegistry(clock)
	for i, s := range d.Shards {
		dataCentre := samphirepass.DataCentre("derby")
		if i >= 60 {
			dataCentre = "trent"
		}
		announce(r, s, dataCentre)
	}
	c, _ := startEntryForSpreadWith(t, d, collectors, r)
	require.Equal(t, 135, c.Deliver(t.Context(), d).Answered)
	for _, tc := range collectors {
		local := 0
		for _, s := range tc.deliverer.calls()[0].Shards {
			if slices.Contains(d.Shards[:60], s) {
				local++
			}
		}
		require.LessOrEqual(t, local, 11, "1.1 times the mean")
		require.LessOrEqual(t, len(tc.deliverer.calls()[0].Shards), 25)
	}
}

// TestProofRestIsAskedForInTime guards against the loss of a part that its collector has given up, as nobody asked for the rest while
// another collector had not reported.
func TestProofRestIsAskedForInTime(t *testing.T) {
	collectors := []*testCollector{startCollector(t, 0), startCollector(t, 0), startCollector(t, 500*time.Millisecond)}
	collectors[0].deliverer.late, collectors[0].deliverer.lateBy = 10, 300*time.Millisecond
	d := largeDelivery(90)
	c, _ := startEntryForSpread(t, d, collectors)
	result := c.Deliver(t.Context(), d)
	require.Equal(t, 90, result.Answered)
	require.Zero(t, collectors[0].deliverer.cancelled.Load())
}

// TestProofOverloadStaysSpread guards against an entry that asks all leaves itself, without connections to them, because all collectors seem
// stalled: overload then lasts.
func TestProofOverloadStaysSpread(t *testing.T) {
	collectors := []*testCollector{startCollector(t, 0), startCollector(t, 0), startCollector(t, 0), startCollector(t, 0)}
	d := largeDelivery(90)
	c, ownDeliverer := startEntryForSpread(t, d, collectors)
	for _, tc := range collectors {
		tc.deliverer.setWait(700 * time.Millisecond)
	}
	first := make(chan int)
	go func() { first <- c.Deliver(t.Context(), d).Answered }()
	time.Sleep(500 * time.Millisecond)
	for _, tc := range collectors {
		tc.deliverer.setWait(0)
	}
	require.Equal(t, 90, c.Deliver(t.Context(), d).Answered)
	require.Equal(t, 90, <-first)
	require.Empty(t, ownDeliverer.calls())
	for _, tc := range collectors {
		require.Len(t, tc.deliverer.calls(), 2)
	}
}

// TestProofStalledCollectorGetsNoShards guards against each request of an entry being sent to a collector that has stalled, until its
// silence shows.
func TestProofStalledCollectorGetsNoShards(t *testing.T) {
	collectors := []*testCollector{startCollector(t, 0), startCollector(t, 0), startCollector(t, 900*time.Millisecond)}
	d := largeDelivery(90)
	c, _ := startEntryForSpread(t, d, collectors)
	first := make(chan int)
	go func() { first <- c.Deliver(t.Context(), d).Answered }()
	time.Sleep(300 * time.Millisecond)
	began := time.Now()
	require.Equal(t, 90, c.Deliver(t.Context(), d).Answered)
	require.Less(t, time.Since(began), 100*time.Millisecond)
	require.Len(t, collectors[2].deliverer.calls(), 1)
	require.Equal(t, 90, <-first)
}
