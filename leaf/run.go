package leaf

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"samphirepass"
)

// Pick hashes route to a shard of the service's current snapshot, and returns a leaf of that shard and an attempt for it.
func (g *Gatherer) Pick(service samphirepass.Service, route string) (Registration, samphirepass.Attempt, error) {
	plan := g.planner.Plan(service)
	if len(plan.Shards) == 0 {
		return Registration{}, samphirepass.Attempt{}, samphirepass.Refuse(samphirepass.CodeNoSnapshot, "no leaf of service %q has announced a snapshot", service)
	}
	shard := int(xxhash.Sum64String(route) % uint64(len(plan.Shards)))
	leaves := plan.Shards[shard]
	if len(leaves) == 0 {
		return Registration{}, samphirepass.Attempt{}, samphirepass.Refuse(samphirepass.CodeUnavailable, "no leaf holds shard %d of snapshot %d", shard, plan.Snapshot)
	}
	reg := leaves[g.choose(leaves, 0)]
	return reg, samphirepass.Attempt{Service: service, Snapshot: plan.Snapshot, Shard: samphirepass.Shard(shard)}, nil
}

// Run sends a claimed run to a leaf in a single attempt.
func (g *Gatherer) Run(ctx context.Context, reg Registration, a samphirepass.Attempt) (samphirepass.Reply, error) {
	return g.sender.Send(ctx, reg.Announcement, a)
}

// Slots returns how many requests the leaves of a shard can process concurrently, at the shard where they can process the fewest.
func (g *Gatherer) Slots(service samphirepass.Service) int {
	return g.planner.Plan(service).Slots()
}
