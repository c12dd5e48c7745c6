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
	// sharedConnectionFraction is the fraction of a leaf's connections that gateways share. The rest is for gateways that have just
	// started and are not counted yet.
	sharedConnectionFraction = 0.9
	// defaultConnectionLimit is the connection limit of a leaf whose service declares none.
	defaultConnectionLimit = 32
	// maxConnectionsPerSlot bounds the connections of all gateways together for each slot of a leaf. On further ones, requests would
	// queue at the leaf until it refuses them; a gateway lets them wait only while their answer is needed.
	maxConnectionsPerSlot = 6
	// minLeaves is the number of leaves of a service that a gateway needs for a second attempt. A gateway that forwards requests
	// to collectors needs only minLeavesWithCollectors.
	minLeaves               = 2
	minLeavesWithCollectors = 1
	// offerDiscoveryMs is the time after its start within which a gateway learns of collectors: a long poll of the directory takes up
	// to a second, and after a restart of all processes the registrars still know how many collectors there were.
	offerDiscoveryMs samphirepass.Millis = 1500
	// collectorConnectionFraction is the fraction of a shard's shared connections that collectors get; the rest is for gateways
	// that find no collector.
	collectorConnectionFraction = 0.5
)

// routingShares divides the connections of each leaf evenly among the gateways, which the directory calls entries.
// Where a leaf has fewer connections than there are gateways, each gateway uses a subset of the leaves of a service.
type routingShares struct{ g *Gateway }

// Share returns the number of connections that this gateway may hold to a leaf, 0 if the leaf is not in its subset.
func (s routingShares) Share(a samphirepass.Announcement) int {
	routing, _ := s.g.dispatcher.Routing()
	limit := routing.Connections[a.Service]
	if limit <= 0 {
		limit = defaultConnectionLimit
	}
	shared := sharedConnectionFraction * float64(limit)
	holders := max(s.g.follower.EntryCount(), 1)
	perEntry, minSize := shared/float64(holders), minLeaves
	if collectors := s.g.follower.CollectorCount(); collectors > 0 && s.g.isShard(a.Service) {
		if use := s.g.shardUse(a.Service, collectors); use.Own {
			holders = use.Active
			perEntry = shared * collectorConnectionFraction / float64(use.Prepared)
		} else {
			perEntry, minSize = perEntry*(1-collectorConnectionFraction), minLeavesWithCollectors
		}
	}
	if perEntry < 1 && !s.inSubset(a, perEntry, minSize) {
		return 0
	}
	return max(min(int(perEntry), maxConnectionsPerSlot*a.Slots/holders), 1)
}

// Senders returns the number of gateways that share the requests to a leaf: the collectors that usually get them, or all.
func (s routingShares) Senders(a samphirepass.Announcement) int {
	if collectors := s.g.follower.CollectorCount(); collectors > 0 && s.g.isShard(a.Service) {
		if use := s.g.shardUse(a.Service, collectors); use.Own {
			return use.Active
		}
	}
	return s.g.follower.EntryCount()
}

// wantsPreconnect reports whether to open a connection to a leaf before a request needs it. That is worth it only for shards, of which
// a request needs many at once, and not if collectors ask the leaves for this gateway. Whether they do is unknown until
// offerDiscoveryMs after the start. A collector to which requests are spread asks a leaf elsewhere only if one nearby fails.
func (s routingShares) wantsPreconnect(a samphirepass.Announcement) bool {
	if !s.g.isShard(a.Service) || samphirepass.PathLost(s.g.path) || samphirepass.PathNarrow(s.g.path) {
		return false
	}
	if s.g.follower.IsCollector() {
		if use, ok := s.g.collectorClient.ShardUse(a.Service, s.g.dispatcher.MaxShards()); ok {
			return use.Own && a.DataCentre == s.g.cfg.DataCentre
		}
		return true
	}
	return s.g.follower.CollectorCount() == 0 && s.g.clock.Now()-s.g.startedAt > offerDiscoveryMs
}

// inSubset reports whether a leaf is in the subset of its service's leaves that this gateway uses. The subset holds at least minSize
// leaves and is otherwise sized so that each leaf gets perEntry connections from each gateway on average.
func (s routingShares) inSubset(a samphirepass.Announcement, perEntry float64, minSize int) bool {
	leaves := s.g.registry.Serving(a.Service)
	size := max(roundByHash(perEntry*float64(len(leaves)), string(s.g.cfg.VM)+"/"+string(a.Service)), minSize)
	if size >= len(leaves) {
		return true
	}
	leaves = slices.Clone(leaves)
	slices.SortFunc(leaves, func(x, y leaf.Registration) int {
		return cmp.Compare(s.sortKey(x.Announcement), s.sortKey(y.Announcement))
	})
	return slices.ContainsFunc(leaves[:size], func(reg leaf.Registration) bool { return reg.Leaf == a.Leaf })
}

// roundByHash rounds x up or down by a hash of key, so that equal keys give the same result and the mean over many keys is x.
func roundByHash(x float64, key string) int {
	rounded := math.Floor(x)
	if float64(xxhash.Sum64String(key)) < (x-rounded)*math.MaxUint64 {
		rounded++
	}
	return int(rounded)
}

// sortKey orders leaves for this gateway: those in its own data centre first, and otherwise in a pseudo-random order that is
// different for each gateway.
func (s routingShares) sortKey(a samphirepass.Announcement) uint64 {
	key := xxhash.Sum64String(string(s.g.cfg.VM)+"/"+string(a.Leaf)) >> 1
	if a.DataCentre != s.g.cfg.DataCentre {
		key |= 1 << 63
	}
	return key
}

// Version returns a number that changes with the routing document, the leaves, the numbers of gateways and collectors, and whether
// this gateway is a collector.
func (s routingShares) Version() uint64 {
	routing, _ := s.g.dispatcher.Routing()
	collectorBit := uint64(0)
	if s.g.follower.IsCollector() {
		collectorBit = 1
	}
	counts := uint64(s.g.follower.EntryCount())<<8 + uint64(s.g.follower.CollectorCount())<<1 + collectorBit
	return uint64(routing.Version)<<44 + s.g.registry.Version()<<18 + counts
}
