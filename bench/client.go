package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"samphirepass"
	"samphirepass/web"
)

// Client sends queries and runs to the API of one entry.
type Client struct {
	Address string
	HTTP    *http.Client
}

// Query sends one query. A refusal is returned as a *samphirepass.Refusal error.
func (c Client) Query(ctx context.Context, service samphirepass.Service, q samphirepass.Query) (samphirepass.Answer, error) {
	var answer samphirepass.Answer
	err := c.post(ctx, "/v1/services/"+string(service)+"/query", q, &answer)
	return answer, err
}

// Run sends one run and decodes its answer into answer. A refusal is returned as a *samphirepass.Refusal error.
func (c Client) Run(ctx context.Context, service samphirepass.Service, run samphirepass.Run, answer any) error {
	return c.post(ctx, "/v1/services/"+string(service)+"/run", run, answer)
}

func (c Client) post(ctx context.Context, path string, body, answer any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Address+path, bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		var e web.ErrorBody
		if err := json.Unmarshal(data, &e); err != nil || e.Error == nil {
			return fmt.Errorf("unexpected response %s: %q", resp.Status, data)
		}
		return e.Error
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}
