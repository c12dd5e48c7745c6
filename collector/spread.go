package collector

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"samphirepass"
	"samphirepass/directory"
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

// collectorsIn returns the collectors of a data centre, this entry among them if it collects.
func (c *Client) collectorsIn(dataCentre samphirepass.DataCentre, offers []directory.CollectorOffer) []directory.CollectorOffer {
	var collectors []directory.CollectorOffer
	for _, offer := range offers {
		if offer.DataCentre == dataCentre {
			collectors = append(collectors, offer)
		}
	}
	if dataCentre == c.opts.DataCentre && c.opts.Collecting != nil && c.opts.Collecting() {
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
	assigned := c.assignments.of(shards, usable)
	for _, shard := range p.Shards {
		parts[assigned[shard]].Shards = append(parts[assigned[shard]].Shards, shard)
	}
	return slices.DeleteFunc(parts, func(p part) bool { return len(p.Shards) == 0 })
}

// maxAssignments bounds the assignments that are kept: those of a few routes to the collectors of a few data centres.
const maxAssignments = 32

// assignmentCache keeps the latest results of policy.AssignShards, which takes long compared with sending a request.
type assignmentCache struct {
	mu      sync.Mutex
	entries map[assignmentKey][]int
}

// assignmentKey identifies a list of shards, which the routing document in force holds, and a list of collectors.
type assignmentKey struct {
	first      *samphirepass.Service
	n          int
	collectors uint64
}

// of returns the index of the collector in charge of each shard.
func (a *assignmentCache) of(shards []samphirepass.Service, collectors []directory.CollectorOffer) []int {
	addresses := make([]string, len(collectors))
	d := xxhash.New()
	for i, offer := range collectors {
		addresses[i] = offer.Address
		// Writing to a hash cannot fail.
		_, _ = d.WriteString(offer.Address + "\x00")
	}
	key := assignmentKey{first: &shards[0], n: len(shards), collectors: d.Sum64()}
	a.mu.Lock()
	defer a.mu.Unlock()
	if assigned, ok := a.entries[key]; ok {
		return assigned
	}
	if len(a.entries) >= maxAssignments || a.entries == nil {
		a.entries = map[assignmentKey][]int{}
	}
	a.entries[key] = policy.AssignShards(shards, addresses)
	return a.entries[key]
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
