package samphirepass

import (
	"errors"
	"fmt"
)

// Code is the reason for a refusal.
type Code string

// The reasons for refusals.
const (
	CodeInvalid            Code = "invalid"
	CodeNotFound           Code = "not-found"
	CodeConflict           Code = "conflict"
	CodeUnavailable        Code = "unavailable"
	CodeStaleConfiguration Code = "stale-configuration"
	CodeOverloaded         Code = "overloaded"
	CodeDeadline           Code = "deadline-exceeded"
	CodePartial            Code = "partial-refused"
	CodeNoSnapshot         Code = "no-snapshot"
	CodeStopping           Code = "stopping"
	CodeKeyExpired         Code = "key-expired"
	CodeKeyMismatch        Code = "key-mismatch"
	CodeKeyRunning         Code = "running"
	CodeOutcomeUnknown     Code = "outcome-unknown"
	CodeForming            Code = "forming"
	CodeRestartWatch       Code = "restart-watch"
	CodeUnknownCaller      Code = "unknown-caller"
	CodeNotLeader          Code = "not-leader"
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
