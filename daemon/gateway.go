package daemon

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"samphirepass"
	"samphirepass/buildinfo"
	"samphirepass/collector"
	"samphirepass/directory"
	"samphirepass/gateway"
	"samphirepass/leaf"
	"samphirepass/logs"
	"samphirepass/metrics"
	"samphirepass/peer"
	"samphirepass/platform"
	"samphirepass/policy"
	"samphirepass/quota"
	"samphirepass/relay"
	"samphirepass/settings"
	"samphirepass/web"
)

const (
	// balancerNoticeMs is how long new connections may still arrive after the gateway reports not ready: the balancer needs
	// two failed probes, a second apart.
	balancerNoticeMs samphirepass.Millis = 3000
	// stopMarginMs is the part of the stop time that is reserved for the process to exit after the drain.
	stopMarginMs samphirepass.Millis = 400
	// answerMarginMs is the part of the stop time that is reserved for writing the last answers.
	answerMarginMs samphirepass.Millis = 100
	// leafDiscoveryTimeoutMs is the time after the start at which a gateway reports ready even if some services have no known leaf.
	// It is longer than the interval between two heartbeats of a leaf.
	leafDiscoveryTimeoutMs samphirepass.Millis = 3000
	// collectorSlackFraction is the fraction of a retry budget's slack that collectors share. Collectors are gateways to which smaller
	// gateways forward scatter-gather requests.
	collectorSlackFraction = 0.8
	// refreshIntervalMs is the interval between updates of the connection limits.
	refreshIntervalMs samphirepass.Millis = 1000
	// extraPercent is the percentage of hedges and retries that the hedgers are tuned for; the retry budget bounds them in any case.
	extraPercent samphirepass.Percent = 15
)

// Gateway is a gateway process: it forwards the requests of clients to leaves.
type Gateway struct {
	cfg             settings.Node
	log             logs.Logger
	clock           samphirepass.Clock
	registry        *leaf.Registry
	pool            *leaf.Pool
	peers           *peer.Pool
	follower        *directory.Follower
	deliverer       *leaf.Deliverer
	collectorClient *collector.Client
	collectorServer *collector.Server
	path            *leaf.PathMonitor
	preconnector    *leaf.Preconnector
	relayClient     *relay.Client
	relayServer     *relay.Server
	peerWS          *peer.Server
	peerHTTP        *web.Server
	dispatcher      *gateway.Dispatcher
	metrics         *metrics.Metrics
	// balancer is nil if the settings keep the previous choice of leaves.
	balancer        *policy.Balancer
	reader          samphirepass.RoutingReader
	clientServer    *web.Server
	readinessServer *web.Server
	metricsServer   *web.Server
	startedAt       samphirepass.Millis
	stopping        atomic.Bool
	// ending begins when only open connections are served.
	ending *gateway.Ending
	// wasReady is set once the gateway has reported ready.
	wasReady atomic.Bool

	// limits is nil where the settings declare no limits that all gateways share.
	limits *quota.Client
	// resume is nil unless the settings bound the time of an evacuation.
	resume *leaf.ResumeGuard

	budgetMu sync.Mutex
	budgets  map[samphirepass.Service]samphirepass.Budget
}

