package policy_test

import (
	"cmp"
	"container/heap"
	"flag"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"samphirepass"
	"samphirepass/policy"
)

// modelCase is a load of the model: choosers that send requests to leaves of one service, without a network.
type modelCase struct {
	choosers int
	// leaves holds the data centre of each leaf, speeds the speeds that they have in turn.
	leaves      []int
	speeds      []float64
	dataCentres int
	slots       int
	workMs      float64
	// perSecond is the demand of all choosers, which swings by swing in each data centre, out of phase.
	perSecond, swing, swingMs float64
	// slowShare of the time a leaf is slowFactor times as slow, slowMs at a time. It pauses for pauseMs each pauseEveryMs or so.
	slowShare, slowFactor, slowMs, pauseMs, pauseEveryMs float64
	// distanceMs is the round trip between data centres.
	distanceMs float64
	// ageMs is the age at which choosers learn what an answer says.
	ageMs float64
	// reports is set if answers state the leaf's load.
	reports    bool
	durationMs float64
}

// modelResult holds what the model measures.
type modelResult struct {
	// busiest is the mean over windows of 100 ms of the requests sent to the busiest leaf by those sent to the mean one, present is the
	// same for the requests that wait or run.
	busiest, present float64
	// work is the same for the work sent, which is that of a request divided by the leaf's speed.
	work float64
	// sent is the requests sent to the busiest leaf by those to the mean one, over the whole run.
	sent float64
	// waitP99, latencyP99 and latencyMean are those of requests that were not refused.
	waitP99, latencyP99, latencyMean float64
	// refused is the share of requests refused while a leaf elsewhere had a free slot, remote the share sent to another data centre.
	refused, remote float64
}

const (
	modelWindowMs = 100
	// modelQueue is the number of waiting requests for each slot beyond which a leaf refuses.
	modelQueue = 4
	// modelWarmUpMs is left out of the figures.
	modelWarmUpMs = 3000
)

type modelEventKind string

const (
	modelArrival modelEventKind = "arrival"
	modelReach   modelEventKind = "reach"
	modelFinish  modelEventKind = "finish"
	modelAnswer  modelEventKind = "answer"
	modelLearn   modelEventKind = "learn"
)

type modelEvent struct {
	at      float64
	kind    modelEventKind
	dc      int
	request *modelRequest
}

type modelRequest struct {
	chooser, leaf             int
	sentAt, reachedAt, waited float64
	refused                   bool
	load                      float64
}

type modelEvents []modelEvent

