package collector

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"samphirepass"
	"samphirepass/directory"
	"samphirepass/leaf"
	"samphirepass/policy"
)

// preparedPerDataCentre is the number of collectors of a data centre that hold connections to the leaves of a shard: the one that gets the
// requests to it, and the one that gets them if the first one fails.
const preparedPerDataCentre = 2

// part is a part of a request's shards together with who collects it.
type part struct {
	samphirepass.ShardPart
	// spread is set if several collectors share the shards of the data centre, collector is then the one for this part.
	spread    bool
	collector directory.CollectorOffer
	// local is set if this entry asks the leaves itself.
	local bool
}

// collectorsIn returns the collectors of a data centre, this entry among them if it collects and reaches leaves.
func (c *Client) collectorsIn(dataCentre samphirepass.DataCentre, offers []directory.CollectorOffer) []directory.CollectorOffer {
	var collectors []directory.CollectorOffer
	for _, offer := range offers {
		if offer.DataCentre == dataCentre {
			collectors = append(collectors, offer)
		}
	}
	if dataCentre == c.opts.DataCentre && c.opts.Collecting != nil && c.opts.Collecting() && !samphirepass.PathLost(c.opts.Path) {
		collectors = append(collectors, directory.CollectorOffer{Address: c.opts.Address, DataCentre: dataCentre, Capacity: c.opts.Capacity})
	}
	return collectors
}

// usableCollectors returns those of the collectors of a data centre to which requests may be sent now. This entry always is one of them if
// it is among them at all.
func (c *Client) usableCollectors(collectors []directory.CollectorOffer) []directory.CollectorOffer {
	candidates := make([]samphirepass.CollectorCandidate, len(collectors))
	c.mu.Lock()
	for i, offer := range collectors {
		if offer.Address == c.opts.Address {
			candidates[i] = samphirepass.CollectorCandidate{Address: offer.Address, Connected: true, SinceFailureMs: neverMs}
			continue
		}
		candidates[i] = c.candidateLocked(offer)
	}
	c.mu.Unlock()
	var usable []directory.CollectorOffer
	for i, ok := range policy.UsableCollectors(candidates) {
		if ok {
			usable = append(usable, collectors[i])
		}
	}
	return usable
}

// spreadPart divides the part of a data centre among its usable collectors, if the request has enough shards.
func (c *Client) spreadPart(p samphirepass.ShardPart, shards []samphirepass.Service, offers []directory.CollectorOffer) []part {
	usable := c.usableCollectors(c.collectorsIn(p.DataCentre, offers))
	if !policy.SpreadsRequest(len(shards), len(usable)) {
		return []part{{ShardPart: p}}
	}
	parts := make([]part, len(usable))
	for i, offer := range usable {
		parts[i] = part{ShardPart: samphirepass.ShardPart{DataCentre: p.DataCentre}, spread: true, collector: offer, local: offer.Address == c.opts.Address}
	}
	assigned := c.assignedCollectors(shards, p.DataCentre, usable)
	for _, shard := range p.Shards {
		parts[assigned[shard]].Shards = append(parts[assigned[shard]].Shards, shard)
	}
	return slices.DeleteFunc(parts, func(p part) bool { return len(p.Shards) == 0 })
}

// maxAssignments bounds the assignments that are kept: those of a few routes to the collectors of a few data centres.
const maxAssignments = 32

// assignmentCache keeps the latest assignments of shards to collectors, which take long to work out compared with sending a request.
type assignmentCache struct {
	mu      sync.Mutex
	entries map[assignmentKey][]int
}

// assignmentKey identifies a list of shards, which the routing document in force holds, a list of collectors, and what is known of leaves.
type assignmentKey struct {
	first      *samphirepass.Service
	n          int
	collectors uint64
	leaves     uint64
}

// assignedCollectors returns the result of assignShards, from the cache if it is there. The shards must be a list that does not change.
func (c *Client) assignedCollectors(shards []samphirepass.Service, dataCentre samphirepass.DataCentre, collectors []directory.CollectorOffer) []int {
	d := xxhash.New()
	for _, offer := range collectors {
		// Writing to a hash cannot fail.
		_, _ = d.WriteString(offer.Address + "\x00")
	}
	key := assignmentKey{first: &shards[0], n: len(shards), collectors: d.Sum64(), leaves: c.opts.Registry.Version()}
	c.assignments.mu.Lock()
	defer c.assignments.mu.Unlock()
	if assigned, ok := c.assignments.entries[key]; ok {
		return assigned
	}
	if len(c.assignments.entries) >= maxAssignments || c.assignments.entries == nil {
		c.assignments.entries = map[assignmentKey][]int{}
	}
	assigned := c.assignShards(shards, dataCentre, collectors)
	c.assignments.entries[key] = assigned
	return assigned
}

// assignShards returns the index of the collector of a data centre that is in charge of each shard. Each gets equal numbers of the shards
// that have a leaf there, and of the others.
func (c *Client) assignShards(shards []samphirepass.Service, dataCentre samphirepass.DataCentre, collectors []directory.CollectorOffer) []int {
	addresses := make([]string, len(collectors))
	for i, offer := range collectors {
		addresses[i] = offer.Address
	}
	var local, remote []int
	for i, s := range shards {
		if slices.ContainsFunc(c.opts.Registry.Serving(s), func(reg leaf.Registration) bool { return reg.DataCentre == dataCentre }) {
			local = append(local, i)
		} else {
			remote = append(remote, i)
		}
	}
	assigned := make([]int, len(shards))
	for _, indices := range [][]int{local, remote} {
		services := make([]samphirepass.Service, len(indices))
		for j, i := range indices {
			services[j] = shards[i]
		}
		for j, collector := range policy.AssignShards(services, addresses) {
			assigned[indices[j]] = collector
		}
	}
	return assigned
}

// ShardUse says how many collectors send requests to the leaves of a shard.
type ShardUse struct {
	// Active is the number of collectors that usually send, Prepared the number of those that may.
	Active, Prepared int
	// Own is set if this entry is one of the prepared collectors.
	Own bool
}

// ShardUse returns the use of a shard of a route with n shards. ok is false if requests are not spread, so that any collector may send.
func (c *Client) ShardUse(s samphirepass.Service, n int) (use ShardUse, ok bool) {
	known := c.offerSnapshot()
	if !policy.SpreadsRequest(n, len(known.own)) {
		return ShardUse{}, false
	}
	return ShardUse{
		Active: known.dataCentres, Prepared: known.dataCentres * preparedPerDataCentre,
		Own: c.opts.Collecting != nil && c.opts.Collecting() && (known.inCharge[s] || c.ownRank(s, known.own) < preparedPerDataCentre),
	}, true
}

// ownRank returns how many of the collectors suit a shard better than this entry.
func (c *Client) ownRank(s samphirepass.Service, collectors []directory.CollectorOffer) int {
	own, better := policy.CollectorRank(s, c.opts.Address), 0
	for _, offer := range collectors {
		if offer.Address != c.opts.Address && policy.CollectorRank(s, offer.Address) > own {
			better++
		}
	}
	return better
}
