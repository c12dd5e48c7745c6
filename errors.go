package samphirepass

import (
	"errors"
	"fmt"
)

// Code is the reason for a refusal.
type Code string

// The reasons for refusals.
const (
	CodeInvalid     Code = "invalid"
	CodeNotFound    Code = "not-found"
	CodeConflict    Code = "conflict"
	CodeUnavailable Code = "unavailable"
	// CodeStaleConfiguration means that the VM cannot confirm that its configuration is current.
	CodeStaleConfiguration Code = "stale-configuration"
	CodeOverloaded         Code = "overloaded"
	CodeDeadline           Code = "deadline-exceeded"
	// CodePartial means that shards are missing and the service refuses partial answers.
	CodePartial    Code = "partial-refused"
	CodeNoSnapshot Code = "no-snapshot"
	CodeStopping   Code = "stopping"
	// CodeNoPath means that the process reaches no leaf.
	CodeNoPath Code = "no-path"
	// CodeKeyExpired means that the run key is older than the records of runs that are kept.
	CodeKeyExpired Code = "key-expired"
	// CodeKeyMismatch means that the run key was used for another request.
	CodeKeyMismatch Code = "key-mismatch"
	// CodeKeyRunning means that the run with this key has not ended.
	CodeKeyRunning Code = "running"
	// CodeOutcomeUnknown means that the request may have run.
	CodeOutcomeUnknown Code = "outcome-unknown"
	// CodeForming means that the control processes have not formed their group yet.
	CodeForming Code = "forming"
	// CodeRestartWatch means that the requested events are no longer kept; the watcher lists and watches again.
	CodeRestartWatch  Code = "restart-watch"
	CodeUnknownCaller Code = "unknown-caller"
	CodeNotLeader     Code = "not-leader"
	// CodeUnauthorized means that the request has no key, or that of no account.
	CodeUnauthorized Code = "unauthorized"
	// CodeOverQuota means that the account's quota is used up.
	CodeOverQuota Code = "over-quota"
	// CodeQuarantined means that leaves crash when they run the request.
	CodeQuarantined Code = "quarantined"
)

// Refusal is an error with a code that callers can act on.
type Refusal struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Field is the path of the invalid field, if any.
	Field string `json:"field,omitempty"`
	// Allowed describes the allowed values of Field.
	Allowed string `json:"allowed,omitempty"`
	// NotRun promises that the request had no effect and will have none.
	NotRun bool `json:"not-run"`
	// RetryAfterMs is the time after which a retry is worthwhile, 0 if unknown.
	RetryAfterMs Millis `json:"retry-after-ms,omitempty"`
	// Leader is the VM of the leader, if Code is CodeNotLeader and the leader is known.
	Leader VM `json:"leader,omitempty"`
	// LeaderAddress is the peer address of Leader.
	LeaderAddress string `json:"leader-address,omitempty"`
}

// Error returns the code, the field and the message.
func (r *Refusal) Error() string {
	if r.Field != "" {
		return fmt.Sprintf("%s: %s: %s (allowed: %s)", r.Code, r.Field, r.Message, r.Allowed)
	}
	return fmt.Sprintf("%s: %s", r.Code, r.Message)
}

// Refuse returns a refusal with NotRun set.
func Refuse(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), NotRun: true}
}

// RefuseUnknown returns a refusal with CodeOutcomeUnknown: the request may have run.
func RefuseUnknown(format string, args ...any) *Refusal {
	return &Refusal{Code: CodeOutcomeUnknown, Message: fmt.Sprintf(format, args...)}
}

// AsRefusal returns the refusal in err's chain, or nil.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return nil
}
