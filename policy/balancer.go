package policy

import (
	"math"
	"sync"

	"samphirepass"
)

const (
	// checkIntervalMs is the interval at which a service's leaves are compared.
	checkIntervalMs samphirepass.Millis = 1000
	// checksOn and checksOff are the numbers of consecutive checks after which a service is switched on and off. It is off only after half a
	// minute, as leaves that get even load differ less.
	checksOn, checksOff = 2, 30
	// minAnswersCompared is the number of answers of each of two leaves below which these are not compared.
	minAnswersCompared = 8
	// speedRatioOn is the ratio of the usual latencies of two leaves from which their speeds differ, speedRatioOff the one below which they
	// are alike again.
	speedRatioOn, speedRatioOff = 1.25, 1.1
	// minErrors is by how many standard errors two usual latencies must differ: of the 45 pairs of 10 alike leaves, one differs by 3 in
	// every tenth check, by 4 in every four-hundredth.
	minErrors = 4
	// busyShareOn is the share of answers with all slots occupied from which leaves are short of capacity, busyShareOff the one below which
	// they are not any more. The share begins at 0, so a leaf's first such answer makes it 0.05: with a few answers a minute it is all that
	// an entry learns, and services whose leaves are spread evenly over the data centres are not compared by it.
	busyShareOn, busyShareOff = 0.02, 0.005
	// minBusyAnswers is the number of answers below which leaves do not count as short of capacity.
	minBusyAnswers = 4
	// demandFastMs and demandSlowMs are the time constants of the two means whose ratio says how unusual the demand is.
	demandFastMs samphirepass.Millis = 1000
	demandSlowMs samphirepass.Millis = 30_000
	// demandPrior is the number of requests that weigh as much as none observed, so that chance does not look like unusual demand.
	demandPrior = 2
	// maxDemand bounds the ratio of the demand to the usual one.
	maxDemand = 2
	// maxBalancedServices bounds the services with a state of their own; others are chosen as if their leaves were alike.
	maxBalancedServices = 4096
)

// BalancingCause is why a service is switched on or off.
type BalancingCause string

// The causes.
const (
	// CauseSpeeds means that leaves of the service differ in their usual latencies.
	CauseSpeeds BalancingCause = "speeds"
	// CauseShortage means that leaves in the own data centre, which has less than its share, are often occupied.
	CauseShortage BalancingCause = "shortage"
	// CauseAlike means that neither is the case any more.
	CauseAlike BalancingCause = "alike"
)

// BalancingSwitch describes a change of a service between choices by weights and by the previous rules, and the measurements behind it.
type BalancingSwitch struct {
	Service samphirepass.Service
	On      bool
	Cause   BalancingCause
	// Ratio is the greatest ratio of two usual latencies that differ significantly, 1 if none do.
	Ratio float64
	// BusyShare is the share of answers of near leaves with all slots occupied.
	BusyShare float64
	// Answers is the number of answers of all leaves.
	Answers int
}

// BalancerOptions configure a Balancer.
type BalancerOptions struct {
	// Always switches on all services; otherwise each is switched on by what is measured of its leaves.
	Always bool
	// DataCentres is the number of data centres of the deployment, 0 if unknown.
	DataCentres int
	Clock       samphirepass.Clock
	// Slots counts the leaves of a service, of which an entry may use a subset that has those of its own data centre first; nil means that
	// all are candidates.
	Slots func(samphirepass.Service) SlotCount
	// Random returns a number in [0, 1); nil means math/rand.
	Random func() float64
	// OnSwitch is called when a service is switched, OnChoice with the reason of each choice; both may be nil.
	OnSwitch func(BalancingSwitch)
	OnChoice func(ChoiceReason)
}

// Balancer chooses leaves of services whose leaves differ with a BalancedChooser and others with a LeastCostChooser. It is safe for
// concurrent use.
type Balancer struct {
	opts BalancerOptions

	mu       sync.Mutex
	services map[samphirepass.Service]*serviceBalance
}

// serviceBalance is the state of one service.
type serviceBalance struct {
	on        bool
	checkedAt samphirepass.Millis
	// contrary is the number of consecutive checks that speak for the other state.
	contrary int
	demand   demand
	slots    SlotCount
}

// NewBalancer returns a balancer that has not measured anything.
func NewBalancer(opts BalancerOptions) *Balancer {
	return &Balancer{opts: opts, services: map[samphirepass.Service]*serviceBalance{}}
}

// Choose returns the index of a leaf; all candidates serve the same service.
func (b *Balancer) Choose(candidates []samphirepass.Candidate) int {
	i, reason := b.Decide(candidates)
	if b.opts.OnChoice != nil {
		b.opts.OnChoice(reason)
	}
	return i
}

// Decide returns the index of a leaf and why it was chosen.
func (b *Balancer) Decide(candidates []samphirepass.Candidate) (int, ChoiceReason) {
	if len(candidates) == 1 {
		return 0, ReasonOnly
	}
	on, demandRatio, slots := b.update(candidates)
	if !on {
		return LeastCostChooser{Random: b.opts.Random}.Choose(candidates), ReasonAlike
	}
	return BalancedChooser{DataCentres: b.opts.DataCentres, Slots: slots, Demand: demandRatio, Random: b.opts.Random}.Decide(candidates)
}

