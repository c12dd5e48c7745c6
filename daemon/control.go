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

// handOverTimeoutMs bounds the passing on of the leadership at a stop.
const handOverTimeoutMs samphirepass.Millis = 3000

// Control is one control process.
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

// NewControl opens the data folder and the listeners of a control member; Run makes it work.
func NewControl(cfg settings.File, log logs.Logger) (*Control, error) {
	folder, err := disk.OpenFolder(cfg.DataFolder)
	if err != nil {
		return nil, fmt.Errorf("open data folder: %w", err)
	}
	c := &Control{cfg: cfg, log: log, peers: &peer.Pool{From: cfg.PeerIP()}, metrics: metrics.NewMetrics()}
	c.node = control.NewNode(control.Options{
		VM: cfg.VM, Address: cfg.Peer, Members: cfg.Members(), Seats: cfg.EntrySeats, Files: folder,
		Clock: samphirepass.SystemClock{}, Peers: c.peers, SnapshotEntries: cfg.SnapshotEntries, Log: log.For("control").Infof,
	})
	handlers := peer.NewHandlers()
	c.node.Register(handlers)
	c.peerWS = peer.NewServer(handlers)
	peerMux := http.NewServeMux()
	peerMux.Handle(peer.Path, c.peerWS)
	if c.peerHTTP, err = web.Listen(cfg.PeerListen, peerMux); err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	if c.api, err = web.Listen(cfg.API, c.handler()); err != nil {
		return nil, fmt.Errorf("listen for the platform: %w", err)
	}
	return c, nil
}

func (c *Control) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+web.PathReady, web.Readiness(func() string { return "" }))
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

// Run works until ctx ends or the disk fails; after a disk fault nothing is answered any more.
func (c *Control) Run(ctx context.Context) error {
	log := c.log.For("control")
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	tree := suture.New("control", suture.Spec{EventHook: func(ev suture.Event) { log.Errorf("Supervisor: %s.", ev) }})
	tree.Add(c.api)
	tree.Add(c.peerHTTP)
	finished := tree.ServeBackground(work)
	// The node is not restarted: what a failed disk holds is unknown until the process starts anew.
	failed := make(chan error, 1)
	go func() { failed <- c.node.Serve(work) }()
	log.Infof("Member %s listens to peers on %s.", c.cfg.VM, c.peerHTTP.Address())
	var err error
	select {
	case err = <-failed:
		log.Errorf("Stopping: %v.", err)
	case <-ctx.Done():
		log.Infof("Stopping.")
		c.handOver()
	}
	c.close()
	cancel()
	<-finished
	if err != nil {
		return fmt.Errorf("control member: %w", err)
	}
	<-failed
	log.Infof("Stopped.")
	return nil
}

func (c *Control) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeoutMs.Duration())
	defer cancel()
	c.node.TransferLeadership(ctx)
}

func (c *Control) close() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeoutMs.Duration())
	defer cancel()
	_ = c.api.Shutdown(ctx)
	c.peerWS.Close()
	_ = c.peerHTTP.Shutdown(ctx)
	c.peers.Close()
}
