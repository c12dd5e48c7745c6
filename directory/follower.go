package directory

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirepass"
	"samphirepass/leaf"
	"samphirepass/peer"
)

const (
	// pollWaitMs is how long a source is asked to hold a question without news.
	pollWaitMs samphirepass.Millis = 1000
	// pollSlackMs is the further time after which a source counts as lost.
	pollSlackMs samphirepass.Millis = 500
	// sources is the number of sources that an entry follows at a time: one alone may be cut off without knowing.
	sources = 2
	// staleLeaderMs is the age of the leader's last sign from which a source may have missed changes.
	staleLeaderMs samphirepass.Millis = 1500
	// avoidMs is how long a source that failed is passed over.
	avoidMs samphirepass.Millis = 2000
	// nearRetryMs is how long a near contact that did not answer is left alone: a try may take the time of a question.
	nearRetryMs samphirepass.Millis = 10_000
	// pauseMs keeps failed questions apart.
	pauseMs samphirepass.Millis = 100
	// contactMs is how long a contact is kept that no source names any more.
	contactMs samphirepass.Millis = 30_000
	// countMs is how long a number of entries counts: longer than the span of a retry budget and than a source takes to start.
	countMs samphirepass.Millis = 30_000
	// touchMs is the time without a current answer after which the follower counts as out of touch.
	touchMs samphirepass.Millis = 3000
)

// What makes a source a worse choice, in the high bits of its rank: the later ones count for more.
const (
	rankShift         = 8
	rankFar    uint64 = 1 << 60
	rankStale  uint64 = 1 << 61
	rankFailed uint64 = 1 << 62
)

// FollowerOptions set up a Follower.
type FollowerOptions struct {
	VM         samphirepass.VM
	DataCentre samphirepass.DataCentre
	// ControlAddress is the own peer address of a process of control, which follows all others and counts silence itself.
	ControlAddress string
	// Seeds are the peer addresses of the first sources.
	Seeds    []string
	Registry *leaf.Registry
	Peers    *peer.Pool
	Clock    samphirepass.Clock
	// OnRouting is given each newer routing document, in order, by one goroutine at a time.
	OnRouting func(samphirepass.RoutingDocument)
	// OnEntries is told which entries follow a source; it may be nil.
	OnEntries func([]samphirepass.VM)
	// OnOffers is told the offers of entries that follow a source; it may be nil.
	OnOffers func([]Offer)
	// Capacity is that of this process, if it is an entry.
	Capacity samphirepass.Capacity
	// CollectAddress is where this entry takes requests over shards from smaller ones, empty if it takes none.
	CollectAddress string
	// Logf takes one line for each source that is lost or regained.
	Logf func(format string, args ...any)
}

type contactState struct {
	centre   samphirepass.DataCentre
	listed   samphirepass.Millis
	failed   samphirepass.Millis
	stale    bool
	followed bool
	// missed is set where it did not answer, at missedAt, when it was to take the place of a source elsewhere.
	missed   bool
	missedAt samphirepass.Millis
	seed     bool
	// epoch and leaves are what the last reply brought.
	epoch  string
	leaves uint64
	// offers are what the source last told, with their version.
	offers        []Offer
	offersVersion uint64
	// contacts are what the source last told, with their version.
	contacts        []Endpoint
	contactsVersion uint64
}

// Follower keeps a process up to date from its sources; it is safe for concurrent use.
type Follower struct {
	o FollowerOptions

	mu       sync.Mutex
	contacts map[string]*contactState
	routing  samphirepass.RoutingVersion
	// currentAt is when a source last answered that itself hears of a leader.
	currentAt samphirepass.Millis
	touched   bool
	// tryingNear is set while a nearer source is tried.
	tryingNear bool
	entries    counts
	// collectors counts the entries that collect for smaller ones; collecting is set where this is one of them.
	collectors counts
	collecting bool

	routingMu sync.Mutex
}

// NewFollower returns a follower that has heard nothing.
func NewFollower(o FollowerOptions) *Follower {
	f := &Follower{o: o, contacts: map[string]*contactState{}}
	for _, seed := range o.Seeds {
		if seed != o.ControlAddress {
			f.contacts[seed] = &contactState{seed: true, failed: -avoidMs}
		}
	}
	return f
}

