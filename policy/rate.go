package policy

import (
	"math"

	"samphirepass"
)

// DecayingRate is the moving average of the share of attempts on a leaf that ended in one way, which decays with time, so that the leaf
// is tried again. Its users lock it.
type DecayingRate struct {
	// Weight is the weight of a new attempt.
	Weight float64
	// DecayMs is the time after which 1/e of the rate is left.
	DecayMs samphirepass.Millis

	rate      float64
	updatedAt samphirepass.Millis
}

// Add adds an attempt that ended in this way, or in another one.
func (r *DecayingRate) Add(now samphirepass.Millis, happened bool) {
	rate, value := r.Value(now), 0.0
	if happened {
		value = 1
	}
	r.rate, r.updatedAt = rate+(value-rate)*r.Weight, now
}

// Value returns the rate, from 0 to 1.
func (r *DecayingRate) Value(now samphirepass.Millis) float64 {
	if r.rate == 0 {
		return 0
	}
	return r.rate * math.Exp(-float64((now-r.updatedAt)/r.DecayMs))
}
