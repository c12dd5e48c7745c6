package leaf

import (
	"context"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"samphirepass"
)

const (
	// frozenAfterMs is the time without a tick after which the process counts as having been frozen. An order that was acknowledged meanwhile
	// must be in force 5 s later, so a shorter time leaves the usual way of news enough.
	frozenAfterMs samphirepass.Millis = 3000
	// resumeTickMs is the interval between ticks.
	resumeTickMs samphirepass.Millis = 250
	// maxResumeHoldMs bounds how long attempts are held back: a process that is partitioned goes on with what it knows.
	maxResumeHoldMs samphirepass.Millis = 300
)

// ResumeClock are the clocks that tell a freeze, a suspended VM and a step of the wall clock apart.
type ResumeClock interface {
	samphirepass.Clock
	samphirepass.BootClock
}

// ResumeGuard holds attempts back after the process was frozen or its VM suspended, until it has asked for the evacuations ordered meanwhile.
// The monotonic clock does not advance while a VM is suspended. The wall clock shows that, and a system call confirms that it has not been
// stepped: it would cost too much for each attempt.
type ResumeGuard struct {
	clock ResumeClock
	// refresh returns once the process knows the present evacuations, or its context ends.
	refresh func(context.Context)

	// lastTick, lastWall and lastBoot are the times of the last tick, as the bits of floating-point numbers.
	lastTick, lastWall, lastBoot atomic.Uint64
	// held is closed when attempts may be sent; it is nil while they may.
	held atomic.Pointer[chan struct{}]
	mu   sync.Mutex
}

// NewResumeGuard returns a guard that calls refresh when the process has resumed.
func NewResumeGuard(clock ResumeClock, refresh func(context.Context)) *ResumeGuard {
	g := &ResumeGuard{clock: clock, refresh: refresh}
	g.tick(clock.Now(), clock.Wall())
	return g
}

// Serve ticks until ctx ends.
func (g *ResumeGuard) Serve(ctx context.Context) error {
	t := time.NewTicker(resumeTickMs.Duration())
	defer t.Stop()
	for {
		select {
		case <-t.C:
			g.check(true)
		case <-ctx.Done():
			return fmt.Errorf("watch for freezes: %w", ctx.Err())
		}
	}
}

func (g *ResumeGuard) tick(now, wall samphirepass.Millis) {
	g.lastTick.Store(math.Float64bits(float64(now)))
	g.lastWall.Store(math.Float64bits(float64(wall)))
	g.lastBoot.Store(math.Float64bits(float64(g.clock.Boot())))
}

// wasFrozen reports whether the last tick is too long ago.
func (g *ResumeGuard) wasFrozen(now, wall samphirepass.Millis) bool {
	lastTick, lastWall := math.Float64frombits(g.lastTick.Load()), math.Float64frombits(g.lastWall.Load())
	if now-samphirepass.Millis(lastTick) > frozenAfterMs {
		return true
	}
	return wall-samphirepass.Millis(lastWall) > frozenAfterMs && g.clock.Boot()-samphirepass.Millis(math.Float64frombits(g.lastBoot.Load())) > frozenAfterMs
}

// check returns a channel that is closed when attempts may be sent, nil if they may be now. It notes the time if ticks is set.
func (g *ResumeGuard) check(ticks bool) <-chan struct{} {
	now, wall := g.clock.Now(), g.clock.Wall()
	if g.wasFrozen(now, wall) {
		g.hold(now, wall)
	} else if ticks {
		g.tick(now, wall)
	} else if wall-samphirepass.Millis(math.Float64frombits(g.lastWall.Load())) > frozenAfterMs {
		// The wall clock was stepped; the next attempts need not find that out again.
		g.lastWall.Store(math.Float64bits(float64(wall)))
	}
	if held := g.held.Load(); held != nil {
		return *held
	}
	return nil
}

// hold holds attempts back until refresh has returned, or for maxResumeHoldMs.
func (g *ResumeGuard) hold(now, wall samphirepass.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.wasFrozen(now, wall) {
		return
	}
	held := make(chan struct{})
	// Whoever sees the new tick must see that attempts are held back.
	g.held.Store(&held)
	g.tick(now, wall)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), maxResumeHoldMs.Duration())
		defer cancel()
		g.refresh(ctx)
		g.held.CompareAndSwap(&held, nil)
		close(held)
	}()
}

// Wait returns once an attempt may be sent, is withdrawn or ctx ends.
func (g *ResumeGuard) Wait(ctx context.Context, permit *samphirepass.SendPermit) {
	for held := g.check(false); held != nil; held = g.check(false) {
		var withdrawn <-chan struct{}
		if permit != nil {
			withdrawn = permit.Withdrawn()
		}
		select {
		case <-held:
		case <-withdrawn:
			return
		case <-ctx.Done():
			return
		}
	}
}
