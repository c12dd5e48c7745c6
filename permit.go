package samphirepass

import "sync"

// SendPermit decides whether an attempt is sent or withdrawn: whichever comes first excludes the other. Its zero value permits the
// attempt, and it is safe for concurrent use.
type SendPermit struct {
	// ColdLimit is the limit of a cold leaf that the attempt has been counted in, empty if there is none. It is set before the permit is used.
	ColdLimit LimitKey

	mu sync.Mutex
	// used is set once the attempt may have been sent, withdrawn once it never will be.
	used, withdrawn bool
	// waiting is closed when the attempt is withdrawn; it is nil while nobody waits for that.
	waiting chan struct{}
}

// Use reports whether the attempt may be sent; a sender calls it before it writes the first byte.
func (p *SendPermit) Use() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used = p.used || !p.withdrawn
	return p.used
}

// Withdraw keeps the attempt from being sent, and reports whether no byte of it was or will be.
func (p *SendPermit) Withdraw() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.used || p.withdrawn {
		return p.withdrawn
	}
	p.withdrawn = true
	if p.waiting != nil {
		close(p.waiting)
	}
	return true
}

// Withdrawn returns a channel that is closed when the attempt is withdrawn.
func (p *SendPermit) Withdrawn() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting == nil {
		p.waiting = make(chan struct{})
		if p.withdrawn {
			close(p.waiting)
		}
	}
	return p.waiting
}