func (e modelEvents) Len() int           { return len(e) }
func (e modelEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e modelEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)        { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type modelLeaf struct {
	name           samphirepass.Leaf
	dataCentre     samphirepass.DataCentre
	dc             int
	speed          float64
	running, sent  int
	sentInWindow   int
	queue          []*modelRequest
	presentSince   float64
	present        float64
	slow, paused   [][2]float64
	slowAt, pausAt int
}

// modelView is what a chooser knows of a leaf, like leaf.Pool.
type modelView struct {
	recent           []float64
	median, mean     float64
	at, load, loadAt float64
	speed            policy.LeafSpeed
	refusals         policy.DecayingRate
}

type model struct {
	modelCase
	rnd    *rand.Rand
	now    float64
	events modelEvents
	leaves []*modelLeaf
	views  [][]*modelView
	// inFlight holds, by chooser and leaf, when the requests in flight were sent.
	inFlight [][][]float64
	choose   []samphirepass.Chooser
	allowed  [][]int

	waits, latencies, ratios    []float64
	present, work               []float64
	requests, refusedFree, away int
	reasons                     map[policy.ChoiceReason]int
}

// modelStrategy is a way to choose.
type modelStrategy struct {
	chooser func(m *model) samphirepass.Chooser
	// shared is set if all choosers learn from the answers to all.
	shared bool
	// subset is the number of leaves that each chooser uses, those with the highest hash; 0 means all. With nearFirst, those in its own data
	// centre come first, as in daemon.routingShares.
	subset    int
	nearFirst bool
	// reasons counts the choices of a Balancer by reason; it may be nil.
	reasons map[policy.ChoiceReason]int
	// oracle is set if the chooser knows the leaves' queues as they are.
	oracle bool
}

func runModel(c modelCase, s modelStrategy, seed uint64) modelResult {
	m := &model{modelCase: c, rnd: rand.New(rand.NewPCG(seed, 1)), reasons: s.reasons}
	leafRnd := rand.New(rand.NewPCG(seed, 2))
	for i, dc := range c.leaves {
		l := &modelLeaf{name: samphirepass.Leaf(fmt.Sprint(i)), dataCentre: samphirepass.DataCentre(fmt.Sprint(dc)), dc: dc, speed: c.speeds[i%len(c.speeds)]}
		if c.slowShare > 0 {
			l.slow = phases(leafRnd, c.slowMs, c.slowMs*(1-c.slowShare)/c.slowShare, c.durationMs)
		}
		if c.pauseMs > 0 {
			l.paused = phases(leafRnd, c.pauseMs, c.pauseEveryMs, c.durationMs)
		}
		m.leaves = append(m.leaves, l)
	}
	for i := range c.choosers {
		m.choose = append(m.choose, s.chooser(m))
		var views []*modelView
		var allowed []int
		for l := range m.leaves {
			if s.shared && i > 0 {
				views = append(views, m.views[0][l])
			} else {
				views = append(views, &modelView{refusals: policy.DecayingRate{Weight: 0.15, DecayMs: 2000}})
			}
			allowed = append(allowed, l)
		}
		if s.subset > 0 {
			slices.SortFunc(allowed, func(a, b int) int {
				if near := m.leaves[a].dc == m.dcOf(i); s.nearFirst && near != (m.leaves[b].dc == m.dcOf(i)) {
					return map[bool]int{true: -1, false: 1}[near]
				}
				return cmp.Compare(modelHash(i, a), modelHash(i, b))
			})
			allowed = allowed[:min(s.subset, len(allowed))]
		}
		m.inFlight = append(m.inFlight, make([][]float64, len(m.leaves)))
		m.views, m.allowed = append(m.views, views), append(m.allowed, allowed)
	}
	arrivals := rand.New(rand.NewPCG(seed, 3))
	for dc := range c.dataCentres {
		peak := c.perSecond / float64(c.dataCentres) * (1 + c.swing) / 1000
		for at := 0.0; at < c.durationMs; {
			at += arrivals.ExpFloat64() / peak
			rate := 1 + c.swing*math.Sin(2*math.Pi*(at/c.swingMs+float64(dc)/float64(c.dataCentres)))
			if arrivals.Float64() < rate/(1+c.swing) {
				m.events = append(m.events, modelEvent{at: at, kind: modelArrival, dc: dc})
			}
		}
	}
	heap.Init(&m.events)
	window := modelWarmUpMs + float64(modelWindowMs)
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(modelEvent)
		for e.at >= window && window <= c.durationMs {
			m.endWindow(window)
			window += modelWindowMs
		}
		m.now = e.at
		m.handle(e, s.oracle)
	}
	return m.result()
}

func modelHash(chooser, leaf int) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d/%d", chooser, leaf)
	return h.Sum64()
}

// phases returns times of the given length with random times of the given mean between them.
func phases(rnd *rand.Rand, length, between, until float64) [][2]float64 {
	var p [][2]float64
	for at := rnd.Float64() * between; at < until; {
		p = append(p, [2]float64{at, at + length})
		at += length + rnd.ExpFloat64()*between
	}
	return p
}

// during returns the phase that lasts at a time or begins next, with p in the order of time and i the index of an earlier one.
func during(p [][2]float64, i *int, at float64) (from, to float64) {
	for *i < len(p) && p[*i][1] <= at {
		*i++
	}
	if *i == len(p) {
		return math.Inf(1), math.Inf(1)
	}
	return p[*i][0], p[*i][1]
}

func (m *model) push(after float64, kind modelEventKind, r *modelRequest) {
	heap.Push(&m.events, modelEvent{at: m.now + after, kind: kind, request: r})
}

