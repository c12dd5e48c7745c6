package daemon

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"samphirepass"
	"samphirepass/leaf"
)

const (
	// connectionMargin is the part of a leaf's connections that entries share out: an entry that has just started is not counted yet.
	connectionMargin = 0.9
	// defaultConnections stands for the limit of a leaf whose service declares none.
	defaultConnections = 32
	// connectionsPerSlot bounds the share of one entry: more connections than a leaf can work on only wait there.
	connectionsPerSlot = 2
	// leastLeaves is the number of leaves of a service that an entry needs for a second attempt; one that has others collect for it
	// makes do with fewer.
	leastLeaves     = 2
	leastLeavesKept = 1
	// learnOffersMs is the time in which an entry learns of larger ones after its start: a question to a source takes a second,
	// and after a start of all processes the registrars still know how many there were.
	learnOffersMs samphirepass.Millis = 1500
	// collectorPart is the part of a shard's connections that collectors share out; the rest is for entries that find none.
	collectorPart = 0.5
)

// routingShares shares the connections of each leaf out evenly among the entries that follow the directory.
// Where a leaf has fewer connections than there are entries, each entry uses only some of the leaves of a service.
type routingShares struct{ g *Gateway }

// Share returns how many connections this entry may hold to a leaf, 0 if it leaves the leaf to others.
func (s routingShares) Share(a samphirepass.Announcement) int {
	routing, _ := s.g.dispatcher.Routing()
	limit := routing.Connections[a.Service]
	if limit <= 0 {
		limit = defaultConnections
	}
	shared := connectionMargin * float64(limit)
	each, least := shared/float64(max(s.g.follower.EntryCount(), 1)), leastLeaves
	if collectors := s.g.follower.CollectorCount(); collectors > 0 && s.g.gathers(a.Service) {
		if s.g.follower.IsCollector() {
			each = shared * collectorPart / float64(collectors)
		} else {
			each, least = each*(1-collectorPart), leastLeavesKept
		}
	}
	if each < 1 && !s.picked(a, each, least) {
		return 0
	}
	return min(max(int(each), 1), connectionsPerSlot*max(a.Slots, 1))
}

// ahead reports whether a connection to a leaf is worth opening before a request needs it: only to shards, of which a request needs
// many at once, and not where others collect for this entry, nor before it has had the time to learn whether others do.
func (s routingShares) ahead(a samphirepass.Announcement) bool {
	if !s.g.gathers(a.Service) {
		return false
	}
	if s.g.follower.IsCollector() {
		return true
	}
	return s.g.follower.CollectorCount() == 0 && s.g.clock.Now()-s.g.began > learnOffersMs
}

// picked reports whether a leaf is among those of its service that this entry uses, so that on average the given number of connections
// comes to each leaf from each entry, and at least the given number of leaves is used.
func (s routingShares) picked(a samphirepass.Announcement, each float64, least int) bool {
	leaves := s.g.registry.Serving(a.Service)
	keep := max(wholeNumber(each*float64(len(leaves)), string(s.g.cfg.VM)+"/"+string(a.Service)), least)
	if keep >= len(leaves) {
		return true
	}
	leaves = slices.Clone(leaves)
	slices.SortFunc(leaves, func(x, y leaf.Registration) int { return cmp.Compare(s.rank(x.Announcement), s.rank(y.Announcement)) })
	return slices.ContainsFunc(leaves[:keep], func(k leaf.Registration) bool { return k.Leaf == a.Leaf })
}

// wholeNumber rounds x up or down by a draw that is the same for equal keys, so that over many keys the mean is x.
func wholeNumber(x float64, key string) int {
	whole := math.Floor(x)
	if float64(xxhash.Sum64String(key)) < (x-whole)*math.MaxUint64 {
		whole++
	}
	return int(whole)
}

// rank orders leaves for this entry: its own data centre's first, each entry in an order of its own.
func (s routingShares) rank(a samphirepass.Announcement) uint64 {
	rank := xxhash.Sum64String(string(s.g.cfg.VM)+"/"+string(a.Leaf)) >> 1
	if a.DataCentre != s.g.cfg.DataCentre {
		rank |= 1 << 63
	}
	return rank
}

// Version changes with the routing document, the number of entries and the leaves.
func (s routingShares) Version() uint64 {
	routing, _ := s.g.dispatcher.Routing()
	collecting := uint64(0)
	if s.g.follower.IsCollector() {
		collecting = 1
	}
	counts := uint64(s.g.follower.EntryCount())<<8 + uint64(s.g.follower.CollectorCount())<<1 + collecting
	return uint64(routing.Version)<<44 + s.g.registry.Version()<<18 + counts
}
