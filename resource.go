package samphirepass

import "encoding/json"

// Kind names a type of resource.
type Kind string

// The kinds of resources that operators declare.
const (
	KindService Kind = "services"
	KindCaller  Kind = "callers"
)

// Kinds lists every kind of resource.
func Kinds() []Kind { return []Kind{KindService, KindCaller} }

// PartialRule says what a service does when some shards did not answer in time.
type PartialRule string

// The rules for partial answers.
const (
	PartialAllowed PartialRule = "allowed"
	PartialRefused PartialRule = "refused"
)

// MergeKind names a way to merge the items of all shards.
type MergeKind string

// The ways to merge.
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
	// Partial says whether an answer that lacks shards is given or refused.
	Partial PartialRule `json:"partial" validate:"required,oneof=allowed refused"`
	// HedgeBudgetPercent bounds the extra leaf requests by hedges and retries together.
	HedgeBudgetPercent Percent   `json:"hedge-budget-percent" validate:"min=0,max=100"`
	Merge              MergeSpec `json:"merge" validate:"required"`
	// RunRetentionMs is how long the outcome of a run is kept; 0 means a day.
	RunRetentionMs Millis `json:"run-retention-ms,omitempty" validate:"omitempty,min=1000,max=604800000"`
}

// DefaultRunRetentionMs is the retention of run records where a service declares none.
const DefaultRunRetentionMs Millis = 24 * 3600 * 1000

// RunRetention returns the declared retention or the default.
func (s ServiceSpec) RunRetention() Millis {
	if s.RunRetentionMs == 0 {
		return DefaultRunRetentionMs
	}
	return s.RunRetentionMs
}

// Rank returns the place of class c, 0 being the most important, and whether the service admits it.
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

// Resource is one declared object with the revision of its last change.
type Resource struct {
	Kind     Kind            `json:"kind"`
	Name     string          `json:"name"`
	Revision Revision        `json:"revision"`
	Spec     json.RawMessage `json:"spec"`
}

// ResourceEvent tells one change of one resource.
type ResourceEvent struct {
	Resource
	Deleted bool `json:"deleted,omitempty"`
}

// Change asks to put or delete one resource.
type Change struct {
	ID   ChangeID        `json:"change-id"`
	Kind Kind            `json:"kind"`
	Name string          `json:"name"`
	Spec json.RawMessage `json:"spec,omitempty"`
	// Delete removes the resource in place of putting Spec.
	Delete bool `json:"delete,omitempty"`
	// BaseRevision is the revision that the change was made from; 0 means that the resource must not exist.
	BaseRevision Revision `json:"base-revision"`
}

// ChangeResult is the answer to a change, the same for every resend of it.
type ChangeResult struct {
	Accepted bool     `json:"accepted"`
	Revision Revision `json:"revision"`
	// Winner is the resource that stands where the change lost a race; its revision is 0 if none stands.
	Winner Resource `json:"winner"`
	// WinnerChange is the change that the loser lost to.
	WinnerChange ChangeID `json:"winner-change,omitempty"`
	// Code is set where the change was refused for another reason than a race.
	Code Code `json:"code,omitempty"`
}