func (m *model) handle(e modelEvent, oracle bool) {
	switch e.kind {
	case modelArrival:
		// The choosers of a data centre are those whose number has the same remainder.
		chooser := e.dc
		if n := (m.choosers - e.dc + m.dataCentres - 1) / m.dataCentres; n > 0 {
			chooser += m.dataCentres * m.rnd.IntN(n)
		}
		m.send(chooser%m.choosers, e.dc, oracle)
	case modelReach:
		m.reach(e.request)
	case modelFinish:
		l := m.leaves[e.request.leaf]
		m.count(l)
		l.running--
		e.request.load = float64(l.running+len(l.queue)) / float64(m.slots)
		m.push(m.travel(e.request), modelAnswer, e.request)
		m.start(l)
	case modelAnswer:
		m.answer(e.request)
	case modelLearn:
		m.learn(e.request)
	}
}

func (m *model) dcOf(chooser int) int { return chooser % m.dataCentres }

// travel is the time of one way between the chooser and the leaf of a request.
func (m *model) travel(r *modelRequest) float64 {
	if m.dcOf(r.chooser) == m.leaves[r.leaf].dc {
		return 0.5
	}
	return 0.5 + m.distanceMs/2
}

func (m *model) send(chooser, dc int, oracle bool) {
	r := &modelRequest{chooser: chooser, sentAt: m.now}
	if oracle {
		r.leaf = m.idlest(dc)
	} else {
		r.leaf = m.pick(chooser)
	}
	l := m.leaves[r.leaf]
	m.inFlight[chooser][r.leaf] = append(m.inFlight[chooser][r.leaf], m.now)
	l.sent++
	l.sentInWindow++
	m.requests++
	if l.dc != dc {
		m.away++
	}
	m.push(m.travel(r), modelReach, r)
}

