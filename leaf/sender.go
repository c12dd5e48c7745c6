package leaf

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"

	"github.com/rotisserie/eris"

	"samphirepass"
)

// crashCheckTimeoutMs bounds the check whether a leaf still listens after a connection broke.
const crashCheckTimeoutMs samphirepass.Millis = 200

// minToldDeadlineFraction is the least fraction of the time left that a leaf is told.
const minToldDeadlineFraction = 0.5

var (
	// errExpired means that the deadline of an attempt passed before it could be sent.
	errExpired = eris.New("the deadline passed before the request was sent")
	// errNotConnected means that no connection to a leaf could be opened.
	errNotConnected = eris.New("not connected")
	// errPaused means that the leaf has asked for a pause since it was chosen.
	errPaused = eris.New("the leaf has asked for a pause")
	// errWithdrawn means that the answer to an attempt was no longer needed before it could be sent.
	errWithdrawn = eris.New("the answer is no longer needed")
)

// Sender sends attempts over the connections of a Pool.
type Sender struct {
	pool     *Pool
	protocol samphirepass.LeafProtocol
	clock    samphirepass.Clock
	limits   answerLimits
	// OnNotice is called with what a leaf said of itself, in each of its answers; it may be nil.
	OnNotice NoticeHandler
	// Resume holds attempts back after a freeze of the process; nil means that nothing does.
	Resume *ResumeGuard
	// Path records what attempts show of the path to leaves; nil means that nothing does.
	Path *PathMonitor
	// canProbe is set if the protocol has a request to check that an idle connection is alive.
	canProbe bool
}

// placeholderAddress is used to ask a protocol whether it has a probe; nothing connects to it.
const placeholderAddress = "127.0.0.1:1"

// NewSender returns a sender that uses the connections of pool and the given protocol.
func NewSender(pool *Pool, protocol samphirepass.LeafProtocol, clock samphirepass.Clock) *Sender {
	probe, err := protocol.Probe(context.Background(), placeholderAddress)
	return &Sender{
		pool: pool, protocol: protocol, clock: clock, canProbe: err == nil && probe != nil,
		limits: answerLimits{body: maxReplyBytes, memory: newReadMemory(maxReadingBytes, clock)},
	}
}

// Send sends one attempt on one connection, once: it neither follows redirects nor repeats a request
// of which a byte was sent.
func (s *Sender) Send(ctx context.Context, to samphirepass.Announcement, a samphirepass.Attempt) (samphirepass.Reply, error) {
	t := s.pool.target(to)
	began := s.clock.Now()
	att := inFlightAttempt{startedAt: began, expected: a.ExpectedMs}
	t.start(att)
	defer t.finish(att)
	reply, err := s.send(ctx, t, to, a, began)
	s.record(ctx, t, att, reply, err)
	return reply, err
}

// record updates the measurements of the leaf. An attempt that ended since no leaf is reached counts for nothing. One does not count as a
// failure of the leaf if the leaf shed it or has asked for a pause, if its data centre is evacuated, if no connection is allowed, if another leaf answers at the address, if it was cancelled other than by ErrSuperseded, or if ctx ended before it was sent.
func (s *Sender) record(ctx context.Context, t *target, att inFlightAttempt, reply samphirepass.Reply, err error) {
	if errors.Is(context.Cause(ctx), samphirepass.ErrNoPath) {
		return
	}
	now := s.clock.Now()
	took := now - att.startedAt
	kind := samphirepass.FailureKind("")
	if failure := (*samphirepass.AttemptError)(nil); errors.As(err, &failure) {
		kind, reply = failure.Kind, failure.Reply
		t.recordFailedLoad(now, reply)
	}
	switch {
	case err == nil:
		t.recordSuccess(now, took, att.expected, reply)
	case kind == samphirepass.FailureShed:
		t.recordShed(now, reply)
	case kind == samphirepass.FailureGone, errors.Is(err, errEvacuated), errors.Is(err, errTurnedCold), errors.Is(err, errPaused), errors.Is(err, errNoConnections):
	case errors.Is(err, errWithdrawn), errors.Is(err, errCrowded):
		t.recordMinLatency(now, took, att.expected)
	case errors.Is(context.Cause(ctx), samphirepass.ErrSuperseded):
		t.recordFailure(now)
		t.recordMinLatency(now, took, att.expected)
	case errors.Is(ctx.Err(), context.Canceled), kind == samphirepass.FailureNotSent && ctx.Err() != nil:
		t.recordMinLatency(now, took, att.expected)
	default:
		t.recordFailure(now)
	}
}

