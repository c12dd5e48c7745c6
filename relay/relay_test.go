package relay_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/directory"
	"samphirepass/leaf"
	"samphirepass/logs"
	"samphirepass/metrics"
	"samphirepass/peer"
	"samphirepass/relay"
	"samphirepass/standin"
)

var clock = samphirepass.SystemClock{}

// fixedPath is a path that a test loses and restores.
type fixedPath struct {
	mu   sync.Mutex
	lost chan struct{}
}

func newPath(lost bool) *fixedPath {
	p := &fixedPath{lost: make(chan struct{})}
	if lost {
		close(p.lost)
	}
	return p
}

func (p *fixedPath) Narrow() bool { return false }

func (p *fixedPath) Lost() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost
}

// fakeDeliverer returns a result and records the deliveries.
type fakeDeliverer struct {
	deliver func(context.Context, leaf.Delivery) leaf.DeliveryResult

	mu         sync.Mutex
	deliveries []leaf.Delivery
}

func (f *fakeDeliverer) Covered(shards []samphirepass.Service) int { return len(shards) }

func (f *fakeDeliverer) Deliver(ctx context.Context, d leaf.Delivery) leaf.DeliveryResult {
	f.mu.Lock()
	f.deliveries = append(f.deliveries, d)
	f.mu.Unlock()
	return f.deliver(ctx, d)
}

func (f *fakeDeliverer) calls() []leaf.Delivery {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.deliveries
}

func answers(_ context.Context, d leaf.Delivery) leaf.DeliveryResult {
	reply := &samphirepass.Reply{Body: []byte("whole body"), Answer: &samphirepass.LeafAnswer{Status: 200, Header: http.Header{"X": {"a", "b"}}, Signature: "of-" + string(d.Shards[0])}}
	return leaf.DeliveryResult{Replies: []*samphirepass.Reply{reply}, Answered: 1, RequiredShards: 1, KnownShards: 1, Attempts: 1}
}

func hasNoPath(maybeRun bool, most int) func(context.Context, leaf.Delivery) leaf.DeliveryResult {
	return func(context.Context, leaf.Delivery) leaf.DeliveryResult {
		return leaf.DeliveryResult{RequiredShards: 1, LastErr: samphirepass.ErrNoPath, NoPath: true, MaybeRun: maybeRun, MostAttempts: most, Recorded: maybeRun}
	}
}

// gatewayFor is another gateway, reached through a link that a test may break.
type gatewayFor struct {
	deliverer *fakeDeliverer
	link      *standin.Relay
}