// NewGateway opens the listeners of a gateway; Run serves them.
func NewGateway(cfg settings.Node, log logs.Logger) (*Gateway, error) {
	clock := samphirepass.SystemClock{}
	g := &Gateway{
		cfg: cfg, log: log, clock: clock, registry: leaf.NewRegistry(clock), metrics: metrics.NewMetrics(),
		peers: &peer.Pool{LocalAddr: cfg.LocalIP()}, reader: platform.RoutingReader{}, startedAt: clock.Now(),
		budgets: map[samphirepass.Service]samphirepass.Budget{}, ending: gateway.NewEnding(clock),
	}
	g.pool = leaf.NewPool(clock, routingShares{g})
	if cfg.ListenIP != "" {
		g.pool.ConnectFrom(cfg.LocalIP())
	}
	g.path = leaf.NewPathMonitor(leaf.PathMonitorOptions{
		Registry: g.registry, Pool: g.pool, Protocol: platform.LeafProtocol{}, DataCentre: cfg.DataCentre, Clock: clock, OnChange: g.notePathChange,
	})
	g.preconnector = leaf.NewPreconnector(g.registry, g.pool, routingShares{g}.wantsPreconnect)
	quarantine := policy.NewQuarantine(clock)
	g.follower = directory.NewFollower(directory.FollowerOptions{
		VM: cfg.VM, DataCentre: cfg.DataCentre, Seeds: cfg.SeedPeers(), Registry: g.registry, Peers: g.peers, Quarantine: quarantine,
		Clock: clock, OnRouting: g.applyRouting, OnEvacuations: g.applyEvacuations, Capacity: cfg.Capacity(), CollectAddress: cfg.CollectAddress(), Logf: log.For("directory").Infof,
		OnCollectorOffers: func() { g.collectorClient.Wake() }, Path: g.path,
	})
	sender := leaf.NewSender(g.pool, platform.LeafProtocol{}, clock)
	sender.OnNotice, sender.Path = g.follower.HandleNotice, g.path
	if cfg.EvacuateMs > 0 {
		g.resume = leaf.NewResumeGuard(clock, g.follower.Refresh)
		sender.Resume = g.resume
	}
	g.deliverer = leaf.NewDeliverer(leaf.DelivererOptions{
		Registry: g.registry, Pool: g.pool, Sender: sender, DataCentre: cfg.DataCentre,
		Chooser: g.chooser(), Clock: clock, Budget: g.retryBudget, ExtraPercent: extraPercent, Path: g.path,
		Memory: leaf.NewSlots(leaf.SlotsOptions{Clock: clock, Limit: web.MemoryBudget(cfg.MemoryMb)}),
	})
	g.metrics.ObserveInFlight(g.deliverer.InFlight)
	g.collectorServer = collector.NewServer(g.deliverer, g.refusesParts, g.metrics, log.For("collector"))
	g.collectorServer.OnEvacuations, g.collectorServer.Path = g.applyEvacuations, g.path
	g.collectorServer.EvacuationRevision = func() samphirepass.Revision { return g.registry.Evacuations().Revision }
	g.collectorClient = collector.NewClient(collector.Options{
		VM: cfg.VM, Local: g.deliverer, Registry: g.registry, Peers: g.peers, Offers: g.follower.Offers, Shards: g.shards, DataCentre: cfg.DataCentre,
		Address: cfg.CollectAddress(), Collecting: g.follower.IsCollector, Capacity: cfg.Capacity(), Clock: clock, Log: log.For("collector"),
		Metrics: g.metrics, Path: g.path,
	})
	g.relayClient = relay.NewClient(relay.Options{
		Local: g.collectorClient, Registry: g.registry, Path: g.path, Relays: g.follower.Relays, DataCentre: cfg.DataCentre, Clock: clock, Metrics: g.metrics,
		Log: log.For("relay"), NewPeers: func() *peer.Pool { return &peer.Pool{LocalAddr: cfg.LocalIP()} },
	})
	g.relayServer = relay.NewServer(relay.ServerOptions{
		Deliverer: g.collectorClient, Path: g.path, Stopping: g.refusesParts, OnEvacuations: g.applyEvacuations, Log: log.For("relay"),
		Shards: func() [][]samphirepass.Service { return g.dispatcher.ShardLists() },
	})
	g.dispatcher = gateway.NewDispatcher(gateway.Options{
		Quotas:    g.newLimiter(cfg.Quota != nil),
		Deliverer: g.relayClient, Ending: g.ending, Quarantine: quarantine, OnSuspicion: g.follower.ReportSuspicion, Metrics: g.metrics, Clock: clock, Log: log.For("gateway"),
	})
	if cfg.WarmUp != nil {
		g.limitWarmUps(g.newLimiter(true))
	}
	return g, g.listen()
}

// limitWarmUps keeps the requests to cold leaves within limits that all gateways share.
func (g *Gateway) limitWarmUps(limiter samphirepass.FleetLimiter) {
	log := g.log.For("warm-up")
	g.registry.OnColdness = func(c leaf.ColdnessChange) {
		log.Event("Leaf changed its warm-up.", "leaf", c.Announcement.Leaf, "service", c.Announcement.Service, "incarnation", c.Announcement.Incarnation,
			"sequence", c.Announcement.Sequence, "age-ms", int(c.AgeMs), "known-ms", int(c.KnownMs), "left-ms", int(c.LeftMs))
	}
	g.pool.LimitWarmUps(leaf.WarmUpOptions{
		Registry: g.registry, Limiter: limiter, SinceContact: g.follower.SinceLeaderContact, Logf: log.Infof,
		PerSecond: func(s samphirepass.Service) float64 {
			routing, _ := g.dispatcher.Routing()
			return routing.WarmUps[s].PerSecond
		},
		OnOutcome: func(o leaf.TokenOutcome) { g.metrics.ColdLeafRequest(string(o)) },
	})
}

