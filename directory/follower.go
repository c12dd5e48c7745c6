package directory

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"samphirepass"
	"samphirepass/leaf"
	"samphirepass/peer"
	"samphirepass/policy"
)

const (
	// pollWaitMs is how long a source may hold a long poll without changes.
	pollWaitMs samphirepass.Millis = 1000
	// pollMarginMs is added to pollWaitMs for the timeout of a poll, after which the source counts as failed.
	pollMarginMs samphirepass.Millis = 500
	// sourcesPerEntry is the number of sources that an entry follows at a time: a single one may be partitioned from the leader without noticing.
	sourcesPerEntry = 2
	// sourceCooldownMs is how long a source that failed is avoided while there are others.
	sourceCooldownMs samphirepass.Millis = 2000
	// controlRetryMs is how long a control process, which follows all sources, waits before it tries one that failed again. After a
	// restart of all processes, those that start first find nobody, and others learn of them only by their polls.
	controlRetryMs samphirepass.Millis = 300
	// localRetryMs is the time between tries of a source in the follower's own data centre that did not answer: a try may take as long
	// as a poll.
	localRetryMs samphirepass.Millis = 10_000
	// retryPauseMs is the pause after a failed poll.
	retryPauseMs samphirepass.Millis = 100
	// endpointTTLMs is how long an endpoint is kept after the last source listed it.
	endpointTTLMs samphirepass.Millis = 30_000
	// countWindowMs is how long a reported number of entries is used. It is longer than the window of a retry budget and than the
	// start of a source.
	countWindowMs samphirepass.Millis = 30_000
	// upToDateMs is the time without a reply from a source with a leader after which the follower is no longer up to date.
	upToDateMs samphirepass.Millis = 3000
)

// FollowerOptions set up a Follower.
type FollowerOptions struct {
	VM         samphirepass.VM
	DataCentre samphirepass.DataCentre
	// ControlAddress is the peer address of this process if it is a control process; it is empty otherwise. Control processes follow
	// all other sources and detect silent leaves themselves.
	ControlAddress string
	// HasDisk is set if this process is a control process that keeps the known leaves on a disk.
	HasDisk bool
	// Seeds are the peer addresses of the initial sources, which are never forgotten.
	Seeds    []string
	Registry *leaf.Registry
	Peers    *peer.Pool
	Clock    samphirepass.Clock
	// OnRouting is called with each newer routing document, in order, by one goroutine at a time; nil if this process gets the
	// documents from the replicated log.
	OnRouting func(samphirepass.RoutingDocument)
	// OnEvacuations is called with each newer set of evacuations, and at least once before OnRouting; nil as OnRouting.
	OnEvacuations func(samphirepass.Evacuations)
	// OnEntries is called with the entries that follow a source, at each of its replies; it may be nil.
	OnEntries func([]samphirepass.VM)
	// OnOffers is called with the offers of the entries that follow a source, at each of its replies; it may be nil.
	OnOffers func([]CollectorOffer)
	// OnCollectorOffers is called when a source has sent other offers than before; it may be nil.
	OnCollectorOffers func()
	// Capacity is the capacity of this process if it is an entry.
	Capacity samphirepass.Capacity
	// CollectAddress is the peer address at which this entry collects for smaller ones, empty if it does not.
	CollectAddress string
	// Quarantine is kept up to date with what the sources know of requests that crash leaves; it may be nil.
	Quarantine *policy.Quarantine
	// Path is that of this process to leaves; nil means that it is never lost.
	Path samphirepass.LeafPath
	// Logf logs each change of the followed sources.
	Logf func(format string, args ...any)
}

// sourceState is what a follower knows of one source.
type sourceState struct {
	dataCentre samphirepass.DataCentre
	hasDisk    bool
	// listedAt is when it last replied or was listed by another source.
	listedAt samphirepass.Millis
	// failedAt is when it last failed or was left for another source.
	failedAt samphirepass.Millis
	// stale is set if it was stale at its last reply; see isStale.
	stale    bool
	followed bool
	// repliedAt is when it last replied and contactAt when it was then last in contact with a leader, if replied is set.
	repliedAt, contactAt samphirepass.Millis
	replied              bool
	// probedAt is when it was last asked in a search, if probed is set.
	probedAt samphirepass.Millis
	probed   bool
	// localTryFailed is set if it was stale or did not answer when tried in place of a source in another data centre, last at
	// localTryFailedAt.
	localTryFailed   bool
	localTryFailedAt samphirepass.Millis
	seed             bool
	// epoch and leavesVersion are those of its last reply.
	epoch         string
	leavesVersion uint64
	// offers are those that it last sent, with their version.
	offers        []CollectorOffer
	offersVersion uint64
	// endpoints are those that it last sent, with their version.
	endpoints        []Endpoint
	endpointsVersion uint64
	// suspicionsVersion is that of its last reply.
	suspicionsVersion uint64
}

