package collector_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/collector"
	"samphirepass/directory"
	"samphirepass/leaf"
	"samphirepass/logs"
	"samphirepass/peer"
	"samphirepass/standin"
)

var clock = samphirepass.SystemClock{}

// deliverer answers all shards after a while, and remembers what it was asked.
type deliverer struct {
	wait time.Duration
	// poor are the shards that are better asked elsewhere.
	poor []int
	// fails is set where no leaf answers.
	fails bool
	// ended counts the deliveries whose client went away.
	ended atomic.Int64

	mu  sync.Mutex
	got []leaf.Delivery
}

func (d *deliverer) Covered(shards []samphirepass.Service) int { return len(shards) }

func (d *deliverer) Deliver(ctx context.Context, one leaf.Delivery) leaf.DeliveryResult {
	d.mu.Lock()
	d.got = append(d.got, one)
	d.mu.Unlock()
	select {
	case <-time.After(d.wait):
	case <-ctx.Done():
		d.ended.Add(1)
		return leaf.DeliveryResult{RequiredShards: one.RequiredShards(), MaybeRun: true}
	}
	if d.fails {
		return leaf.DeliveryResult{RequiredShards: one.RequiredShards(), Known: len(one.Shards), MaybeRun: true}
	}
	out := leaf.DeliveryResult{DegradedShards: d.poor, RequiredShards: one.RequiredShards(), Known: len(one.Shards), Answered: len(one.Shards), Attempts: len(one.Shards)}
	for _, s := range one.Shards {
		out.Replies = append(out.Replies, &samphirepass.Reply{
			Body: []byte(strings.Repeat(string(s[len(s)-1]), 16)), Answer: &samphirepass.LeafAnswer{Status: 200, Signature: "of-" + string(s)},
		})
	}
	return out
}

func (d *deliverer) calls() []leaf.Delivery {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.got
}

// large is one entry that collects for others.
type large struct {
	deliverer *deliverer
	relay     *standin.Relay
	stopping  atomic.Bool
}

func startLarge(t *testing.T, wait time.Duration) *large {
	t.Helper()
	l := &large{deliverer: &deliverer{wait: wait}}
	handlers := peer.NewHandlers()
	collector.NewServer(l.deliverer, l.stopping.Load, logs.Logger{}).Register(handlers)
	ws := peer.NewServer(handlers)
	mux := http.NewServeMux()
	mux.Handle(peer.Path, ws)
	server := httptest.NewServer(mux)
	var err error
	l.relay, err = standin.NewRelay("127.0.0.1:0", strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	t.Cleanup(func() {
		l.relay.Close()
		ws.Close()
		server.Close()
	})
	return l
}

// startSmall returns the deliverer of an entry that passes requests on to larger ones, and the one that it falls back to.
func startSmall(t *testing.T, all ...*large) (*collector.Client, *deliverer) {
	t.Helper()
	own := &deliverer{}
	peers := &peer.Pool{}
	t.Cleanup(peers.Close)
	var offers []directory.Offer
	for _, l := range all {
		offers = append(offers, directory.Offer{Address: l.relay.Address(), DataCentre: "derby", Capacity: samphirepass.Capacity{Cores: 2}})
	}
	c := collector.NewClient(collector.Options{
		VM: "small", Local: own, Registry: leaf.NewRegistry(clock), Peers: peers, Offers: func() []directory.Offer { return slices.Clone(offers) },
		DataCentre: "derby", Capacity: samphirepass.Capacity{Cores: 1}, Clock: clock,
	})
	connect(t, c, peers, offers)
	return c, own
}

// connect lets an entry keep connections to its collectors, and waits until those that can be reached stand.
func connect(t *testing.T, c *collector.Client, peers *peer.Pool, offers []directory.Offer) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = c.Serve(ctx) }()
	require.Eventually(t, func() bool {
		n := 0
		for _, o := range offers {
			if _, stands := peers.Get(o.Address).SilentFor(); stands {
				n++
			}
		}
		return n == len(offers)
	}, 5*time.Second, 5*time.Millisecond)
}