// Serve follows sources until ctx ends.
func (f *Follower) Serve(ctx context.Context) error {
	var wg sync.WaitGroup
	if f.o.ControlAddress == "" {
		for range sources {
			wg.Go(func() { f.followOne(ctx) })
		}
	} else {
		wg.Go(func() { f.followAll(ctx) })
	}
	wg.Wait()
	return fmt.Errorf("follow directory: %w", ctx.Err())
}

// UpToDate reports whether a source answered lately that itself hears of a leader.
func (f *Follower) UpToDate() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.touched && f.o.Clock.Now()-f.currentAt < touchMs
}

// EntryCount returns the largest number of entries that a source has told within countMs, 0 if none has.
func (f *Follower) EntryCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries.largest(f.o.Clock.Now())
}

// followOne keeps following one source after the other, the nearest first. Where a data centre has several sources all may be near:
// if it is cut off, they hear of no leader, and others are followed.
func (f *Follower) followOne(ctx context.Context) {
	for ctx.Err() == nil {
		address := f.pick()
		if address == "" {
			f.pause(ctx)
			continue
		}
		for address != "" {
			next := f.follow(ctx, address)
			f.release(address)
			address = next
		}
	}
}

// followAll follows every contact at once.
func (f *Follower) followAll(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		for address := f.pick(); address != ""; address = f.pick() {
			wg.Go(func() {
				f.follow(ctx, address)
				f.release(address)
			})
		}
		f.pause(ctx)
	}
}

func (f *Follower) pause(ctx context.Context) {
	select {
	case <-time.After(pauseMs.Duration()):
	case <-ctx.Done():
	}
}

// pick takes the best contact that is not followed yet, or none.
func (f *Follower) pick() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.o.Clock.Now()
	best, least := "", uint64(0)
	for address, c := range f.contacts {
		if !c.seed && now-c.listed > contactMs && !c.followed {
			delete(f.contacts, address)
			continue
		}
		if c.followed || address == f.o.ControlAddress {
			continue
		}
		if f.o.ControlAddress != "" && now-c.failed < avoidMs {
			continue
		}
		// Each follower has an order of its own, so that they spread over the sources.
		rank := xxhash.Sum64String(string(f.o.VM)+address) >> rankShift
		if c.centre != f.o.DataCentre {
			rank |= rankFar
		}
		if c.stale {
			rank |= rankStale
		}
		if now-c.failed < avoidMs {
			rank |= rankFailed
		}
		if best == "" || rank < least {
			best, least = address, rank
		}
	}
	if best != "" {
		f.contacts[best].followed = true
	}
	return best
}

func (f *Follower) release(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.contacts[address]; c != nil {
		c.followed = false
		c.failed = f.o.Clock.Now()
		c.offers, c.offersVersion, c.contacts, c.contactsVersion = nil, 0, nil, 0
	}
	f.o.Registry.SetSilentReport(address, nil, false)
}

// follow asks one source until it fails, or another would be more current, or a nearer one has answered, which is returned.
func (f *Follower) follow(ctx context.Context, address string) string {
	answered := false
	for ctx.Err() == nil {
		reply, err := f.ask(ctx, address)
		if err != nil {
			if answered {
				f.o.Logf("Source %s is lost: %v.", address, err)
			} else {
				f.pause(ctx)
			}
			return ""
		}
		if !answered {
			f.o.Logf("Source %s answers; its leader was heard %.0f ms ago.", address, reply.LeaderAgeMs)
		}
		answered = true
		if f.take(address, reply) {
			f.o.Logf("Source %s has heard of no leader for %.0f ms; another is followed.", address, reply.LeaderAgeMs)
			return ""
		}
		if near := f.nearer(address); near != "" && f.tryNear(ctx, near) {
			f.o.Logf("Source %s is left for %s in the own data centre.", address, near)
			return near
		}
	}
	return ""
}

