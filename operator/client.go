package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"samphirepass"
	"samphirepass/web"
)

// Client sends requests to the operator API of one VM.
type Client struct {
	// Address is the VM's API address, an IP number with a port.
	Address string
}

func (c Client) url(path string, query url.Values) string {
	u := url.URL{Scheme: "http", Host: c.Address, Path: path, RawQuery: query.Encode()}
	return u.String()
}

// do sends one request and decodes a successful response into out. A refusal is returned as the error.
func (c Client) do(ctx context.Context, method, u string, body, out any) error {
	var reader io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		reader = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, u, reader)
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("send request to %s: %w", c.Address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp)
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}

func readRefusal(resp *http.Response) error {
	var body web.ErrorBody
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil || body.Error == nil {
		return eris.Errorf("response with status %s contains no refusal", resp.Status)
	}
	return body.Error
}

// Get returns one resource.
func (c Client) Get(ctx context.Context, kind samphirepass.Kind, name string) (samphirepass.Resource, error) {
	var out samphirepass.Resource
	err := c.do(ctx, http.MethodGet, c.url("/v1/"+string(kind)+"/"+name, nil), nil, &out)
	return out, err
}

// List returns all resources of a kind with the revision of the list.
func (c Client) List(ctx context.Context, kind samphirepass.Kind) (ListBody, error) {
	var out ListBody
	err := c.do(ctx, http.MethodGet, c.url("/v1/"+string(kind), nil), nil, &out)
	return out, err
}

// Put creates or replaces a resource, provided that it is at body.BaseRevision. A resend with the
// same change ID returns the same answer.
func (c Client) Put(ctx context.Context, kind samphirepass.Kind, name string, body PutBody) (ChangeAnswer, error) {
	var out ChangeAnswer
	err := c.do(ctx, http.MethodPut, c.url("/v1/"+string(kind)+"/"+name, nil), body, &out)
	return out, err
}

// Apply creates or replaces a resource at its current revision; it returns a refusal if a concurrent change wins.
func (c Client) Apply(ctx context.Context, kind samphirepass.Kind, name string, spec any) (ChangeAnswer, error) {
	b, err := json.Marshal(spec)
	if err != nil {
		return ChangeAnswer{}, fmt.Errorf("encode spec: %w", err)
	}
	body := PutBody{ChangeID: samphirepass.ChangeID(uuid.NewString()), Spec: b}
	current, err := c.Get(ctx, kind, name)
	if r := samphirepass.AsRefusal(err); err != nil && (r == nil || r.Code != samphirepass.CodeNotFound) {
		return ChangeAnswer{}, err
	}
	body.BaseRevision = current.Revision
	return c.Put(ctx, kind, name, body)
}

// Delete removes a resource, provided that it is at revision base.
func (c Client) Delete(ctx context.Context, kind samphirepass.Kind, name string, id samphirepass.ChangeID, base samphirepass.Revision) (ChangeAnswer, error) {
	query := url.Values{"change-id": {string(id)}, "base-revision": {strconv.FormatUint(uint64(base), 10)}}
	var out ChangeAnswer
	err := c.do(ctx, http.MethodDelete, c.url("/v1/"+string(kind)+"/"+name, query), nil, &out)
	return out, err
}

// Status returns the state of the VM and its view of the system.
func (c Client) Status(ctx context.Context) (StatusBody, error) {
	var out StatusBody
	err := c.do(ctx, http.MethodGet, c.url("/v1/status", nil), nil, &out)
	return out, err
}

// AddMember adds a control VM.
func (c Client) AddMember(ctx context.Context, body MemberBody) error {
	return c.do(ctx, http.MethodPost, c.url("/v1/members", nil), body, &struct{}{})
}

// RemoveMember removes a control VM.
func (c Client) RemoveMember(ctx context.Context, vm samphirepass.VM) error {
	return c.do(ctx, http.MethodDelete, c.url("/v1/members/"+string(vm), nil), nil, &struct{}{})
}

// ReleaseSeat releases the seat of an entry VM that is permanently lost.
func (c Client) ReleaseSeat(ctx context.Context, vm samphirepass.VM) error {
	return c.do(ctx, http.MethodDelete, c.url("/v1/seats/"+string(vm), nil), nil, &struct{}{})
}

// Watch calls f for each line of a watch from revision from, until f returns false, the watch fails or ctx ends.
func (c Client) Watch(ctx context.Context, kind samphirepass.Kind, from samphirepass.Revision, f func(WatchLine) bool) error {
	query := url.Values{"watch": {strconv.FormatUint(uint64(from), 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url("/v1/"+string(kind), query), nil)
	if err != nil {
		return fmt.Errorf("create watch request: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("send watch request to %s: %w", c.Address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp)
	}
	lines := json.NewDecoder(resp.Body)
	for {
		var line WatchLine
		if err := lines.Decode(&line); err != nil {
			return fmt.Errorf("read watch stream: %w", err)
		}
		if line.Error != nil {
			return line.Error
		}
		if !f(line) {
			return nil
		}
	}
}
