package peer

import (
	"context"

	"samphirepass"
)

// transitWindowMs is the time over which the fastest frame is remembered. It spans several heartbeats, and after a suspension of
// the sender, whose clock then lags behind, frames count as delayed for at most two windows.
const transitWindowMs samphirepass.Millis = 5000

// transitDelay estimates how much longer than the fastest frames of a connection a frame was in transit, queues at both ends included.
// The clocks of the two ends need not be synchronised: only the changes of their difference count.
type transitDelay struct {
	// current and previous are the smallest differences between the clocks in the current window and in the one before it.
	current, previous samphirepass.Millis
	startedAt         samphirepass.Millis
	started           bool
}

// observe returns the delay of a frame, from its time of sending on the sender's clock and that of its receipt on this one.
func (d *transitDelay) observe(sentAt, receivedAt samphirepass.Millis) samphirepass.Millis {
	difference := receivedAt - sentAt
	switch {
	case !d.started:
		d.started, d.startedAt, d.current, d.previous = true, receivedAt, difference, difference
	case receivedAt-d.startedAt > transitWindowMs:
		d.startedAt, d.previous, d.current = receivedAt, d.current, difference
	default:
		d.current = min(d.current, difference)
	}
	return difference - min(d.current, d.previous)
}

// ageKey is the context key of a request's age.
type ageKey struct{}

// Age returns how long ago the request that a handler works on was sent, as far as known, not counting the usual time in transit.
func Age(ctx context.Context) samphirepass.Millis {
	age, _ := ctx.Value(ageKey{}).(samphirepass.Millis)
	return age
}
