package samphirepass

import "encoding/json"

// Run is a request that may not be repeated.
type Run struct {
	Caller Caller `json:"caller" validate:"required,min=1,max=64"`
	// Key is a UUID version 7, whose timestamp bounds how long the key may be used.
	Key        RunKey `json:"key" validate:"required"`
	DeadlineMs Millis `json:"deadline-ms,omitempty" validate:"omitempty,min=1,max=60000"`
	// Route is the routing key, whose hash selects the shard.
	Route string          `json:"route" validate:"required,min=1,max=256"`
	Body  json.RawMessage `json:"body" validate:"required"`
}

// RunState is the state of a run.
type RunState string

// The states of a run.
const (
	RunRunning RunState = "running"
	RunDone    RunState = "done"
	RunNotRun  RunState = "not-run"
	RunUnknown RunState = "outcome-unknown"
)

// RunRecord is the durable record of a run key.
type RunRecord struct {
	Service Service `json:"service"`
	Caller  Caller  `json:"caller"`
	Key     RunKey  `json:"key"`
	// KeyMs is the timestamp in the key, as wall time.
	KeyMs Millis `json:"key-ms"`
	// Digest is a hash of the request; every use of the key must have the same.
	Digest uint64   `json:"digest"`
	State  RunState `json:"state"`
	// Token identifies the claim of the key; only the request that made the claim may send the run to a leaf.
	Token string `json:"token"`
	// UntilMs is the wall time after which the outcome of a run that is still running counts as unknown.
	UntilMs Millis `json:"until-ms"`
	// ExpiresMs is the wall time after which the record is removed and its key is refused.
	ExpiresMs Millis          `json:"expires-ms"`
	Outcome   json.RawMessage `json:"outcome,omitempty"`
}