func (s *Sender) send(ctx context.Context, t *target, to samphirepass.Announcement, a samphirepass.Attempt, began samphirepass.Millis) (samphirepass.Reply, error) {
	pc, err := t.conns.acquireFor(ctx, a, s.pool.evacuations, to.DataCentre)
	if err != nil {
		return samphirepass.Reply{}, attemptError(samphirepass.FailureNotSent, fmt.Errorf("wait for a connection: %w", err))
	}
	defer t.conns.release(pc)
	if a.Key != "" {
		// An open connection may be dead without notice, and a run has only one try.
		pc.close()
	}
	reused := pc.conn != nil
	sent := s.clock.Now()
	reply, err := s.exchange(ctx, t, pc, to, a)
	if reused && ctx.Err() == nil && errors.Is(err, errNotWritten) {
		// The leaf may have closed the idle connection, so the attempt goes out on a new one.
		pc.close()
		sent = s.clock.Now()
		reply, err = s.exchange(ctx, t, pc, to, a)
	}
	reply.WaitedMs = sent - began
	if errors.Is(err, errExpired) || errors.Is(err, errWithdrawn) || errors.Is(err, errTurnedCold) || errors.Is(err, errEvacuated) || errors.Is(err, errPaused) {
		return reply, err
	}
	if err != nil {
		pc.failedAtMs = s.clock.Now()
		if isMismatch(err) {
			pc.close()
		}
		if s.hasCrashed(ctx, pc, to, err) {
			err = attemptError(samphirepass.FailureCrashed, err)
		}
		s.pool.noteEnd(to, err)
		return reply, err
	}
	pc.answeredAtMs, pc.answered = s.clock.Now(), true
	return reply, nil
}

func (s *Sender) exchange(ctx context.Context, t *target, pc *pooledConn, to samphirepass.Announcement, a samphirepass.Attempt) (samphirepass.Reply, error) {
	if s.canProbe && pc.answeredAtMs > 0 && a.Key == "" {
		var cancel context.CancelCauseFunc
		ctx, cancel = context.WithCancelCause(ctx)
		defer cancel(nil)
		defer s.watchSilence(ctx, cancel, t, to.DataCentre).Stop()
	}
	if s.pool.evacuations.isEvacuated(to.DataCentre) {
		return samphirepass.Reply{}, attemptError(samphirepass.FailureNotSent, errEvacuated)
	}
	if !pc.isOpen() {
		if s.Path.Narrow() {
			return samphirepass.Reply{}, attemptError(samphirepass.FailureNotSent, fmt.Errorf("send to %s: %w: %w", to.Leaf, errNotConnected, samphirepass.ErrNoPath))
		}
		if err := s.Path.dial(ctx, pc, to); err != nil {
			return samphirepass.Reply{}, attemptError(samphirepass.FailureNotSent, fmt.Errorf("send to %s: %w: %w", to.Leaf, errNotConnected, err))
		}
	}
	ownLimit, err := s.pool.confirmColdLimit(ctx, to, a.Permit)
	if err != nil {
		return samphirepass.Reply{}, attemptError(samphirepass.FailureNotSent, err)
	}
	reply, err := s.exchangeCounted(ctx, t, pc, to, a)
	if ownLimit != "" && causedNoRequest(err) {
		s.pool.returnToken(ownLimit)
	}
	return reply, err
}

