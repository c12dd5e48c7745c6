package samphirepass

import "encoding/json"

// Query is one request to all shards of a service.
type Query struct {
	Caller Caller `json:"caller" validate:"required,min=1,max=64"`
	// DeadlineMs is the time until which the answer is of use; 0 asks for the service's own deadline.
	DeadlineMs Millis          `json:"deadline-ms,omitempty" validate:"omitempty,min=1,max=60000"`
	Query      json.RawMessage `json:"query" validate:"required"`
}

// Item is one result of a shard.
type Item struct {
	Score float64         `json:"score"`
	Value json.RawMessage `json:"value"`
}

// Coverage tells which part of a snapshot an answer rests on.
type Coverage struct {
	Answered int     `json:"answered"`
	Total    int     `json:"total"`
	Missing  []Shard `json:"missing"`
}

// Whole reports whether every shard of the snapshot answered in full.
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
