package daemon

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"samphirepass"
	"samphirepass/buildinfo"
	"samphirepass/control"
	"samphirepass/directory"
	"samphirepass/disk"
	"samphirepass/leaf"
	"samphirepass/ledger"
	"samphirepass/logs"
	"samphirepass/metrics"
	"samphirepass/peer"
	"samphirepass/platform"
	"samphirepass/policy"
	"samphirepass/quorum"
	"samphirepass/quota"
	"samphirepass/settings"
	"samphirepass/web"
)

const (
	// memberRestartDelayMs is the delay before a member whose disk failed reopens its data folder.
	memberRestartDelayMs samphirepass.Millis = 500
	// registrarStopStepTimeoutMs bounds each step of a shutdown: the transfer of the leadership, and closing the API.
	registrarStopStepTimeoutMs samphirepass.Millis = 1500
	// registrarIdleMs is the part of that for which the API waits for idle connections, on which a request may be on its way.
	registrarIdleMs samphirepass.Millis = 500
	// expiryIntervalMs is the interval between checks for expired leaves.
	expiryIntervalMs samphirepass.Millis = 5000
	// departureTimeoutMs bounds the wait for the disk and for other registrars; a leaf calls another process after a second.
	departureTimeoutMs samphirepass.Millis = 700
	// noLeaderAgeMs is reported as the time since the last contact with a leader while this process is not a member or has not caught up.
	noLeaderAgeMs samphirepass.Millis = 1e9
)

// Registrar is a registrar process: it receives the announcements of leaves, distributes them and the routing document to all
// other processes, and is a member of the replicated log if it has a data folder.
type Registrar struct {
	cfg           settings.Node
	log           logs.Logger
	clock         samphirepass.Clock
	registry      *leaf.Registry
	peers         *peer.Pool
	handlers      *peer.Handlers
	follower      *directory.Follower
	source        *directory.Source
	departures    *directory.Departures
	client        *control.Client
	metrics       *metrics.Metrics
	peerWS        *peer.Server
	peerHTTP      *web.Server
	api           *web.Server
	metricsServer *web.Server
	// member is nil without a data folder, and until that folder has been opened.
	member atomic.Pointer[control.Node]
	// issuer is nil where the settings declare no limits that all gateways share.
	issuer *quota.Server
	// relay passes on the routing document of other registrars; it is nil with a data folder.
	relay *routingRelay
	// stopping is set once the process is to stop.
	stopping atomic.Bool
}

// NewRegistrar opens the listeners of a registrar; Run serves them.
func NewRegistrar(cfg settings.Node, log logs.Logger) (*Registrar, error) {
	clock := samphirepass.SystemClock{}
	r := &Registrar{
		cfg: cfg, log: log, clock: clock, registry: leaf.NewRegistry(clock), peers: &peer.Pool{LocalAddr: cfg.LocalIP()},
		handlers: newHandlers(log), metrics: metrics.NewMetrics(),
	}
	quarantine := policy.NewQuarantine(clock)
	r.source = directory.NewSource(directory.SourceOptions{
		Self: directory.Endpoint{Address: cfg.PeerAddress(), DataCentre: cfg.DataCentre, HasDisk: cfg.DataFolder != ""}, Registry: r.registry, State: r, Quarantine: quarantine, Clock: clock,
		OnEndpoint: func(e directory.Endpoint) { r.follower.AddEndpoint(e) },
	})
	followerOpts := directory.FollowerOptions{
		VM: cfg.VM, DataCentre: cfg.DataCentre, ControlAddress: cfg.PeerAddress(), HasDisk: cfg.DataFolder != "", Seeds: cfg.SeedPeers(), Registry: r.registry, Peers: r.peers,
		Quarantine: quarantine, Clock: clock, OnEntries: r.source.AddReportedEntries, OnOffers: r.source.AddReportedOffers, Logf: log.For("directory").Infof,
	}
	if cfg.DataFolder == "" {
		r.relay = newRoutingRelay()
		followerOpts.OnRouting, followerOpts.OnEvacuations = r.relay.set, r.relay.setEvacuations
	}
	r.follower = directory.NewFollower(followerOpts)
	r.client = control.NewClient(membersAt(cfg.SeedPeers()), r.peers)
	r.source.Register(r.handlers)
	r.departures = directory.NewDepartures(directory.DepartureOptions{
		Address: cfg.PeerAddress(), Copies: cfg.LostDisks + 1, Registry: r.registry, Follower: r.follower, Peers: r.peers, Clock: clock,
	})
	r.departures.Register(r.handlers)
	r.metrics.ObserveLevels(r.levels)
	if cfg.DataFolder == "" {
		control.RegisterDiskless(r.handlers, cfg.VM)
	}
	r.serveLimits()
	return r, r.listen()
}

