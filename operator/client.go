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

// Client talks to the resource API of one VM.
type Client struct {
	// Address is the VM's API address, an IP number with a port.
	Address string
}

func (c Client) url(path string, query url.Values) string {
	u := url.URL{Scheme: "http", Host: c.Address, Path: path, RawQuery: query.Encode()}
	return u.String()
}

// do sends one request and decodes a success into out; a refusal comes back as the error.
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
		return fmt.Errorf("make request: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("ask %s: %w", c.Address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp)
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

func readRefusal(resp *http.Response) error {
	var body web.ErrorBody
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil || body.Error == nil {
		return eris.Errorf("answer %s without a reason", resp.Status)
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

// Put puts a resource that was at revision base; a resend under the same change id has the same answer.
func (c Client) Put(ctx context.Context, kind samphirepass.Kind, name string, body PutBody) (ChangeAnswer, error) {
	var out ChangeAnswer
	err := c.do(ctx, http.MethodPut, c.url("/v1/"+string(kind)+"/"+name, nil), body, &out)
	return out, err
}

// Apply puts a resource over whatever stands, and tells a loser of a race so.
func (c Client) Apply(ctx context.Context, kind samphirepass.Kind, name string, spec any) (ChangeAnswer, error) {
	b, err := json.Marshal(spec)
	if err != nil {
		return ChangeAnswer{}, fmt.Errorf("encode spec: %w", err)
	}
	body := PutBody{ChangeID: samphirepass.ChangeID(uuid.NewString()), Spec: b}
	have, err := c.Get(ctx, kind, name)
	if r := samphirepass.AsRefusal(err); err != nil && (r == nil || r.Code != samphirepass.CodeNotFound) {
		return ChangeAnswer{}, err
	}
	body.BaseRevision = have.Revision
	return c.Put(ctx, kind, name, body)
}

// Delete removes a resource that was at revision base.
func (c Client) Delete(ctx context.Context, kind samphirepass.Kind, name string, id samphirepass.ChangeID, base samphirepass.Revision) (ChangeAnswer, error) {
	query := url.Values{"change-id": {string(id)}, "base-revision": {strconv.FormatUint(uint64(base), 10)}}
	var out ChangeAnswer
	err := c.do(ctx, http.MethodDelete, c.url("/v1/"+string(kind)+"/"+name, query), nil, &out)
	return out, err
}

// Status returns what the VM sees of the system.
func (c Client) Status(ctx context.Context) (StatusBody, error) {
	var out StatusBody
	err := c.do(ctx, http.MethodGet, c.url("/v1/status", nil), nil, &out)
	return out, err
}

// AddMember names a further control VM.
func (c Client) AddMember(ctx context.Context, body MemberBody) error {
	return c.do(ctx, http.MethodPost, c.url("/v1/members", nil), body, &struct{}{})
}

// RemoveMember takes a control VM out.
func (c Client) RemoveMember(ctx context.Context, vm samphirepass.VM) error {
	return c.do(ctx, http.MethodDelete, c.url("/v1/members/"+string(vm), nil), nil, &struct{}{})
}

// ReleaseSeat frees the seat of an entry VM that is gone for good.
func (c Client) ReleaseSeat(ctx context.Context, vm samphirepass.VM) error {
	return c.do(ctx, http.MethodDelete, c.url("/v1/seats/"+string(vm), nil), nil, &struct{}{})
}

// Watch calls f for each line of a watch until the watch or ctx ends or f returns false.
func (c Client) Watch(ctx context.Context, kind samphirepass.Kind, from samphirepass.Revision, f func(WatchLine) bool) error {
	query := url.Values{"watch": {strconv.FormatUint(uint64(from), 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url("/v1/"+string(kind), query), nil)
	if err != nil {
		return fmt.Errorf("make watch: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("watch at %s: %w", c.Address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp)
	}
	lines := json.NewDecoder(resp.Body)
	for {
		var line WatchLine
		if err := lines.Decode(&line); err != nil {
			return fmt.Errorf("read watch: %w", err)
		}
		if line.Error != nil {
			return line.Error
		}
		if !f(line) {
			return nil
		}
	}
}
