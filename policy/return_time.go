package policy

import (
	"math"
	"math/rand/v2"
	"sync"

	"samphirepass"
)

const (
	// minReturnMs and maxReturnMs bound the time after which refused clients may return. The latter is what a person waits for a page.
	minReturnMs samphirepass.Millis = 500
	maxReturnMs samphirepass.Millis = 10_000
	// returnDecayMs is the time constant of the rates from which the time is worked out.
	returnDecayMs samphirepass.Millis = 5000
)

// ReturnTime works out when clients may return that were refused for lack of capacity, such that about as many return as can be served: the
// clients that wait to return are, by Little's law, the rate of refusals times the time that they wait. It is safe for concurrent use.
type ReturnTime struct {
	mu sync.Mutex
	at samphirepass.Millis
	// admitted is the decaying number of admitted requests, away the decaying sum of the times given to refused ones, in milliseconds.
	admitted, away float64
	// mean is the mean time given now. It follows the rates with a delay, as they mean little at the begin of an overload.
	mean samphirepass.Millis
}

// Admit records an admitted request.
func (r *ReturnTime) Admit(now samphirepass.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decayLocked(now)
	r.admitted++
}

// Refuse records a refused request and returns the time after which its client may return.
func (r *ReturnTime) Refuse(now samphirepass.Millis) samphirepass.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decayLocked(now)
	// Spread, so that those refused together do not return together.
	after := r.mean * samphirepass.Millis(0.75+0.5*rand.Float64())
	r.away += float64(after)
	return after
}

func (r *ReturnTime) decayLocked(now samphirepass.Millis) {
	f := math.Exp(-float64(max(now-r.at, 0) / returnDecayMs))
	r.at = max(now, r.at)
	balanced := samphirepass.Millis(r.away / max(r.admitted, 1))
	r.mean = min(max(r.mean*samphirepass.Millis(f)+balanced*samphirepass.Millis(1-f), minReturnMs), maxReturnMs)
	r.admitted *= f
	r.away *= f
}