// TestPartsAreCollectedWhereTheirLeavesAre has one shard without a leaf in the entry's own data centre.
func TestPartsAreCollectedWhereTheirLeavesAre(t *testing.T) {
	here, there := startLarge(t, 0), startLarge(t, 0)
	whole := strings.Repeat("3", 16) + strings.Repeat("2", 16)

	small, own := startBetween(t, 1, oneFar(), here, there)
	out := small.Deliver(t.Context(), gathering())
	require.Equal(t, &samphirepass.MergedAnswer{Signatures: []string{"of-s1", "of-s3", "of-s2"}, Body: []byte(whole)}, out.Merged)
	require.Equal(t, 3, out.Answered)
	require.Empty(t, own.calls())
	require.Equal(t, []samphirepass.Service{"s1", "s3"}, here.deliverer.calls()[0].Shards)
	require.Equal(t, []samphirepass.Service{"s2"}, there.deliverer.calls()[0].Shards)
	require.Equal(t, 1, here.deliverer.calls()[0].RequiredShards(), "the larger part may lack the one shard")
	require.Equal(t, 1, there.deliverer.calls()[0].RequiredShards())

	large, own := startBetween(t, 2, oneFar(), here, there)
	require.Equal(t, []byte(whole), large.Deliver(t.Context(), gathering()).Merged.Body)
	require.Equal(t, []samphirepass.Service{"s1", "s3"}, own.calls()[0].Shards, "a large entry asks near leaves itself")
	require.Len(t, here.deliverer.calls(), 1)
	require.Len(t, there.deliverer.calls(), 2)
}

func gathering() leaf.Delivery {
	shards := []samphirepass.Service{"s1", "s2", "s3"}
	return leaf.Delivery{
		Request: samphirepass.ClientRequest{ID: "q1", DeadlineMs: 1000, Forwarded: samphirepass.ForwardedRequest{
			Method: "GET", Target: "/a/b?c=d", Host: "a.example", Header: http.Header{"X-One": {"1", "2"}}, Body: []byte("body"),
		}},
		Route: samphirepass.Route{
			Name: "g", Kind: samphirepass.Repeatable, TimeoutMs: 1000, LatencyTargetMs: 200, MaxAttempts: 2, ShardServices: shards, TopK: 2, MinShardShare: 0.6,
		},
		Shards: shards, PartialAfterMs: 150, GraceMs: 100,
	}
}

func TestRequestIsCollectedElsewhere(t *testing.T) {
	l := startLarge(t, 0)
	small, own := startSmall(t, l)
	one := gathering()
	out := small.Deliver(t.Context(), one)
	require.Equal(t, &samphirepass.MergedAnswer{
		Signatures: []string{"of-s1", "of-s2", "of-s3"}, Body: []byte(strings.Repeat("3", 16) + strings.Repeat("2", 16)),
	}, out.Merged)
	require.Equal(t, 3, out.Answered)
	require.Empty(t, own.calls())
	got := l.deliverer.calls()[0]
	require.Equal(t, one.Request.Forwarded, got.Request.Forwarded, "the request is passed on unchanged")
	require.Equal(t, one.Route, got.Route, "the entry that took the request decides by which route it is answered")
	require.Equal(t, one.Shards, got.Shards)
	require.Less(t, got.Request.DeadlineMs, one.Request.DeadlineMs, "the way takes a part of the time")
	require.Less(t, got.PartialAfterMs, one.PartialAfterMs)

	plain := gathering()
	plain.Route.ShardServices, plain.Shards = nil, plain.Shards[:1]
	small.Deliver(t.Context(), plain)
	require.Len(t, own.calls(), 1, "a request to one service stays here")
}

