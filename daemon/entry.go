package daemon

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/thejerf/suture/v4"

	"samphirepass"
	"samphirepass/blackboard"
	"samphirepass/caller"
	"samphirepass/control"
	"samphirepass/entry"
	"samphirepass/leaf"
	"samphirepass/lease"
	"samphirepass/ledger"
	"samphirepass/logs"
	"samphirepass/metrics"
	"samphirepass/operator"
	"samphirepass/peer"
	"samphirepass/policy"
	"samphirepass/settings"
	"samphirepass/web"
)

const (
	// drainTimeoutMs bounds the wait for requests in flight during a shutdown.
	drainTimeoutMs samphirepass.Millis = 65_000
	// entryIdleMs is the part of that for which the API waits for idle connections, on which a request may be on its way.
	entryIdleMs samphirepass.Millis = 500
	// seatReleaseTimeoutMs bounds the release of the seat during a shutdown.
	seatReleaseTimeoutMs samphirepass.Millis = 2000
)

// Entry is an entry process.
type Entry struct {
	cfg settings.File
	// process identifies this incarnation of the process.
	process    string
	log        logs.Logger
	board      *blackboard.Board
	registry   *leaf.Registry
	pool       *leaf.Pool
	client     *control.Client
	syncer     *entry.Syncer
	peerSyncer *entry.PeerSyncer
	warmer     *leaf.Warmer
	callerAPI  *caller.API
	metrics    *metrics.Metrics
	peers      *peer.Pool
	peerWS     *peer.Server
	api        *web.Server
	peerHTTP   *web.Server
}

// NewEntry opens the listeners of an entry; Run serves them.
func NewEntry(cfg settings.File, log logs.Logger) (*Entry, error) {
	clock := samphirepass.SystemClock{}
	e := &Entry{
		cfg: cfg, process: uuid.NewString(), log: log, board: &blackboard.Board{}, registry: leaf.NewRegistry(clock),
		metrics: metrics.NewMetrics(), peers: &peer.Pool{LocalAddr: cfg.PeerIP()},
	}
	e.client = control.NewClient(cfg.Members(), e.peers)
	opts := entry.Options{
		VM: cfg.VM, Address: cfg.Peer, DataCentre: cfg.DataCentre, Process: e.process, Board: e.board, Lease: &lease.Lease{},
		Control: e.client, Peers: e.peers, Clock: clock, Log: log.For("entry").Infof,
	}
	e.syncer = entry.NewSyncer(opts)
	e.peerSyncer = entry.NewPeerSyncer(opts, e.registry)
	e.pool = leaf.NewPool(clock, seatShares{vm: cfg.VM, board: e.board})
	e.warmer = leaf.NewWarmer(e.registry, e.pool, leaf.Native{}, clock)
	policies := policy.Named(cfg.Policy, clock)
	planner := leaf.NewPlanner(e.registry, clock)
	gatherer := leaf.NewGatherer(planner, e.pool, leaf.NewSender(e.pool, leaf.Native{}, clock), cfg.DataCentre, policies, clock)
	e.callerAPI = caller.New(caller.Options{
		VM: cfg.VM, Board: e.board, Gatherer: gatherer, Control: e.client, Policy: policies,
		Metrics: e.metrics, Clock: clock, Serving: e.syncer.Serving,
	})
	return e, e.listen()
}

// LeafRequests returns the number of requests sent to leaves, and the number of hedges and retries among them.
func (e *Entry) LeafRequests() (all, extra int64) {
	return e.metrics.LeafRequests()
}

// seatShares divides the connections of each leaf among the seats in the current configuration.
type seatShares struct {
	vm    samphirepass.VM
	board *blackboard.Board
}

// Share returns the number of connections that this entry may hold to a leaf, 0 without a seat.
func (s seatShares) Share(a samphirepass.Announcement) int {
	cfg := s.board.Config.Value()
	seat, ok := cfg.Seat(s.vm)
	if !ok {
		return 0
	}
	return leaf.Share(a, seat.Number, cfg.SeatCount)
}

