package directory

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"samphirepass"
	"samphirepass/leaf"
	"samphirepass/peer"
	"samphirepass/policy"
)

const (
	// maxWaitMs bounds how long a source holds a long poll.
	maxWaitMs samphirepass.Millis = 2000
	// followerTTLMs is how long a follower is kept after its last poll, and an entry or offer after another source last reported it.
	followerTTLMs samphirepass.Millis = 6000
	// coalesceMs is how long a source waits for further changes of leaves before it replies: after a start or a repartition hundreds
	// of leaves change within a second, and each reply costs about as much as ten changes.
	coalesceMs samphirepass.Millis = 100
	// heartbeatIntervalMs is the minimum time between two lists of heartbeats for one follower; about four of them fit into the time
	// after which a leaf counts as silent.
	heartbeatIntervalMs samphirepass.Millis = 1500
)

// State is a control process's view of the replicated state; it is safe for concurrent use.
type State interface {
	// AppliedRouting returns the routing document that this process has applied.
	AppliedRouting() samphirepass.RoutingDocument
	// AppliedEvacuations returns the evacuations that this process has applied, or nil while it may lack some that were acknowledged before
	// it started.
	AppliedEvacuations() *samphirepass.Evacuations
	// SinceLeaderContact returns the time since the last contact with a leader.
	SinceLeaderContact() samphirepass.Millis
	// MemberAddresses returns the peer addresses of the members of the replicated log.
	MemberAddresses() []string
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// followerKey identifies a follower; one VM may run an entry and a control process.
type followerKey struct {
	vm             samphirepass.VM
	controlAddress string
}

// followerState is what a source knows of one follower.
type followerState struct {
	// endpoint has no address if the follower is an entry.
	endpoint Endpoint
	lastSeen samphirepass.Millis
	// heartbeatsSentAt is when heartbeats were last sent.
	heartbeatsSentAt samphirepass.Millis
	// collectAddress is the peer address at which an entry collects for smaller ones, empty if it does not.
	collectAddress string
	capacity       samphirepass.Capacity
	// noPath is set while an entry reaches no leaf.
	noPath bool
}

// reportedOffer is an offer that another source reported.
type reportedOffer struct {
	CollectorOffer
	receivedAt samphirepass.Millis
}

// SourceOptions set up a Source.
type SourceOptions struct {
	// Self is the endpoint of this process.
	Self     Endpoint
	Registry *leaf.Registry
	State    State
	// Quarantine holds what is known of requests that crash leaves; nil means that it is not passed on.
	Quarantine *policy.Quarantine
	Clock      samphirepass.Clock
	// OnEndpoint is called with the endpoint of a control process at each of its polls; it may be nil.
	OnEndpoint func(Endpoint)
}

// Source answers the long polls of followers; it is safe for concurrent use.
type Source struct {
	opts  SourceOptions
	epoch string

	mu        sync.Mutex
	followers map[followerKey]followerState
	// reportedEntries are the entries that other sources reported, with the time of the last report.
	reportedEntries map[samphirepass.VM]samphirepass.Millis
	// dataCentres holds the data centres of control processes by their peer addresses.
	dataCentres map[string]samphirepass.DataCentre
	// cachedEntries and cachedCollectors are the numbers of entries and collectors before this process started at startedAt, as restored
	// from the disk cache.
	cachedEntries, cachedCollectors int
	startedAt                       samphirepass.Millis
	// reportedOffers are the offers that other sources reported, by address.
	reportedOffers map[string]reportedOffer
}

// NewSource returns a source without followers.
func NewSource(opts SourceOptions) *Source {
	return &Source{
		opts: opts, epoch: uuid.NewString(), startedAt: opts.Clock.Now(), followers: map[followerKey]followerState{},
		reportedEntries: map[samphirepass.VM]samphirepass.Millis{}, dataCentres: map[string]samphirepass.DataCentre{}, reportedOffers: map[string]reportedOffer{},
	}
}

// Register adds the handler for polls of followers to h.
func (s *Source) Register(h *peer.Handlers) {
	peer.HandleCall(h, kindFollow, s.follow)
	peer.HandleCall(h, kindReport, s.applyReports)
	peer.HandleCall(h, kindRelays, s.listRelays)
}

// follow replies once there are changes that the follower does not have, this process becomes stale, or the time for which the follower
// waits is over. The reply is as of its end: what it says of the contact with a leader must not seem newer than it is, as registrars that are
// cut off from the leader together would go on to confirm each other.
func (s *Source) follow(ctx context.Context, req followRequest) (followReply, error) {
	received := s.opts.Clock.Now()
	timeout := time.NewTimer(min(max(req.WaitMs, 0), maxWaitMs).Duration())
	defer timeout.Stop()
	if req.ControlStateOnly {
		return s.controlStateReply(req, received), nil
	}
	s.recordFollower(req)
	knownStale, over := s.staleInMs() <= 0, false
	if req.KnownStale != nil {
		knownStale = *req.KnownStale
	}
	for {
		changed := s.opts.State.Changed()
		knownVersion := req.LeavesVersion
		if req.Epoch != s.epoch {
			knownVersion = 0
		}
		leavesChanged := s.opts.Registry.Changed(knownVersion)
		suspicionsChanged := s.suspicionsChanged(req)
		reply, hasChanges := s.buildReply(req, knownVersion, received)
		if hasChanges && len(reply.Leaves) > 0 && knownVersion > 0 && reply.Routing.Version == 0 && reply.Evacuations == nil {
			reply = s.coalesce(ctx, req, knownVersion, received)
		}
		becameStale := reply.SinceLeaderContactMs > staleLeaderMs && !knownStale
		if becameStale && req.KnownStale == nil && req.ControlAddress == "" {
			// A gateway of an earlier version may see no alternative to a stale source. It replaces one that refuses.
			return followReply{}, samphirepass.Refuse(samphirepass.CodeUnavailable, "no contact with a leader for %.0f ms", reply.SinceLeaderContactMs)
		}
		if hasChanges || becameStale || over {
			return s.addHeartbeats(req, reply), nil
		}
		stale, stopTimer := s.afterStale(knownStale)
		select {
		case <-changed:
		case <-leavesChanged:
		case <-suspicionsChanged:
		case <-stale:
		case <-timeout.C:
			over = true
		case <-ctx.Done():
			over = true
		}
		stopTimer()
	}
}

// staleInMs returns the time until this process is stale if it has no further contact with a leader.
func (s *Source) staleInMs() samphirepass.Millis {
	return staleLeaderMs - s.opts.State.SinceLeaderContact()
}

// afterStale returns a channel that receives a value once this process may be stale, and a function that releases it. The channel is nil if
// the follower knows that already.
func (s *Source) afterStale(known bool) (stale <-chan time.Time, release func()) {
	if known {
		return nil, func() {}
	}
	t := time.NewTimer(max(s.staleInMs(), 0).Duration() + time.Millisecond)
	return t.C, func() { t.Stop() }
}

// coalesce waits coalesceMs for further changes and returns a new reply.
func (s *Source) coalesce(ctx context.Context, req followRequest, knownVersion uint64, received samphirepass.Millis) followReply {
	select {
	case <-time.After(coalesceMs.Duration()):
	case <-ctx.Done():
	}
	reply, _ := s.buildReply(req, knownVersion, received)
	return reply
}

// recordFollower updates the state of the follower that sent req.
func (s *Source) recordFollower(req followRequest) {
	if req.ControlAddress != "" && s.opts.OnEndpoint != nil {
		s.opts.OnEndpoint(req.endpoint())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := followerKey{vm: req.VM, controlAddress: req.ControlAddress}
	f := s.followers[key]
	f.endpoint = req.endpoint()
	f.lastSeen = s.opts.Clock.Now()
	f.collectAddress, f.capacity, f.noPath = req.CollectAddress, req.Capacity, req.NoPath
	s.followers[key] = f
	if req.ControlAddress != "" {
		s.dataCentres[req.ControlAddress] = req.DataCentre
	}
}

// buildReply returns the reply to req, received at the time given, with the leaves that changed after knownVersion, and reports whether it
// has changes for which the poll returns at once.
func (s *Source) buildReply(req followRequest, knownVersion uint64, received samphirepass.Millis) (followReply, bool) {
	reply := s.controlStateReply(req, received)
	reply.SilentLeaves = s.opts.Registry.SilentLeaves()
	reply.Leaves, reply.LeavesVersion = s.opts.Registry.ChangesSince(knownVersion)
	reply.DirectEntries, _ = s.countEntries()
	reply.EntryCount, reply.CollectorCount = s.entryCounts()
	s.addSuspicions(req, &reply)
	hasChanges := req.Epoch != s.epoch || len(reply.Leaves) > 0 || reply.Routing.Version > 0 || reply.Evacuations != nil || len(reply.Suspicions) > 0
	if req.ControlAddress != "" {
		reply.DirectOffers = s.directOffers()
		return reply, hasChanges
	}
	offers := s.allOffers()
	reply.IsCollector = slices.ContainsFunc(offers, func(offer CollectorOffer) bool { return offer.Address == req.CollectAddress })
	reply.OffersVersion = offersVersion(offers)
	if reply.OffersVersion != req.OffersVersion || req.Epoch != s.epoch {
		reply.Offers, hasChanges = offers, true
	}
	return reply, hasChanges
}

// controlStateReply returns the part of a reply to req, received at the time given, that says what this process is and what it has of the
// replicated state.
func (s *Source) controlStateReply(req followRequest, received samphirepass.Millis) followReply {
	// The contact is read before the state: what was committed until then is in the reply.
	held, sinceContact := s.opts.Clock.Now()-received, s.opts.State.SinceLeaderContact()
	reply := followReply{
		Epoch: s.epoch, DataCentre: s.opts.Self.DataCentre, HasDisk: s.opts.Self.HasDisk, SinceLeaderContactMs: sinceContact, HeldMs: &held,
	}
	endpoints := s.endpoints()
	reply.EndpointsVersion = endpointsVersion(endpoints)
	if reply.EndpointsVersion != req.EndpointsVersion {
		reply.Endpoints = endpoints
	}
	s.addControlState(req, &reply)
	return reply
}

// addHeartbeats completes a reply. Control processes detect silent leaves themselves and get heartbeats. They get these, the direct entries
// and their offers at most once per heartbeatIntervalMs; other followers have no use for them.
func (s *Source) addHeartbeats(req followRequest, reply followReply) followReply {
	if req.ControlAddress == "" {
		reply.DirectEntries = nil
		return reply
	}
	now := s.opts.Clock.Now()
	s.mu.Lock()
	key := followerKey{vm: req.VM, controlAddress: req.ControlAddress}
	f := s.followers[key]
	due := now-f.heartbeatsSentAt >= heartbeatIntervalMs
	if due {
		f.heartbeatsSentAt = now
		s.followers[key] = f
	}
	s.mu.Unlock()
	if !due {
		reply.DirectEntries, reply.DirectOffers = nil, nil
		return reply
	}
	reply.Heartbeats = s.opts.Registry.Heartbeats()
	return reply
}

// endpoints returns the endpoints of this process, of the members and of the followers that are control processes, each once.
func (s *Source) endpoints() []Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := []Endpoint{s.opts.Self}
	add := func(e Endpoint) {
		if !slices.ContainsFunc(known, func(other Endpoint) bool { return other.Address == e.Address }) {
			known = append(known, e)
		}
	}
	now := s.opts.Clock.Now()
	for _, f := range s.followers {
		if f.endpoint.Address != "" && now-f.lastSeen < followerTTLMs {
			add(f.endpoint)
		}
	}
	for _, address := range s.opts.State.MemberAddresses() {
		add(Endpoint{Address: address, DataCentre: s.dataCentres[address], HasDisk: true})
	}
	return known
}

// endpointsVersion returns a hash of the endpoints that does not depend on their order.
func endpointsVersion(endpoints []Endpoint) uint64 {
	sum := uint64(0)
	for _, e := range endpoints {
		sum += xxhash.Sum64String(e.Address + "/" + string(e.DataCentre) + "/" + strconv.FormatBool(e.HasDisk))
	}
	return sum
}

// countEntries returns the entries that follow this source, and the number of these together with those that other sources reported.
func (s *Source) countEntries() ([]samphirepass.VM, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	entries := map[samphirepass.VM]bool{}
	var direct []samphirepass.VM
	for key, f := range s.followers {
		if now-f.lastSeen >= followerTTLMs {
			delete(s.followers, key)
			continue
		}
		if f.endpoint.Address == "" {
			direct = append(direct, key.vm)
			entries[key.vm] = true
		}
	}
	for vm, lastSeen := range s.reportedEntries {
		if now-lastSeen >= followerTTLMs {
			delete(s.reportedEntries, vm)
			continue
		}
		entries[vm] = true
	}
	return direct, len(entries)
}

// entryCounts returns the numbers of entries and of collectors. Within countWindowMs after the start of this process they are at
// least the cached ones: entries reconnect one after the other, and each entry's share of a limit must not grow because of that.
func (s *Source) entryCounts() (entries, collectors int) {
	_, entries = s.countEntries()
	collectors = len(s.allOffers())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.Clock.Now()-s.startedAt < countWindowMs {
		entries, collectors = max(entries, s.cachedEntries), max(collectors, s.cachedCollectors)
	}
	return entries, collectors
}

// restoreCounts sets the numbers of entries and collectors that were counted before this process started.
func (s *Source) restoreCounts(entries, collectors int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cachedEntries, s.cachedCollectors = entries, collectors
}

// AddReportedEntries records the entries that another source reported as its followers.
func (s *Source) AddReportedEntries(entries []samphirepass.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	for _, vm := range entries {
		s.reportedEntries[vm] = now
	}
}