func TestRefusingCollectorsArePassedOver(t *testing.T) {
	tests := map[string]func(*large){
		"stopping":    func(l *large) { l.stopping.Store(true) },
		"unreachable": func(l *large) { l.relay.SetAll(standin.LinkCut) },
	}
	for name, spoil := range tests {
		t.Run(name, func(t *testing.T) {
			first, second := startLarge(t, 0), startLarge(t, 0)
			small, own := startSmall(t, first, second)
			spoil(first)
			time.Sleep(50 * time.Millisecond)
			for range 10 {
				require.Equal(t, 3, small.Deliver(t.Context(), gathering()).Answered)
			}
			require.Empty(t, own.calls(), "the other collector is asked")
			require.Empty(t, first.deliverer.calls())
			spoil(second)
			// A request that crosses the end of its connection is lost, which another test is about.
			time.Sleep(50 * time.Millisecond)
			require.Equal(t, 3, small.Deliver(t.Context(), gathering()).Answered)
			require.Len(t, own.calls(), 1, "without a collector the entry asks the leaves itself")
		})
	}
}

// TestLostCollectorIsNotFollowedByAnother cuts the connection after the request was read: what it has sent to leaves is not known.
func TestLostCollectorIsNotFollowedByAnother(t *testing.T) {
	first, second := startLarge(t, time.Minute), startLarge(t, 0)
	second.stopping.Store(true)
	small, own := startSmall(t, first, second)
	go func() {
		for len(first.deliverer.calls()) == 0 {
			time.Sleep(time.Millisecond)
		}
		first.relay.SetAll(standin.LinkCut)
	}()
	began := time.Now()
	out := small.Deliver(t.Context(), gathering())
	require.True(t, out.MaybeRun)
	require.Nil(t, out.Merged)
	require.Less(t, time.Since(began), 300*time.Millisecond, "the client is told at once")
	require.Empty(t, own.calls(), "no other entry may ask leaves of the same shards")
}

// TestSilentCollectorIsLeft silences a collector without a word: one request pays for it, the next ones go elsewhere.
func TestSilentCollectorIsLeft(t *testing.T) {
	l := startLarge(t, 0)
	small, own := startSmall(t, l)
	require.Equal(t, 3, small.Deliver(t.Context(), gathering()).Answered)
	l.relay.SetAll(standin.LinkSilent)
	began := time.Now()
	one := gathering()
	one.Request.DeadlineMs = 5000
	require.Zero(t, small.Deliver(t.Context(), one).Answered)
	require.Less(t, time.Since(began), 1200*time.Millisecond, "an overdue answer is not waited for until the deadline")
	require.Equal(t, 3, small.Deliver(t.Context(), gathering()).Answered)
	require.Len(t, own.calls(), 1)
}

// TestSlowLeavesAreWaitedFor has an answer come long after it was due, from a collector that is well.
func TestSlowLeavesAreWaitedFor(t *testing.T) {
	l := startLarge(t, 700*time.Millisecond)
	small, _ := startSmall(t, l)
	require.Equal(t, 3, small.Deliver(t.Context(), gathering()).Answered)
}

// TestClientThatGoesEndsTheCollecting has a client leave before its answer: work that nobody wants ends at the leaves, too.
func TestClientThatGoesEndsTheCollecting(t *testing.T) {
	l := startLarge(t, time.Minute)
	small, _ := startSmall(t, l)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	small.Deliver(ctx, gathering())
	require.Eventually(t, func() bool { return l.deliverer.ended.Load() == 1 }, time.Second, 5*time.Millisecond)
}

// TestLostPartEndsTheOthers has one of two collectors refuse its part's shards while the other one still waits for leaves.
func TestLostPartEndsTheOthers(t *testing.T) {
	here, there := startLarge(t, time.Minute), startLarge(t, 0)
	there.deliverer.fails = true
	small, _ := startBetween(t, 1, oneFar(), here, there)
	began := time.Now()
	out := small.Deliver(t.Context(), gathering())
	require.Nil(t, out.Merged)
	require.Less(t, time.Since(began), 300*time.Millisecond, "the client is told at once")
	require.Eventually(t, func() bool { return here.deliverer.ended.Load() == 1 }, time.Second, 5*time.Millisecond)
}

