package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"samphirepass"
	"samphirepass/leaf"
	"samphirepass/ledger"
	"samphirepass/web"
)

// outcomeMarginMs is the time allowed for recording an outcome. It is added to the deadline of a run before its outcome counts as
// unknown.
const outcomeMarginMs samphirepass.Millis = 2000

// uuidVersion7 is the version number of UUIDs that start with a timestamp.
const uuidVersion7 = 7

// RunAnswer is the response body that describes the state of a run and, once it is done, its outcome.
type RunAnswer struct {
	Key     samphirepass.RunKey   `json:"key"`
	Service samphirepass.Service  `json:"service"`
	State   samphirepass.RunState `json:"state"`
	Outcome json.RawMessage       `json:"outcome,omitempty"`
}

// keyTime returns the wall time encoded in a run key, which must be a UUID version 7 in lower case.
func keyTime(key samphirepass.RunKey) (samphirepass.Millis, error) {
	id, err := uuid.Parse(string(key))
	if err != nil || id.Version() != uuidVersion7 || id.String() != string(key) {
		return 0, refuseField(samphirepass.CodeInvalid, "key", "a UUID version 7 in lower case", "not a key")
	}
	sec, nsec := id.Time().UnixTime()
	return samphirepass.Millis(sec)*1000 + samphirepass.Millis(nsec)/1e6, nil
}

// requestDigest hashes the parts in which two runs under the same key must agree: service, caller, route and body. Insignificant
// white space in the body is ignored.
func requestDigest(service samphirepass.Service, r samphirepass.Run) uint64 {
	var compact bytes.Buffer
	if json.Compact(&compact, r.Body) == nil {
		r.Body = compact.Bytes()
	}
	return xxhash.Sum64String(fmt.Sprintf("%q %q %q %q", service, r.Caller, r.Route, r.Body))
}

func (a *API) run(w http.ResponseWriter, r *http.Request) {
	var run samphirepass.Run
	if err := decode(w, r, &run); err != nil {
		web.WriteError(w, err)
		return
	}
	keyMs, err := keyTime(run.Key)
	if err != nil {
		web.WriteError(w, err)
		return
	}
	accepted, err := a.accept(r, run.Caller, run.DeadlineMs)
	if err != nil {
		web.WriteError(w, err)
		return
	}
	// The outcome must be recorded even if the caller disconnects.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), accepted.deadline.Duration())
	defer cancel()
	answer, err := a.runOnce(ctx, accepted, run, keyMs)
	if err != nil {
		web.WriteError(w, err)
		return
	}
	a.opts.Metrics.Run(accepted.service, answer.State)
	web.WriteJSON(w, http.StatusOK, answer)
}

// runOnce claims the key, sends the run and records its outcome.
func (a *API) runOnce(ctx context.Context, accepted acceptedRequest, run samphirepass.Run, keyMs samphirepass.Millis) (RunAnswer, error) {
	permit, err := a.admitter(accepted.service).Admit(ctx.Done(), a.admissionRequest(accepted))
	if err != nil {
		return RunAnswer{}, err
	}
	defer permit.Release(samphirepass.Outcome{})
	claim := ledger.Claim{
		Service: accepted.service, Caller: run.Caller, Key: run.Key, KeyMs: keyMs, Digest: requestDigest(accepted.service, run),
		Token: string(a.opts.VM) + "/" + uuid.NewString(), DeadlineMs: accepted.deadline + outcomeMarginMs, RetentionMs: accepted.spec.RunRetention(),
	}
	result, err := a.opts.Control.Propose(ctx, ledger.Command{Claim: &claim})
	if err != nil {
		// Nothing is sent without a claim. The claim may still be committed later, but its token is never used again.
		return RunAnswer{}, samphirepass.Refuse(samphirepass.CodeUnavailable, "the key could not be claimed, use a new one: %v", err)
	}
	if !result.Claim.Granted {
		return ungrantedAnswer(accepted.service, run.Key, *result.Claim)
	}
	return a.sendRun(ctx, accepted, run, claim)
}

// ungrantedAnswer returns the answer or the refusal for a run whose claim was not granted.
func ungrantedAnswer(service samphirepass.Service, key samphirepass.RunKey, c ledger.ClaimResult) (RunAnswer, error) {
	switch c.Code {
	case "":
		return recordedAnswer(c.Record)
	case samphirepass.CodeKeyExpired:
		return RunAnswer{}, refuseField(c.Code, "key", "a key younger than the service's retention", "the key is too old")
	case samphirepass.CodeKeyMismatch:
		r := refuseField(c.Code, "key", "a new key for each new request", "the key belongs to another request")
		return RunAnswer{}, r
	case samphirepass.CodeInvalid:
		return RunAnswer{}, refuseField(c.Code, "key", "a key whose time is not ahead", "the key's time lies in the future")
	default:
		return RunAnswer{}, samphirepass.Refuse(c.Code, "service %q cannot take key %s now", service, key)
	}
}

