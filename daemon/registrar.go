package daemon

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"samphirepass"
	"samphirepass/control"
	"samphirepass/directory"
	"samphirepass/disk"
	"samphirepass/leaf"
	"samphirepass/logs"
	"samphirepass/metrics"
	"samphirepass/peer"
	"samphirepass/platform"
	"samphirepass/quorum"
	"samphirepass/settings"
	"samphirepass/web"
)

const (
	// memberRestartMs is the pause before a member whose disk failed opens its data folder anew.
	memberRestartMs samphirepass.Millis = 500
	// registrarHandOverMs bounds the passing on of the leadership at a stop.
	registrarHandOverMs samphirepass.Millis = 1500
	// forgetEveryMs is the time between two looks for leaves that are long gone.
	forgetEveryMs samphirepass.Millis = 5000
	// noLeaderMs is the leader's age where this process knows of none.
	noLeaderMs samphirepass.Millis = 1e9
)

// Registrar is one process of control: it hears of leaves, tells all others, and is a member of the log if it has a disk.
type Registrar struct {
	cfg      settings.Node
	log      logs.Logger
	clock    samphirepass.Clock
	registry *leaf.Registry
	peers    *peer.Pool
	handlers *peer.Handlers
	follower *directory.Follower
	source   *directory.Source
	client   *control.Client
	metrics  *metrics.Metrics
	peerWS   *peer.Server
	peerHTTP *web.Server
	api      *web.Server
	figures  *web.Server
	member   atomic.Pointer[control.Node]
}

// NewRegistrar opens the listeners of a registrar; Run makes it work.
func NewRegistrar(cfg settings.Node, log logs.Logger) (*Registrar, error) {
	clock := samphirepass.SystemClock{}
	r := &Registrar{
		cfg: cfg, log: log, clock: clock, registry: leaf.NewRegistry(clock), peers: &peer.Pool{From: cfg.Address()},
		handlers: peer.NewHandlers(), metrics: metrics.NewMetrics(),
	}
	r.source = directory.NewSource(directory.SourceOptions{
		Self: directory.Endpoint{Address: cfg.Peer(), DataCentre: cfg.DataCentre}, Registry: r.registry, State: r, Clock: clock,
		OnEndpoint: func(c directory.Endpoint) { r.follower.AddEndpoint(c) },
	})
	r.follower = directory.NewFollower(directory.FollowerOptions{
		VM: cfg.VM, DataCentre: cfg.DataCentre, ControlAddress: cfg.Peer(), Seeds: cfg.SeedPeers(), Registry: r.registry, Peers: r.peers,
		Clock: clock, OnEntries: r.source.AddRemoteEntries, OnOffers: r.source.AddRemoteOffers, Logf: log.For("directory").Infof,
	})
	r.client = control.NewClient(members(cfg.SeedPeers()), r.peers)
	r.source.Register(r.handlers)
	if cfg.DataFolder == "" {
		control.RegisterDiskless(r.handlers, cfg.VM)
	}
	return r, r.listen()
}

func members(addresses []string) quorum.Members {
	out := make(quorum.Members, len(addresses))
	for i, a := range addresses {
		out[i].Address = a
	}
	return out
}

