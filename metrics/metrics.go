package metrics

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"samphirepass"
)

const (
	// maxCallers bounds the label values for callers; further ones share one.
	maxCallers = 200
	// otherCallers is the label of callers beyond maxCallers.
	otherCallers = "other"
	millisToSecs = 1e-3
)

// QueryResult names how a query ended, as a metrics label.
type QueryResult string

// The ways in which a query ends.
const (
	QueryWhole   QueryResult = "whole"
	QueryPartial QueryResult = "partial"
	QueryRefused QueryResult = "refused"
)

// Metrics are the figures of one process; they are safe for concurrent use.
type Metrics struct {
	registry *prometheus.Registry
	queries  *prometheus.HistogramVec
	requests *prometheus.HistogramVec
	attempts *prometheus.CounterVec
	extra    *prometheus.CounterVec
	runs     *prometheus.CounterVec

	// all and allExtra sum up the counters over all services.
	all, allExtra atomic.Int64

	mu      sync.Mutex
	callers map[samphirepass.Caller]bool
}

// NewMetrics returns metrics that are zero.
func NewMetrics() *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry(), callers: map[samphirepass.Caller]bool{}}
	m.queries = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "samphirepass_query_seconds", Help: "Time of queries by caller, class and result.",
		Buckets: []float64{.002, .005, .01, .02, .03, .05, .075, .1, .17, .25, .5, 1, 2.5},
	}, []string{"service", "caller", "class", "result"})
	m.requests = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "samphirepass_request_seconds", Help: "Time of clients' requests by route, rank and result.",
		Buckets: []float64{.01, .02, .03, .045, .06, .08, .1, .12, .15, .2, .3, .5, .75, 1, 2.5, 5},
	}, []string{"route", "rank", "result"})
	m.attempts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "samphirepass_leaf_requests_total", Help: "Requests to leaves.",
	}, []string{"service"})
	m.extra = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "samphirepass_extra_leaf_requests_total", Help: "Hedges and retries among the requests to leaves.",
	}, []string{"service"})
	m.runs = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "samphirepass_runs_total", Help: "Requests that may not be repeated, by how they ended.",
	}, []string{"service", "state"})
	m.registry.MustRegister(m.queries, m.requests, m.attempts, m.extra, m.runs)
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func (m *Metrics) callerLabel(c samphirepass.Caller) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.callers[c] {
		return string(c)
	}
	if len(m.callers) >= maxCallers {
		return otherCallers
	}
	m.callers[c] = true
	return string(c)
}

// Query records one query of a declared caller.
func (m *Metrics) Query(s samphirepass.Service, c samphirepass.Caller, class samphirepass.Class, r QueryResult, took samphirepass.Millis) {
	m.queries.WithLabelValues(string(s), m.callerLabel(c), string(class), string(r)).Observe(float64(took) * millisToSecs)
}

// Request records one request of a client to a route.
func (m *Metrics) Request(route string, rank int, r QueryResult, took samphirepass.Millis) {
	label := m.callerLabel(samphirepass.Caller(route))
	m.requests.WithLabelValues(label, strconv.Itoa(rank), string(r)).Observe(float64(took) * millisToSecs)
}

// Attempts records the leaf requests of one query.
func (m *Metrics) Attempts(s samphirepass.Service, all, extra int) {
	m.attempts.WithLabelValues(string(s)).Add(float64(all))
	m.extra.WithLabelValues(string(s)).Add(float64(extra))
	m.all.Add(int64(all))
	m.allExtra.Add(int64(extra))
}

// LeafRequests returns the requests to leaves over all services, and the hedges and retries among them.
func (m *Metrics) LeafRequests() (all, extra int64) {
	return m.all.Load(), m.allExtra.Load()
}

// Run records one run.
func (m *Metrics) Run(s samphirepass.Service, state samphirepass.RunState) {
	m.runs.WithLabelValues(string(s), string(state)).Inc()
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