// recordedAnswer converts a record to an answer. Running and unknown runs are refused; only done runs have an outcome.
func recordedAnswer(r samphirepass.RunRecord) (RunAnswer, error) {
	if r.State == samphirepass.RunRunning {
		return RunAnswer{}, &samphirepass.Refusal{Code: samphirepass.CodeKeyRunning, Message: "the key is being run; ask again for its outcome", Field: "key"}
	}
	if r.State == samphirepass.RunUnknown {
		return RunAnswer{}, samphirepass.RefuseUnknown("the key was claimed, and whether it ran is not known")
	}
	return RunAnswer{Key: r.Key, Service: r.Service, State: r.State, Outcome: r.Outcome}, nil
}

func (a *API) sendRun(ctx context.Context, accepted acceptedRequest, run samphirepass.Run, claim ledger.Claim) (RunAnswer, error) {
	reg, attempt, err := a.opts.Gatherer.Pick(accepted.service, run.Route)
	if err != nil {
		return RunAnswer{}, a.recordNotRun(ctx, claim, err)
	}
	attempt.Request = samphirepass.RequestID(uuid.NewString())
	attempt.Key, attempt.Body = run.Key, run.Body
	if deadline, ok := ctx.Deadline(); ok {
		attempt.ExpiresAtMs = a.opts.Clock.Now() + samphirepass.MillisOf(time.Until(deadline))
	}
	reply, err := a.opts.Gatherer.Run(ctx, reg, attempt)
	if err != nil {
		return RunAnswer{}, a.handleRunError(ctx, claim, reg, err)
	}
	answer := RunAnswer{Key: run.Key, Service: accepted.service, State: samphirepass.RunDone, Outcome: reply.Body}
	a.recordDone(ctx, claim, reply.Body)
	return answer, nil
}

// recordDone records the outcome before the answer is sent, but waits for the record no longer than the deadline of ctx.
func (a *API) recordDone(ctx context.Context, claim ledger.Claim, outcome json.RawMessage) {
	done := make(chan struct{})
	a.pendingOutcomes.Add(1)
	go func() {
		defer a.pendingOutcomes.Done()
		defer close(done)
		// If the outcome cannot be recorded, requests that resend the key get an unknown outcome.
		_ = a.recordOutcome(ctx, claim, samphirepass.RunDone, outcome)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Wait blocks until each pending outcome has been recorded or its recording has failed.
func (a *API) Wait() {
	a.pendingOutcomes.Wait()
}

// handleRunError records how a run failed and returns its refusal, which states not-run only if it is certain that the leaf did not run
// it.
func (a *API) handleRunError(ctx context.Context, claim ledger.Claim, reg leaf.Registration, err error) error {
	var failure *samphirepass.AttemptError
	if errors.As(err, &failure) && failure.NotRun() {
		return a.recordNotRun(ctx, claim, samphirepass.Refuse(samphirepass.CodeUnavailable, "leaf %s did not take the run: %v", reg.Leaf, err))
	}
	a.opts.Metrics.Run(claim.Service, samphirepass.RunUnknown)
	_ = a.recordOutcome(ctx, claim, samphirepass.RunUnknown, nil)
	return samphirepass.RefuseUnknown("leaf %s may have run it: %v", reg.Leaf, err)
}

// recordNotRun records that the run did not take place, which frees its key, and returns cause. If that cannot be recorded, requests
// that resend the key get an unknown outcome.
func (a *API) recordNotRun(ctx context.Context, claim ledger.Claim, cause error) error {
	a.opts.Metrics.Run(claim.Service, samphirepass.RunNotRun)
	if err := a.recordOutcome(ctx, claim, samphirepass.RunNotRun, nil); err != nil {
		return samphirepass.Refuse(samphirepass.CodeUnavailable, "%v; use a new key, this one could not be freed", cause)
	}
	return cause
}

// recordOutcome writes an outcome to the log within outcomeMarginMs, independent of the deadline of ctx, which may have passed.
func (a *API) recordOutcome(ctx context.Context, claim ledger.Claim, state samphirepass.RunState, outcome json.RawMessage) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeMarginMs.Duration())
	defer cancel()
	cmd := ledger.Command{Outcome: &ledger.Outcome{Key: claim.Key, Token: claim.Token, State: state, Outcome: outcome}}
	result, err := a.opts.Control.Propose(ctx, cmd)
	if err != nil {
		return fmt.Errorf("record outcome: %w", err)
	}
	if result.Code != "" {
		return samphirepass.Refuse(result.Code, "the record has moved on")
	}
	return nil
}

func (a *API) runState(w http.ResponseWriter, r *http.Request) {
	key := samphirepass.RunKey(r.PathValue("key"))
	if _, err := keyTime(key); err != nil {
		web.WriteError(w, err)
		return
	}
	reply, err := a.opts.Control.Run(r.Context(), key)
	if err != nil {
		web.WriteError(w, err)
		return
	}
	if !reply.Found {
		refusal := samphirepass.Refuse(samphirepass.CodeNotFound, "no request with this key was claimed")
		// A run with this key may still be in flight.
		refusal.NotRun = false
		web.WriteError(w, refusal)
		return
	}
	rec := reply.Record
	web.WriteJSON(w, http.StatusOK, RunAnswer{Key: rec.Key, Service: rec.Service, State: rec.State, Outcome: rec.Outcome})
}
