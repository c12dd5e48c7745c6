package leaf

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"samphirepass"
)

const (
	// silenceFactor times the mean latency of a leaf is the wait after which its connections are doubted.
	silenceLatencyFactor                     = 4
	silenceMinMs         samphirepass.Millis = 30
	silenceMaxMs         samphirepass.Millis = 1000
	// siblingTimeoutMs is the time in which an idle connection must answer a probe.
	siblingTimeoutMs samphirepass.Millis = 100
)

// errSilent is the cause of giving up an attempt whose connection has gone silent.
var errSilent = eris.New("the connection has gone silent")

// watchSilence gives an attempt on a kept connection up if it is late and another kept connection of the leaf is dead.
// A slow request alone does not tell: HTTP/1.1 cannot ask on a connection that is in use, but it can on an idle one.
func (s *Sender) watchSilence(ctx context.Context, cancel context.CancelCauseFunc, t *target) *time.Timer {
	began := s.clock.Now()
	wait := min(max(silenceLatencyFactor*t.currentMeanLatency(), silenceMinMs), silenceMaxMs)
	return time.AfterFunc(wait.Duration(), func() {
		if s.siblingDead(ctx, t, began) {
			cancel(errSilent)
		}
	})
}

// siblingDead probes an idle connection without an answer since the given time, and reports whether it is dead.
func (s *Sender) siblingDead(ctx context.Context, t *target, since samphirepass.Millis) bool {
	pc := t.conns.acquireStale(since, 0)
	if pc == nil {
		return false
	}
	defer t.conns.release(pc)
	if pc.answeredAtMs == 0 {
		return false
	}
	probe, cancel := context.WithTimeout(ctx, siblingTimeoutMs.Duration())
	defer cancel()
	if err := probeConn(probe, s.protocol, t, pc); err != nil {
		pc.failedAtMs = s.clock.Now()
		// An attempt that has ended in the meantime says nothing of the connection.
		return ctx.Err() == nil
	}
	pc.answeredAtMs = s.clock.Now()
	return false
}