func startGateway(t *testing.T, path samphirepass.LeafPath, deliver func(context.Context, leaf.Delivery) leaf.DeliveryResult) *gatewayFor {
	t.Helper()
	g := &gatewayFor{deliverer: &fakeDeliverer{deliver: deliver}}
	handlers := peer.NewHandlers()
	relay.NewServer(relay.ServerOptions{
		Deliverer: g.deliverer, Path: path, Stopping: func() bool { return false }, Shards: func() [][]samphirepass.Service { return nil },
		OnEvacuations: func(samphirepass.Evacuations) {}, Log: logs.Logger{},
	}).Register(handlers)
	ws := peer.NewServer(handlers)
	mux := http.NewServeMux()
	mux.Handle(peer.Path, ws)
	server := httptest.NewServer(mux)
	var err error
	g.link, err = standin.NewRelay("127.0.0.1:0", strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	t.Cleanup(func() {
		g.link.Close()
		ws.Close()
		server.Close()
	})
	return g
}

// startClient returns the client of a gateway whose local deliveries end as deliver says.
func startClient(t *testing.T, path samphirepass.LeafPath, deliver func(context.Context, leaf.Delivery) leaf.DeliveryResult, others ...*gatewayFor) (*relay.Client, *atomic.Int64) {
	t.Helper()
	var asked atomic.Int64
	c := relay.NewClient(relay.Options{
		Local: &fakeDeliverer{deliver: deliver}, Registry: leaf.NewRegistry(clock), Path: path, DataCentre: "derby", Clock: clock, Metrics: metrics.NewMetrics(),
		NewPeers: func() *peer.Pool { return &peer.Pool{LocalAddr: netip.Addr{}} }, Log: logs.Logger{},
		Relays: func(context.Context) ([]directory.CollectorOffer, error) {
			asked.Add(1)
			var offers []directory.CollectorOffer
			for _, g := range others {
				offers = append(offers, directory.CollectorOffer{Address: g.link.Address(), DataCentre: "derby", Capacity: samphirepass.Capacity{Cores: 1}})
			}
			return offers, nil
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return c, &asked
}

func delivery(kind samphirepass.Repeatability) leaf.Delivery {
	return leaf.Delivery{
		Request: samphirepass.ClientRequest{ID: "r1", DeadlineMs: 2000, Forwarded: samphirepass.ForwardedRequest{Method: "POST", Target: "/x?y=1", Body: []byte("question"), Account: "a", HideCredentials: true}},
		Route:   samphirepass.Route{Name: "route", Kind: kind, MaxAttempts: 2}, Shards: []samphirepass.Service{"desk"},
	}
}

// TestRequestIsPassedOn guards against a request that is answered otherwise, or delivered on other terms, since another gateway sent it to
// the leaf.
func TestRequestIsPassedOn(t *testing.T) {
	other := startGateway(t, newPath(false), answers)
	c, _ := startClient(t, newPath(true), hasNoPath(false, 0), other)
	for _, kind := range []samphirepass.Repeatability{samphirepass.Repeatable, samphirepass.AtMostOnce} {
		d := delivery(kind)
		result := c.Deliver(t.Context(), d)
		require.Equal(t, 1, result.Answered)
		require.Equal(t, "of-desk", result.Replies[0].Answer.Signature)
		require.Equal(t, http.Header{"X": {"a", "b"}}, result.Replies[0].Answer.Header)
		require.Equal(t, []byte("whole body"), result.Replies[0].Body)
		calls := other.deliverer.calls()
		got := calls[len(calls)-1]
		require.Less(t, got.Request.DeadlineMs, d.Request.DeadlineMs, "the time on the way counts")
		require.Greater(t, got.Request.DeadlineMs, d.Request.DeadlineMs/2)
		require.Equal(t, d.Request.Forwarded, got.Request.Forwarded)
		require.Equal(t, d.Route.MaxAttempts, got.Route.MaxAttempts)
		require.False(t, got.Extra)
	}
}

// TestPassedOnRequestHasTheAttemptsThatAreLeft guards against more attempts than the route allows, or outside of the retry budget, and
// against a second run of a request that may run once.
func TestPassedOnRequestHasTheAttemptsThatAreLeft(t *testing.T) {
	tests := map[string]struct {
		kind     samphirepass.Repeatability
		maybeRun bool
		most     int
		// want is the number of attempts that the other gateway may make, 0 if it does not get the request.
		want  int
		extra bool
	}{
		"nothing sent":                       {samphirepass.Repeatable, false, 0, 2, false},
		"one attempt sent":                   {samphirepass.Repeatable, true, 1, 1, true},
		"all attempts sent":                  {samphirepass.Repeatable, true, 2, 0, false},
		"nothing sent of one that runs once": {samphirepass.AtMostOnce, false, 0, 2, false},
		"sent, and may run once":             {samphirepass.AtMostOnce, true, 1, 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			other := startGateway(t, newPath(false), answers)
			c, _ := startClient(t, newPath(true), hasNoPath(tt.maybeRun, tt.most), other)
			result := c.Deliver(t.Context(), delivery(tt.kind))
			calls := other.deliverer.calls()
			if tt.want == 0 {
				require.Empty(t, calls)
				require.True(t, result.MaybeRun)
				return
			}
			require.Len(t, calls, 1)
			require.Equal(t, tt.want, calls[0].Route.MaxAttempts)
			require.Equal(t, tt.extra, calls[0].Extra)
			require.Equal(t, tt.maybeRun, calls[0].Recorded, "first attempts are counted once")
		})
	}
}

// TestGatewaysWithoutPathPassNothingOn guards against requests that gateways without a path pass to and fro.
func TestGatewaysWithoutPathPassNothingOn(t *testing.T) {
	var others []*gatewayFor
	for range 5 {
		others = append(others, startGateway(t, newPath(true), answers))
	}
	c, _ := startClient(t, newPath(true), hasNoPath(false, 0), others...)
	began := time.Now()
	result := c.Deliver(t.Context(), delivery(samphirepass.AtMostOnce))
	require.Less(t, time.Since(began), 500*time.Millisecond)
	require.True(t, result.NoPath)
	require.False(t, result.MaybeRun)
	for _, g := range others {
		require.Empty(t, g.deliverer.calls())
	}
}

// TestRefusedRequestGoesToTheNextGateway guards against a request that fails as the first gateway that it is offered to cannot take it.
func TestRefusedRequestGoesToTheNextGateway(t *testing.T) {
	tests := map[string]func(t *testing.T) *gatewayFor{
		"without a path": func(t *testing.T) *gatewayFor { return startGateway(t, newPath(true), answers) },
		"whose path was lost before it sent anything": func(t *testing.T) *gatewayFor { return startGateway(t, newPath(false), hasNoPath(false, 0)) },
		"that is gone": func(t *testing.T) *gatewayFor {
			g := startGateway(t, newPath(false), answers)
			g.link.SetDefault(standin.LinkCut)
			return g
		},
	}
	for name, start := range tests {
		t.Run(name, func(t *testing.T) {
			bad, good := start(t), startGateway(t, newPath(false), answers)
			c, _ := startClient(t, newPath(true), hasNoPath(false, 0), bad, good)
			for range 5 {
				require.Equal(t, 1, c.Deliver(t.Context(), delivery(samphirepass.AtMostOnce)).Answered)
			}
			require.Len(t, good.deliverer.calls(), 5)
		})
	}
}

// TestLostPassedOnRequestIsNotSentAgain guards against a request that two gateways deliver, as the link to the first one broke after it had
// the request.
func TestLostPassedOnRequestIsNotSentAgain(t *testing.T) {
	arrived := make(chan struct{})
	waits := func(ctx context.Context, _ leaf.Delivery) leaf.DeliveryResult {
		arrived <- struct{}{}
		<-ctx.Done()
		return leaf.DeliveryResult{RequiredShards: 1, MaybeRun: true}
	}
	var all []*gatewayFor
	for range 3 {
		all = append(all, startGateway(t, newPath(false), waits))
	}
	c, _ := startClient(t, newPath(true), hasNoPath(false, 0), all...)
	go func() {
		<-arrived
		for _, g := range all {
			g.link.SetDefault(standin.LinkCut)
		}
	}()
	result := c.Deliver(t.Context(), delivery(samphirepass.AtMostOnce))
	require.True(t, result.MaybeRun)
	total := 0
	for _, g := range all {
		total += len(g.deliverer.calls())
	}
	require.Equal(t, 1, total)
}

// TestGatewayWithPathAsksForNothing guards against costs of a gateway that reaches its leaves.
func TestGatewayWithPathAsksForNothing(t *testing.T) {
	other := startGateway(t, newPath(false), answers)
	c, asked := startClient(t, newPath(false), answers, other)
	for range 10 {
		require.Equal(t, 1, c.Deliver(t.Context(), delivery(samphirepass.Repeatable)).Answered)
	}
	time.Sleep(50 * time.Millisecond)
	require.Zero(t, asked.Load())
	require.Zero(t, other.link.OpenConnections())
}

// TestUnreachedServiceIsPassedOnOnce guards against requests that cost other gateways a try each while nobody reaches their leaves.
func TestUnreachedServiceIsPassedOnOnce(t *testing.T) {
	unreached := func(context.Context, leaf.Delivery) leaf.DeliveryResult {
		return leaf.DeliveryResult{RequiredShards: 1, Unreached: true}
	}
	other := startGateway(t, newPath(false), unreached)
	c, _ := startClient(t, newPath(false), unreached, other)
	for range 10 {
		require.False(t, c.Deliver(t.Context(), delivery(samphirepass.AtMostOnce)).MaybeRun)
	}
	require.Len(t, other.deliverer.calls(), 1)
}