// Senders returns the number of entries.
func (s seatShares) Senders(samphirepass.Announcement) int { return s.board.Config.Value().SeatCount }

// Version returns the version of the configuration.
func (s seatShares) Version() uint64 {
	_, version := s.board.Config.Get()
	return version
}

func (e *Entry) listen() error {
	guard := newFileGuard(e.cfg, e.log, e.metrics)
	handlers := newHandlers(e.log)
	e.peerSyncer.Register(handlers)
	e.peerWS = peer.NewServer(handlers)
	peerMux := http.NewServeMux()
	peerMux.Handle(peer.Path, e.peerWS)
	var err error
	if e.peerHTTP, err = web.ListenDoor(e.cfg.PeerListen, peerMux, web.Door{Guard: guard, Name: "peers"}); err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	if e.api, err = web.ListenDoor(e.cfg.API, e.handler(), web.Door{Guard: guard, Name: "api", RefuseOverdrawn: true}); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	return nil
}

func (e *Entry) handler() http.Handler {
	mux := http.NewServeMux()
	e.callerAPI.Register(mux)
	(&operator.API{Board: e.board, Control: e.client, Registry: e.registry, VM: e.cfg.VM, Serving: e.syncer.Serving}).Register(mux)
	mux.Handle("POST /v1/announcements", leaf.AnnouncementHandler(e.registry, e.peerSyncer.Broadcast))
	mux.Handle("GET "+web.PathReady, web.ReadinessHandler(e.notReadyReason))
	mux.Handle("GET "+web.PathMetrics, e.metrics.Handler())
	return web.CloseWhenStopping(e.board.Stopping.Value, mux)
}

// notReadyReason returns why the balancer should not send requests, or an empty string if it may.
func (e *Entry) notReadyReason() string {
	if e.board.Stopping.Value() {
		return "stopping"
	}
	if !e.syncer.Serving() {
		return "configuration not confirmed"
	}
	if _, ok := e.board.Config.Value().Seat(e.cfg.VM); !ok {
		return "no seat"
	}
	if !e.peerSyncer.DiscoveryComplete() {
		return "leaves not yet known"
	}
	return ""
}

// Run serves until ctx ends and then shuts down gracefully, without aborting requests in flight.
func (e *Entry) Run(ctx context.Context) error {
	log := e.log.For("entry")
	serveCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	supervisor := newSupervisor(serveCtx, "entry", log, map[string]suture.Service{
		"configuration syncer": e.syncer, "peer syncer": e.peerSyncer, "connection warmer": e.warmer, "api server": e.api, "peer server": e.peerHTTP,
	})
	supervisorDone := supervisor.ServeBackground(serveCtx)
	log.Infof("Serving on %s.", e.api.Address())
	<-ctx.Done()
	err := e.finishRequests(log)
	// All services stop first, so that none requests the seat again after its release.
	cancel()
	<-supervisorDone
	e.releaseSeat(log)
	e.peers.Close()
	log.Infof("Stopped.")
	return err
}

// finishRequests reports not ready, waits for the balancer to notice, and returns once every request has been answered or
// drainTimeoutMs is over.
func (e *Entry) finishRequests(log logs.Logger) error {
	log.Infof("Stopping.")
	e.board.Stopping.Set(true)
	time.Sleep(e.cfg.BalancerNoticeMs.Duration())
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeoutMs.Duration())
	defer cancel()
	err := e.api.Drain(ctx, drainTimeoutMs-entryIdleMs)
	e.callerAPI.Wait()
	e.pool.Close()
	e.peerWS.Close()
	_ = e.peerHTTP.Shutdown(ctx)
	if err != nil {
		return fmt.Errorf("stop entry: %w", err)
	}
	return nil
}

func (e *Entry) releaseSeat(log logs.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), seatReleaseTimeoutMs.Duration())
	defer cancel()
	change := ledger.SeatChange{VM: e.cfg.VM, Process: e.process, Release: true}
	if _, err := e.client.Propose(ctx, ledger.Command{Seat: &change}); err != nil {
		log.Errorf("Seat not released: %v.", err)
	}
}
