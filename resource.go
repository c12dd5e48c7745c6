package samphirepass

import "encoding/json"

// Kind is a kind of resource.
type Kind string

// The kinds of resources that operators declare.
const (
	KindService Kind = "services"
	KindCaller  Kind = "callers"
)

// Kinds lists every kind of resource.
func Kinds() []Kind { return []Kind{KindService, KindCaller} }

// PartialRule determines what a service does when some shards did not answer in time.
type PartialRule string

// The rules for partial answers.
const (
	PartialAllowed PartialRule = "allowed"
	PartialRefused PartialRule = "refused"
)

// MergeKind determines how the items of all shards are merged.
type MergeKind string

// The kinds of merges.
const (
	MergeConcatenate MergeKind = "concatenate"
	MergeTop         MergeKind = "top"
)

// MergeSpec declares how a service merges the items of its shards.
type MergeSpec struct {
	Kind MergeKind `json:"kind" validate:"required,oneof=concatenate top"`
	// N is the number of items that MergeTop keeps, from 1 to 10000.
	N int `json:"n,omitempty" validate:"required_if=Kind top,omitempty,min=1,max=10000"`
}

// ServiceSpec declares a service and how it is queried.
type ServiceSpec struct {
	// Classes lists the admitted classes, the most important first.
	Classes []Class `json:"classes" validate:"required,min=1,max=16,unique,dive,min=1,max=64"`
	// DeadlineMs is the longest deadline that a query may ask for and the one it gets if it asks for none.
	DeadlineMs Millis `json:"deadline-ms" validate:"required,min=1,max=60000"`
	// Partial determines whether an answer with missing shards is returned or refused.
	Partial PartialRule `json:"partial" validate:"required,oneof=allowed refused"`
	// HedgeBudgetPercent bounds the extra leaf requests by hedges and retries together.
	HedgeBudgetPercent Percent   `json:"hedge-budget-percent" validate:"min=0,max=100"`
	Merge              MergeSpec `json:"merge" validate:"required"`
	// RunRetentionMs is how long the outcome of a run is kept; 0 means DefaultRunRetentionMs.
	RunRetentionMs Millis `json:"run-retention-ms,omitempty" validate:"omitempty,min=1000,max=604800000"`
}

// DefaultRunRetentionMs is the retention of run records, one day, if a service declares none.
const DefaultRunRetentionMs Millis = 24 * 3600 * 1000

// RunRetention returns the declared retention or the default.
func (s ServiceSpec) RunRetention() Millis {
	if s.RunRetentionMs == 0 {
		return DefaultRunRetentionMs
	}
	return s.RunRetentionMs
}

// Rank returns the rank of class c, 0 being the most important, and whether the service admits it.
func (s ServiceSpec) Rank(c Class) (int, bool) {
	for i, have := range s.Classes {
		if have == c {
			return i, true
		}
	}
	return 0, false
}

// CallerSpec declares a caller.
type CallerSpec struct {
	Class Class `json:"class" validate:"required,min=1,max=64"`
}

// Resource is a declared object with the revision of its last change.
type Resource struct {
	Kind     Kind            `json:"kind"`
	Name     string          `json:"name"`
	Revision Revision        `json:"revision"`
	Spec     json.RawMessage `json:"spec"`
}

// ResourceEvent is one change of one resource.
type ResourceEvent struct {
	Resource
	Deleted bool `json:"deleted,omitempty"`
}

// Change is a request to put or delete one resource.
type Change struct {
	ID   ChangeID        `json:"change-id"`
	Kind Kind            `json:"kind"`
	Name string          `json:"name"`
	Spec json.RawMessage `json:"spec,omitempty"`
	// Delete removes the resource; Spec is ignored.
	Delete bool `json:"delete,omitempty"`
	// BaseRevision is the revision on which the change is based; 0 means that the resource must not exist.
	BaseRevision Revision `json:"base-revision"`
}

// ChangeResult is the answer to a change, the same for every resend of it.
type ChangeResult struct {
	Accepted bool     `json:"accepted"`
	Revision Revision `json:"revision"`
	// Winner is the current resource if the change lost a race; its revision is 0 if there is none.
	Winner Resource `json:"winner"`
	// WinnerChange is the ID of the resource's last change if this change lost a race.
	WinnerChange ChangeID `json:"winner-change,omitempty"`
	// Code is set if the change was refused; after a lost race it is CodeConflict.
	Code Code `json:"code,omitempty"`
}
