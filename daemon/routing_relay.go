package daemon

import (
	"sync"

	"samphirepass"
)

// routingRelay holds the newest routing document that a registrar without a data folder got from the others, so that the gateways of
// its data centre need not follow a registrar elsewhere. It is safe for concurrent use.
type routingRelay struct {
	mu       sync.Mutex
	document samphirepass.RoutingDocument
	// next is closed when a newer document arrives.
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
	close(r.next)
	r.next = make(chan struct{})
}

func (r *routingRelay) get() samphirepass.RoutingDocument {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.document
}

func (r *routingRelay) changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.next
}
