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

// runMarginMs is added to a run's deadline before its record counts as one of unknown outcome.
const runMarginMs samphirepass.Millis = 2000

// uuidVersion7 is the version of the UUIDs that hold their time.
const uuidVersion7 = 7

// RunAnswer tells what became of a run.
type RunAnswer struct {
	Key     samphirepass.RunKey   `json:"key"`
	Service samphirepass.Service  `json:"service"`
	State   samphirepass.RunState `json:"state"`
	Outcome json.RawMessage       `json:"outcome,omitempty"`
}

// keyTime returns the wall time inside a key.
func keyTime(key samphirepass.RunKey) (samphirepass.Millis, error) {
	id, err := uuid.Parse(string(key))
	if err != nil || id.Version() != uuidVersion7 || id.String() != string(key) {
		return 0, refuseField(samphirepass.CodeInvalid, "key", "a UUID version 7 in lower case", "not a key")
	}
	sec, nsec := id.Time().UnixTime()
	return samphirepass.Millis(sec)*1000 + samphirepass.Millis(nsec)/1e6, nil
}

// digest covers everything that makes two requests with one key the same request, but for white space.
func digest(service samphirepass.Service, r samphirepass.Run) uint64 {
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
	acc, err := a.accept(r, run.Caller, run.DeadlineMs)
	if err != nil {
		web.WriteError(w, err)
		return
	}
	// A caller that hangs up must not leave its run without a recorded outcome.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), acc.deadline.Duration())
	defer cancel()
	answer, err := a.runOnce(ctx, acc, run, keyMs)
	if err != nil {
		web.WriteError(w, err)
		return
	}
	a.o.Metrics.Run(acc.service, answer.State)
	web.WriteJSON(w, http.StatusOK, answer)
}

// runOnce claims the key, sends the run and records its outcome.
func (a *API) runOnce(ctx context.Context, acc accepted, run samphirepass.Run, keyMs samphirepass.Millis) (RunAnswer, error) {
	permit, err := a.admitter(acc.service).Admit(ctx.Done(), a.ticket(acc))
	if err != nil {
		return RunAnswer{}, err
	}
	defer permit.Release(samphirepass.Outcome{})
	claim := ledger.Claim{
		Service: acc.service, Caller: run.Caller, Key: run.Key, KeyMs: keyMs, Digest: digest(acc.service, run),
		Token: string(a.o.VM) + "/" + uuid.NewString(), DeadlineMs: acc.deadline + runMarginMs, RetentionMs: acc.spec.RunRetention(),
	}
	result, err := a.o.Control.Propose(ctx, ledger.Command{Claim: &claim})
	if err != nil {
		// Without the claim nothing is sent; should it still commit, its token is never used again.
		return RunAnswer{}, samphirepass.Refuse(samphirepass.CodeUnavailable, "the key could not be claimed, use a new one: %v", err)
	}
	if !result.Claim.Granted {
		return known(acc.service, run.Key, *result.Claim)
	}
	return a.sendRun(ctx, acc, run, claim)
}

