package samphirepass

import "encoding/json"

// Run is a request that may not be repeated.
type Run struct {
	Caller Caller `json:"caller" validate:"required,min=1,max=64"`
	// Key is a UUID version 7; its time bounds how long it may be used.
	Key        RunKey `json:"key" validate:"required"`
	DeadlineMs Millis `json:"deadline-ms,omitempty" validate:"omitempty,min=1,max=60000"`
	// Route picks the shard, by its hash.
	Route string          `json:"route" validate:"required,min=1,max=256"`
	Body  json.RawMessage `json:"body" validate:"required"`
}

// RunState tells what became of a run.
type RunState string

// The states of a run.
const (
	RunRunning RunState = "running"
	RunDone    RunState = "done"
	RunNotRun  RunState = "not-run"
	RunUnknown RunState = "outcome-unknown"
)

// RunRecord is the durable record of a key.
type RunRecord struct {
	Service Service `json:"service"`
	Caller  Caller  `json:"caller"`
	Key     RunKey  `json:"key"`
	// KeyMs is the wall time inside the key.
	KeyMs  Millis   `json:"key-ms"`
	Digest uint64   `json:"digest"`
	State  RunState `json:"state"`
	// Token names the one entry request that may send this run to a leaf.
	Token string `json:"token"`
	// UntilMs is the wall time after which a record that is still running counts as unknown.
	UntilMs Millis `json:"until-ms"`
	// ExpiresMs is the wall time after which the record is removed and its key refused.
	ExpiresMs Millis          `json:"expires-ms"`
	Outcome   json.RawMessage `json:"outcome,omitempty"`
}