func (r *Registrar) listen() error {
	r.peerWS = peer.NewServer(r.handlers)
	peerMux := http.NewServeMux()
	peerMux.Handle(peer.Path, r.peerWS)
	var err error
	if r.peerHTTP, err = web.Listen(r.cfg.PeerListen(), peerMux); err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	calls := &platform.ControlAPI{Store: r, Announcements: r, Log: r.log.For("control")}
	if r.api, err = web.Listen(r.cfg.Control, calls.Handler()); err != nil {
		return fmt.Errorf("listen for operators and leaves: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+web.PathMetrics, r.metrics.Handler())
	if r.figures, err = web.Listen(r.cfg.Metrics, mux); err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	return nil
}

// AppliedRouting returns the routing document that this process has applied.
func (r *Registrar) AppliedRouting() samphirepass.RoutingDocument {
	if m := r.member.Load(); m != nil {
		return m.AppliedRouting()
	}
	return samphirepass.RoutingDocument{}
}

// SinceLeaderContact returns the time since a leader was last heard of.
func (r *Registrar) SinceLeaderContact() samphirepass.Millis {
	if m := r.member.Load(); m != nil {
		_, age := m.Leader()
		return age
	}
	return noLeaderMs
}

// MemberAddresses returns the peer addresses of the members.
func (r *Registrar) MemberAddresses() []string {
	var out []string
	if m := r.member.Load(); m != nil {
		for _, one := range m.Members() {
			out = append(out, one.Address)
		}
	}
	return out
}

// Changed returns a channel that is closed at the next change of the replicated state.
func (r *Registrar) Changed() <-chan struct{} {
	if m := r.member.Load(); m != nil {
		return m.Changed()
	}
	return nil
}

// turnToMembers lets the client ask the members of now, the leader first.
func (r *Registrar) turnToMembers() {
	m := r.member.Load()
	if m == nil || len(m.Members()) == 0 {
		r.client.SetMembers(members(append(r.follower.ControlAddresses(), r.cfg.SeedPeers()...)), "")
		return
	}
	leader, _ := m.Leader()
	r.client.SetMembers(m.Members(), leader.VM)
}

// PutRouting returns once the document, or one with a higher version, is durable on a majority.
func (r *Registrar) PutRouting(ctx context.Context, d samphirepass.RoutingDocument) error {
	if r.AppliedRouting().Version >= d.Version {
		// What is applied is committed, and a version that is not higher changes nothing.
		return nil
	}
	r.turnToMembers()
	return r.client.PutRouting(ctx, d)
}

// Routing returns the newest durable document.
func (r *Registrar) Routing(ctx context.Context) (samphirepass.RoutingDocument, error) {
	r.turnToMembers()
	return r.client.Routing(ctx)
}

// HandleAnnouncement takes in what a leaf said of itself.
func (r *Registrar) HandleAnnouncement(a samphirepass.Announcement) {
	if newer, changed := r.registry.Apply(a, 0, true); newer && changed {
		r.log.For("registry").Event("Leaf announced.", "leaf", a.Leaf, "service", a.Service, "address", a.Address,
			"state", a.State, "incarnation", a.Incarnation, "sequence", a.Sequence, "cold-ms", a.ColdMs)
	}
}

// HandleLeave takes in that the present life of a leaf gets no more work.
func (r *Registrar) HandleLeave(name samphirepass.Leaf) {
	if r.registry.MarkGone(name) {
		r.log.For("registry").Event("Leaf left.", "leaf", name)
	}
}

// Run works until ctx ends.
func (r *Registrar) Run(ctx context.Context) error {
	log := r.log.For("control")
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	tree := suture.New("registrar", suture.Spec{EventHook: func(ev suture.Event) { log.Errorf("Supervisor: %s.", ev) }})
	if r.cfg.DataFolder != "" {
		r.keepLeaves(tree)
	}
	for _, s := range []suture.Service{r.follower, forgetter{r.registry}, r.api, r.peerHTTP, r.figures} {
		tree.Add(s)
	}
	finished := tree.ServeBackground(work)
	log.Event("Started.", "control", r.api.Address(), "peers", r.peerHTTP.Address(), "seeds", r.cfg.Seeds, "found", r.cfg.Found, "data-folder", r.cfg.DataFolder)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.keepMember(work)
	}()
	<-ctx.Done()
	log.Event("Stopping.")
	r.handOver()
	closing, stop := context.WithTimeout(context.Background(), registrarHandOverMs.Duration())
	defer stop()
	if err := r.api.Shutdown(closing); err != nil {
		log.Errorf("Calls were cut at the stop: %v.", err)
	}
	cancel()
	<-ended
	r.peerWS.Close()
	<-finished
	r.peers.Close()
	log.Event("Stopped.")
	r.log.Close()
	return nil
}

// keepLeaves takes in the leaves that the disk holds and keeps what changes.
func (r *Registrar) keepLeaves(tree *suture.Supervisor) {
	log := r.log.For("directory")
	folder, err := disk.OpenFolder(r.cfg.DataFolder)
	if err != nil {
		log.Errorf("Leaves are not kept: %v.", err)
		return
	}
	keeper := directory.NewDiskCache(folder, r.registry, r.source, log.Infof)
	keeper.Load()
	tree.Add(keeper)
}

// keepMember runs the member of the log, if there is a disk, and opens it anew after a fault of the disk.
func (r *Registrar) keepMember(ctx context.Context) {
	log := r.log.For("control")
	if r.cfg.DataFolder == "" {
		log.Event("No data folder: calls are passed on to the members.")
		return
	}
	for ctx.Err() == nil {
		if err := r.runMember(ctx); err != nil && ctx.Err() == nil {
			log.Event("Member of the log ended; the disk is opened anew.", "reason", err.Error(), "pause-ms", memberRestartMs)
		}
		select {
		case <-time.After(memberRestartMs.Duration()):
		case <-ctx.Done():
		}
	}
}

func (r *Registrar) runMember(ctx context.Context) error {
	folder, err := disk.OpenFolder(r.cfg.DataFolder)
	if err != nil {
		return fmt.Errorf("open data folder: %w", err)
	}
	n := control.NewNode(control.Options{
		VM: r.cfg.VM, Address: r.cfg.Peer(), Seeds: r.cfg.SeedPeers(), AllowBootstrap: r.cfg.Found, Voters: r.cfg.Voters(),
		Files: folder, Clock: r.clock, Peers: r.peers, Log: r.log.For("control").Infof,
	})
	n.Register(r.handlers)
	r.member.Store(n)
	if err := n.Serve(ctx); err != nil {
		return fmt.Errorf("run member: %w", err)
	}
	return nil
}

func (r *Registrar) handOver() {
	m := r.member.Load()
	if m == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), registrarHandOverMs.Duration())
	defer cancel()
	m.TransferLeadership(ctx)
}

// forgetter drops leaves that are long gone.
type forgetter struct{ registry *leaf.Registry }

// Serve runs until ctx ends.
func (f forgetter) Serve(ctx context.Context) error {
	t := time.NewTicker(forgetEveryMs.Duration())
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f.registry.RemoveExpired()
		case <-ctx.Done():
			return fmt.Errorf("forget leaves: %w", ctx.Err())
		}
	}
}