func (g *Gateway) listen() error {
	var err error
	guard := newGuard(g.cfg, g.log, g.metrics)
	handler := &platform.ClientHandler{Dispatcher: g.dispatcher, Stopping: g.stopping.Load, Log: g.log.For("front")}
	if g.clientServer, err = web.ListenDoor(g.cfg.Front, handler, web.Door{Guard: guard, Name: "front", RefuseOverdrawn: true, Limits: g.dispatcher.ClientLimits}); err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	if g.readinessServer, err = web.ListenDoor(g.cfg.Ready, platform.ReadinessHandler(g.isReady), web.Door{Guard: guard, Name: "ready"}); err != nil {
		return fmt.Errorf("listen for the balancer: %w", err)
	}
	if g.cfg.CollectPort != 0 {
		handlers := newHandlers(g.log)
		g.collectorServer.Register(handlers)
		g.relayServer.Register(handlers)
		g.peerWS = peer.NewServer(handlers)
		peerMux := http.NewServeMux()
		peerMux.Handle(peer.Path, g.peerWS)
		if g.peerHTTP, err = web.ListenDoor(g.cfg.CollectAddress(), peerMux, web.Door{Guard: guard, Name: "peers"}); err != nil {
			return fmt.Errorf("listen for collect requests: %w", err)
		}
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+web.PathMetrics, g.metrics.Handler())
	if g.metricsServer, err = web.ListenDoor(g.cfg.Metrics, mux, web.Door{Guard: guard, Name: "metrics"}); err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	return nil
}

// notePathChange logs that the path to leaves was lost or is back.
func (g *Gateway) notePathChange(c leaf.PathChange) {
	lost := samphirepass.PathLost(g.path)
	g.metrics.SetPathLost(lost)
	log := g.log.For("path")
	switch {
	case lost:
		log.Event("Path to leaves lost.", "condition", c.Condition, "since-contact-ms", int(c.SinceContactMs))
	case c.Narrow:
		log.Event("Leaves are reached on open connections only.")
	default:
		log.Event("Path to leaves is back.", "lost-ms", int(c.LostMs))
		g.preconnector.Forget()
	}
}

// applyRouting puts a routing document in force if it is newer than the one in force.
func (g *Gateway) applyRouting(d samphirepass.RoutingDocument) {
	log := g.log.For("gateway")
	routing, err := g.reader.ReadRouting(d.Source)
	if err != nil {
		// Control accepted the document with the same reader, so this is a bug, or the document was corrupted in transit.
		log.Errorf("Routing document %d cannot be read: %v.", d.Version, err)
		return
	}
	if g.dispatcher.ApplyRouting(routing) {
		g.deliverer.Retain(routing.Routes)
		g.collectorClient.Wake()
		g.retainBalancing(routing)
		log.Event("Routing in force.", "version", routing.Version, "routes", len(routing.Routes))
	}
}

