package leaf_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/leaf"
)

// TestRequestBeyondLimitsIsRefusedAtOnce has the leaves of two of three shards name a limit that is used up: the request is refused without
// an attempt, so that it uses up no other limit.
func TestRequestBeyondLimitsIsRefusedAtOnce(t *testing.T) {
	s := &scriptedSender{answer: func(context.Context, samphirepass.Leaf, int, samphirepass.Attempt) (samphirepass.Reply, error) {
		return samphirepass.Reply{}, nil
	}}
	d, r := newDeliverer(s, &fixedBudget{})
	for _, name := range []samphirepass.Leaf{"0-0", "0-1", "1-0", "1-1"} {
		require.True(t, r.SetLimit(name, 1, samphirepass.LeafLimit{PerSecond: 0.5}, false))
	}
	for range 2 {
		require.Equal(t, 3, d.Deliver(t.Context(), newDelivery(testRoute)).Answered, "each leaf takes one request")
	}
	began := time.Now()
	result := d.Deliver(t.Context(), newDelivery(testRoute))
	require.Less(t, time.Since(began), 50*time.Millisecond)
	require.Zero(t, result.Attempts)
	require.False(t, result.MaybeRun)
	require.Greater(t, result.RetryAfterMs, samphirepass.Millis(500))

	require.True(t, r.SetLimit("1-1", 1, samphirepass.LeafLimit{}, false))
	result = d.Deliver(t.Context(), newDelivery(testRoute))
	require.Equal(t, 2, result.Answered, "one shard may be missing")
}

// TestProofNewestLimitHolds guards against a limit of an earlier time or incarnation that replaces a newer one.
func TestProofNewestLimitHolds(t *testing.T) {
	tests := map[string]struct {
		incarnation samphirepass.Incarnation
		limit       samphirepass.LeafLimit
		reported    bool
		published   bool
		want        float64
	}{
		"a newer limit":                     {1, samphirepass.LeafLimit{PerSecond: 5}, false, true, 5},
		"no limit any more":                 {1, samphirepass.LeafLimit{}, false, true, 0},
		"nearly the same limit":             {1, samphirepass.LeafLimit{PerSecond: 10.5}, false, false, 10},
		"an older report":                   {1, samphirepass.LeafLimit{PerSecond: 5, AgeMs: 2000}, true, false, 10},
		"a report of about the same time":   {1, samphirepass.LeafLimit{PerSecond: 5, AgeMs: 970}, true, false, 10},
		"a newer report":                    {1, samphirepass.LeafLimit{PerSecond: 5, AgeMs: 100}, true, true, 5},
		"a report of an earlier instance":   {0, samphirepass.LeafLimit{PerSecond: 5}, true, false, 10},
		"an instance that is not known yet": {2, samphirepass.LeafLimit{PerSecond: 5}, false, false, 10},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := &manualClock{now: 5000}
			r := leaf.NewRegistry(m)
			r.Apply(newAnnouncement("a", 1, 1, samphirepass.LeafServing), 0, true)
			require.True(t, r.SetLimit("a", 1, samphirepass.LeafLimit{PerSecond: 10}, false))
			m.now += 1000
			require.Equal(t, tt.published, r.SetLimit("a", tt.incarnation, tt.limit, tt.reported))
			r.Apply(newAnnouncement("a", 1, 2, samphirepass.LeafServing), 0, true)
			require.InDelta(t, tt.want, r.Serving("desk")[0].LimitPerSecond(m.now), 0.01, "a heartbeat does not end a limit")
			m.now += 21_000
			require.Zero(t, r.Serving("desk")[0].LimitPerSecond(m.now), "a limit of which nobody hears any more ends")
		})
	}
}

// pausingProtocol is the native protocol with a pause in refusals.
type pausingProtocol struct{ leaf.Native }

func (pausingProtocol) Notice(resp *http.Response) samphirepass.LeafNotice {
	if resp.StatusCode != http.StatusServiceUnavailable {
		return samphirepass.LeafNotice{}
	}
	return samphirepass.LeafNotice{RetryAfterMs: 400}
}

// TestProofPauseIsKept has the leaves of a service refuse requests with a pause: later ones are refused at once, and a leaf that has
// started anew is asked.
func TestProofPauseIsKept(t *testing.T) {
	var arrivals atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrivals.Add(1)
		w.Header().Set(leaf.HeaderRequest, r.Header.Get(leaf.HeaderRequest))
		w.Header().Set(leaf.HeaderNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	clock := samphirepass.SystemClock{}
	r := leaf.NewRegistry(clock)
	a := newAnnouncement("a", 1, 1, samphirepass.LeafServing)
	a.Service, a.Address = service(0), strings.TrimPrefix(server.URL, "http://")
	r.Apply(a, 0, true)
	pool := leaf.NewPool(clock, fixedShares(2))
	d := leaf.NewDeliverer(leaf.DelivererOptions{
		Registry: r, Pool: pool, Sender: leaf.NewSender(pool, pausingProtocol{}, clock), Chooser: lowestNameChooser{}, Clock: clock,
		Budget: func(samphirepass.Service) samphirepass.Budget { return &fixedBudget{remaining: 9} },
	})
	route := testRoute
	route.Services = []samphirepass.WeightedService{{Service: service(0), Weight: 1}}
	request := newDelivery(route)
	request.Request.Forwarded = samphirepass.ForwardedRequest{Method: "GET", Target: "/"}
	require.False(t, d.Deliver(t.Context(), request).MaybeRun)
	for range 5 {
		began := time.Now()
		result := d.Deliver(t.Context(), request)
		require.Less(t, time.Since(began), 50*time.Millisecond)
		require.False(t, result.MaybeRun)
		require.Positive(t, result.RetryAfterMs)
	}
	require.EqualValues(t, 1, arrivals.Load())
	time.Sleep(500 * time.Millisecond)
	d.Deliver(t.Context(), request)
	require.EqualValues(t, 2, arrivals.Load(), "after the pause it is asked again")
	a.Incarnation = 2
	r.Apply(a, 0, true)
	d.Deliver(t.Context(), request)
	require.EqualValues(t, 3, arrivals.Load())
}
