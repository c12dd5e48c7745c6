package caller

import (
	"net/http"
	"sync"

	"samphirepass"
	"samphirepass/blackboard"
	"samphirepass/control"
	"samphirepass/leaf"
	"samphirepass/metrics"
	"samphirepass/policy"
	"samphirepass/strict"
	"samphirepass/web"
)

// Options configures an API.
type Options struct {
	VM       samphirepass.VM
	Board    *blackboard.Board
	Gatherer *leaf.Gatherer
	Control  *control.Client
	Policy   policy.Set
	Metrics  *metrics.Metrics
	Clock    samphirepass.Clock
	// Serving reports whether the configuration is currently confirmed, so that requests may be served with it.
	Serving func() bool
}

// API serves the HTTP requests of callers. It is safe for concurrent use.
type API struct {
	opts Options

	mu        sync.Mutex
	admitters map[samphirepass.Service]samphirepass.Admitter

	// pendingOutcomes counts the outcomes that are being recorded.
	pendingOutcomes sync.WaitGroup
}

// New returns an API.
func New(opts Options) *API {
	return &API{opts: opts, admitters: map[samphirepass.Service]samphirepass.Admitter{}}
}

// Register adds the API's paths to mux.
func (a *API) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/services/{name}/query", a.query)
	mux.HandleFunc("POST /v1/services/{name}/run", a.run)
	mux.HandleFunc("GET /v1/runs/{key}", a.runState)
}

func (a *API) admitter(s samphirepass.Service) samphirepass.Admitter {
	a.mu.Lock()
	defer a.mu.Unlock()
	admitter := a.admitters[s]
	if admitter == nil {
		admitter = a.opts.Policy.NewAdmitter()
		a.admitters[s] = admitter
	}
	return admitter
}

// acceptedRequest holds the parameters that the configuration gives to a request.
type acceptedRequest struct {
	service  samphirepass.Service
	spec     samphirepass.ServiceSpec
	caller   samphirepass.Caller
	class    samphirepass.Class
	rank     int
	deadline samphirepass.Millis
}

// decode reads the request body into v and validates it.
func decode(w http.ResponseWriter, r *http.Request, v any) error {
	body, err := web.ReadBody(w, r)
	if err != nil {
		return err
	}
	return strict.DecodeRequest(body, v)
}

// accept looks up the service and the caller of a request in the configuration, and refuses what the configuration does not allow. A
// deadline of 0 means the deadline of the service.
func (a *API) accept(r *http.Request, caller samphirepass.Caller, deadline samphirepass.Millis) (acceptedRequest, error) {
	if !a.opts.Serving() {
		return acceptedRequest{}, samphirepass.Refuse(samphirepass.CodeStaleConfiguration, "this VM cannot confirm that its configuration is current")
	}
	cfg := a.opts.Board.Config.Value()
	req := acceptedRequest{service: samphirepass.Service(r.PathValue("name")), caller: caller}
	spec, ok := cfg.Services[req.service]
	if !ok {
		return req, samphirepass.Refuse(samphirepass.CodeNotFound, "no service %q", req.service)
	}
	declared, ok := cfg.Callers[caller]
	if !ok {
		return req, refuseField(samphirepass.CodeUnknownCaller, "caller", "the name of a declared caller", "no caller %q", caller)
	}
	req.spec, req.class = spec, declared.Class
	if req.rank, ok = spec.Rank(declared.Class); !ok {
		return req, refuseField(samphirepass.CodeUnknownCaller, "caller", "a caller of one of the service's classes", "class %q is not admitted", declared.Class)
	}
	if deadline > spec.DeadlineMs {
		return req, refuseField(samphirepass.CodeInvalid, "deadline-ms", "at most what the service declares", "%g is above %g", deadline, spec.DeadlineMs)
	}
	req.deadline = deadline
	if deadline == 0 {
		req.deadline = spec.DeadlineMs
	}
	return req, nil
}

// refuseField returns a refusal that names the invalid field and its allowed values.
func refuseField(code samphirepass.Code, field, allowed, format string, args ...any) error {
	r := samphirepass.Refuse(code, format, args...)
	r.Field, r.Allowed = field, allowed
	return r
}

// admissionRequest returns the request for admission. Its capacity is this entry's equal share of the leaves' slots.
func (a *API) admissionRequest(accepted acceptedRequest) samphirepass.AdmissionRequest {
	req := samphirepass.AdmissionRequest{Caller: accepted.caller, Rank: accepted.rank, DeadlineMs: accepted.deadline}
	if seats := len(a.opts.Board.Config.Value().Seats); seats > 0 {
		req.Capacity = float64(a.opts.Gatherer.Slots(accepted.service)) / float64(seats)
	}
	return req
}
