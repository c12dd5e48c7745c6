package samphirepass

import (
	"context"

	"github.com/rotisserie/eris"
)

// Attempt is one request to one leaf.
type Attempt struct {
	Request  RequestID
	Service  Service
	Snapshot Snapshot
	Shard    Shard
	// Key is set for a run, which may not be repeated.
	Key RunKey
	// ExpiresAtMs is when the answer becomes useless, on the clock of this process. The leaf is told what remains when the attempt is sent.
	ExpiresAtMs Millis
	// Permit is withdrawn once the answer is no longer needed; it is nil for an attempt that is sent in any case.
	Permit *SendPermit
	// ExpectedMs is the usual latency of this kind of request, by which a leaf's latencies are scaled; 0 if unknown.
	ExpectedMs Millis
	Body       []byte
	// Forwarded is set in place of Body for a client's request that is forwarded unchanged.
	Forwarded *ForwardedRequest
	// AtMostOnce is set for a request that must not run twice.
	AtMostOnce bool
	// Rank is that of the request, 0 first. Extra is set for a hedge or a retry.
	Rank  int
	Extra bool
}

// Reply is a leaf's answer to one attempt, which the protocol has checked against the attempt.
type Reply struct {
	Body []byte
	// Partial is set if the leaf did not search its whole shard.
	Partial bool
	// Load is the number of running and queued requests at the leaf, as a fraction of its slots.
	Load float64
	// WorkedMs is the time that the request spent at the leaf.
	WorkedMs Millis
	// WaitedMs is the time from the start of the attempt until it was sent, spent waiting for a connection and for the processor.
	WaitedMs Millis
	// Answer is set for a forwarded request.
	Answer *LeafAnswer
	// LoadReported is set if the leaf stated Load in this answer, not only because its protocol always does.
	LoadReported bool
	// Pace is how long work takes at the leaf now, relative to the usual time: 1 as usual, above 1 if it is slower, 0 if not stated.
	Pace float64
}

// FailureKind classifies how an attempt failed.
type FailureKind string

// The kinds of failures of an attempt.
const (
	// FailureShed means that the leaf refused the request without working on it.
	FailureShed FailureKind = "shed"
	// FailureNotHeld means that the leaf refused because it does not hold the shard of that snapshot.
	FailureNotHeld FailureKind = "not-held"
	// FailureMismatch means that the answer does not fit the attempt, for example because it is to another request.
	FailureMismatch FailureKind = "mismatch"
	// FailureNotSent means that no byte of the request was sent.
	FailureNotSent FailureKind = "not-sent"
	// FailureSilent means that the answer was late and a probe on another connection to the same leaf failed.
	FailureSilent FailureKind = "silent"
	// FailureAnswered means that the leaf ran the request and answered with a failure.
	FailureAnswered FailureKind = "answered"
	// FailureGone means that another leaf answers at the address; it did no work.
	FailureGone FailureKind = "gone"
	// FailureLost means that the connection broke or the deadline passed before a complete answer arrived.
	FailureLost FailureKind = "lost"
	// FailureCrashed means that the connection broke and nothing listens at the leaf's address any more.
	FailureCrashed FailureKind = "crashed"
)

// LeafCrash is the end of a leaf while it ran a request.
type LeafCrash struct {
	Leaf        Leaf
	Incarnation Incarnation
	// Alone is set if this was the request's only attempt in flight, sent to find out whether the request crashes leaves.
	Alone bool
}

// AttemptError is the error of a failed attempt.
type AttemptError struct {
	Kind FailureKind
	Err  error
	// Reply is the leaf's answer if Kind is FailureAnswered. For other kinds it holds at most the load that the leaf reported.
	Reply Reply
}

// Error returns the kind and the cause.
func (e *AttemptError) Error() string {
	return "attempt " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Err }

// NotRun reports whether the leaf certainly did not run the request.
func (e *AttemptError) NotRun() bool {
	return e.Kind == FailureShed || e.Kind == FailureNotHeld || e.Kind == FailureNotSent || e.Kind == FailureGone
}

// CausedNoLoad reports whether the attempt caused no load on the leaf, so that a retry needs no budget.
func (e *AttemptError) CausedNoLoad() bool {
	return e.Kind == FailureNotSent || e.Kind == FailureSilent
}

// ErrSuperseded is the cancellation cause of an attempt whose answer is no longer needed.
var ErrSuperseded = eris.New("another attempt answered first")

// Sender sends attempts to leaves and is safe for concurrent use; its errors are of type *AttemptError.
type Sender interface {
	Send(ctx context.Context, to Announcement, a Attempt) (Reply, error)
}
