package gateway_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/gateway"
	"samphirepass/leaf"
	"samphirepass/metrics"
)

// waitingDeliverer waits until the request ends or, if it is not sent, until nothing more is sent.
type waitingDeliverer struct{ sent bool }

func (w waitingDeliverer) Deliver(ctx context.Context, d leaf.Delivery) leaf.DeliveryResult {
	result := leaf.DeliveryResult{Replies: make([]*samphirepass.Reply, len(d.Shards)), RequiredShards: d.RequiredShards(), MaybeRun: w.sent}
	if w.sent {
		<-ctx.Done()
		return result
	}
	select {
	case <-d.SendsEnd:
		result.SendsEnded = true
	case <-ctx.Done():
	}
	return result
}

func (waitingDeliverer) Covered(shards []samphirepass.Service) int { return len(shards) }

// bubbleClock is the clock of a synctest bubble, counted from its start.
type bubbleClock struct {
	samphirepass.SystemClock
	started time.Time
}

func (c bubbleClock) Now() samphirepass.Millis { return samphirepass.MillisOf(time.Since(c.started)) }

// TestEndingAnswersRequests guards against requests that are in flight at the end of the process and get no answer, or a wrong one.
func TestEndingAnswersRequests(t *testing.T) {
	tests := map[string]struct {
		d waitingDeliverer
		// begun makes the end begin before the request arrives.
		begun  bool
		code   samphirepass.Code
		notRun bool
		// after is the time from the beginning of the end to the answer, in ms.
		after float64
	}{
		"not sent":                {d: waitingDeliverer{}, code: samphirepass.CodeStopping, notRun: true, after: 240},
		"sent":                    {d: waitingDeliverer{sent: true}, code: samphirepass.CodeOutcomeUnknown, after: 300},
		"not sent, arrives later": {d: waitingDeliverer{}, begun: true, code: samphirepass.CodeStopping, notRun: true, after: 240},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := bubbleClock{started: time.Now()}
				ending := gateway.NewEnding(clock)
				d := gateway.NewDispatcher(gateway.Options{Deliverer: tt.d, Ending: ending, Metrics: metrics.NewMetrics(), Clock: clock})
				route := singleRoute
				route.TimeoutMs = 5000
				d.ApplyRouting(samphirepass.Routing{Version: 1, Routes: []samphirepass.Route{route}})
				r := request("/s/1")
				r.DeadlineMs = 5000
				pause := 100 * time.Millisecond
				if tt.begun {
					r.DeadlineMs, pause = 280, 0
					ending.Begin(300)
				} else {
					time.AfterFunc(pause, func() { ending.Begin(300) })
				}
				began := time.Now().Add(pause)
				_, err := d.Dispatch(t.Context(), r)
				refusal := samphirepass.AsRefusal(err)
				require.NotNil(t, refusal)
				require.Equal(t, tt.code, refusal.Code)
				require.Equal(t, tt.notRun, refusal.NotRun)
				require.InDelta(t, tt.after, float64(samphirepass.MillisOf(time.Since(began))), 1)
				if tt.notRun {
					require.Equal(t, samphirepass.Millis(1), refusal.RetryAfterMs)
				}
			})
		})
	}
}
