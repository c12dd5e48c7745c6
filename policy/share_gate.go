package policy

import (
	"math"
	"sync"

	"samphirepass"
)

const (
	// gateDecayMs is the time constant with which the use that ShareGate compares is forgotten. A gateway of 84 sees about one request a second.
	gateDecayMs samphirepass.Millis = 5000
	// gateLoadDecayMs is the time constant of the mean of reported loads.
	gateLoadDecayMs samphirepass.Millis = 700
	// gateTargetLoad is the mean load of leaves, running and waiting requests for each slot, that the gate aims at. With 3, 84 gateways
	// serve the others 0.88 in place of 0.93 times as often in a flood, and usual load 0.95 in place of 0.92 times.
	gateTargetLoad = 2
	// gateGain is the rate at which levels change, by a factor of e in a second at twice the target. With 3 and 8 the level swings more.
	gateGain = 1
	// minGateLevel is the lowest level, at which an account is served once in gateDecayMs.
	minGateLevel = 0.3
	// minLoadReports is the weight of reports below which their mean counts for less.
	minLoadReports = 0.3
)

// ShareGate decides at a gateway which accounts' requests are sent while the leaves report that requests queue there, in the order of coming.
// It bounds the recent use of each account by a level, the same for all accounts of a rank, which falls while leaves are overloaded, for the
// lowest rank first, and rises again, for the highest rank first. It is safe for concurrent use.
type ShareGate struct {
	mu  sync.Mutex
	use *AccountUse
	// levels holds the level of each rank in force, in requests of gateDecayMs; a rank without one is not bounded.
	levels map[int]float64
	// largest holds the largest recent use of an account in each rank.
	largest map[int]*decayingSum
	loads   decayingSum
	reports decayingSum
	at      samphirepass.Millis
}

// decayingSum is a sum whose parts decay with time.
type decayingSum struct {
	value float64
	at    samphirepass.Millis
}

func (d *decayingSum) decay(now, constant samphirepass.Millis) float64 {
	d.value *= math.Exp(-float64(max(now-d.at, 0) / constant))
	d.at = now
	return d.value
}

// NewShareGate returns a gate that lets all requests pass.
func NewShareGate() *ShareGate {
	return &ShareGate{use: newAccountUse(gateDecayMs), levels: map[int]float64{}, largest: map[int]*decayingSum{}}
}

// Observe records the load that a leaf reported with an answer.
func (g *ShareGate) Observe(now samphirepass.Millis, load float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loads.decay(now, gateLoadDecayMs)
	g.reports.decay(now, gateLoadDecayMs)
	g.loads.value += load
	g.reports.value++
}

// Admit reports whether a request may be sent, and counts it to its account's use if so.
func (g *ShareGate) Admit(now samphirepass.Millis, account samphirepass.AccountName, rank int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.adjustLocked(now)
	largest := g.largest[rank]
	if largest == nil {
		largest = &decayingSum{at: now}
		g.largest[rank] = largest
	}
	used := g.use.recentUse(now, account)
	if level, ok := g.levels[rank]; ok && used >= level {
		return false
	}
	g.use.Serve(now, account)
	largest.value = max(largest.decay(now, gateDecayMs), used+1)
	return true
}

// adjustLocked moves the level of one rank by the load that the leaves reported since the last request.
func (g *ShareGate) adjustLocked(now samphirepass.Millis) {
	seconds := min(max(float64(now-g.at)/1000, 0), 1)
	g.at = now
	reports := g.reports.decay(now, gateLoadDecayMs)
	load := g.loads.decay(now, gateLoadDecayMs) / max(reports, minLoadReports)
	excess := load/gateTargetLoad - 1
	if excess > 0 {
		g.lowerLocked(now, math.Exp(-gateGain*seconds*min(excess, 2)))
		return
	}
	g.raiseLocked(now, math.Exp(-gateGain*seconds*excess))
}

// lowerLocked lowers the level of the lowest rank that is not at the least level.
func (g *ShareGate) lowerLocked(now samphirepass.Millis, factor float64) {
	lowest, found := 0, false
	for rank, largest := range g.largest {
		level, bounded := g.levels[rank]
		idle := largest.decay(now, gateDecayMs) < minGateLevel
		if !bounded && idle {
			delete(g.largest, rank)
			continue
		}
		if (!bounded || level > minGateLevel) && (!found || rank > lowest) {
			lowest, found = rank, true
		}
	}
	if !found {
		return
	}
	level, bounded := g.levels[lowest]
	if !bounded {
		level = g.largest[lowest].value + 1
	}
	g.levels[lowest] = max(level*factor, minGateLevel)
}

// raiseLocked raises the level of the highest rank that is bounded. A level far above the use of all its accounts is no longer in force.
func (g *ShareGate) raiseLocked(now samphirepass.Millis, factor float64) {
	highest, found := 0, false
	for rank := range g.levels {
		if !found || rank < highest {
			highest, found = rank, true
		}
	}
	if !found {
		return
	}
	g.levels[highest] *= factor
	if g.levels[highest] > 2*g.largest[highest].decay(now, gateDecayMs)+2 {
		delete(g.levels, highest)
	}
}
