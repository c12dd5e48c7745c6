package leaf

import (
	"cmp"
	"slices"
	"sync"

	"samphirepass"
)

// planMaxAgeMs is the age after which a plan is recomputed to drop leaves whose heartbeats have stopped.
const planMaxAgeMs samphirepass.Millis = 100

// Plan lists the leaves that hold each shard of one snapshot.
type Plan struct {
	Snapshot samphirepass.Snapshot
	// Shards has one element for each shard of the snapshot; an element may be empty.
	Shards [][]Registration
}

// Covered counts the shards held by at least one leaf.
func (p Plan) Covered() int {
	n := 0
	for _, leaves := range p.Shards {
		if len(leaves) > 0 {
			n++
		}
	}
	return n
}

// Slots returns how many requests the leaves of a shard can process concurrently, at the shard where they can process the fewest.
func (p Plan) Slots() int {
	least := 0
	for i, leaves := range p.Shards {
		n := 0
		for _, reg := range leaves {
			n += reg.Slots
		}
		if i == 0 || (n > 0 && n < least) {
			least = n
		}
	}
	return least
}

// MakePlan picks the newest snapshot whose shards are all covered, or else the one with the largest share of covered shards,
// the newest among equals. It never picks avoid.
func MakePlan(leaves []Registration, avoid samphirepass.Snapshot) Plan {
	plans := plansBySnapshot(leaves)
	delete(plans, avoid)
	var best Plan
	for _, p := range plans {
		if betterPlan(p, best) {
			best = p
		}
	}
	return best
}

func betterPlan(a, b Plan) bool {
	if len(b.Shards) == 0 {
		return true
	}
	aWhole, bWhole := a.Covered() == len(a.Shards), b.Covered() == len(b.Shards)
	if aWhole != bWhole {
		return aWhole
	}
	if aWhole {
		return a.Snapshot > b.Snapshot
	}
	share := cmp.Compare(a.Covered()*len(b.Shards), b.Covered()*len(a.Shards))
	return cmp.Or(share, cmp.Compare(a.Snapshot, b.Snapshot)) > 0
}

func plansBySnapshot(leaves []Registration) map[samphirepass.Snapshot]Plan {
	// If leaves disagree on the number of shards, the largest counts, so that an answer never looks whole by mistake.
	totals := map[samphirepass.Snapshot]int{}
	for _, reg := range leaves {
		for _, h := range reg.Holdings {
			totals[h.Snapshot] = max(totals[h.Snapshot], h.Shards)
		}
	}
	plans := make(map[samphirepass.Snapshot]Plan, len(totals))
	for s, n := range totals {
		plans[s] = Plan{Snapshot: s, Shards: make([][]Registration, n)}
	}
	for _, reg := range leaves {
		for _, h := range reg.Holdings {
			if h.Shards != totals[h.Snapshot] {
				continue
			}
			shards := plans[h.Snapshot].Shards
			if !slices.ContainsFunc(shards[h.Shard], func(other Registration) bool { return other.Leaf == reg.Leaf }) {
				shards[h.Shard] = append(shards[h.Shard], reg)
			}
		}
	}
	return plans
}

type cachedPlan struct {
	plan     Plan
	version  uint64
	madeAtMs samphirepass.Millis
}

// Planner caches the plan of each service until announcements change; it is safe for concurrent use.
type Planner struct {
	registry *Registry
	clock    samphirepass.Clock

	mu    sync.Mutex
	plans map[samphirepass.Service]cachedPlan
}

// NewPlanner returns a planner over registry.
func NewPlanner(registry *Registry, clock samphirepass.Clock) *Planner {
	return &Planner{registry: registry, clock: clock, plans: map[samphirepass.Service]cachedPlan{}}
}

// Plan returns the plan of a service. It has no shards if no snapshot is known.
func (p *Planner) Plan(service samphirepass.Service) Plan {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.plans[service]
	if ok && c.version == p.registry.Version() && now-c.madeAtMs < planMaxAgeMs {
		return c.plan
	}
	leaves, version := p.registry.Usable(service)
	c = cachedPlan{plan: MakePlan(leaves, 0), version: version, madeAtMs: now}
	p.plans[service] = c
	return c.plan
}

// Leaving reports whether a leaf of an earlier plan must not get new work.
func (p *Planner) Leaving(reg Registration) bool {
	return p.registry.Leaving(reg)
}

// PlanExcluding returns a plan for a snapshot other than avoid.
func (p *Planner) PlanExcluding(service samphirepass.Service, avoid samphirepass.Snapshot) Plan {
	leaves, _ := p.registry.Usable(service)
	return MakePlan(leaves, avoid)
}