// Follower keeps a process up to date by long polls of its sources; it is safe for concurrent use.
type Follower struct {
	opts FollowerOptions

	mu      sync.Mutex
	sources map[string]*sourceState
	state   controlState
	// upToDateAt is when a source that is not stale last replied, if everUpToDate is set.
	upToDateAt   samphirepass.Millis
	everUpToDate bool
	// leaderContactAt is when a source that replied was last in contact with a leader, if leaderContacted is set.
	leaderContactAt samphirepass.Millis
	leaderContacted bool
	// tryingLocal is set while a source in the follower's own data centre is tried in place of a followed one.
	tryingLocal bool
	// sourcesLoggedAt is when the sources were last described in the log, if sourcesLogged is set.
	sourcesLoggedAt samphirepass.Millis
	sourcesLogged   bool
	entryCounts     slidingMax
	// collectorCounts are the reported numbers of collectors. collectorAt is when a source last reported that this entry is one of them, if
	// everCollector is set.
	collectorCounts slidingMax
	collectorAt     samphirepass.Millis
	everCollector   bool

	// searchMu serializes searches.
	searchMu sync.Mutex
	// searchLoggedAt is when a search was last logged, searchLogged is set if that one found nothing.
	searchLoggedAt samphirepass.Millis
	searchLogged   bool

	// stateMu serializes the calls of OnRouting and OnEvacuations.
	stateMu sync.Mutex

	reports chan report
}

// NewFollower returns a follower that knows only the seeds.
func NewFollower(opts FollowerOptions) *Follower {
	f := &Follower{opts: opts, sources: map[string]*sourceState{}, reports: make(chan report, maxWaitingReports), state: controlState{startedAt: opts.Clock.Now()}}
	for _, seed := range opts.Seeds {
		if seed != opts.ControlAddress {
			f.sources[seed] = &sourceState{seed: true, failedAt: opts.Clock.Now() - sourceCooldownMs}
		}
	}
	return f
}

// Serve follows sources until ctx ends.
func (f *Follower) Serve(ctx context.Context) error {
	var wg sync.WaitGroup
	if f.opts.ControlAddress == "" {
		for range sourcesPerEntry {
			wg.Go(func() { f.followOne(ctx) })
		}
		wg.Go(func() { f.sendReports(ctx) })
	} else {
		wg.Go(func() { f.followAll(ctx) })
	}
	wg.Wait()
	return fmt.Errorf("follow directory: %w", ctx.Err())
}

// UpToDate reports whether a source that is not stale, that is, in contact with a leader, replied within upToDateMs.
func (f *Follower) UpToDate() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.everUpToDate && f.opts.Clock.Now()-f.upToDateAt < upToDateMs
}

// SinceLeaderContact returns the time since a source that replied was last in contact with a leader, or false before the first reply.
func (f *Follower) SinceLeaderContact() (samphirepass.Millis, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.opts.Clock.Now() - f.leaderContactAt, f.leaderContacted
}

// EntryCount returns the largest number of entries that a source reported within countWindowMs. Without a report in that time it
// returns the last reported number, or 0 before the first reply.
func (f *Follower) EntryCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entryCounts.largest(f.opts.Clock.Now())
}

// followOne follows one source after the other, those in the follower's own data centre first. All followed sources may be in one data
// centre: if it is partitioned, they lose contact with the leader, and the follower switches to sources elsewhere.
func (f *Follower) followOne(ctx context.Context) {
	for ctx.Err() == nil {
		address := f.pickSource()
		if address == "" {
			f.pause(ctx)
			continue
		}
		for address != "" {
			next := f.follow(ctx, address)
			f.releaseSource(address)
			address = next
		}
	}
}