// Retain drops the state of all services but the given ones, and returns how many of those dropped were on by what was measured.
func (b *Balancer) Retain(known func(samphirepass.Service) bool) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	dropped := 0
	for name, s := range b.services {
		if known(name) {
			continue
		}
		if s.on && !b.opts.Always {
			dropped++
		}
		delete(b.services, name)
	}
	return dropped
}

// update counts a request, checks the service if it is due, and returns whether it is on, the ratio of its demand to the usual one and
// its slots.
func (b *Balancer) update(candidates []samphirepass.Candidate) (on bool, demandRatio float64, slots SlotCount) {
	now := b.opts.Clock.Now()
	var change *BalancingSwitch
	b.mu.Lock()
	s := b.services[candidates[0].Service]
	if s == nil {
		if len(b.services) >= maxBalancedServices {
			b.mu.Unlock()
			return b.opts.Always, 1, SlotCount{}
		}
		s = &serviceBalance{on: b.opts.Always, checkedAt: now, slots: b.countSlots(candidates)}
		b.services[candidates[0].Service] = s
	}
	demandRatio = s.demand.add(now)
	if now-s.checkedAt >= checkIntervalMs {
		s.checkedAt, s.slots = now, b.countSlots(candidates)
		if !b.opts.Always {
			change = s.check(candidates, b.opts.DataCentres)
		}
	}
	on, slots = s.on, s.slots
	b.mu.Unlock()
	if change != nil && b.opts.OnSwitch != nil {
		b.opts.OnSwitch(*change)
	}
	return on, demandRatio, slots
}

// countSlots returns the slots of the service that candidates serve.
func (b *Balancer) countSlots(candidates []samphirepass.Candidate) SlotCount {
	if b.opts.Slots == nil {
		return countSlots(candidates)
	}
	return b.opts.Slots(candidates[0].Service)
}

// check compares the leaves of a service, and returns the change if the service is switched.
func (s *serviceBalance) check(candidates []samphirepass.Candidate, dataCentres int) *BalancingSwitch {
	m := BalancingSwitch{Service: candidates[0].Service, On: !s.on, Cause: CauseAlike, Ratio: speedRatio(candidates)}
	m.BusyShare, m.Answers = busyShare(candidates)
	ratioLimit, busyLimit, checks := speedRatioOn, busyShareOn, checksOn
	if s.on {
		ratioLimit, busyLimit, checks = speedRatioOff, busyShareOff, checksOff
	}
	short := m.BusyShare >= busyLimit && s.slots.missingShare(dataCentres, 1) > 0
	switch {
	case m.Ratio >= ratioLimit:
		m.Cause = CauseSpeeds
	case short:
		m.Cause = CauseShortage
	}
	if (m.Cause != CauseAlike) == s.on {
		s.contrary = 0
		return nil
	}
	if s.contrary++; s.contrary < checks {
		return nil
	}
	s.on, s.contrary = m.On, 0
	return &m
}

// speedRatio returns the greatest ratio of the usual latencies of two leaves that differ significantly, and not for the distance of the
// slower one; 1 if there are none.
func speedRatio(candidates []samphirepass.Candidate) float64 {
	ratio := 1.0
	for i := range candidates {
		for j := range i {
			slow, fast := &candidates[i], &candidates[j]
			if slow.UsualLatencyMs < fast.UsualLatencyMs {
				slow, fast = fast, slow
			}
			// A leaf elsewhere may be slow for the distance only.
			if min(slow.Answers, fast.Answers) < minAnswersCompared || (!slow.SameDataCentre && fast.SameDataCentre) {
				continue
			}
			if float64(slow.UsualLatencyMs-fast.UsualLatencyMs) > minErrors*math.Hypot(float64(slow.UsualErrorMs), float64(fast.UsualErrorMs)) {
				ratio = max(ratio, float64(slow.UsualLatencyMs/fast.UsualLatencyMs))
			}
		}
	}
	return ratio
}

// busyShare returns the share of the answers of leaves in the own data centre that report all slots occupied, 0 if there are too few
// answers, and the number of answers of all leaves.
func busyShare(candidates []samphirepass.Candidate) (share float64, answers int) {
	sum, near := 0.0, 0
	for i := range candidates {
		c := &candidates[i]
		answers += c.Answers
		if c.SameDataCentre {
			sum, near = sum+c.BusyShare*float64(c.Answers), near+c.Answers
		}
	}
	if near < minBusyAnswers {
		return 0, answers
	}
	return sum / float64(near), answers
}

// demand measures how much the requests of a service exceed their usual number.
type demand struct {
	fast, slow float64
	at, since  samphirepass.Millis
	started    bool
}

// add counts a request and returns the ratio of the recent demand to the usual one.
func (d *demand) add(now samphirepass.Millis) float64 {
	if !d.started {
		d.started, d.at, d.since = true, now, now
	}
	passed := now - d.at
	d.fast *= math.Exp(-float64(passed / demandFastMs))
	d.slow *= math.Exp(-float64(passed / demandSlowMs))
	d.at = now
	// Until a mean has run for its time constant, it holds the requests of a shorter time.
	held := func(span samphirepass.Millis) float64 {
		return float64(span) * (1 - math.Exp(-float64((now-d.since)/span)))
	}
	usual := d.slow * held(demandFastMs) / max(held(demandSlowMs), 1)
	// The request itself does not count, as there always is one.
	ratio := min((d.fast+demandPrior)/(usual+demandPrior), maxDemand)
	d.fast++
	d.slow++
	return ratio
}