// exchangeCounted is exchange after the attempt has been counted in the leaf's limit.
func (s *Sender) exchangeCounted(ctx context.Context, t *target, pc *pooledConn, to samphirepass.Announcement, a samphirepass.Attempt) (samphirepass.Reply, error) {
	if s.Resume != nil {
		s.Resume.Wait(ctx, a.Permit)
	}
	left := a.ExpiresAtMs - s.clock.Now()
	// A leaf that does not state its own time seems to spend all of it on the network, and an overloaded one must still get some.
	remaining := max(left-t.currentNetworkLatency(), left*minToldDeadlineFraction)
	switch {
	case left <= 0:
		return samphirepass.Reply{}, attemptError(samphirepass.FailureNotSent, errExpired)
	case s.pool.evacuations.isEvacuated(to.DataCentre):
		return samphirepass.Reply{}, attemptError(samphirepass.FailureNotSent, errEvacuated)
	case t.pauseMs(s.clock.Now(), to.Incarnation) > 0:
		return samphirepass.Reply{}, attemptError(samphirepass.FailureNotSent, errPaused)
	case a.Permit != nil && !a.Permit.Use():
		return samphirepass.Reply{}, attemptError(samphirepass.FailureNotSent, errWithdrawn)
	}
	req, err := s.protocol.Request(ctx, to, a, remaining)
	if err != nil {
		return samphirepass.Reply{}, attemptError(samphirepass.FailureNotSent, err)
	}
	if s.Resume != nil {
		// Between the checks above and the write the process may have been frozen.
		pc.beforeWrite = func() error { return s.checkResumed(ctx, to.DataCentre) }
		defer func() { pc.beforeWrite = nil }()
	}
	resp, body, err := s.Path.roundTrip(ctx, pc, to.Leaf, a.ExpectedMs, req, s.limits)
	if err != nil {
		kind := samphirepass.FailureLost
		switch {
		case errors.Is(context.Cause(ctx), errSilent):
			kind = samphirepass.FailureSilent
		case errors.Is(err, errNotWritten):
			kind = samphirepass.FailureNotSent
		}
		return samphirepass.Reply{}, attemptError(kind, fmt.Errorf("send to %s: %w", to.Leaf, err))
	}
	pc.idleTimeoutMs = idleTimeout(resp.Header)
	reply, err := s.protocol.Reply(resp, body, a)
	s.handleNotice(to, resp, err)
	return reply, err
}

// checkResumed returns errEvacuated if a data centre is evacuated, once the process knows that after a freeze.
func (s *Sender) checkResumed(ctx context.Context, dc samphirepass.DataCentre) error {
	s.Resume.Wait(ctx, nil)
	if err := ctx.Err(); err != nil {
		// The wait has ended before the evacuations were known.
		return fmt.Errorf("wait after a freeze: %w", err)
	}
	if s.pool.evacuations.isEvacuated(dc) {
		return errEvacuated
	}
	return nil
}

// hasCrashed reports whether a leaf has ended since it was sent an attempt whose connection broke. Otherwise the connection that it opens
// serves the next attempt. While no other leaf is reached, nothing is known of this one.
func (s *Sender) hasCrashed(ctx context.Context, pc *pooledConn, to samphirepass.Announcement, err error) bool {
	var failure *samphirepass.AttemptError
	if ctx.Err() != nil || !errors.As(err, &failure) || failure.Kind != samphirepass.FailureLost {
		return false
	}
	if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		return false
	}
	broke := s.clock.Now()
	pc.close()
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeoutMs.Duration())
	defer cancel()
	return errors.Is(pc.connect(ctx, to.Address), syscall.ECONNREFUSED) && s.Path.reachedSince(ctx, broke)
}

// handleNotice heeds and passes on what the leaf says of itself. An answer that is not its own counts for nothing, and a failure that names
// no limit does not end one.
func (s *Sender) handleNotice(to samphirepass.Announcement, resp *http.Response, err error) {
	n := s.protocol.Notice(resp)
	failure := (*samphirepass.AttemptError)(nil)
	if errors.As(err, &failure) && (failure.Kind == samphirepass.FailureMismatch || failure.Kind == samphirepass.FailureGone) {
		return
	}
	if n.RetryAfterMs > 0 {
		s.pool.pause(to, n.RetryAfterMs)
	}
	if s.OnNotice == nil || (err != nil && n == samphirepass.LeafNotice{RetryAfterMs: n.RetryAfterMs}) {
		return
	}
	s.OnNotice(to, n)
}

// idleTimeout returns the idle timeout in a Keep-Alive header, 0 if there is none or it is malformed.
func idleTimeout(h http.Header) samphirepass.Millis {
	_, after, ok := strings.Cut(h.Get("Keep-Alive"), "timeout=")
	if !ok {
		return 0
	}
	seconds, _, _ := strings.Cut(after, ",")
	n, err := strconv.Atoi(strings.TrimSpace(seconds))
	if err != nil || n <= 0 {
		return 0
	}
	return samphirepass.Millis(n) * 1000
}

// isMismatch reports whether the answer did not belong to the attempt, after which the connection cannot be trusted.
func isMismatch(err error) bool {
	var failure *samphirepass.AttemptError
	return errors.As(err, &failure) && failure.Kind == samphirepass.FailureMismatch
}

func attemptError(kind samphirepass.FailureKind, err error) error {
	return &samphirepass.AttemptError{Kind: kind, Err: err}
}