// announce lets a registry know a leaf of a service in a data centre.
func announce(r *leaf.Registry, service samphirepass.Service, centre samphirepass.DataCentre) {
	name := samphirepass.Leaf(string(service) + "-" + string(centre))
	r.Apply(samphirepass.Announcement{
		Leaf: name, Service: service, Address: "10.0.0.1:1", DataCentre: centre, Incarnation: 1, Sequence: 1, State: samphirepass.LeafServing, Slots: 1,
	}, 0, true)
}

// oneFar returns a registry in which the second of the shards has its only leaf in trent, the others in derby.
func oneFar() *leaf.Registry {
	r := leaf.NewRegistry(clock)
	announce(r, "s1", "derby")
	announce(r, "s2", "trent")
	announce(r, "s3", "derby")
	return r
}

// startBetween returns an entry in derby with the given processor, for which here collects in derby and there in trent, and what it delivers itself with.
func startBetween(t *testing.T, cores float64, r *leaf.Registry, here, there *large) (*collector.Client, *deliverer) {
	t.Helper()
	own := &deliverer{}
	peers := &peer.Pool{}
	t.Cleanup(peers.Close)
	capacity := samphirepass.Capacity{Cores: 2}
	offers := []directory.Offer{
		{Address: here.relay.Address(), DataCentre: "derby", Capacity: capacity}, {Address: there.relay.Address(), DataCentre: "trent", Capacity: capacity},
	}
	c := collector.NewClient(collector.Options{
		VM: "entry", Local: own, Registry: r, Peers: peers, Offers: func() []directory.Offer { return slices.Clone(offers) },
		DataCentre: "derby", Capacity: samphirepass.Capacity{Cores: cores}, Clock: clock,
	})
	reached := offers
	if cores >= capacity.Cores {
		// It asks near leaves itself.
		reached = offers[1:]
	}
	connect(t, c, peers, reached)
	return c, own
}

// TestPoorShardsAreCollectedElsewhere has a collector call its leaf of one shard slow.
func TestPoorShardsAreCollectedElsewhere(t *testing.T) {
	here, there := startLarge(t, 0), startLarge(t, 0)
	here.deliverer.poor = []int{1}
	r := leaf.NewRegistry(clock)
	for _, service := range gathering().Shards {
		announce(r, service, "derby")
		announce(r, service, "trent")
	}
	small, _ := startBetween(t, 1, r, here, there)
	small.Deliver(t.Context(), gathering())
	require.Equal(t, gathering().Shards, here.deliverer.calls()[0].Shards)
	require.Equal(t, 3, small.Deliver(t.Context(), gathering()).Answered)
	require.Equal(t, []samphirepass.Service{"s1", "s3"}, here.deliverer.calls()[1].Shards)
	require.Equal(t, []samphirepass.Service{"s2"}, there.deliverer.calls()[0].Shards)
}

// TestBusyCollectorRefuses sends more requests than one collector takes at a time.
func TestBusyCollectorRefuses(t *testing.T) {
	l := startLarge(t, 300*time.Millisecond)
	small, own := startSmall(t, l)
	var wg sync.WaitGroup
	for range 160 {
		wg.Go(func() {
			one := gathering()
			one.PartialAfterMs = 600
			require.Equal(t, 3, small.Deliver(t.Context(), one).Answered)
		})
	}
	wg.Wait()
	require.NotEmpty(t, own.calls(), "what the collector refuses is collected here")
	require.LessOrEqual(t, len(l.deliverer.calls()), 160)
	require.Equal(t, 160, len(own.calls())+len(l.deliverer.calls()), "each request is delivered once")
}
