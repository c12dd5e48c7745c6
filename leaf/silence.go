package leaf

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"samphirepass"
)

const (
	// silenceLatencyFactor times the mean latency of a leaf, within silenceMinMs and silenceMaxMs, is the wait for an answer
	// after which another connection to the leaf is probed.
	silenceLatencyFactor                     = 4
	silenceMinMs         samphirepass.Millis = 30
	silenceMaxMs         samphirepass.Millis = 1000
	// silenceProbeTimeoutMs is the time within which an idle connection must answer the probe; a request waits meanwhile.
	silenceProbeTimeoutMs samphirepass.Millis = 100
)

// errSilent is the cause of cancelling an attempt whose connection seems dead.
var errSilent = eris.New("no answer, and another connection to the leaf failed a probe")

// watchSilence cancels an attempt on a reused connection if it is late and an idle connection to the same leaf is dead.
// A slow request alone is no proof, and HTTP/1.1 cannot probe a connection in use, only an idle one.
func (s *Sender) watchSilence(ctx context.Context, cancel context.CancelCauseFunc, t *target, dc samphirepass.DataCentre) *time.Timer {
	began := s.clock.Now()
	wait := min(max(silenceLatencyFactor*t.currentMeanLatency(), silenceMinMs), silenceMaxMs)
	return time.AfterFunc(wait.Duration(), func() {
		if !s.pool.evacuations.isEvacuated(dc) && s.idleConnDead(ctx, t, began) {
			cancel(errSilent)
		}
	})
}

// idleConnDead probes an idle connection that has had no answer since the given time, and reports whether it is dead.
func (s *Sender) idleConnDead(ctx context.Context, t *target, since samphirepass.Millis) bool {
	pc := t.conns.acquireStale(since, 0)
	if pc == nil {
		return false
	}
	defer t.conns.release(pc)
	if pc.answeredAtMs == 0 {
		return false
	}
	probeCtx, cancel := context.WithTimeout(ctx, silenceProbeTimeoutMs.Duration())
	defer cancel()
	if err := probeConn(probeCtx, s.protocol, t, pc); err != nil {
		pc.failedAtMs = s.clock.Now()
		// If the attempt has ended in the meantime, the probe was cancelled and proves nothing.
		return ctx.Err() == nil
	}
	pc.answeredAtMs = s.clock.Now()
	return false
}
