package leaf_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/leaf"
)

// steppingClock is the clock of a synctest bubble, which can be stepped.
type steppingClock struct {
	started                           time.Time
	monotonicStep, wallStep, bootStep atomic.Int64
}

func (c *steppingClock) Boot() samphirepass.Millis {
	return samphirepass.MillisOf(time.Since(c.started)) + samphirepass.Millis(c.bootStep.Load())
}

func (c *steppingClock) Now() samphirepass.Millis {
	return samphirepass.MillisOf(time.Since(c.started)) + samphirepass.Millis(c.monotonicStep.Load())
}

func (c *steppingClock) Wall() samphirepass.Millis {
	return samphirepass.MillisOf(time.Since(c.started)) + 1e12 + samphirepass.Millis(c.wallStep.Load())
}

// TestProofResumedProcessAsksFirst guards against attempts that a process sends after a freeze before it knows what was ordered meanwhile, and
// against attempts that are held back without need or for long.
func TestProofResumedProcessAsksFirst(t *testing.T) {
	const never = time.Hour
	tests := map[string]struct {
		monotonic, wall, boot int64
		// answers is the time that the sources take to answer.
		answers time.Duration
		want    time.Duration
	}{
		"no freeze":                             {0, 0, 0, never, 0},
		"a short freeze":                        {2500, 2500, 2500, never, 0},
		"a long freeze":                         {6000, 6000, 6000, 20 * time.Millisecond, 20 * time.Millisecond},
		"a suspended VM":                        {0, 6000, 6000, 20 * time.Millisecond, 20 * time.Millisecond},
		"a long freeze, the wall clock is back": {6000, -6000, 6000, 20 * time.Millisecond, 20 * time.Millisecond},
		"the wall clock steps back":             {0, -6000, 0, never, 0},
		"the wall clock steps forward":          {0, 6000, 0, never, 0},
		"no source answers":                     {6000, 6000, 6000, never, 300 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := &steppingClock{started: time.Now()}
				var asked atomic.Int64
				guard := leaf.NewResumeGuard(clock, func(ctx context.Context) {
					asked.Add(1)
					select {
					case <-time.After(tt.answers):
					case <-ctx.Done():
					}
				})
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = guard.Serve(ctx) }()
				time.Sleep(10*time.Second + time.Millisecond)
				// Two freezes in a row are noticed, the second one also before the next tick.
				for i := range 2 {
					clock.monotonicStep.Add(tt.monotonic)
					clock.wallStep.Add(tt.wall)
					clock.bootStep.Add(tt.boot)
					began := time.Now()
					done := make(chan struct{})
					for range 3 {
						go func() {
							guard.Wait(ctx, &samphirepass.SendPermit{})
							done <- struct{}{}
						}()
					}
					for range 3 {
						<-done
					}
					require.Equal(t, tt.want, time.Since(began))
					if tt.want > 0 {
						require.EqualValues(t, i+1, asked.Load(), "all attempts wait for one answer")
						continue
					}
					// Two short freezes without a tick between them are a long one.
					time.Sleep(300 * time.Millisecond)
				}
				if tt.want == 0 {
					require.Zero(t, asked.Load())
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestHeldAttemptIsWithdrawn guards against a request that has ended and whose attempt is held back.
func TestHeldAttemptIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := &steppingClock{started: time.Now()}
		guard := leaf.NewResumeGuard(clock, func(ctx context.Context) { <-ctx.Done() })
		clock.monotonicStep.Add(6000)
		permit := &samphirepass.SendPermit{}
		time.AfterFunc(50*time.Millisecond, func() { permit.Withdraw() })
		began := time.Now()
		guard.Wait(t.Context(), permit)
		require.Equal(t, 50*time.Millisecond, time.Since(began))
		time.Sleep(time.Second)
	})
}
