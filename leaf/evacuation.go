package leaf

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"samphirepass"
)

// errEvacuated means that an attempt was not sent because the data centre of its leaf is evacuated.
var errEvacuated = eris.New("the data centre of the leaf is evacuated")

// evacuationState is one set of evacuated data centres; it is immutable.
type evacuationState struct {
	samphirepass.Evacuations
	// replaced is closed when another state takes the place of this one.
	replaced chan struct{}
}

// contains reports whether a data centre is evacuated.
func (s *evacuationState) contains(dc samphirepass.DataCentre) bool {
	return slices.Contains(s.DataCentres, dc)
}

// evacuationGate holds the newest known evacuations. Attempts read it without a lock.
type evacuationGate struct {
	state atomic.Pointer[evacuationState]
	// mu serializes changes.
	mu sync.Mutex
}

func newEvacuationGate() *evacuationGate {
	g := &evacuationGate{}
	g.state.Store(&evacuationState{replaced: make(chan struct{})})
	return g
}

// set puts e in force unless the state in force is as new, and reports whether it did.
func (g *evacuationGate) set(e samphirepass.Evacuations) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	previous := g.state.Load()
	if e.Revision <= previous.Revision {
		return false
	}
	e.DataCentres = slices.Clone(e.DataCentres)
	g.state.Store(&evacuationState{Evacuations: e, replaced: make(chan struct{})})
	close(previous.replaced)
	return true
}

// isEvacuated reports whether the leaves of a data centre get no requests.
func (g *evacuationGate) isEvacuated(dc samphirepass.DataCentre) bool {
	return g.state.Load().contains(dc)
}

// SetEvacuations excludes the leaves of the evacuated data centres from Serving and Usable, unless it knows evacuations that are as new. It
// reports whether they are now in force.
func (r *Registry) SetEvacuations(e samphirepass.Evacuations) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.evacuations.set(e) {
		return false
	}
	// What is derived from the usable leaves, such as connection shares and the collectors of shards, is cached by version.
	r.incrementVersionLocked()
	return true
}

// Evacuations returns the evacuations in force; its slice must not be changed.
func (r *Registry) Evacuations() samphirepass.Evacuations {
	return r.evacuations.state.Load().Evacuations
}

// Evacuated reports whether the leaves of a data centre get no requests.
func (r *Registry) Evacuated(dc samphirepass.DataCentre) bool {
	return r.evacuations.isEvacuated(dc)
}

// Uncovered returns the services that have serving leaves in the given data centres and none elsewhere, sorted. A leaf without a heartbeat
// for SilentMs does not count as serving.
func (r *Registry) Uncovered(dataCentres []samphirepass.DataCentre) []samphirepass.Service {
	if len(dataCentres) == 0 {
		return nil
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	now := r.clock.Now()
	covered := map[samphirepass.Service]bool{}
	for _, reg := range r.leaves {
		if reg.State == samphirepass.LeafServing && now-reg.LastSeenMs <= SilentMs {
			covered[reg.Service] = covered[reg.Service] || !slices.Contains(dataCentres, reg.DataCentre)
		}
	}
	var uncovered []samphirepass.Service
	for s, elsewhere := range covered {
		if !elsewhere {
			uncovered = append(uncovered, s)
		}
	}
	slices.Sort(uncovered)
	return uncovered
}

// SetEvacuations withdraws the attempts on leaves of the evacuated data centres that have not been sent, and keeps further ones from being
// sent, unless the pool knows evacuations that are as new.
func (p *Pool) SetEvacuations(e samphirepass.Evacuations) {
	p.evacuations.set(e)
}
