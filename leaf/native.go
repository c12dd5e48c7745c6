package leaf

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"samphirepass"
)

// Native implements samphirepass.LeafProtocol with the protocol of docs/protocol.md.
type Native struct{}

// Request returns the HTTP request of one attempt.
func (Native) Request(ctx context.Context, to samphirepass.Announcement, a samphirepass.Attempt, remaining samphirepass.Millis) (*http.Request, error) {
	path := PathQuery
	if a.Key != "" {
		path = PathRun
	}
	// The reader is wrapped so that net/http sets no GetBody, which would allow sending the request again.
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
	h.Set(HeaderDeadline, strconv.FormatFloat(float64(remaining), 'f', 1, 64))
	if a.Key != "" {
		h.Set(HeaderKey, string(a.Key))
		req.Close = true
	}
	return req, nil
}

// Reply returns the reply if it is a whole answer to this attempt, checked by its headers and its digest.
func (Native) Reply(resp *http.Response, body []byte, a samphirepass.Attempt) (samphirepass.Reply, error) {
	h := resp.Header
	var r samphirepass.Reply
	if h.Get(HeaderRequest) != string(a.Request) {
		return r, attemptError(samphirepass.FailureMismatch, eris.New("answer carries another request ID"))
	}
	if resp.StatusCode != http.StatusOK {
		return r, statusError(resp)
	}
	if h.Get(HeaderSnapshot) != strconv.FormatUint(uint64(a.Snapshot), 10) {
		return r, attemptError(samphirepass.FailureMismatch, eris.New("answer carries another snapshot number"))
	}
	if h.Get(HeaderShard) != strconv.FormatUint(uint64(a.Shard), 10) {
		return r, attemptError(samphirepass.FailureMismatch, eris.New("answer carries another shard number"))
	}
	if h.Get(HeaderDigest) != Digest(body) {
		return r, attemptError(samphirepass.FailureMismatch, eris.New("body does not match its digest"))
	}
	partial, err := strconv.ParseBool(h.Get(HeaderPartial))
	if err != nil {
		return r, attemptError(samphirepass.FailureMismatch, fmt.Errorf("parse partial header: %w", err))
	}
	r.Body, r.Partial = body, partial
	// The load and the time at the leaf are optional.
	r.Load, _ = strconv.ParseFloat(h.Get(HeaderLoad), 64)
	worked, _ := strconv.ParseFloat(h.Get(HeaderWorked), 64)
	r.WorkedMs = samphirepass.Millis(worked)
	return r, nil
}

// statusError classifies a status other than 200; only the leaf's own headers count as a promise that nothing was run.
func statusError(resp *http.Response) error {
	err := eris.Errorf("leaf answered %s", resp.Status)
	switch {
	case resp.Header.Get(HeaderNotHeld) == "true":
		return attemptError(samphirepass.FailureNotHeld, err)
	case resp.Header.Get(HeaderNotRun) == "true":
		return attemptError(samphirepass.FailureShed, err)
	default:
		return attemptError(samphirepass.FailureLost, err)
	}
}

// Digest returns the hexadecimal xxHash64 of an answer's body, for HeaderDigest.
func Digest(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

// Notice returns nothing, as the protocol has no notices.
func (Native) Notice(*http.Response) samphirepass.LeafNotice { return samphirepass.LeafNotice{} }

// Probe returns a request for the leaf's load, which any live connection answers. The load itself may be stale or wrong
// and is not used.
func (Native) Probe(ctx context.Context, address string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathLoad, nil)
	if err != nil {
		return nil, fmt.Errorf("make load request: %w", err)
	}
	return req, nil
}

// Ping returns the same request as Probe.
func (n Native) Ping(ctx context.Context, address string) (*http.Request, error) {
	return n.Probe(ctx, address)
}
