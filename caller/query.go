package caller

import (
	"context"
	"net/http"

	"github.com/google/uuid"

	"samphirepass"
	"samphirepass/leaf"
	"samphirepass/metrics"
	"samphirepass/web"
)

// partialRefusalBody is the response to a partially answered query whose service refuses partial answers.
type partialRefusalBody struct {
	Error    *samphirepass.Refusal `json:"error"`
	Coverage samphirepass.Coverage `json:"coverage"`
	Snapshot samphirepass.Snapshot `json:"snapshot"`
}

func (a *API) query(w http.ResponseWriter, r *http.Request) {
	arrival := a.opts.Clock.Now()
	var q samphirepass.Query
	if err := decode(w, r, &q); err != nil {
		web.WriteError(w, err)
		return
	}
	accepted, err := a.accept(r, q.Caller, q.DeadlineMs)
	if err != nil {
		web.WriteError(w, err)
		return
	}
	answer, err := a.gather(r.Context(), accepted, q, arrival)
	elapsed := a.opts.Clock.Now() - arrival
	if err != nil {
		a.opts.Metrics.ObserveQuery(accepted.service, accepted.caller, accepted.class, metrics.QueryRefused, elapsed)
		web.WriteError(w, err)
		return
	}
	a.writeAnswer(w, accepted, answer, elapsed)
}

// writeAnswer sends a whole answer, a partial answer if the service allows it, or else a refusal with the coverage.
func (a *API) writeAnswer(w http.ResponseWriter, accepted acceptedRequest, answer samphirepass.Answer, elapsed samphirepass.Millis) {
	switch {
	case answer.Whole:
		a.opts.Metrics.ObserveQuery(accepted.service, accepted.caller, accepted.class, metrics.QueryWhole, elapsed)
	case accepted.spec.Partial == samphirepass.PartialAllowed:
		a.opts.Metrics.ObserveQuery(accepted.service, accepted.caller, accepted.class, metrics.QueryPartial, elapsed)
	default:
		a.opts.Metrics.ObserveQuery(accepted.service, accepted.caller, accepted.class, metrics.QueryRefused, elapsed)
		refusal := samphirepass.Refuse(samphirepass.CodePartial, "%d of %d shards answered and the service refuses partial answers", answer.Coverage.Answered, answer.Coverage.Total)
		// A query has no effects, but its attempts have been sent to leaves.
		refusal.NotRun = false
		web.WriteJSON(w, web.Status(refusal.Code), partialRefusalBody{Error: refusal, Coverage: answer.Coverage, Snapshot: answer.Snapshot})
		return
	}
	web.WriteJSON(w, http.StatusOK, answer)
}

// gather admits the query, sends it to one leaf of each shard and merges the replies.
func (a *API) gather(ctx context.Context, accepted acceptedRequest, q samphirepass.Query, arrival samphirepass.Millis) (samphirepass.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, accepted.deadline.Duration())
	defer cancel()
	admitter := a.admitter(accepted.service)
	permit, err := admitter.Admit(ctx.Done(), a.admissionRequest(accepted))
	if err != nil {
		return samphirepass.Answer{}, err
	}
	admitted := a.opts.Clock.Now()
	req := leaf.GatherRequest{
		ID: samphirepass.RequestID(uuid.NewString()), Service: accepted.service, Spec: accepted.spec,
		DeadlineMs: accepted.deadline - (admitted - arrival), Body: q.Query,
		Congested: admitter.Congested(), Progress: permit.SetRemaining,
	}
	result, err := a.opts.Gatherer.Gather(ctx, req)
	permit.Release(samphirepass.Outcome{LatencyMs: a.opts.Clock.Now() - admitted, HalfAnsweredMs: result.HalfAnsweredMs, Shed: result.Shed})
	if err != nil {
		return samphirepass.Answer{}, err
	}
	a.opts.Metrics.Attempts(accepted.service, result.Attempts, result.Extra)
	return samphirepass.Answer{
		RequestID: req.ID, Service: accepted.service, Snapshot: result.Snapshot, Coverage: result.Coverage,
		Whole: result.Coverage.Whole(), Items: result.Items,
	}, nil
}