// followAll follows all sources concurrently.
func (f *Follower) followAll(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		for address := f.pickSource(); address != ""; address = f.pickSource() {
			wg.Go(func() {
				f.follow(ctx, address)
				f.releaseSource(address)
			})
		}
		f.pause(ctx)
	}
}

func (f *Follower) pause(ctx context.Context) {
	select {
	case <-time.After(retryPauseMs.Duration()):
	case <-ctx.Done():
	}
}

// pickSource returns the address of the best source that is not followed yet and marks it as followed; it returns "" if there is none.
// It removes sources, except seeds and followed ones, that were last listed more than endpointTTLMs ago.
func (f *Follower) pickSource() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Clock.Now()
	best, bestRank := "", uint64(0)
	for address, s := range f.sources {
		if !s.seed && now-s.listedAt > endpointTTLMs && !s.followed {
			delete(f.sources, address)
			continue
		}
		if s.followed || address == f.opts.ControlAddress {
			continue
		}
		if f.opts.ControlAddress != "" && now-s.failedAt < controlRetryMs {
			continue
		}
		rank := f.rankLocked(address, now)
		if best == "" || rank < bestRank {
			best, bestRank = address, rank
		}
	}
	if best != "" {
		f.sources[best].followed = true
	}
	return best
}

// releaseSource marks a source as no longer followed, to be avoided for sourceCooldownMs, and discards its offers, its endpoints and
// its report of silent leaves.
func (f *Follower) releaseSource(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.sources[address]; s != nil {
		s.followed = false
		s.failedAt = f.opts.Clock.Now()
		s.offers, s.offersVersion, s.endpoints, s.endpointsVersion = nil, 0, nil, 0
	}
	f.opts.Registry.SetSilentReport(address, nil, false)
}

// follow polls one source until it fails, is stale while no other followed one is in contact with a leader, or can be replaced by a source in the
// follower's own data centre. It returns the address of the replacement, which is marked as followed, or "" if none is known.
func (f *Follower) follow(ctx context.Context, address string) string {
	answered := false
	for ctx.Err() == nil {
		reply, err := f.poll(ctx, address, pollOptions{waitMs: pollWaitMs})
		if err != nil {
			return f.replaceLost(ctx, address, answered, err)
		}
		if !answered {
			f.opts.Logf("Source %s answers; its last contact with a leader was %.0f ms ago.", address, f.opts.Clock.Now()-reply.contactAt)
		}
		answered = true
		wasStale, known := f.staleness(address)
		f.applyReply(address, reply)
		if known && reply.stale != wasStale {
			f.opts.Logf("Source %s is stale: %t; its last contact with a leader was %.0f ms ago.", address, reply.stale, f.opts.Clock.Now()-reply.contactAt)
			f.logSources("a change of staleness")
		}
		if reply.stale && f.opts.ControlAddress == "" {
			if next := f.search(ctx, address, false); next != "" {
				f.opts.Logf("Switching from source %s, without contact with a leader for %.0f ms, to %s.", address, f.opts.Clock.Now()-reply.contactAt, next)
				return next
			}
		}
		if f.holdsBack(reply) {
			// The source offers the same state again at once.
			f.pause(ctx)
		}
		if local := f.pickLocal(address); local != "" && f.tryLocal(ctx, local) {
			f.opts.Logf("Switching from source %s to %s, which is in this data centre.", address, local)
			return local
		}
	}
	return ""
}

// replaceLost returns a source that replaces one that failed with err, as follow does.
func (f *Follower) replaceLost(ctx context.Context, address string, answered bool, err error) string {
	if answered {
		f.opts.Logf("Lost source %s: %v.", address, err)
		f.logSources("a loss")
	}
	if f.opts.ControlAddress == "" {
		if next := f.search(ctx, address, true); next != "" {
			return next
		}
	}
	if !answered {
		f.pause(ctx)
	}
	return ""
}

