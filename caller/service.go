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

// Options set up an API.
type Options struct {
	VM       samphirepass.VM
	Board    *blackboard.Board
	Gatherer *leaf.Gatherer
	Control  *control.Client
	Policy   policy.Set
	Metrics  *metrics.Metrics
	Clock    samphirepass.Clock
	// Serving reports at this moment whether the configuration may be served with.
	Serving func() bool
}

// API answers callers and is safe for concurrent use.
type API struct {
	o Options

	mu        sync.Mutex
	admitters map[samphirepass.Service]samphirepass.Admitter

	// recording counts the outcomes that are being recorded.
	recording sync.WaitGroup
}

// New returns an API.
func New(o Options) *API {
	return &API{o: o, admitters: map[samphirepass.Service]samphirepass.Admitter{}}
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
	one := a.admitters[s]
	if one == nil {
		one = a.o.Policy.NewAdmitter()
		a.admitters[s] = one
	}
	return one
}

// accepted is what the configuration says of one request.
type accepted struct {
	service  samphirepass.Service
	spec     samphirepass.ServiceSpec
	caller   samphirepass.Caller
	class    samphirepass.Class
	rank     int
	deadline samphirepass.Millis
}

// decode reads a request's body and checks it.
func decode(w http.ResponseWriter, r *http.Request, v any) error {
	body, err := web.ReadBody(w, r)
	if err != nil {
		return err
	}
	return strict.DecodeRequest(body, v)
}

// accept looks the request up in the configuration and refuses what it does not allow.
func (a *API) accept(r *http.Request, caller samphirepass.Caller, deadline samphirepass.Millis) (accepted, error) {
	if !a.o.Serving() {
		return accepted{}, samphirepass.Refuse(samphirepass.CodeStaleConfiguration, "this VM cannot confirm that its configuration is current")
	}
	cfg := a.o.Board.Config.Value()
	out := accepted{service: samphirepass.Service(r.PathValue("name")), caller: caller}
	spec, ok := cfg.Services[out.service]
	if !ok {
		return out, samphirepass.Refuse(samphirepass.CodeNotFound, "no service %q", out.service)
	}
	declared, ok := cfg.Callers[caller]
	if !ok {
		return out, refuseField(samphirepass.CodeUnknownCaller, "caller", "the name of a declared caller", "no caller %q", caller)
	}
	out.spec, out.class = spec, declared.Class
	if out.rank, ok = spec.Rank(declared.Class); !ok {
		return out, refuseField(samphirepass.CodeUnknownCaller, "caller", "a caller of one of the service's classes", "class %q is not admitted", declared.Class)
	}
	if deadline > spec.DeadlineMs {
		return out, refuseField(samphirepass.CodeInvalid, "deadline-ms", "at most what the service declares", "%g is above %g", deadline, spec.DeadlineMs)
	}
	out.deadline = deadline
	if deadline == 0 {
		out.deadline = spec.DeadlineMs
	}
	return out, nil
}

func refuseField(code samphirepass.Code, field, allowed, format string, args ...any) error {
	r := samphirepass.Refuse(code, format, args...)
	r.Field, r.Allowed = field, allowed
	return r
}

// ticket asks for admission with this entry's part of the leaves' slots.
func (a *API) ticket(acc accepted) samphirepass.AdmissionRequest {
	t := samphirepass.AdmissionRequest{Caller: acc.caller, Rank: acc.rank, DeadlineMs: acc.deadline}
	if seats := len(a.o.Board.Config.Value().Seats); seats > 0 {
		t.Capacity = float64(a.o.Gatherer.Slots(acc.service)) / float64(seats)
	}
	return t
}
