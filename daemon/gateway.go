package daemon

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"samphirepass"
	"samphirepass/collector"
	"samphirepass/directory"
	"samphirepass/gateway"
	"samphirepass/leaf"
	"samphirepass/logs"
	"samphirepass/metrics"
	"samphirepass/peer"
	"samphirepass/platform"
	"samphirepass/policy"
	"samphirepass/settings"
	"samphirepass/web"
)

const (
	// balancerNoticeMs is how long new connections may still come after the balancer was told: it takes two probes, a second apart.
	balancerNoticeMs samphirepass.Millis = 3000
	// stopMarginMs is kept from the time to stop for the process's own end.
	stopMarginMs samphirepass.Millis = 400
	// learnLeavesMs is longer than the time between two heartbeats of a leaf.
	learnLeavesMs samphirepass.Millis = 3000
	// collectorSlack is the part of a budget's slack that is for entries which collect for others.
	collectorSlack = 0.8
	// collectPollMs is the time between two looks at the requests that are still collected at a stop.
	collectPollMs samphirepass.Millis = 20
	// refreshMs is the time between two looks at the shares of connections.
	refreshMs samphirepass.Millis = 1000
	// extraPercent is the share of requests that hedges are meant for; the shared budget bounds them in any case.
	extraPercent samphirepass.Percent = 15
)

// Gateway is one process between clients and leaves.
type Gateway struct {
	cfg        settings.Node
	log        logs.Logger
	clock      samphirepass.Clock
	registry   *leaf.Registry
	pool       *leaf.Pool
	peers      *peer.Pool
	follower   *directory.Follower
	deliverer  *leaf.Deliverer
	passing    *collector.Client
	collecting *collector.Server
	peerWS     *peer.Server
	peerHTTP   *web.Server
	dispatcher *gateway.Dispatcher
	metrics    *metrics.Metrics
	reader     samphirepass.RoutingReader
	front      *web.Server
	ready      *web.Server
	figures    *web.Server
	began      samphirepass.Millis
	stopping   atomic.Bool
	known      atomic.Bool

	budgetMu sync.Mutex
	budgets  map[samphirepass.Service]samphirepass.Budget
}

// NewGateway opens the listeners of a gateway; Run makes it work.
func NewGateway(cfg settings.Node, log logs.Logger) (*Gateway, error) {
	clock := samphirepass.SystemClock{}
	g := &Gateway{
		cfg: cfg, log: log, clock: clock, registry: leaf.NewRegistry(clock), metrics: metrics.NewMetrics(),
		peers: &peer.Pool{From: cfg.Address()}, reader: platform.RoutingReader{}, began: clock.Now(),
		budgets: map[samphirepass.Service]samphirepass.Budget{},
	}
	g.pool = leaf.NewPool(clock, routingShares{g})
	g.follower = directory.NewFollower(directory.FollowerOptions{
		VM: cfg.VM, DataCentre: cfg.DataCentre, Seeds: cfg.SeedPeers(), Registry: g.registry, Peers: g.peers,
		Clock: clock, OnRouting: g.useRouting, Capacity: cfg.Capacity(), CollectAddress: cfg.Collect(), Logf: log.For("directory").Infof,
	})
	g.deliverer = leaf.NewDeliverer(leaf.DelivererOptions{
		Registry: g.registry, Pool: g.pool, Sender: leaf.NewSender(g.pool, platform.LeafProtocol{}, clock), Centre: cfg.DataCentre,
		Chooser: policy.LeastCostChooser{}, Clock: clock, Budget: g.budget, ExtraPercent: extraPercent,
	})
	g.collecting = collector.NewServer(g.deliverer, g.stopping.Load, log.For("collector"))
	g.passing = collector.NewClient(collector.Options{
		VM: cfg.VM, Local: g.deliverer, Registry: g.registry, Peers: g.peers, Offers: g.follower.Offers, DataCentre: cfg.DataCentre,
		Capacity: cfg.Capacity(), Clock: clock, Log: log.For("collector"),
	})
	g.dispatcher = gateway.NewDispatcher(gateway.Options{Deliverer: g.passing, Metrics: g.metrics, Clock: clock, Log: log.For("gateway")})
	return g, g.listen()
}

func (g *Gateway) listen() error {
	var err error
	front := &platform.ClientHandler{Dispatcher: g.dispatcher, Stopping: g.stopping.Load, Log: g.log.For("front")}
	if g.front, err = web.Listen(g.cfg.Front, front); err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	if g.ready, err = web.Listen(g.cfg.Ready, platform.ReadinessHandler(g.isReady)); err != nil {
		return fmt.Errorf("listen for the balancer: %w", err)
	}
	if g.cfg.CollectPort != 0 {
		handlers := peer.NewHandlers()
		g.collecting.Register(handlers)
		g.peerWS = peer.NewServer(handlers)
		peerMux := http.NewServeMux()
		peerMux.Handle(peer.Path, g.peerWS)
		if g.peerHTTP, err = web.Listen(g.cfg.Collect(), peerMux); err != nil {
			return fmt.Errorf("listen for other entries: %w", err)
		}
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+web.PathMetrics, g.metrics.Handler())
	if g.figures, err = web.Listen(g.cfg.Metrics, mux); err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	return nil
}

