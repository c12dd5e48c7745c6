package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"samphirepass"
	"samphirepass/leaf"
)

// defaultLastSendMs is the time before the end of the process at which the last attempts of a request are sent, if its route declares no
// latency target.
const defaultLastSendMs samphirepass.Millis = 500

// errEnding is the cancellation cause of requests that are in flight when the process ends.
var errEnding = eris.New("the process ends")

// Ending announces the end of the process to the requests in flight; it is safe for concurrent use.
type Ending struct {
	clock samphirepass.Clock
	// cutAt is when the requests in flight are cut, in milliseconds of clock.
	cutAt atomic.Int64
	// begun ends when cutAt is known.
	begun context.Context
	begin context.CancelFunc
}

// NewEnding returns an Ending that has not begun.
func NewEnding(clock samphirepass.Clock) *Ending {
	e := &Ending{clock: clock}
	e.begun, e.begin = context.WithCancel(context.Background())
	return e
}

// Begin announces that the requests in flight are cut after left.
func (e *Ending) Begin(left samphirepass.Millis) {
	e.cutAt.Store(int64(e.clock.Now() + left))
	e.begin()
}

// CutIn returns the time until the requests in flight are cut, and reports whether the end has begun.
func (e *Ending) CutIn() (samphirepass.Millis, bool) {
	if e.begun.Err() == nil {
		return 0, false
	}
	return samphirepass.Millis(e.cutAt.Load()) - e.clock.Now(), true
}

// bound lets delivery end with the process: what has not reached a leaf in time for an answer is not sent any more, so that the client
// hears that it has not run, and the returned context is cancelled with errEnding while there is still time to answer. The caller must
// call the returned function.
func (e *Ending) bound(ctx context.Context, delivery *leaf.Delivery) (context.Context, context.CancelFunc) {
	ctx, cut := context.WithCancelCause(ctx)
	sendsEnd, endSends := context.WithCancel(context.Background())
	delivery.SendsEnd = sendsEnd.Done()
	lastSend := delivery.Route.LatencyTargetMs
	if lastSend <= 0 {
		lastSend = defaultLastSendMs
	}
	stop := context.AfterFunc(e.begun, func() {
		left, _ := e.CutIn()
		last := time.AfterFunc((left - lastSend).Duration(), endSends)
		end := time.AfterFunc(left.Duration(), func() { cut(errEnding) })
		context.AfterFunc(ctx, func() {
			last.Stop()
			end.Stop()
		})
	})
	return ctx, func() {
		stop()
		cut(nil)
		endSends()
	}
}