// membersAt returns members of which only the addresses are known.
func membersAt(addresses []string) quorum.Members {
	members := make(quorum.Members, len(addresses))
	for i, a := range addresses {
		members[i].Address = a
	}
	return members
}

func (r *Registrar) listen() error {
	guard := newGuard(r.cfg, r.log, r.metrics)
	r.peerWS = peer.NewServer(r.handlers)
	peerMux := http.NewServeMux()
	peerMux.Handle(peer.Path, r.peerWS)
	var err error
	if r.peerHTTP, err = web.ListenDoor(r.cfg.PeerListen(), peerMux, web.Door{Guard: guard, Name: "peers"}); err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	api := &platform.ControlAPI{
		Store: r, Evacuations: r, Announcements: r, RoutingBytes: func() int { return len(r.AppliedRouting().Source) }, Log: r.log.For("control"),
	}
	if r.api, err = web.ListenDoor(r.cfg.Control, web.CloseWhenStopping(r.stopping.Load, api.Handler()), web.Door{Guard: guard, Name: "control"}); err != nil {
		return fmt.Errorf("listen for operators and leaves: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+web.PathMetrics, r.metrics.Handler())
	if r.metricsServer, err = web.ListenDoor(r.cfg.Metrics, mux, web.Door{Guard: guard, Name: "metrics"}); err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	return nil
}

// AppliedRouting returns the routing document that this process has applied or got from a registrar that has. It has version 0 if there
// is none.
func (r *Registrar) AppliedRouting() samphirepass.RoutingDocument {
	if r.relay != nil {
		return r.relay.get()
	}
	if m := r.member.Load(); m != nil {
		return m.AppliedRouting()
	}
	return samphirepass.RoutingDocument{}
}

// SinceLeaderContact returns the time since the last contact with a leader, through other registrars if this one is not a member.
func (r *Registrar) SinceLeaderContact() samphirepass.Millis {
	if age, ok := r.follower.SinceLeaderContact(); ok && r.relay != nil {
		return age
	}
	if m := r.member.Load(); m != nil {
		return m.SinceCurrent()
	}
	return noLeaderAgeMs
}

// levels returns the highest level that this process reads, and that of the log, 0 if it is not a member.
func (r *Registrar) levels() (own, log samphirepass.Level) {
	if m := r.member.Load(); m != nil {
		log = m.LogLevel()
	}
	return ledger.ReadLevel, log
}

// MemberAddresses returns the peer addresses of the members, or nil if this process is not a member.
func (r *Registrar) MemberAddresses() []string {
	var addresses []string
	if n := r.member.Load(); n != nil {
		for _, m := range n.Members() {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}

// Changed returns a channel that is closed at the next change of the routing document, or nil while the data folder is not open.
func (r *Registrar) Changed() <-chan struct{} {
	if r.relay != nil {
		return r.relay.changed()
	}
	if m := r.member.Load(); m != nil {
		return m.Changed()
	}
	return nil
}

// updateClientMembers makes the client ask the current members, the leader first. Without a list of members it asks all known
// control addresses and the seeds.
func (r *Registrar) updateClientMembers() {
	m := r.member.Load()
	if m == nil || len(m.Members()) == 0 {
		r.client.SetMembers(membersAt(append(r.follower.ControlAddresses(), r.cfg.SeedPeers()...)), "")
		return
	}
	leader, _ := m.Leader()
	r.client.SetMembers(m.Members(), leader.VM)
}

// PutRouting returns once the document, or one with a higher version, is durable on a majority.
func (r *Registrar) PutRouting(ctx context.Context, d samphirepass.RoutingDocument) error {
	if r.AppliedRouting().Version >= d.Version {
		// The applied version is committed, and a document that is not newer changes nothing.
		return nil
	}
	r.updateClientMembers()
	return r.client.PutRouting(ctx, d)
}

// Routing returns the newest durable routing document.
func (r *Registrar) Routing(ctx context.Context) (samphirepass.RoutingDocument, error) {
	r.updateClientMembers()
	return r.client.Routing(ctx)
}

// HandleAnnouncement adds the announcement of a leaf to the registry. If the leaf drains, it returns once that is stored by enough registrars.
func (r *Registrar) HandleAnnouncement(ctx context.Context, a samphirepass.Announcement) error {
	if newer, changed := r.registry.Apply(a, 0, true); newer && changed {
		r.log.For("registry").Event("Leaf announced.", "leaf", a.Leaf, "service", a.Service, "address", a.Address,
			"state", a.State, "incarnation", a.Incarnation, "sequence", a.Sequence, "cold-ms", a.ColdMs)
	}
	if !a.State.Leaving() {
		return nil
	}
	return r.keepDeparture(ctx, a.Leaf, r.departures.Keep)
}

// HandleLeave records that the current incarnation of a leaf takes no more work, and returns once that is stored by enough registrars.
func (r *Registrar) HandleLeave(ctx context.Context, name samphirepass.Leaf) error {
	r.log.For("registry").Event("Leaf left.", "leaf", name)
	return r.keepDeparture(ctx, name, r.departures.KeepGone)
}

// keepDeparture calls keep with the time that a leaf waits for an acknowledgement, and logs which registrars have stored the departure.
func (r *Registrar) keepDeparture(ctx context.Context, name samphirepass.Leaf, keep func(context.Context, samphirepass.Leaf) ([]string, error)) error {
	ctx, cancel := context.WithTimeout(ctx, departureTimeoutMs.Duration())
	defer cancel()
	began := r.clock.Now()
	holders, err := keep(ctx, name)
	if err != nil {
		return err
	}
	known, _ := r.registry.Newest(name)
	r.log.For("registry").Event("Departure acknowledged.", "leaf", name, "state", known.Announcement.State, "incarnation", known.Announcement.Incarnation,
		"stored-by", holders, "took-ms", int(r.clock.Now()-began))
	return nil
}

// Run serves until ctx ends. Before it stops, a leader transfers the leadership, and a member leaves the log if enough others remain.
func (r *Registrar) Run(ctx context.Context) error {
	log := r.log.For("control")
	serveCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	supervisor := newSupervisor(serveCtx, "registrar", log, map[string]suture.Service{
		"directory follower": r.follower,
		"leaf expirer":       leafExpirer{r.registry},
		"api server":         r.api,
		"peer server":        r.peerHTTP,
		"metrics server":     r.metricsServer,
	})
	if r.cfg.DataFolder != "" {
		r.addLeafCache(supervisor)
	}
	if r.issuer != nil {
		supervisor.Add(namedService{r.issuer, "token issuer"})
	}
	supervisorDone := supervisor.ServeBackground(serveCtx)
	log.Event("Started.", "version", buildinfo.Version(), "build", buildinfo.ID(), "control", r.api.Address(), "peers", r.peerHTTP.Address(), "seeds", r.cfg.Seeds, "found", r.cfg.AllowBootstrap, "data-folder", r.cfg.DataFolder)
	memberDone := make(chan struct{})
	go func() {
		defer close(memberDone)
		r.superviseMember(serveCtx)
	}()
	<-ctx.Done()
	log.Event("Stopping.")
	r.stopping.Store(true)
	r.transferLeadership()
	r.leaveLog()
	stopCtx, stop := context.WithTimeout(context.Background(), registrarStopStepTimeoutMs.Duration())
	defer stop()
	if err := r.api.Drain(stopCtx, registrarStopStepTimeoutMs-registrarIdleMs); err != nil {
		log.Errorf("Open API calls aborted during shutdown: %v.", err)
	}
	cancel()
	<-memberDone
	r.peerWS.Close()
	<-supervisorDone
	r.peers.Close()
	log.Event("Stopped.")
	r.log.Close()
	return nil
}

// addLeafCache restores the known leaves from the data folder and adds a service to the supervisor that saves changes there.
func (r *Registrar) addLeafCache(supervisor *suture.Supervisor) {
	log := r.log.For("directory")
	folder, err := disk.OpenFolder(r.cfg.DataFolder)
	if err != nil {
		log.Errorf("Known leaves are not saved to disk: %v.", err)
		return
	}
	cache := directory.NewDiskCache(folder, r.registry, r.source, log.Infof)
	cache.Load()
	r.departures.UseCache(cache)
	supervisor.Add(namedService{cache, "leaf cache"})
}

// superviseMember runs the member of the replicated log, if there is a data folder, and reopens it after a disk failure.
func (r *Registrar) superviseMember(ctx context.Context) {
	log := r.log.For("control")
	if r.cfg.DataFolder == "" {
		log.Event("No data folder; calls are forwarded to the members.")
		return
	}
	for ctx.Err() == nil {
		if err := r.runMember(ctx); err != nil && ctx.Err() == nil {
			log.Event("Log member failed; reopening its data folder.", "reason", err.Error(), "pause-ms", memberRestartDelayMs)
		}
		select {
		case <-time.After(memberRestartDelayMs.Duration()):
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
		VM: r.cfg.VM, Address: r.cfg.PeerAddress(), Seeds: r.cfg.SeedPeers(), KnownProcesses: r.follower.ControlAddresses, AllowBootstrap: r.cfg.AllowBootstrap,
		Voters: r.cfg.Voters(), Files: folder, Clock: r.clock, Peers: r.peers, Log: r.log.For("control").Infof,
	})
	n.Register(r.handlers)
	r.member.Store(n)
	if err := n.Serve(ctx); err != nil {
		return fmt.Errorf("run member: %w", err)
	}
	return nil
}

func (r *Registrar) transferLeadership() {
	m := r.member.Load()
	if m == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), registrarStopStepTimeoutMs.Duration())
	defer cancel()
	m.TransferLeadership(ctx)
}

// leaveLog gives up this member's place in the log if enough other voters remain: a machine that is removed must not count towards the
// majority until its silence is noticed. After a restart the member is admitted again.
func (r *Registrar) leaveLog() {
	m := r.member.Load()
	if m == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), registrarStopStepTimeoutMs.Duration())
	defer cancel()
	r.updateClientMembers()
	log := r.log.For("control")
	switch left, err := m.Leave(ctx, r.client); {
	case err != nil:
		log.Event("Departure from the log not confirmed.", "reason", err.Error())
	case left:
		log.Event("Left the log.")
	default:
		log.Event("Keeps its place in the log: too few other voters remain.")
	}
}

// leafExpirer periodically removes expired leaves from the registry.
type leafExpirer struct{ registry *leaf.Registry }

// Serve runs until ctx ends.
func (e leafExpirer) Serve(ctx context.Context) error {
	t := time.NewTicker(expiryIntervalMs.Duration())
	defer t.Stop()
	for {
		select {
		case <-t.C:
			e.registry.RemoveExpired()
		case <-ctx.Done():
			return fmt.Errorf("expire leaves: %w", ctx.Err())
		}
	}
}
