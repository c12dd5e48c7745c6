package leaf

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"samphirepass"
)

// maxAnswerBytes bounds the body of one leaf's answer.
const maxAnswerBytes = 16 << 20

// Sender sends attempts over the connections of a pool.
type Sender struct {
	pool     *Pool
	protocol samphirepass.LeafProtocol
	clock    samphirepass.Clock
	// probes is set where the protocol can tell whether an idle connection is alive.
	probes bool
}

// anyAddress stands for a leaf where only the protocol is asked about.
const anyAddress = "127.0.0.1:1"

// NewSender returns a sender over pool that speaks the given protocol.
func NewSender(pool *Pool, protocol samphirepass.LeafProtocol, clock samphirepass.Clock) *Sender {
	probe, err := protocol.Probe(context.Background(), anyAddress)
	return &Sender{pool: pool, protocol: protocol, clock: clock, probes: err == nil && probe != nil}
}

// Send sends one attempt on one connection, once: nothing below repeats it or follows a redirect.
func (s *Sender) Send(ctx context.Context, to samphirepass.Announcement, a samphirepass.Attempt) (samphirepass.Reply, error) {
	t := s.pool.target(to)
	began := s.clock.Now()
	one := begun{at: began, expected: a.ExpectedMs}
	t.start(one)
	reply, err := s.send(ctx, t, to, a)
	t.finish(one)
	s.record(ctx, t, one, reply, err)
	return reply, err
}

// record books the outcome; being refused, or cut off on this side, says nothing against the leaf.
func (s *Sender) record(ctx context.Context, t *target, one begun, reply samphirepass.Reply, err error) {
	now := s.clock.Now()
	took := now - one.at
	kind := samphirepass.FailureKind("")
	if failure := (*samphirepass.AttemptError)(nil); errors.As(err, &failure) {
		kind = failure.Kind
	}
	switch {
	case err == nil:
		t.succeed(now, took, one.expected, reply)
	case kind == samphirepass.FailureShed:
		t.shed(now)
	case kind == samphirepass.FailureGone:
	case errors.Is(context.Cause(ctx), samphirepass.ErrSuperseded):
		t.fail(now)
		t.slow(now, took, one.expected)
	case errors.Is(ctx.Err(), context.Canceled), kind == samphirepass.FailureNotSent && ctx.Err() != nil:
		t.slow(now, took, one.expected)
	default:
		t.fail(now)
	}
}

func (s *Sender) send(ctx context.Context, t *target, to samphirepass.Announcement, a samphirepass.Attempt) (samphirepass.Reply, error) {
	one, err := t.lanes.acquire(ctx)
	if err != nil {
		return samphirepass.Reply{}, failed(samphirepass.FailureNotSent, fmt.Errorf("wait for a connection: %w", err))
	}
	defer t.lanes.release(one)
	if a.Key != "" {
		// A kept connection may have gone silent, and a run has one try only.
		one.close()
	}
	kept := one.conn != nil
	reply, err := s.exchange(ctx, t, one, to, a)
	if kept && ctx.Err() == nil && notSent(err) {
		// The leaf had closed the kept connection; a new one tells whether it still serves.
		one.close()
		reply, err = s.exchange(ctx, t, one, to, a)
	}
	if err != nil {
		one.cutMs = s.clock.Now()
		if answeredOther(err) {
			one.close()
		}
		return reply, err
	}
	one.usedMs = s.clock.Now()
	return reply, nil
}

func (s *Sender) exchange(ctx context.Context, t *target, one *lane, to samphirepass.Announcement, a samphirepass.Attempt) (samphirepass.Reply, error) {
	if s.probes && one.usedMs > 0 && a.Key == "" {
		var cancel context.CancelCauseFunc
		ctx, cancel = context.WithCancelCause(ctx)
		defer cancel(nil)
		defer s.watchSilence(ctx, cancel, t).Stop()
	}
	left := max(a.DeadlineMs-t.networkShare(), 0)
	req, err := s.protocol.Request(ctx, to, a, left)
	if err != nil {
		return samphirepass.Reply{}, failed(samphirepass.FailureNotSent, err)
	}
	resp, body, err := one.roundTrip(ctx, to.Address, req, maxAnswerBytes)
	if err != nil {
		kind := samphirepass.FailureLost
		switch {
		case errors.Is(context.Cause(ctx), errSilent):
			kind = samphirepass.FailureSilent
		case errors.Is(err, errNotWritten):
			kind = samphirepass.FailureNotSent
		}
		return samphirepass.Reply{}, failed(kind, fmt.Errorf("send to %s: %w", to.Leaf, err))
	}
	one.idleMs = keptFor(resp.Header)
	return s.protocol.Reply(resp, body, a)
}

// keptFor returns how long the other end keeps an idle connection, 0 if it does not say.
func keptFor(h http.Header) samphirepass.Millis {
	_, after, ok := strings.Cut(h.Get("Keep-Alive"), "timeout=")
	if !ok {
		return 0
	}
	seconds, _, _ := strings.Cut(after, ",")
	n, err := strconv.Atoi(strings.TrimSpace(seconds))
	if err != nil || n <= 0 {
		// A header that cannot be read promises nothing.
		return 0
	}
	return samphirepass.Millis(n) * 1000
}

// notSent reports whether an attempt failed before a byte of it left.
func notSent(err error) bool {
	var failure *samphirepass.AttemptError
	return errors.As(err, &failure) && failure.Kind == samphirepass.FailureNotSent
}

// answeredOther reports whether the connection gave an answer to something else, after which nothing on it can be trusted.
func answeredOther(err error) bool {
	var failure *samphirepass.AttemptError
	return errors.As(err, &failure) && failure.Kind == samphirepass.FailureMismatch
}

func failed(kind samphirepass.FailureKind, err error) error {
	return &samphirepass.AttemptError{Kind: kind, Err: err}
}