// useRouting puts a newer routing document in force.
func (g *Gateway) useRouting(d samphirepass.RoutingDocument) {
	log := g.log.For("gateway")
	routing, err := g.reader.ReadRouting(d.Source)
	if err != nil {
		// Control took the document with the same reader, so this is a fault of the program or of the way here.
		log.Errorf("Routing document %d cannot be read: %v.", d.Version, err)
		return
	}
	if g.dispatcher.ApplyRouting(routing) {
		g.deliverer.Retain(routing.Routes)
		log.Event("Routing in force.", "version", routing.Version, "routes", len(routing.Routes))
	}
}

// budget returns the budget of extra requests of a service.
func (g *Gateway) budget(s samphirepass.Service) samphirepass.Budget {
	g.budgetMu.Lock()
	defer g.budgetMu.Unlock()
	b := g.budgets[s]
	if b == nil {
		limits := policy.WindowLimits{Ratio: g.cfg.RetryBudget.Ratio, SpanMs: g.cfg.RetryBudget.WindowMs, Slack: g.cfg.RetryBudget.Slack}
		b = policy.NewWindowBudget(limits, func() float64 { return g.slackShare(s) }, g.clock)
		g.budgets[s] = b
	}
	return b
}

// gathers reports whether a service is a shard of a route in force.
func (g *Gateway) gathers(s samphirepass.Service) bool { return g.dispatcher.IsShard(s) }

// slackShare returns the part of a budget's slack that this entry may use on a service. The entries share it evenly;
// of a shard, those that collect for others share most of it, as they send nearly all requests.
func (g *Gateway) slackShare(s samphirepass.Service) float64 {
	entries, collectors := g.follower.EntryCount(), g.follower.CollectorCount()
	if entries == 0 {
		return 0
	}
	if collectors == 0 || !g.gathers(s) {
		return 1 / float64(entries)
	}
	if g.follower.IsCollector() {
		return collectorSlack / float64(collectors)
	}
	return (1 - collectorSlack) / float64(entries)
}

// isReady reports whether the balancer should send new connections here.
func (g *Gateway) isReady() bool {
	if g.stopping.Load() {
		return false
	}
	routing, ok := g.dispatcher.Routing()
	if !ok {
		return false
	}
	if g.known.Load() {
		return true
	}
	if g.knowsLeaves(routing) || g.clock.Now()-g.began > learnLeavesMs {
		g.known.Store(true)
		g.log.For("gateway").Event("Ready.", "routing", routing.Version, "after-ms", int(g.clock.Now()-g.began))
		return true
	}
	return false
}

// knowsLeaves reports whether a leaf is known for every service that a route uses.
func (g *Gateway) knowsLeaves(routing samphirepass.Routing) bool {
	for _, r := range routing.Routes {
		if g.deliverer.Covered(r.AllServices()) < len(r.AllServices()) {
			return false
		}
	}
	return true
}

// Run works until ctx ends and then stops without cutting a request.
func (g *Gateway) Run(ctx context.Context) error {
	log := g.log.For("gateway")
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	tree := suture.New("gateway", suture.Spec{EventHook: func(ev suture.Event) { log.Errorf("Supervisor: %s.", ev) }})
	for _, s := range []suture.Service{g.follower, refresher{g}, leaf.NewPreconnector(g.registry, g.pool, routingShares{g}.ahead), g.front, g.ready, g.figures} {
		tree.Add(s)
	}
	tree.Add(g.passing)
	if g.peerHTTP != nil {
		tree.Add(g.peerHTTP)
	}
	finished := tree.ServeBackground(work)
	log.Event("Started.", "front", g.front.Address(), "ready", g.ready.Address(), "seeds", g.cfg.Seeds)
	<-ctx.Done()
	err := g.finishRequests(log)
	cancel()
	<-finished
	if g.peerWS != nil {
		g.peerWS.Close()
	}
	g.peers.Close()
	log.Event("Stopped.")
	g.log.Close()
	return err
}

// finishRequests tells the balancer, serves what still comes, and ends once every request is answered.
func (g *Gateway) finishRequests(log logs.Logger) error {
	log.Event("Stopping.", "stop-ms", g.cfg.StopMs)
	g.stopping.Store(true)
	g.follower.WithdrawOffer()
	left := g.cfg.StopMs - stopMarginMs
	notice := min(balancerNoticeMs, left/2)
	time.Sleep(notice.Duration())
	ctx, cancel := context.WithTimeout(context.Background(), (left - notice).Duration())
	defer cancel()
	err := g.front.Drain(ctx, stopMarginMs)
	for g.collecting.InFlight() > 0 && ctx.Err() == nil {
		time.Sleep(collectPollMs.Duration())
	}
	g.pool.Close()
	if err != nil {
		return fmt.Errorf("stop gateway: %w", err)
	}
	return nil
}

// refresher keeps shares of connections up to date and forgets leaves that are long gone.
type refresher struct{ g *Gateway }

// Serve runs until ctx ends.
func (r refresher) Serve(ctx context.Context) error {
	t := time.NewTicker(refreshMs.Duration())
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return fmt.Errorf("refresh connections: %w", ctx.Err())
		}
		r.g.registry.RemoveExpired()
		var staying []leaf.Registration
		for _, k := range r.g.registry.All() {
			if !k.State.Leaving() {
				staying = append(staying, k)
			}
		}
		r.g.pool.Refresh(staying)
	}
}
