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
	// Key is set for a request that may not be repeated.
	Key RunKey
	// DeadlineMs is the time that the leaf has, without the network's share.
	DeadlineMs Millis
	// ExpectedMs is how long requests of this kind usually take, on which a leaf's latencies are scaled; 0 if that is not known.
	ExpectedMs Millis
	Body       []byte
	// Forwarded is set for a client's request that is passed on unchanged, in place of Body.
	Forwarded *ForwardedRequest
	// AtMostOnce is set where a second run would do harm.
	AtMostOnce bool
}

// Reply is a leaf's answer to one attempt, checked against it.
type Reply struct {
	Body []byte
	// Partial is set where the leaf itself did not search all of its shard.
	Partial bool
	// Load is the fraction of its slots that the leaf had taken or queued for.
	Load float64
	// WorkedMs is the time that the request spent in the leaf.
	WorkedMs Millis
	// Answer is set for a passed-on request.
	Answer *LeafAnswer
}

// FailureKind names a way in which an attempt fails.
type FailureKind string

// The ways in which an attempt fails.
const (
	// FailureShed is a refusal by the leaf, which did no work.
	FailureShed FailureKind = "shed"
	// FailureNotHeld is a refusal by a leaf that does not hold the shard of that snapshot.
	FailureNotHeld FailureKind = "not-held"
	// FailureMismatch is an answer to something else.
	FailureMismatch FailureKind = "mismatch"
	// FailureNotSent tells that no byte of the request left.
	FailureNotSent FailureKind = "not-sent"
	// FailureSilent tells that the connection gave no byte for long while another of the same leaf proved dead.
	FailureSilent FailureKind = "silent"
	// FailureAnswered tells that the leaf ran the request and answered that it failed.
	FailureAnswered FailureKind = "answered"
	// FailureGone tells that another leaf answers at the address, which did no work.
	FailureGone FailureKind = "gone"
	// FailureLost tells that the connection broke or the time passed before a whole answer came.
	FailureLost FailureKind = "lost"
)

// AttemptError tells how an attempt failed.
type AttemptError struct {
	Kind FailureKind
	Err  error
	// Reply is the leaf's own answer where Kind is FailureAnswered.
	Reply Reply
}

// Error returns the kind and the cause.
func (e *AttemptError) Error() string {
	return "attempt " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Err }

// NotRun reports whether the leaf certainly did nothing.
func (e *AttemptError) NotRun() bool {
	return e.Kind == FailureShed || e.Kind == FailureNotHeld || e.Kind == FailureNotSent || e.Kind == FailureGone
}

// CausedNoLoad reports whether the leaf had no work from the attempt, so that another one is no extra load.
func (e *AttemptError) CausedNoLoad() bool {
	return e.Kind == FailureNotSent || e.Kind == FailureSilent
}

// ErrSuperseded is the cause of cancelling an attempt that a later one on the same shard has overtaken.
var ErrSuperseded = eris.New("another attempt answered first")

// Sender sends attempts to leaves and is safe for concurrent use; its errors are of type *AttemptError.
type Sender interface {
	Send(ctx context.Context, to Announcement, a Attempt) (Reply, error)
}
