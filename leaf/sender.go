package leaf

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"samphirepass"
)

// maxAnswerBytes bounds the body of one leaf's answer.
const maxAnswerBytes = 16 << 20

// Sender sends attempts over the connections of a pool.
type Sender struct {
	pool  *Pool
	clock samphirepass.Clock
}

// NewSender returns a sender over pool.
func NewSender(pool *Pool, clock samphirepass.Clock) *Sender {
	return &Sender{pool: pool, clock: clock}
}

// Send sends one attempt on one connection, once: nothing below repeats it or follows a redirect.
func (s *Sender) Send(ctx context.Context, to samphirepass.Announcement, a samphirepass.Attempt) (samphirepass.Reply, error) {
	t := s.pool.target(to)
	t.start()
	began := s.clock.Now()
	reply, err := s.send(ctx, t, to, a)
	s.record(ctx, t, began, reply, err)
	return reply, err
}

// record books the outcome; being refused, or cut off on this side, says nothing against the leaf.
func (s *Sender) record(ctx context.Context, t *target, began samphirepass.Millis, reply samphirepass.Reply, err error) {
	now := s.clock.Now()
	kind := samphirepass.FailureKind("")
	if failure := (*samphirepass.AttemptError)(nil); errors.As(err, &failure) {
		kind = failure.Kind
	}
	switch {
	case err == nil:
		t.succeed(now, now-began, reply)
	case kind == samphirepass.FailureShed:
		t.shed(now)
	case errors.Is(context.Cause(ctx), samphirepass.ErrBeaten):
		t.fail(now)
		t.slow(now - began)
	case errors.Is(ctx.Err(), context.Canceled), kind == samphirepass.FailureNotSent && ctx.Err() != nil:
		t.cancel(now - began)
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
		one.fresh()
	}
	reply, err := s.exchange(ctx, t, one, to, a)
	if err != nil {
		one.cutMs = s.clock.Now()
		return reply, err
	}
	one.usedMs = s.clock.Now()
	return reply, nil
}

func (s *Sender) exchange(ctx context.Context, t *target, one *lane, to samphirepass.Announcement, a samphirepass.Attempt) (samphirepass.Reply, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if one.usedMs > 0 && a.Key == "" {
		defer s.watchSilence(ctx, cancel, t).Stop()
	}
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { wrote.Store(true) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), t, to, a)
	if err != nil {
		return samphirepass.Reply{}, failed(samphirepass.FailureNotSent, err)
	}
	// RoundTrip follows no redirect; a POST whose body cannot be read again is not repeated on a broken connection.
	resp, err := one.transport.RoundTrip(req)
	if err != nil {
		kind := samphirepass.FailureLost
		switch {
		case errors.Is(context.Cause(ctx), errSilent):
			kind = samphirepass.FailureSilent
		case !wrote.Load():
			kind = samphirepass.FailureNotSent
		}
		return samphirepass.Reply{}, failed(kind, fmt.Errorf("send to %s: %w", to.Leaf, err))
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return samphirepass.Reply{}, failed(samphirepass.FailureLost, fmt.Errorf("read answer of %s: %w", to.Leaf, err))
	}
	return check(resp, body, a)
}

func newRequest(ctx context.Context, t *target, to samphirepass.Announcement, a samphirepass.Attempt) (*http.Request, error) {
	path := PathQuery
	if a.Key != "" {
		path = PathRun
	}
	// The reader is wrapped so that the request has no GetBody, with which net/http could send it again.
	body := io.NopCloser(bytes.NewReader(a.Body))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address+path, body)
	if err != nil {
		return nil, fmt.Errorf("make request to %s: %w", to.Leaf, err)
	}
	req.ContentLength = int64(len(a.Body))
	h := req.Header
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRequest, string(a.Request))
	h.Set(HeaderService, string(a.Service))
	h.Set(HeaderSnapshot, strconv.FormatUint(uint64(a.Snapshot), 10))
	h.Set(HeaderShard, strconv.FormatUint(uint64(a.Shard), 10))
	left := max(a.DeadlineMs-t.networkShare(), 0)
	h.Set(HeaderDeadline, strconv.FormatFloat(float64(left), 'f', 1, 64))
	if a.Key != "" {
		h.Set(HeaderKey, string(a.Key))
		req.Close = true
	}
	return req, nil
}

// check returns the reply only if it is a whole answer to just this attempt.
func check(resp *http.Response, body []byte, a samphirepass.Attempt) (samphirepass.Reply, error) {
	h := resp.Header
	var r samphirepass.Reply
	if h.Get(HeaderRequest) != string(a.Request) {
		return r, failed(samphirepass.FailureMismatch, eris.New("the answer is to another request"))
	}
	if resp.StatusCode != http.StatusOK {
		return r, refusedBy(resp)
	}
	if h.Get(HeaderSnapshot) != strconv.FormatUint(uint64(a.Snapshot), 10) {
		return r, failed(samphirepass.FailureMismatch, eris.New("the answer is from another snapshot"))
	}
	if h.Get(HeaderShard) != strconv.FormatUint(uint64(a.Shard), 10) {
		return r, failed(samphirepass.FailureMismatch, eris.New("the answer is from another shard"))
	}
	if h.Get(HeaderDigest) != Digest(body) {
		return r, failed(samphirepass.FailureMismatch, eris.New("the answer does not match its digest"))
	}
	partial, err := strconv.ParseBool(h.Get(HeaderPartial))
	if err != nil {
		return r, failed(samphirepass.FailureMismatch, fmt.Errorf("the answer does not say whether it is partial: %w", err))
	}
	r.Body, r.Partial = body, partial
	// The figures are advice; a leaf may leave them out.
	r.Load, _ = strconv.ParseFloat(h.Get(HeaderLoad), 64)
	worked, _ := strconv.ParseFloat(h.Get(HeaderWorked), 64)
	r.WorkedMs = samphirepass.Millis(worked)
	return r, nil
}

// refusedBy tells what a status other than 200 means; only the leaf's own word counts as not run.
func refusedBy(resp *http.Response) error {
	err := eris.Errorf("leaf answered %s", resp.Status)
	switch {
	case resp.Header.Get(HeaderNotHeld) == "true":
		return failed(samphirepass.FailureNotHeld, err)
	case resp.Header.Get(HeaderNotRun) == "true":
		return failed(samphirepass.FailureShed, err)
	default:
		return failed(samphirepass.FailureLost, err)
	}
}

// Digest returns the checksum that an answer carries over its body.
func Digest(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

func failed(kind samphirepass.FailureKind, err error) error {
	return &samphirepass.AttemptError{Kind: kind, Err: err}
}
