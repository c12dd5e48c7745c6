package daemon

import (
	"sync"

	"samphirepass"
)

// routingRelay holds the newest routing document and evacuations that a registrar without a data folder got from the others, so that the
// gateways of its data centre need not follow a registrar elsewhere. It is safe for concurrent use.
type routingRelay struct {
	mu       sync.Mutex
	document samphirepass.RoutingDocument
	// evacuations is nil until it has any, also if none were ordered.
	evacuations *samphirepass.Evacuations
	// next is closed when a newer document or newer evacuations arrive.
	next chan struct{}
}

func newRoutingRelay() *routingRelay {
	return &routingRelay{next: make(chan struct{})}
}

// set replaces the document by a newer one.
func (r *routingRelay) set(d samphirepass.RoutingDocument) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.Version <= r.document.Version {
		return
	}
	r.document = d
	r.wakeLocked()
}

// setEvacuations replaces the evacuations by newer ones.
func (r *routingRelay) setEvacuations(e samphirepass.Evacuations) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.evacuations != nil && e.Revision <= r.evacuations.Revision {
		return
	}
	r.evacuations = &e
	r.wakeLocked()
}

// wakeLocked wakes the waiters for a change.
func (r *routingRelay) wakeLocked() {
	close(r.next)
	r.next = make(chan struct{})
}

func (r *routingRelay) get() samphirepass.RoutingDocument {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.document
}

func (r *routingRelay) getEvacuations() *samphirepass.Evacuations {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.evacuations
}

func (r *routingRelay) changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.next
}