// retryBudget returns the budget for hedges and retries of a service.
func (g *Gateway) retryBudget(s samphirepass.Service) samphirepass.Budget {
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

// isShard reports whether a service is a shard of a scatter-gather route in force.
func (g *Gateway) isShard(s samphirepass.Service) bool { return g.dispatcher.IsShard(s) }

// shards returns the shards of all scatter-gather routes in force, each once.
func (g *Gateway) shards() []samphirepass.Service { return g.dispatcher.Shards() }

// slackShare returns the fraction of the retry budget's slack that this gateway may use for a service. All gateways share it evenly,
// except for shards, where the collectors that get the requests share most of it. The directory calls gateways entries.
func (g *Gateway) slackShare(s samphirepass.Service) float64 {
	entries, collectors := g.follower.EntryCount(), g.follower.CollectorCount()
	if entries == 0 {
		return 0
	}
	if collectors == 0 || !g.isShard(s) {
		return 1 / float64(entries)
	}
	if use := g.shardUse(s, collectors); use.Own {
		return collectorSlackFraction / float64(use.Prepared)
	}
	return (1 - collectorSlackFraction) / float64(entries)
}

// shardUse returns how many of the collectors send requests to the leaves of a shard, and whether this gateway is one of them.
func (g *Gateway) shardUse(s samphirepass.Service, collectors int) collector.ShardUse {
	if !g.follower.IsCollector() {
		return collector.ShardUse{Active: collectors, Prepared: collectors}
	}
	use, ok := g.collectorClient.ShardUse(s, g.dispatcher.MaxShards())
	if !ok {
		return collector.ShardUse{Active: collectors, Prepared: collectors, Own: true}
	}
	return use
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
	if g.wasReady.Load() {
		return true
	}
	if g.hasLeafOfEveryService(routing) || g.clock.Now()-g.startedAt > leafDiscoveryTimeoutMs {
		g.wasReady.Store(true)
		g.log.For("gateway").Event("Ready.", "routing", routing.Version, "after-ms", int(g.clock.Now()-g.startedAt))
		return true
	}
	return false
}

// hasLeafOfEveryService reports whether there is an eligible leaf for every service of every route. Services whose leaves are all evacuated do
// not count.
func (g *Gateway) hasLeafOfEveryService(routing samphirepass.Routing) bool {
	uncovered := g.registry.Uncovered(g.registry.Evacuations().DataCentres)
	for _, r := range routing.Routes {
		services := r.AllServices()
		if len(uncovered) > 0 {
			services = slices.DeleteFunc(slices.Clone(services), func(s samphirepass.Service) bool { return slices.Contains(uncovered, s) })
		}
		if g.deliverer.Covered(services) < len(services) {
			return false
		}
	}
	return true
}

// Run serves until ctx ends and then shuts down gracefully, without aborting requests in flight.
func (g *Gateway) Run(ctx context.Context) error {
	log := g.log.For("gateway")
	serveCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	supervisor := newSupervisor(serveCtx, "gateway", log, map[string]suture.Service{
		"directory follower":   g.follower,
		"connection refresher": connectionRefresher{g},
		"preconnector":         g.preconnector,
		"client server":        g.clientServer,
		"readiness server":     g.readinessServer,
		"metrics server":       g.metricsServer,
		"collector client":     g.collectorClient,
		"path monitor":         g.path,
		"relay client":         g.relayClient,
	})
	if g.resume != nil {
		supervisor.Add(namedService{g.resume, "resume guard"})
	}
	if g.peerHTTP != nil {
		supervisor.Add(namedService{g.peerHTTP, "peer server"})
		supervisor.Add(namedService{g.collectorServer, "collector server"})
	}
	supervisorDone := supervisor.ServeBackground(serveCtx)
	log.Event("Started.", "version", buildinfo.Version(), "build", buildinfo.ID(), "front", g.clientServer.Address(), "ready", g.readinessServer.Address(), "seeds", g.cfg.Seeds)
	<-ctx.Done()
	err := g.finishRequests(log)
	cancel()
	<-supervisorDone
	if g.peerWS != nil {
		g.peerWS.Close()
	}
	g.peers.Close()
	log.Event("Stopped.")
	g.log.Close()
	return err
}

// finishRequests reports not ready, serves the connections that still arrive until the balancer has noticed, and returns once
// every request has been answered or the stop time is over.
func (g *Gateway) finishRequests(log logs.Logger) error {
	log.Event("Stopping.", "stop-ms", g.cfg.StopMs)
	g.stopping.Store(true)
	g.follower.WithdrawOffer()
	remainingMs := g.cfg.StopMs - stopMarginMs
	noticeMs := min(balancerNoticeMs, remainingMs/2)
	time.Sleep(noticeMs.Duration())
	// Until now a request was taken whatever time it may last: most are answered long before.
	g.ending.Begin(remainingMs - noticeMs - answerMarginMs)
	ctx, cancel := context.WithTimeout(context.Background(), (remainingMs - noticeMs).Duration())
	defer cancel()
	err := g.clientServer.Drain(ctx, stopMarginMs)
	if g.peerWS != nil {
		g.peerWS.Drain(ctx)
	}
	g.pool.Close()
	if err != nil {
		return fmt.Errorf("stop gateway: %w", err)
	}
	return nil
}

// refusesParts reports whether this gateway takes no more parts of others' requests. When it begins to stop, others still believe that it
// collects, and there is time to answer them.
func (g *Gateway) refusesParts() bool {
	_, ending := g.ending.CutIn()
	return ending
}

// connectionRefresher periodically removes expired leaves from the registry and updates the connection limits of those that
// are not leaving.
type connectionRefresher struct{ g *Gateway }

// Serve runs until ctx ends.
func (r connectionRefresher) Serve(ctx context.Context) error {
	t := time.NewTicker(refreshIntervalMs.Duration())
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return fmt.Errorf("refresh connections: %w", ctx.Err())
		}
		r.g.registry.RemoveExpired()
		var remaining []leaf.Registration
		for _, reg := range r.g.registry.All() {
			if !reg.State.Leaving() {
				remaining = append(remaining, reg)
			}
		}
		r.g.pool.Refresh(remaining)
	}
}
