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

// partialBody is the answer to a query whose service refuses partial answers.
type partialBody struct {
	Error    *samphirepass.Refusal `json:"error"`
	Coverage samphirepass.Coverage `json:"coverage"`
	Snapshot samphirepass.Snapshot `json:"snapshot"`
}

func (a *API) query(w http.ResponseWriter, r *http.Request) {
	began := a.o.Clock.Now()
	var q samphirepass.Query
	if err := decode(w, r, &q); err != nil {
		web.WriteError(w, err)
		return
	}
	acc, err := a.accept(r, q.Caller, q.DeadlineMs)
	if err != nil {
		web.WriteError(w, err)
		return
	}
	answer, err := a.answer(r.Context(), acc, q, began)
	took := a.o.Clock.Now() - began
	if err != nil {
		a.o.Metrics.Query(acc.service, acc.caller, acc.class, metrics.QueryRefused, took)
		web.WriteError(w, err)
		return
	}
	a.reply(w, acc, answer, took)
}

// reply sends what the service allows: a whole answer, a partial one that says so, or a refusal with the coverage.
func (a *API) reply(w http.ResponseWriter, acc accepted, answer samphirepass.Answer, took samphirepass.Millis) {
	switch {
	case answer.Whole:
		a.o.Metrics.Query(acc.service, acc.caller, acc.class, metrics.QueryWhole, took)
	case acc.spec.Partial == samphirepass.PartialAllowed:
		a.o.Metrics.Query(acc.service, acc.caller, acc.class, metrics.QueryPartial, took)
	default:
		a.o.Metrics.Query(acc.service, acc.caller, acc.class, metrics.QueryRefused, took)
		refusal := samphirepass.Refuse(samphirepass.CodePartial, "%d of %d shards answered and the service refuses partial answers", answer.Coverage.Answered, answer.Coverage.Total)
		// A query has no effects, but its shards have been asked.
		refusal.NotRun = false
		web.WriteJSON(w, web.Status(refusal.Code), partialBody{Error: refusal, Coverage: answer.Coverage, Snapshot: answer.Snapshot})
		return
	}
	web.WriteJSON(w, http.StatusOK, answer)
}

func (a *API) answer(ctx context.Context, acc accepted, q samphirepass.Query, began samphirepass.Millis) (samphirepass.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, acc.deadline.Duration())
	defer cancel()
	admitter := a.admitter(acc.service)
	permit, err := admitter.Admit(ctx.Done(), a.ticket(acc))
	if err != nil {
		return samphirepass.Answer{}, err
	}
	started := a.o.Clock.Now()
	req := leaf.GatherRequest{
		ID: samphirepass.RequestID(uuid.NewString()), Service: acc.service, Spec: acc.spec,
		DeadlineMs: acc.deadline - (started - began), Body: q.Query,
		Congested: admitter.Congested(), Progress: permit.SetRemaining,
	}
	g, err := a.o.Gatherer.Gather(ctx, req)
	permit.Release(samphirepass.Outcome{LatencyMs: a.o.Clock.Now() - started, HalfAnsweredMs: g.HalfMs, Shed: g.Shed})
	if err != nil {
		return samphirepass.Answer{}, err
	}
	a.o.Metrics.Attempts(acc.service, g.Attempts, g.Extra)
	return samphirepass.Answer{
		RequestID: req.ID, Service: acc.service, Snapshot: g.Snapshot, Coverage: g.Coverage,
		Whole: g.Coverage.Whole(), Items: g.Items,
	}, nil
}
