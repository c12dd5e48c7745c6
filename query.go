package samphirepass

import "encoding/json"

// Query is one request to all shards of a service.
type Query struct {
	Caller Caller `json:"caller" validate:"required,min=1,max=64"`
	// DeadlineMs is the time within which the answer is useful; 0 selects the deadline of the service.
	DeadlineMs Millis          `json:"deadline-ms,omitempty" validate:"omitempty,min=1,max=60000"`
	Query      json.RawMessage `json:"query" validate:"required"`
}

// Item is one result of a shard.
type Item struct {
	Score float64         `json:"score"`
	Value json.RawMessage `json:"value"`
}

// Coverage describes which shards of a snapshot contributed to an answer.
type Coverage struct {
	Answered int     `json:"answered"`
	Total    int     `json:"total"`
	Missing  []Shard `json:"missing"`
}

// Whole reports whether every shard of the snapshot answered completely.
func (c Coverage) Whole() bool {
	return c.Total > 0 && c.Answered == c.Total && len(c.Missing) == 0
}

// Answer is the reply to a query.
type Answer struct {
	RequestID RequestID `json:"request-id"`
	Service   Service   `json:"service"`
	Snapshot  Snapshot  `json:"snapshot"`
	Coverage  Coverage  `json:"coverage"`
	Whole     bool      `json:"whole"`
	Items     []Item    `json:"items"`
}