// idlest returns the leaf with the shortest queue for its speed, of equal ones one in the data centre dc.
func (m *model) idlest(dc int) int {
	best, lowest := 0, math.Inf(1)
	for i, l := range m.leaves {
		cost := (1 + float64(l.running+len(l.queue))/float64(m.slots)) / l.speed
		if from, _ := during(l.slow, &l.slowAt, m.now); from <= m.now {
			cost *= m.slowFactor
		}
		if l.dc != dc {
			cost += 0.01
		}
		if cost += 0.001 * m.rnd.Float64(); cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

func (m *model) pick(chooser int) int {
	candidates := make([]samphirepass.Candidate, len(m.allowed[chooser]))
	now := samphirepass.Millis(m.now)
	for i, l := range m.allowed[chooser] {
		v, inFlight := m.views[chooser][l], m.inFlight[chooser][l]
		c := samphirepass.Candidate{
			Leaf: m.leaves[l].name, SameDataCentre: m.leaves[l].dc == m.dcOf(chooser), InFlight: len(inFlight), Slots: m.slots, Service: "listings",
			DataCentre:      samphirepass.DataCentre(fmt.Sprint(m.leaves[l].dc)),
			MedianLatencyMs: samphirepass.Millis(v.median), MeanLatencyMs: samphirepass.Millis(v.mean), MaxConnections: 1000,
			Load: v.load, LoadAgeMs: now - samphirepass.Millis(v.loadAt), SinceDiscoveryMs: 60_000, RefusalRate: v.refusals.Value(now),
		}
		if v.loadAt == 0 {
			c.LoadAgeMs = 1e9
		}
		if v.at > 0 {
			c.LatencyAgeMs = now - samphirepass.Millis(v.at)
		}
		if len(inFlight) > 0 {
			c.OldestInFlightMs = now - samphirepass.Millis(inFlight[0])
		}
		v.speed.Describe(now, 1, &c)
		candidates[i] = c
	}
	return m.allowed[chooser][m.choose[chooser].Choose(candidates)]
}

func (m *model) count(l *modelLeaf) {
	from := max(l.presentSince, 0)
	l.present += (m.now - from) * float64(l.running+len(l.queue))
	l.presentSince = m.now
}

func (m *model) reach(r *modelRequest) {
	l := m.leaves[r.leaf]
	m.count(l)
	r.reachedAt = m.now
	if len(l.queue) >= modelQueue*m.slots {
		r.refused = true
		if slices.ContainsFunc(m.leaves, func(o *modelLeaf) bool { return o.running < m.slots }) && m.now > modelWarmUpMs {
			m.refusedFree++
		}
		m.push(m.travel(r), modelAnswer, r)
		return
	}
	l.queue = append(l.queue, r)
	m.start(l)
}

func (m *model) start(l *modelLeaf) {
	for l.running < m.slots && len(l.queue) > 0 {
		r := l.queue[0]
		l.queue = l.queue[1:]
		l.running++
		r.waited = m.now - r.reachedAt
		work := m.workMs / l.speed * (0.6 + 0.8*m.rnd.Float64())
		if from, _ := during(l.slow, &l.slowAt, m.now); from <= m.now {
			work *= m.slowFactor
		}
		if from, to := during(l.paused, &l.pausAt, m.now); from < m.now+work {
			work += to - max(from, m.now)
		}
		m.push(work, modelFinish, r)
	}
}

func (m *model) answer(r *modelRequest) {
	inFlight := &m.inFlight[r.chooser][r.leaf]
	if i := slices.Index(*inFlight, r.sentAt); i >= 0 {
		*inFlight = slices.Delete(*inFlight, i, i+1)
	}
	if !r.refused && m.now > modelWarmUpMs {
		m.waits, m.latencies = append(m.waits, r.waited), append(m.latencies, m.now-r.sentAt)
	}
	learned := *r
	learned.waited = m.now - r.sentAt
	m.push(m.ageMs, modelLearn, &learned)
}

// learn records what an answer says, whose latency is in waited.
func (m *model) learn(r *modelRequest) {
	v, now := m.views[r.chooser][r.leaf], samphirepass.Millis(m.now)
	v.refusals.Add(now, r.refused)
	if r.refused {
		return
	}
	v.recent = append(v.recent, r.waited)
	v.recent = v.recent[max(0, len(v.recent)-3):]
	sorted := slices.Clone(v.recent)
	slices.Sort(sorted)
	v.median, v.at = sorted[(len(sorted)-1)/2], m.now-m.ageMs
	if v.mean == 0 {
		v.mean = r.waited
	}
	v.mean += (r.waited - v.mean) * 0.2
	if m.reports {
		v.load, v.loadAt = r.load, m.now-m.ageMs
	}
	v.speed.Add(now, r.waited)
	if m.reports {
		v.speed.AddLoad(r.load)
	}
}

func (m *model) endWindow(at float64) {
	sum, most, sent, mostSent := 0.0, 0.0, 0, 0
	work, mostWork := 0.0, 0.0
	for _, l := range m.leaves {
		m.now = at
		m.count(l)
		sum, most = sum+l.present, max(most, l.present)
		sent, mostSent = sent+l.sentInWindow, max(mostSent, l.sentInWindow)
		work, mostWork = work+float64(l.sentInWindow)/l.speed, max(mostWork, float64(l.sentInWindow)/l.speed)
		l.present, l.sentInWindow = 0, 0
	}
	if at > modelWarmUpMs+modelWindowMs && sum > 0 && sent > 0 {
		m.work = append(m.work, mostWork*float64(len(m.leaves))/work)
		m.present = append(m.present, most/(sum/float64(len(m.leaves))))
		m.ratios = append(m.ratios, float64(mostSent)*float64(len(m.leaves))/float64(sent))
	}
}

func (m *model) result() modelResult {
	r := modelResult{waitP99: quantile(m.waits, 0.99), latencyP99: quantile(m.latencies, 0.99), latencyMean: average(m.latencies), busiest: average(m.ratios), present: average(m.present), work: average(m.work)}
	most, sum := 0, 0
	for _, l := range m.leaves {
		most, sum = max(most, l.sent), sum+l.sent
	}
	r.sent = float64(most) * float64(len(m.leaves)) / float64(sum)
	r.refused, r.remote = float64(m.refusedFree)/float64(m.requests), float64(m.away)/float64(m.requests)
	return r
}

func quantile(values []float64, q float64) float64 {
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}

func average(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// unevenLeaves is the service of 10 leaves with 2 slots over four data centres, with 26 requests a second.
func unevenLeaves(choosers int, ageMs float64) modelCase {
	return modelCase{
		choosers: choosers, leaves: []int{0, 0, 0, 1, 1, 1, 2, 2, 3, 3}, speeds: []float64{0.8, 1, 1.3}, dataCentres: 4, slots: 2, workMs: 60,
		perSecond: 26, swing: 0.55, swingMs: 15_000, slowShare: 0.15, slowFactor: 2.5, slowMs: 600, pauseMs: 100, pauseEveryMs: 2400,
		distanceMs: 10, ageMs: ageMs, reports: true, durationMs: 65_000,
	}
}

// busyLeaves is the same with short requests that use half of the leaves' capacity.
func busyLeaves(choosers int, ageMs float64) modelCase {
	c := unevenLeaves(choosers, ageMs)
	c.workMs, c.perSecond, c.distanceMs, c.durationMs = 7.5, 1100, 4, 35_000
	return c
}

// steadyLeaves is busyLeaves without pauses.
func steadyLeaves(choosers int, ageMs float64) modelCase {
	c := busyLeaves(choosers, ageMs)
	c.pauseMs = 0
	return c
}

// alikeLeaves is busyLeaves with leaves of equal speeds without slow phases, evenly over the data centres, and even demand.
func alikeLeaves(choosers int, ageMs float64) modelCase {
	c := busyLeaves(choosers, ageMs)
	c.leaves, c.speeds, c.slowShare, c.swing = []int{0, 0, 1, 1, 2, 2, 3, 3}, []float64{1}, 0, 0
	return c
}

// shardLeaves is one shard with leaves in three of four data centres.
func shardLeaves(choosers int, ageMs float64) modelCase {
	c := busyLeaves(choosers, ageMs)
	c.leaves, c.perSecond = []int{0, 1, 2}, 250
	return c
}

// weightedChooser draws by usual latency among all leaves, or those in the own data centre.
type weightedChooser struct {
	rnd   *rand.Rand
	local bool
}

func (w weightedChooser) Choose(candidates []samphirepass.Candidate) int {
	weights, total := make([]float64, len(candidates)), 0.0
	for i, c := range candidates {
		if w.local && !c.SameDataCentre {
			continue
		}
		weights[i] = 1 / float64(max(c.UsualLatencyMs, 1))
		if c.UsualLatencyMs == 0 {
			weights[i] = 1.0 / 60
		}
		total += weights[i]
	}
	u := w.rnd.Float64() * total
	for i, x := range weights {
		if u -= x; u < 0 {
			return i
		}
	}
	return len(candidates) - 1
}

// idleChooser prefers a leaf whose last answer said that a slot is free, in the own data centre first (join-idle-queue).
type idleChooser struct{ rnd *rand.Rand }

func (j idleChooser) Choose(candidates []samphirepass.Candidate) int {
	best, lowest := 0, math.Inf(1)
	for i, c := range candidates {
		cost := j.rnd.Float64()
		if c.LoadAgeMs > 1e6 || c.Load+float64(c.InFlight)/float64(c.Slots) >= 1 {
			cost += 2
		}
		if !c.SameDataCentre {
			cost++
		}
		if cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

func modelStrategies() map[string]modelStrategy {
	fixed := func(c samphirepass.Chooser) func(*model) samphirepass.Chooser {
		return func(*model) samphirepass.Chooser { return c }
	}
	leastCost := func(m *model) samphirepass.Chooser { return policy.LeastCostChooser{Random: m.rnd.Float64} }
	balancer := func(always bool) func(*model) samphirepass.Chooser {
		return func(m *model) samphirepass.Chooser {
			dc := len(m.choose) % m.dataCentres
			return policy.NewBalancer(policy.BalancerOptions{
				Always: always, DataCentres: m.dataCentres, Clock: modelClock{m: m}, Random: m.rnd.Float64,
				Slots: func(samphirepass.Service) (n policy.SlotCount) {
					for _, l := range m.leaves {
						n.All += m.slots
						if l.dc == dc {
							n.Near += m.slots
						}
					}
					return n
				},
				OnChoice: func(r policy.ChoiceReason) {
					if m.reasons != nil {
						m.reasons[r]++
					}
				},
			})
		}
	}
	return map[string]modelStrategy{
		"least-cost":         {chooser: leastCost},
		"power-of-two":       {chooser: fixed(policy.PowerOfTwoChooser{})},
		"random":             {chooser: fixed(policy.RandomChooser{})},
		"least-cost-shared":  {chooser: leastCost, shared: true},
		"least-cost-subset4": {chooser: leastCost, subset: 4},
		"join-idle":          {chooser: func(m *model) samphirepass.Chooser { return idleChooser{m.rnd} }},
		"speed-all":          {chooser: func(m *model) samphirepass.Chooser { return weightedChooser{m.rnd, false} }},
		"speed-local":        {chooser: func(m *model) samphirepass.Chooser { return weightedChooser{m.rnd, true} }},
		"oracle":             {chooser: leastCost, oracle: true},
		"balanced-no-share":  {chooser: func(m *model) samphirepass.Chooser { return policy.BalancedChooser{Random: m.rnd.Float64} }},
		"balanced":           {chooser: balancer(true)},
		"balanced-subset4":   {chooser: balancer(true), subset: 4, nearFirst: true},
		"least-cost-near4":   {chooser: leastCost, subset: 4, nearFirst: true},
		"balanced-auto":      {chooser: balancer(false)},
		"balanced-shared":    {shared: true, chooser: balancer(true)},
	}
}

// modelClock tells the time in a model.
type modelClock struct {
	samphirepass.Clock
	m *model
}

func (c modelClock) Now() samphirepass.Millis { return samphirepass.Millis(c.m.now) }

var (
	modelTables = flag.Bool("balancing-tables", false, "print the tables of docs/design/balancing.md")
	modelOnly   = flag.String("balancing-only", "", "the chooser to print, all if left out")
)

// TestBalancingTables prints the figures of docs/design/balancing.md, those of one kind of service with -run TestBalancingTables/KIND.
func TestBalancingTables(t *testing.T) {
	if !*modelTables {
		t.Skip("prints tables only, with -balancing-tables")
	}
	kinds := map[string]func(choosers int, ageMs float64) modelCase{
		"uneven": unevenLeaves, "busy": busyLeaves, "alike": alikeLeaves, "shard": shardLeaves, "steady": steadyLeaves,
	}
	strategies := modelStrategies()
	names := slices.Sorted(maps.Keys(strategies))
	for kind, f := range kinds {
		t.Run(kind, func(*testing.T) {
			for _, n := range []int{1, 10, 100, 300} {
				for _, age := range []float64{10, 200, 2000} {
					c := f(n, age)
					fmt.Printf("\n%s: %g/s, N=%d, d=%g ms\n", kind, c.perSecond, n, age)
					for _, name := range names {
						if *modelOnly != "" && name != *modelOnly {
							continue
						}
						r := meanResult(c, strategies[name], 3)
						fmt.Printf("| %-18s | %.2f | %.2f | %.2f | %.2f | %.0f | %.0f | %.0f | %.4f | %.3f |\n",
							name, r.busiest, r.work, r.present, r.sent, r.waitP99, r.latencyP99, r.latencyMean, r.refused, r.remote)
					}
				}
			}
		})
	}
}

// meanResult returns the means over seeds 1 to n.
func meanResult(c modelCase, s modelStrategy, n int) modelResult {
	var sum modelResult
	for seed := range n {
		r := runModel(c, s, uint64(seed+1))
		sum.busiest += r.busiest / float64(n)
		sum.work += r.work / float64(n)
		sum.present += r.present / float64(n)
		sum.sent += r.sent / float64(n)
		sum.waitP99 += r.waitP99 / float64(n)
		sum.latencyP99 += r.latencyP99 / float64(n)
		sum.latencyMean += r.latencyMean / float64(n)
		sum.refused += r.refused / float64(n)
		sum.remote += r.remote / float64(n)
	}
	return sum
}
