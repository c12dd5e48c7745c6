package web

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"samphirepass"
	"samphirepass/policy"
)

const (
	// firstBodyBytes is the first size of the buffer of a body; a body of freeBodyBytes counts with its connection.
	firstBodyBytes = 512
	freeBodyBytes  = 4096
)

// CodeTooSlow refuses a request that made no progress while memory was short.
const CodeTooSlow samphirepass.Code = "too-slow"

// Body returns the body of r, which has at most limit bytes. Its memory counts until the request is answered. It returns an
// *http.MaxBytesError if the body is longer, a *samphirepass.Refusal if there is no memory for it, and any other error if it does not
// arrive whole.
func Body(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	c := connOf(r.Context())
	if r.ContentLength > limit {
		// The rest is not read, and the connection not used again.
		w.Header().Set("Connection", "close")
		c.countRefused(reasonBodyBytes)
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if c == nil {
		return readBody(w, r, limit, nil)
	}
	now := c.guard.clock.Now()
	if !c.holder.Enter(policy.ClientSending, now) {
		return nil, c.refuseBody(w, policy.ErrEvicted)
	}
	body, err := readBody(w, r, limit, c)
	var tooLong *http.MaxBytesError
	switch {
	case !c.holder.Enter(policy.ClientWaiting, c.guard.clock.Now()):
		return nil, c.refuseBody(w, policy.ErrEvicted)
	case errors.Is(err, policy.ErrEvicted), errors.Is(err, policy.ErrMemoryShort):
		return nil, c.refuseBody(w, err)
	case errors.As(err, &tooLong):
		c.countRefused(reasonBodyBytes)
	}
	return body, err
}

// countRefused counts a refused client, if the connection is guarded.
func (c *conn) countRefused(reason string) {
	if c != nil {
		c.guard.countRefused(reason)
	}
}

// refuseBody returns the refusal of a request whose body is not read to its end.
func (c *conn) refuseBody(w http.ResponseWriter, err error) error {
	w.Header().Set("Connection", "close")
	if errors.Is(err, policy.ErrEvicted) {
		c.countRefused(reasonBodyTime)
		return samphirepass.Refuse(CodeTooSlow, "the body did not arrive in time while memory was short; the request was not run")
	}
	c.countRefused(reasonBodyMemory)
	refusal := samphirepass.Refuse(samphirepass.CodeUnavailable, "there is no memory for the body now; the request was not run")
	refusal.RetryAfterMs = retryAfter()
	return refusal
}

// readBody reads a body into a buffer that grows with what has arrived, because a client may declare more than it sends.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, c *conn) ([]byte, error) {
	in := http.MaxBytesReader(w, r.Body, limit)
	// One more byte than the body leaves room to read its end.
	most := limit + 1
	size := int64(firstBodyBytes)
	if r.ContentLength >= 0 {
		most = r.ContentLength + 1
		size = min(most, freeBodyBytes)
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			grown := min(2*int64(cap(body)), max(most, int64(cap(body))+1))
			if err := c.holdBody(grown); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := in.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, fmt.Errorf("read body: %w", err)
		}
	}
}

// holdBody charges the memory of a body's buffer.
func (c *conn) holdBody(bytes int64) error {
	if c == nil || bytes <= freeBodyBytes {
		return nil
	}
	return c.holder.Resize(c.guard.clock.Now(), c.held+bytes)
}

// Hold charges the memory that the answer to a request takes, until the request is answered. It returns a refusal if there is none. Each call
// replaces the one before.
func Hold(ctx context.Context, bytes int64) error {
	c := connOf(ctx)
	if c == nil {
		return nil
	}
	// An answer that is longer than the budget is possible while no other one is.
	bytes = min(bytes, c.guard.memory.Limits().Bytes)
	if err := c.holder.Resize(c.guard.clock.Now(), c.held+bytes); err != nil {
		c.countRefused(reasonAnswers)
		refusal := samphirepass.Refuse(samphirepass.CodeUnavailable, "there is no memory for the answer now")
		refusal.RetryAfterMs = retryAfter()
		return fmt.Errorf("hold memory: %w", refusal)
	}
	return nil
}