// known answers a run whose key was not granted.
func known(service samphirepass.Service, key samphirepass.RunKey, c ledger.ClaimResult) (RunAnswer, error) {
	switch c.Code {
	case "":
		return recorded(c.Record)
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

// recorded turns a record into an answer; only the state done has an outcome.
func recorded(r samphirepass.RunRecord) (RunAnswer, error) {
	if r.State == samphirepass.RunRunning {
		return RunAnswer{}, &samphirepass.Refusal{Code: samphirepass.CodeKeyRunning, Message: "the key is being run; ask again for its outcome", Field: "key"}
	}
	if r.State == samphirepass.RunUnknown {
		return RunAnswer{}, samphirepass.RefuseUnknown("the key was claimed, and whether it ran is not known")
	}
	return RunAnswer{Key: r.Key, Service: r.Service, State: r.State, Outcome: r.Outcome}, nil
}

func (a *API) sendRun(ctx context.Context, acc accepted, run samphirepass.Run, claim ledger.Claim) (RunAnswer, error) {
	k, attempt, err := a.o.Gatherer.Pick(acc.service, run.Route)
	if err != nil {
		return RunAnswer{}, a.recordNotRun(ctx, claim, err)
	}
	attempt.Request = samphirepass.RequestID(uuid.NewString())
	attempt.Key, attempt.Body = run.Key, run.Body
	if deadline, ok := ctx.Deadline(); ok {
		attempt.DeadlineMs = samphirepass.MillisOf(time.Until(deadline))
	}
	reply, err := a.o.Gatherer.Run(ctx, k, attempt)
	if err != nil {
		return RunAnswer{}, a.runFailed(ctx, claim, k, err)
	}
	answer := RunAnswer{Key: run.Key, Service: acc.service, State: samphirepass.RunDone, Outcome: reply.Body}
	a.recordDone(ctx, claim, reply.Body)
	return answer, nil
}

// recordDone records the outcome before the answer goes out, but lets no record delay the answer past its deadline.
func (a *API) recordDone(ctx context.Context, claim ledger.Claim, outcome json.RawMessage) {
	recorded := make(chan struct{})
	a.recording.Add(1)
	go func() {
		defer a.recording.Done()
		defer close(recorded)
		// A record that cannot be written leaves resends of the key with an unknown outcome.
		_ = a.record(ctx, claim, samphirepass.RunDone, outcome)
	}()
	select {
	case <-recorded:
	case <-ctx.Done():
	}
}

// Wait returns once all outcomes are recorded or given up.
func (a *API) Wait() {
	a.recording.Wait()
}

// runFailed promises not-run only where the leaf certainly did nothing.
func (a *API) runFailed(ctx context.Context, claim ledger.Claim, k leaf.Registration, err error) error {
	var failure *samphirepass.AttemptError
	if errors.As(err, &failure) && failure.NotRun() {
		return a.recordNotRun(ctx, claim, samphirepass.Refuse(samphirepass.CodeUnavailable, "leaf %s did not take the run: %v", k.Leaf, err))
	}
	a.o.Metrics.Run(claim.Service, samphirepass.RunUnknown)
	_ = a.record(ctx, claim, samphirepass.RunUnknown, nil)
	return samphirepass.RefuseUnknown("leaf %s may have run it: %v", k.Leaf, err)
}

// recordNotRun frees the key; where that cannot be recorded, resends of the key will hear of an unknown outcome.
func (a *API) recordNotRun(ctx context.Context, claim ledger.Claim, cause error) error {
	a.o.Metrics.Run(claim.Service, samphirepass.RunNotRun)
	if err := a.record(ctx, claim, samphirepass.RunNotRun, nil); err != nil {
		return samphirepass.Refuse(samphirepass.CodeUnavailable, "%v; use a new key, this one could not be freed", cause)
	}
	return cause
}

// record writes an outcome, with a little time of its own where the run used up its deadline.
func (a *API) record(ctx context.Context, claim ledger.Claim, state samphirepass.RunState, outcome json.RawMessage) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), runMarginMs.Duration())
	defer cancel()
	cmd := ledger.Command{Outcome: &ledger.Outcome{Key: claim.Key, Token: claim.Token, State: state, Outcome: outcome}}
	result, err := a.o.Control.Propose(ctx, cmd)
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
	reply, err := a.o.Control.Run(r.Context(), key)
	if err != nil {
		web.WriteError(w, err)
		return
	}
	if !reply.Found {
		refusal := samphirepass.Refuse(samphirepass.CodeNotFound, "no request with this key was claimed")
		// A request with the key may still be on its way.
		refusal.NotRun = false
		web.WriteError(w, refusal)
		return
	}
	rec := reply.Record
	web.WriteJSON(w, http.StatusOK, RunAnswer{Key: rec.Key, Service: rec.Service, State: rec.State, Outcome: rec.Outcome})
}
