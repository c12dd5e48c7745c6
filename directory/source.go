package directory

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"samphirepass"
	"samphirepass/leaf"
	"samphirepass/peer"
)

const (
	// maxWaitMs bounds how long a source holds a question.
	maxWaitMs samphirepass.Millis = 2000
	// followerFreshMs is how long a follower counts after its last question.
	followerFreshMs samphirepass.Millis = 6000
	// coalesceMs is how long a source waits for further news of leaves before it tells: after a start or a repartition hundreds
	// of leaves are news within a second, and each reply costs as much as some ten of them.
	coalesceMs samphirepass.Millis = 100
	// aliveEveryMs is the time between two lists of signs of life for one follower: some four of them fit into the time after which a leaf is silent.
	aliveEveryMs samphirepass.Millis = 1500
)

// State is what a process of control knows of the replicated state; it is safe for concurrent use.
type State interface {
	// AppliedRouting returns the routing document that this process has applied.
	AppliedRouting() samphirepass.RoutingDocument
	// SinceLeaderContact returns the time since a leader was last heard of.
	SinceLeaderContact() samphirepass.Millis
	// MemberAddresses returns the peer addresses of the members.
	MemberAddresses() []string
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// followerKey tells the processes of one VM apart.
type followerKey struct {
	vm      samphirepass.VM
	control string
}

type follower struct {
	contact Endpoint
	seen    samphirepass.Millis
	// aliveAt is when signs of life were last sent.
	aliveAt samphirepass.Millis
	// collect is where an entry takes requests from smaller ones, empty if it does not.
	collect  string
	capacity samphirepass.Capacity
}

// toldOffer is an offer that another source told of.
type toldOffer struct {
	Offer
	at samphirepass.Millis
}

// SourceOptions set up a Source.
type SourceOptions struct {
	Self     Endpoint
	Registry *leaf.Registry
	State    State
	Clock    samphirepass.Clock
	// OnEndpoint is told of each process of control that asks; it may be nil.
	OnEndpoint func(Endpoint)
}

// Source answers followers; it is safe for concurrent use.
type Source struct {
	o     SourceOptions
	epoch string

	mu        sync.Mutex
	followers map[followerKey]follower
	// entries are those that other sources told of, with the time.
	entries map[samphirepass.VM]samphirepass.Millis
	centres map[string]samphirepass.DataCentre
	// keptEntries and keptCollectors were counted before this process started, at startedAt.
	keptEntries, keptCollectors int
	startedAt                   samphirepass.Millis
	// told are the offers that other sources told of, by address.
	told map[string]toldOffer
}

// NewSource returns a source without followers.
func NewSource(o SourceOptions) *Source {
	return &Source{
		o: o, epoch: uuid.NewString(), startedAt: o.Clock.Now(), followers: map[followerKey]follower{},
		entries: map[samphirepass.VM]samphirepass.Millis{}, centres: map[string]samphirepass.DataCentre{}, told: map[string]toldOffer{},
	}
}

// Register adds the source's request to h.
func (s *Source) Register(h *peer.Handlers) {
	peer.HandleCall(h, kindFollow, s.follow)
}

// follow answers once there is news, or the follower's wait is over.
func (s *Source) follow(ctx context.Context, req followRequest) (followReply, error) {
	timeout := time.NewTimer(min(max(req.WaitMs, 0), maxWaitMs).Duration())
	defer timeout.Stop()
	s.note(req)
	for {
		changed := s.o.State.Changed()
		known := req.Leaves
		if req.Epoch != s.epoch {
			known = 0
		}
		leaves := s.o.Registry.Changed(known)
		reply, news := s.reply(req, known)
		if news && len(reply.Leaves) > 0 && known > 0 && reply.Routing.Version == 0 {
			reply = s.coalesce(ctx, req, known)
		}
		if news {
			return s.withAlive(req, reply), nil
		}
		select {
		case <-changed:
		case <-leaves:
		case <-timeout.C:
			return s.withAlive(req, reply), nil
		case <-ctx.Done():
			return s.withAlive(req, reply), nil
		}
	}
}

// coalesce returns what is to tell after a short wait for more.
func (s *Source) coalesce(ctx context.Context, req followRequest, known uint64) followReply {
	select {
	case <-time.After(coalesceMs.Duration()):
	case <-ctx.Done():
	}
	reply, _ := s.reply(req, known)
	return reply
}

func (s *Source) note(req followRequest) {
	if req.Control != "" && s.o.OnEndpoint != nil {
		s.o.OnEndpoint(Endpoint{Address: req.Control, DataCentre: req.DataCentre})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := followerKey{vm: req.VM, control: req.Control}
	f := s.followers[key]
	f.contact = Endpoint{Address: req.Control, DataCentre: req.DataCentre}
	f.seen = s.o.Clock.Now()
	f.collect, f.capacity = req.Collect, req.Capacity
	s.followers[key] = f
	if req.Control != "" {
		s.centres[req.Control] = req.DataCentre
	}
}

func (s *Source) reply(req followRequest, known uint64) (followReply, bool) {
	reply := followReply{
		Epoch: s.epoch, DataCentre: s.o.Self.DataCentre, Silent: s.o.Registry.SilentLeaves(),
		LeaderAgeMs: s.o.State.SinceLeaderContact(),
	}
	contacts := s.contacts()
	reply.ContactsVersion = contactsVersion(contacts)
	if reply.ContactsVersion != req.Contacts {
		reply.Contacts = contacts
	}
	reply.Leaves, reply.LeavesVersion = s.o.Registry.ChangesSince(known)
	if d := s.o.State.AppliedRouting(); d.Version > req.Routing {
		reply.Routing = d
	}
	reply.Entries, _ = s.countEntries()
	reply.EntryCount, reply.Collectors = s.counts()
	news := req.Epoch != s.epoch || len(reply.Leaves) > 0 || reply.Routing.Version > 0
	if req.Control != "" {
		reply.OwnOffers = s.ownOffers()
		return reply, news
	}
	offers := s.offers()
	reply.Collecting = slices.ContainsFunc(offers, func(o Offer) bool { return o.Address == req.Collect })
	reply.OffersVersion = offersVersion(offers)
	if reply.OffersVersion != req.Offers || req.Epoch != s.epoch {
		reply.Offers, news = offers, true
	}
	return reply, news
}

// withAlive adds signs of life for followers that count silence themselves.
func (s *Source) withAlive(req followRequest, reply followReply) followReply {
	if req.Control == "" {
		reply.Entries = nil
		return reply
	}
	now := s.o.Clock.Now()
	s.mu.Lock()
	key := followerKey{vm: req.VM, control: req.Control}
	f := s.followers[key]
	due := now-f.aliveAt >= aliveEveryMs
	if due {
		f.aliveAt = now
		s.followers[key] = f
	}
	s.mu.Unlock()
	if due {
		reply.Alive = s.o.Registry.Heartbeats()
	}
	return reply
}

// contacts returns this process, the members and the followers that are processes of control.
func (s *Source) contacts() []Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []Endpoint{s.o.Self}
	add := func(c Endpoint) {
		if !slices.ContainsFunc(out, func(have Endpoint) bool { return have.Address == c.Address }) {
			out = append(out, c)
		}
	}
	now := s.o.Clock.Now()
	for _, f := range s.followers {
		if f.contact.Address != "" && now-f.seen < followerFreshMs {
			add(f.contact)
		}
	}
	for _, address := range s.o.State.MemberAddresses() {
		add(Endpoint{Address: address, DataCentre: s.centres[address]})
	}
	return out
}

// contactsVersion returns a number that is the same for the same contacts in any order.
func contactsVersion(contacts []Endpoint) uint64 {
	sum := uint64(0)
	for _, c := range contacts {
		sum += xxhash.Sum64String(c.Address + "/" + string(c.DataCentre))
	}
	return sum
}

// countEntries returns the entries that follow this source, and how many there are with those that other sources told of.
func (s *Source) countEntries() ([]samphirepass.VM, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.o.Clock.Now()
	all := map[samphirepass.VM]bool{}
	var own []samphirepass.VM
	for key, f := range s.followers {
		if now-f.seen >= followerFreshMs {
			delete(s.followers, key)
			continue
		}
		if f.contact.Address == "" {
			own = append(own, key.vm)
			all[key.vm] = true
		}
	}
	for vm, at := range s.entries {
		if now-at >= followerFreshMs {
			delete(s.entries, vm)
			continue
		}
		all[vm] = true
	}
	return own, len(all)
}

// counts returns the numbers of entries and of those that collect. Soon after a start they are at least those of before:
// the entries come back one after the other, and shares of a limit must not grow from that.
func (s *Source) counts() (entries, collectors int) {
	_, entries = s.countEntries()
	collectors = len(s.offers())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.o.Clock.Now()-s.startedAt < countMs {
		entries, collectors = max(entries, s.keptEntries), max(collectors, s.keptCollectors)
	}
	return entries, collectors
}

// remember takes in what was counted before this process started.
func (s *Source) remember(entries, collectors int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keptEntries, s.keptCollectors = entries, collectors
}

// AddRemoteEntries takes in which entries follow another source.
func (s *Source) AddRemoteEntries(entries []samphirepass.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.o.Clock.Now()
	for _, vm := range entries {
		s.entries[vm] = now
	}
}