// applyReply applies the reply of a followed source.
func (f *Follower) applyReply(address string, reply polledReply) {
	for _, a := range reply.Leaves {
		f.opts.Registry.ApplyAged(a)
	}
	for _, h := range reply.Heartbeats {
		f.opts.Registry.ApplyHeartbeat(h)
	}
	if f.opts.ControlAddress == "" {
		f.opts.Registry.SetSilentReport(address, reply.SilentLeaves, true)
	}
	f.applyControlState(reply)
	if f.opts.Quarantine != nil {
		for _, suspicion := range reply.Suspicions {
			f.opts.Quarantine.Merge(suspicion)
		}
	}
	if f.opts.OnEntries != nil {
		f.opts.OnEntries(reply.DirectEntries)
	}
	if f.opts.OnOffers != nil {
		f.opts.OnOffers(reply.DirectOffers)
	}
	if f.updateOffers(address, reply) && f.opts.OnCollectorOffers != nil {
		f.opts.OnCollectorOffers()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Clock.Now()
	s := f.sources[address]
	s.epoch, s.leavesVersion, s.suspicionsVersion = reply.Epoch, reply.LeavesVersion, reply.SuspicionsVersion
	f.noteReplyLocked(s, reply, now)
	f.entryCounts.add(max(reply.EntryCount, 1), now)
	f.collectorCounts.add(reply.CollectorCount, now)
	if reply.IsCollector {
		f.collectorAt, f.everCollector = now, true
	}
}

// noteReplyLocked records what a reply says of its source, of its contact with a leader and of other sources.
func (f *Follower) noteReplyLocked(s *sourceState, reply polledReply, now samphirepass.Millis) {
	s.dataCentre, s.listedAt, s.hasDisk = reply.DataCentre, now, reply.HasDisk
	s.stale = reply.stale
	s.repliedAt, s.contactAt, s.replied = now, reply.contactAt, true
	if !f.leaderContacted || reply.contactAt > f.leaderContactAt {
		f.leaderContactAt, f.leaderContacted = reply.contactAt, true
	}
	if !s.stale {
		f.upToDateAt, f.everUpToDate = now, true
	}
	if reply.EndpointsVersion != s.endpointsVersion {
		s.endpoints, s.endpointsVersion = reply.Endpoints, reply.EndpointsVersion
	}
	for _, e := range s.endpoints {
		f.addEndpointLocked(e, now)
	}
}

// staleness reports whether a source was stale at its last reply; known is false before the first one.
func (f *Follower) staleness(address string) (stale, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sources[address]
	return s != nil && s.stale, s != nil && s.replied
}

// updateOffers keeps the offers of a reply and reports whether they differ from those before.
func (f *Follower) updateOffers(address string, reply polledReply) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sources[address]
	if reply.OffersVersion == s.offersVersion {
		return false
	}
	s.offers, s.offersVersion = reply.Offers, reply.OffersVersion
	return true
}

// AddEndpoint adds a source that was discovered by other means than the replies of sources.
func (f *Follower) AddEndpoint(e Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addEndpointLocked(e, f.opts.Clock.Now())
}

func (f *Follower) addEndpointLocked(e Endpoint, now samphirepass.Millis) {
	if e.Address == "" || e.Address == f.opts.ControlAddress {
		return
	}
	s := f.sources[e.Address]
	if s == nil {
		s = &sourceState{failedAt: now - sourceCooldownMs}
		f.sources[e.Address] = s
	}
	s.listedAt = now
	if e.DataCentre != "" {
		s.dataCentre = e.DataCentre
	}
	s.hasDisk = s.hasDisk || e.HasDisk
}

// DiskEndpoints returns the other control processes that are known to have a disk.
func (f *Follower) DiskEndpoints() []Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	var endpoints []Endpoint
	for address, s := range f.sources {
		if s.hasDisk && address != f.opts.ControlAddress {
			endpoints = append(endpoints, Endpoint{Address: address, DataCentre: s.dataCentre, HasDisk: true})
		}
	}
	return endpoints
}

// DiskAddresses returns the peer addresses of the other control processes that are known to have a disk.
func (f *Follower) DiskAddresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []string
	for address, s := range f.sources {
		if s.hasDisk && address != f.opts.ControlAddress {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// HeardFromDisks returns the number of other control processes with disks that have replied since the start of this process.
func (f *Follower) HeardFromDisks() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.sources {
		if s.hasDisk && s.epoch != "" {
			n++
		}
	}
	return n
}

// ControlAddresses returns the known peer addresses of control processes, sorted.
func (f *Follower) ControlAddresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []string
	for address := range f.sources {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}