func (f *Follower) ask(ctx context.Context, address string) (followReply, error) {
	f.mu.Lock()
	c := f.contacts[address]
	req := followRequest{
		VM: f.o.VM, Control: f.o.ControlAddress, DataCentre: f.o.DataCentre,
		Epoch: c.epoch, Leaves: c.leaves, Routing: f.routing, WaitMs: pollWaitMs,
		Capacity: f.o.Capacity, Collect: f.o.CollectAddress, Offers: c.offersVersion, Contacts: c.contactsVersion,
	}
	if f.o.OnRouting == nil {
		// A process of control has the document from the log.
		req.Routing = math.MaxUint64
	}
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, (pollWaitMs + pollSlackMs).Duration())
	defer cancel()
	var reply followReply
	if err := f.o.Peers.Get(address).Call(ctx, kindFollow, req, &reply); err != nil {
		return reply, fmt.Errorf("follow %s: %w", address, err)
	}
	return reply, nil
}

// take applies a reply and reports whether the source is stale while another may not be.
func (f *Follower) take(address string, reply followReply) bool {
	for _, h := range reply.Leaves {
		f.o.Registry.Apply(h.Announcement, h.AgeMs, false)
	}
	for _, a := range reply.Alive {
		f.o.Registry.ApplyHeartbeat(a)
	}
	if f.o.ControlAddress == "" {
		f.o.Registry.SetSilentReport(address, reply.Silent, true)
	}
	f.takeRouting(reply.Routing)
	if f.o.OnEntries != nil {
		f.o.OnEntries(reply.Entries)
	}
	if f.o.OnOffers != nil {
		f.o.OnOffers(reply.OwnOffers)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.o.Clock.Now()
	c := f.contacts[address]
	c.epoch, c.leaves, c.centre, c.listed = reply.Epoch, reply.LeavesVersion, reply.DataCentre, now
	if reply.OffersVersion != c.offersVersion {
		c.offers, c.offersVersion = reply.Offers, reply.OffersVersion
	}
	c.stale = reply.LeaderAgeMs > staleLeaderMs
	f.entries.add(max(reply.EntryCount, 1), now)
	f.collectors.add(reply.Collectors, now)
	f.collecting = reply.Collecting
	if !c.stale {
		f.currentAt, f.touched = now, true
	}
	if reply.ContactsVersion != c.contactsVersion {
		c.contacts, c.contactsVersion = reply.Contacts, reply.ContactsVersion
	}
	for _, one := range c.contacts {
		f.learnLocked(one, now)
	}
	return c.stale && f.o.ControlAddress == "" && f.otherLocked()
}

// AddEndpoint takes in a process of control that was met in another way.
func (f *Follower) AddEndpoint(c Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.learnLocked(c, f.o.Clock.Now())
}

func (f *Follower) learnLocked(one Endpoint, now samphirepass.Millis) {
	if one.Address == "" || one.Address == f.o.ControlAddress {
		return
	}
	c := f.contacts[one.Address]
	if c == nil {
		c = &contactState{failed: now - avoidMs}
		f.contacts[one.Address] = c
	}
	c.listed = now
	if one.DataCentre != "" {
		c.centre = one.DataCentre
	}
}

// otherLocked reports whether a contact is free that is neither stale nor failing.
func (f *Follower) otherLocked() bool {
	now := f.o.Clock.Now()
	for _, c := range f.contacts {
		if !c.followed && !c.stale && now-c.failed >= avoidMs {
			return true
		}
	}
	return false
}

// takeRouting passes a newer document on; an older one never replaces it.
func (f *Follower) takeRouting(d samphirepass.RoutingDocument) {
	f.routingMu.Lock()
	defer f.routingMu.Unlock()
	f.mu.Lock()
	newer := d.Version > f.routing
	if newer {
		f.routing = d.Version
	}
	f.mu.Unlock()
	if newer && f.o.OnRouting != nil {
		f.o.OnRouting(d)
	}
}

// ControlAddresses returns the known peer addresses of processes of control, in order.
func (f *Follower) ControlAddresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for address := range f.contacts {
		out = append(out, address)
	}
	slices.Sort(out)
	return out
}
