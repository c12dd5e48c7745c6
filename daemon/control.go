package daemon

import (
	"context"
	"fmt"
	"net/http"

	"github.com/thejerf/suture/v4"

	"samphirepass"
	"samphirepass/control"
	"samphirepass/disk"
	"samphirepass/logs"
	"samphirepass/metrics"
	"samphirepass/peer"
	"samphirepass/settings"
	"samphirepass/web"
)

// stopStepTimeoutMs bounds each step of a shutdown: the transfer of the leadership, and closing the servers.
const stopStepTimeoutMs samphirepass.Millis = 3000

// Control is a control process, a member of the replicated log.
type Control struct {
	cfg      settings.File
	log      logs.Logger
	node     *control.Node
	peers    *peer.Pool
	peerWS   *peer.Server
	metrics  *metrics.Metrics
	api      *web.Server
	peerHTTP *web.Server
}

// NewControl opens the data folder and the listeners of a control member; Run serves them.
func NewControl(cfg settings.File, log logs.Logger) (*Control, error) {
	folder, err := disk.OpenFolder(cfg.DataFolder)
	if err != nil {
		return nil, fmt.Errorf("open data folder: %w", err)
	}
	c := &Control{cfg: cfg, log: log, peers: &peer.Pool{LocalAddr: cfg.PeerIP()}, metrics: metrics.NewMetrics()}
	c.node = control.NewNode(control.Options{
		VM: cfg.VM, Address: cfg.Peer, Members: cfg.Members(), Seats: cfg.EntrySeats, Files: folder,
		Clock: samphirepass.SystemClock{}, Peers: c.peers, SnapshotEntries: cfg.SnapshotEntries, Log: log.For("control").Infof,
	})
	guard := newFileGuard(cfg, log, c.metrics)
	handlers := newHandlers(log)
	c.node.Register(handlers)
	c.peerWS = peer.NewServer(handlers)
	peerMux := http.NewServeMux()
	peerMux.Handle(peer.Path, c.peerWS)
	if c.peerHTTP, err = web.ListenDoor(cfg.PeerListen, peerMux, web.Door{Guard: guard, Name: "peers"}); err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	if c.api, err = web.ListenDoor(cfg.API, c.handler(), web.Door{Guard: guard, Name: "api"}); err != nil {
		return nil, fmt.Errorf("listen for API requests: %w", err)
	}
	return c, nil
}

func (c *Control) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+web.PathReady, web.ReadinessHandler(func() string { return "" }))
	mux.Handle("GET "+web.PathMetrics, c.metrics.Handler())
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, r *http.Request) {
		status, err := c.node.Status(r.Context())
		if err != nil {
			web.WriteError(w, err)
			return
		}
		web.WriteJSON(w, http.StatusOK, status)
	})
	return mux
}

// Run serves until ctx ends or the disk fails. After a disk failure it answers no further request and returns the error.
func (c *Control) Run(ctx context.Context) error {
	log := c.log.For("control")
	serveCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	supervisor := newSupervisor(serveCtx, "control", log, map[string]suture.Service{"api server": c.api, "peer server": c.peerHTTP})
	supervisorDone := supervisor.ServeBackground(serveCtx)
	// The node is not restarted: what a failed disk holds is unknown until the process restarts.
	nodeErr := make(chan error, 1)
	go func() { nodeErr <- c.node.Serve(serveCtx) }()
	log.Infof("Member %s listening for peers on %s.", c.cfg.VM, c.peerHTTP.Address())
	var err error
	select {
	case err = <-nodeErr:
		log.Errorf("Stopping: %v.", err)
	case <-ctx.Done():
		log.Infof("Stopping.")
		c.transferLeadership()
	}
	c.close()
	cancel()
	<-supervisorDone
	if err != nil {
		return fmt.Errorf("control member: %w", err)
	}
	<-nodeErr
	log.Infof("Stopped.")
	return nil
}

func (c *Control) transferLeadership() {
	ctx, cancel := context.WithTimeout(context.Background(), stopStepTimeoutMs.Duration())
	defer cancel()
	c.node.TransferLeadership(ctx)
}

func (c *Control) close() {
	ctx, cancel := context.WithTimeout(context.Background(), stopStepTimeoutMs.Duration())
	defer cancel()
	_ = c.api.Shutdown(ctx)
	c.peerWS.Close()
	_ = c.peerHTTP.Shutdown(ctx)
	c.peers.Close()
}
