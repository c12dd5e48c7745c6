package leaf_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/leaf"
)

// busyLeaf answers each request after a while and records the deadlines that it was told.
type busyLeaf struct {
	address string
	work    time.Duration

	mu        sync.Mutex
	deadlines map[samphirepass.RequestID]samphirepass.Millis
}

func startBusyLeaf(t *testing.T, work time.Duration) *busyLeaf {
	t.Helper()
	b := &busyLeaf{work: work, deadlines: map[samphirepass.RequestID]samphirepass.Millis{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b.address = l.Addr().String()
	server := &http.Server{Handler: b}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return b
}

func (b *busyLeaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(leaf.HeaderRequest)
	ms, _ := strconv.ParseFloat(r.Header.Get(leaf.HeaderDeadline), 64)
	b.mu.Lock()
	b.deadlines[samphirepass.RequestID(id)] = samphirepass.Millis(ms)
	b.mu.Unlock()
	time.Sleep(b.work)
	h := w.Header()
	h.Set(leaf.HeaderRequest, id)
	h.Set(leaf.HeaderSnapshot, "0")
	h.Set(leaf.HeaderShard, "0")
	h.Set(leaf.HeaderPartial, "false")
	h.Set(leaf.HeaderDigest, leaf.Digest(nil))
}

// deadline returns the deadline that the leaf was told for a request, and whether the request arrived.
func (b *busyLeaf) deadline(id samphirepass.RequestID) (samphirepass.Millis, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ms, ok := b.deadlines[id]
	return ms, ok
}

// newBusyDeliverer returns a deliverer with one connection to each of the leaves, which serve one shard each.
func newBusyDeliverer(leaves ...*busyLeaf) *leaf.Deliverer {
	clock := samphirepass.SystemClock{}
	r := leaf.NewRegistry(clock)
	for i, b := range leaves {
		a := newAnnouncement(string(service(i)), 1, 1, samphirepass.LeafServing)
		a.Service, a.Address = service(i), b.address
		r.Apply(a, 0, true)
	}
	pool := leaf.NewPool(clock, fixedShares(1))
	return leaf.NewDeliverer(leaf.DelivererOptions{
		Registry: r, Pool: pool, Sender: leaf.NewSender(pool, leaf.Native{}, clock), DataCentre: "derby", Chooser: lowestNameChooser{}, Clock: clock,
		Budget: func(samphirepass.Service) samphirepass.Budget { return &fixedBudget{} }, ExtraPercent: 15,
	})
}

// busyDelivery returns a delivery to the first n shards.
func busyDelivery(id samphirepass.RequestID, n int, deadline samphirepass.Millis) leaf.Delivery {
	d := leaf.Delivery{Request: samphirepass.ClientRequest{ID: id, DeadlineMs: deadline}, Route: testRoute}
	for i := range n {
		d.Shards = append(d.Shards, service(i))
	}
	d.Route.ShardServices = d.Shards
	return d
}

// occupy keeps the only connection to the first leaf busy.
func occupy(t *testing.T, d *leaf.Deliverer, b *busyLeaf) {
	t.Helper()
	go deliver(d, busyDelivery("first", 1, 2000))
	require.Eventually(t, func() bool {
		_, ok := b.deadline("first")
		return ok
	}, time.Second, time.Millisecond)
}

// TestProofWaitForConnectionShortensDeadline guards against telling a leaf the time that was left when the attempt began to wait
// for a connection.
func TestProofWaitForConnectionShortensDeadline(t *testing.T) {
	b := startBusyLeaf(t, 200*time.Millisecond)
	d := newBusyDeliverer(b)
	occupy(t, d, b)
	result, _ := deliver(d, busyDelivery("second", 1, 800))
	require.Equal(t, 1, result.Answered)
	told, ok := b.deadline("second")
	require.True(t, ok)
	require.Less(t, told, samphirepass.Millis(700), "800 ms less the wait of nearly 200")
}

// TestProofEndedRequestIsNotSent guards against work on a request that has been answered without the shard: its attempt waits for a
// connection, which comes free within the time that attempts in flight may still take.
func TestProofEndedRequestIsNotSent(t *testing.T) {
	tests := map[string]struct {
		partialAfter samphirepass.Millis
		cancelAfter  time.Duration
	}{
		"answered without it": {partialAfter: 50, cancelAfter: time.Second},
		"client has gone":     {cancelAfter: 100 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			slow, fast := startBusyLeaf(t, 200*time.Millisecond), startBusyLeaf(t, 0)
			d := newBusyDeliverer(slow, fast)
			occupy(t, d, slow)
			delivery := busyDelivery("second", 2, 800)
			delivery.Route.MinShardShare, delivery.PartialAfterMs, delivery.GraceMs = 0.5, tt.partialAfter, 50
			ctx, cancel := context.WithTimeout(t.Context(), tt.cancelAfter)
			defer cancel()
			require.Equal(t, 1, d.Deliver(ctx, delivery).Answered)
			time.Sleep(400 * time.Millisecond)
			_, ok := slow.deadline("second")
			require.False(t, ok, "the leaf got a request that had ended")
		})
	}
}

// TestProofUnsentRequestHasNotRun guards against reporting an at-most-once request as possibly run when it waited for a connection
// until its deadline, so that its client could not send it again.
func TestProofUnsentRequestHasNotRun(t *testing.T) {
	b := startBusyLeaf(t, 400*time.Millisecond)
	d := newBusyDeliverer(b)
	occupy(t, d, b)
	delivery := busyDelivery("second", 1, 100)
	delivery.Route.Kind, delivery.Route.ShardServices = samphirepass.AtMostOnce, nil
	delivery.Route.Services = []samphirepass.WeightedService{{Service: service(0), Weight: 1}}
	result, _ := deliver(d, delivery)
	require.Zero(t, result.Answered)
	require.False(t, result.MaybeRun)
	time.Sleep(500 * time.Millisecond)
	_, ok := b.deadline("second")
	require.False(t, ok, "a request that was reported as not run arrived")
}

// TestProofUnsentRequestEndsWithSends guards against a request that waits for a connection until the process has ended: once nothing more is
// sent, it ends at once as not run, and no other leaf is asked.
func TestProofUnsentRequestEndsWithSends(t *testing.T) {
	b := startBusyLeaf(t, 400*time.Millisecond)
	d := newBusyDeliverer(b)
	occupy(t, d, b)
	delivery := busyDelivery("second", 1, 2000)
	sendsEnd := make(chan struct{})
	delivery.SendsEnd = sendsEnd
	time.AfterFunc(50*time.Millisecond, func() { close(sendsEnd) })
	began := time.Now()
	result, _ := deliver(d, delivery)
	require.Less(t, time.Since(began), 200*time.Millisecond)
	require.Zero(t, result.Answered)
	require.False(t, result.MaybeRun)
	require.True(t, result.SendsEnded)
	time.Sleep(500 * time.Millisecond)
	_, ok := b.deadline("second")
	require.False(t, ok, "a request that was reported as not run arrived")
}

// TestProofRefusedThenUnsentHasNotRun has a leaf refuse an at-most-once request, whose second attempt then waits for a connection until
// the deadline: neither leaf has run it.
func TestProofRefusedThenUnsentHasNotRun(t *testing.T) {
	s := &scriptedSender{answer: func(context.Context, samphirepass.Leaf, int, samphirepass.Attempt) (samphirepass.Reply, error) {
		return samphirepass.Reply{}, attemptError(samphirepass.FailureShed)
	}}
	d, _ := newDeliverer(s, &fixedBudget{remaining: 10})
	s.waitAt = "0-1"
	route := testRoute
	route.Kind = samphirepass.AtMostOnce
	route.Services = []samphirepass.WeightedService{{Service: service(0), Weight: 1}}
	delivery := newDelivery(route)
	delivery.Request.DeadlineMs = 50
	result, _ := deliver(d, delivery)
	require.Equal(t, 1, s.count("0-0"))
	require.False(t, result.MaybeRun)
}

// TestSlowLeafIsToldEnoughTime guards against taking the whole latency of a leaf, which is all that is known of one that does not state
// its own time, for time on the network: a slow leaf would be told that next to no time is left.
func TestSlowLeafIsToldEnoughTime(t *testing.T) {
	const deadline samphirepass.Millis = 120
	b := startBusyLeaf(t, 90*time.Millisecond)
	d := newBusyDeliverer(b)
	for range 20 {
		deliver(d, busyDelivery("warm", 1, deadline))
	}
	deliver(d, busyDelivery("last", 1, deadline))
	told, ok := b.deadline("last")
	require.True(t, ok)
	require.Greater(t, told, 0.4*deadline, "half of the time left, less the time until it was sent")
}
