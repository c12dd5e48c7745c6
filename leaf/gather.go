package leaf

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"

	"github.com/google/uuid"

	"samphirepass"
	"samphirepass/policy"
)

const (
	// maxQueryAttempts bounds the attempts on one shard of one query.
	maxQueryAttempts = 4
	// replyReserveMs is the part of a deadline that is kept for merging and sending the answer.
	replyReserveMs samphirepass.Millis = 3
	// minRestartFraction is the fraction of the deadline that must remain to restart a query on another snapshot.
	minRestartFraction = 0.3
)

// GatherRequest is one query to all shards of a service.
type GatherRequest struct {
	ID         samphirepass.RequestID
	Service    samphirepass.Service
	Spec       samphirepass.ServiceSpec
	DeadlineMs samphirepass.Millis
	Body       []byte
	// Congested is set while requests wait for admission: extra attempts would then displace first ones.
	Congested bool
	// Progress is called with the fraction of shards still open; it may be nil.
	Progress func(open float64)
}

// GatherResult is the merged answer to a GatherRequest.
type GatherResult struct {
	Snapshot samphirepass.Snapshot
	Coverage samphirepass.Coverage
	Items    []samphirepass.Item
	// Extra counts the hedges and retries, Attempts all leaf requests.
	Extra, Attempts int
	// HalfAnsweredMs is the time until half of the shards had answered or failed.
	HalfAnsweredMs samphirepass.Millis
	// Shed is set if shards are missing and leaves refused work or the deadline passed.
	Shed bool
}

// servicePolicies holds the hedger and the budget of one service, and the budget percentage that they were made for.
type servicePolicies struct {
	hedger  samphirepass.Hedger
	budget  samphirepass.Budget
	percent samphirepass.Percent
}

// Gatherer sends queries to one leaf of each shard and merges the replies; it is safe for concurrent use.
type Gatherer struct {
	*fanOutDeps
	planner *Planner
	policy  policy.Set

	mu       sync.Mutex
	services map[samphirepass.Service]*servicePolicies
}

// NewGatherer returns a gatherer for an entry in the given data centre.
func NewGatherer(planner *Planner, pool *Pool, sender samphirepass.Sender, dataCentre samphirepass.DataCentre, set policy.Set, clock samphirepass.Clock) *Gatherer {
	return &Gatherer{
		fanOutDeps: &fanOutDeps{registry: planner.registry, pool: pool, sender: sender, dataCentre: dataCentre, chooser: set.Chooser, clock: clock},
		planner:    planner, policy: set,
		services: map[samphirepass.Service]*servicePolicies{},
	}
}

func (g *Gatherer) policiesFor(r GatherRequest) *servicePolicies {
	g.mu.Lock()
	defer g.mu.Unlock()
	policies := g.services[r.Service]
	if policies == nil {
		policies = &servicePolicies{percent: -1}
		g.services[r.Service] = policies
	}
	if policies.percent != r.Spec.HedgeBudgetPercent {
		policies.percent = r.Spec.HedgeBudgetPercent
		policies.budget = g.policy.NewBudget(policies.percent)
		policies.hedger = g.policy.NewHedger(policies.percent)
	}
	return &servicePolicies{hedger: policies.hedger, budget: policies.budget}
}

// Gather returns the items that came from one snapshot before the deadline; its error is a refusal if no snapshot is known.
// If leaves turn out to have retired the snapshot, it tries another one while enough of the deadline remains.
func (g *Gatherer) Gather(ctx context.Context, r GatherRequest) (GatherResult, error) {
	began := g.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, max(r.DeadlineMs-replyReserveMs, 1).Duration())
	defer cancel()
	plan := g.planner.Plan(r.Service)
	if len(plan.Shards) == 0 {
		return GatherResult{}, samphirepass.Refuse(samphirepass.CodeNoSnapshot, "no leaf of service %q has announced a snapshot", r.Service)
	}
	first, retired := g.gatherPlan(ctx, r, plan, began)
	if !retired || first.Coverage.Whole() || g.clock.Now()-began > r.DeadlineMs*(1-minRestartFraction) {
		return first, nil
	}
	other := g.planner.PlanExcluding(r.Service, plan.Snapshot)
	if len(other.Shards) == 0 {
		return first, nil
	}
	second, _ := g.gatherPlan(ctx, r, other, began)
	second.Extra += first.Attempts
	second.Attempts += first.Attempts
	if second.Coverage.Answered*first.Coverage.Total < first.Coverage.Answered*second.Coverage.Total {
		return first, nil
	}
	return second, nil
}

// gatherPlan queries the leaves of one plan, and reports whether one of them no longer holds the snapshot.
func (g *Gatherer) gatherPlan(ctx context.Context, r GatherRequest, plan Plan, began samphirepass.Millis) (GatherResult, bool) {
	policies := g.policiesFor(r)
	budgets := make([]samphirepass.Budget, len(plan.Shards))
	for i := range budgets {
		budgets[i] = policies.budget
	}
	opts := fanOutOptions{
		hedger: policies.hedger, budgets: budgets, maxAttempts: maxQueryAttempts, decode: decodeItems, congested: r.Congested, progress: r.Progress,
		newAttempt: func(shard int) samphirepass.Attempt {
			return samphirepass.Attempt{
				Request: samphirepass.RequestID(uuid.NewString()), Service: r.Service, Snapshot: plan.Snapshot,
				Shard: samphirepass.Shard(shard), Body: r.Body, ExpiresAtMs: began + r.DeadlineMs - replyReserveMs,
			}
		},
	}
	f := newFanOut(ctx, g.fanOutDeps, opts, plan.Shards, began)
	f.run()
	return f.gatherResult(plan.Snapshot, r.Spec.Merge), f.snapshotRetired
}

func decodeItems(r *attemptResult) error {
	if err := json.Unmarshal(r.reply.Body, &r.items); err != nil {
		return attemptError(samphirepass.FailureMismatch, fmt.Errorf("decode items of %s: %w", r.leaf, err))
	}
	return nil
}

func (f *fanOut) gatherResult(snapshot samphirepass.Snapshot, spec samphirepass.MergeSpec) GatherResult {
	result := GatherResult{Snapshot: snapshot, Extra: f.extraAttempts, Attempts: f.attempts, Shed: f.shed}
	result.HalfAnsweredMs = f.halfAnsweredMs
	if result.HalfAnsweredMs == 0 {
		result.HalfAnsweredMs = f.clock.Now() - f.began
	}
	result.Coverage.Total = len(f.shards)
	result.Coverage.Missing = []samphirepass.Shard{}
	for i := range f.shards {
		s := &f.shards[i]
		if s.answered {
			result.Coverage.Answered++
		} else {
			result.Coverage.Missing = append(result.Coverage.Missing, samphirepass.Shard(i))
		}
		result.Items = append(result.Items, s.items...)
	}
	result.Shed = result.Shed && !result.Coverage.Whole()
	result.Items = merge(result.Items, spec)
	return result
}

// merge applies the declared merge to the items of all shards, which come in the order of the shards.
func merge(items []samphirepass.Item, spec samphirepass.MergeSpec) []samphirepass.Item {
	if items == nil {
		items = []samphirepass.Item{}
	}
	if spec.Kind != samphirepass.MergeTop {
		return items
	}
	slices.SortStableFunc(items, func(a, b samphirepass.Item) int { return cmp.Compare(b.Score, a.Score) })
	return items[:min(len(items), spec.N)]
}
