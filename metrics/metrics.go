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
	"samphirepass/buildinfo"
)

const (
	// maxLabelValues is the number of callers and routes that get a label value of their own.
	maxLabelValues = 200
	// overflowLabel is the label value that all further callers and routes share.
	overflowLabel   = "other"
	secondsPerMilli = 1e-3
)

// QueryResult is the result of a query or request, as a metrics label.
type QueryResult string

// Results of queries and requests.
const (
	QueryWhole   QueryResult = "whole"
	QueryPartial QueryResult = "partial"
	QueryRefused QueryResult = "refused"
)

// Metrics holds the metrics of one process. It is safe for concurrent use.
type Metrics struct {
	registry *prometheus.Registry
	queries  *prometheus.HistogramVec
	requests *prometheus.HistogramVec
	attempts *prometheus.CounterVec
	extra    *prometheus.CounterVec
	runs     *prometheus.CounterVec
	stages   *prometheus.HistogramVec
	cold     *prometheus.CounterVec
	// evacuated and uncovered are set from the evacuations in force.
	evacuated, uncovered prometheus.Gauge
	choices              *prometheus.CounterVec
	balanced             prometheus.Gauge
	repeats, relayed     *prometheus.CounterVec
	pathLost             prometheus.Gauge

	// totalAttempts and totalExtra are the sums of attempts and extra over all services.
	totalAttempts, totalExtra atomic.Int64

	// limits is nil unless EnableLimits has been called.
	limits *limitMetrics
	// accounts is nil until SetAccounts has been called.
	accounts atomic.Pointer[accountMetrics]

	mu sync.Mutex
	// labelValues holds the callers and routes that have a label value of their own.
	labelValues map[samphirepass.Caller]bool
}

// NewMetrics returns metrics with all counts at zero.
func NewMetrics() *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry(), labelValues: map[samphirepass.Caller]bool{}}
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
	m.stages = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "samphirepass_collect_stage_seconds", Help: "Time of collected requests by stage.",
		Buckets: []float64{.001, .002, .005, .01, .02, .03, .045, .06, .1, .15, .25, .5, 1},
	}, []string{"stage"})
	m.cold = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "samphirepass_cold_leaf_requests_total", Help: "Requests to cold leaves by what their shared limits decided: granted, refused, or returned as not sent.",
	}, []string{"outcome"})
	m.evacuated = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "samphirepass_evacuated_data_centres", Help: "Data centres whose leaves get no requests by an operator's order.",
	})
	m.uncovered = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "samphirepass_evacuation_uncovered_services", Help: "Services without a leaf outside the evacuated data centres, as of the last order.",
	})
	m.choices = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "samphirepass_leaf_choices_total", Help: "Choices of a leaf by reason.",
	}, []string{"reason"})
	m.balanced = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "samphirepass_balanced_services", Help: "Services whose leaves are chosen by weights because of what was measured.",
	})
	m.repeats = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "samphirepass_parts_repeated_total", Help: "Parts of requests that were delivered again, by outcome.",
	}, []string{"outcome"})
	m.relayed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "samphirepass_relayed_requests_total", Help: "Requests offered to other gateways as this one reaches no leaf of them, by outcome.",
	}, []string{"outcome"})
	m.pathLost = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "samphirepass_leaf_path_lost", Help: "1 while no leaf is reached, 0 otherwise.",
	})
	build := prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "samphirepass_build_info", Help: "Always 1; the labels tell which build the process runs.",
		ConstLabels: prometheus.Labels{"version": buildinfo.Version(), "build": buildinfo.ID()},
	})
	build.Set(1)
	m.registry.MustRegister(build, m.relayed, m.pathLost)
	m.registry.MustRegister(m.queries, m.requests, m.attempts, m.extra, m.runs, m.stages, m.cold, m.evacuated, m.uncovered, m.choices, m.balanced, m.repeats)
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// boundedLabel returns c, or overflowLabel if maxLabelValues other callers and routes have label values of their own.
func (m *Metrics) boundedLabel(c samphirepass.Caller) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.labelValues[c] {
		return string(c)
	}
	if len(m.labelValues) >= maxLabelValues {
		return overflowLabel
	}
	m.labelValues[c] = true
	return string(c)
}

// ObserveQuery records one query of a declared caller and its duration.
func (m *Metrics) ObserveQuery(s samphirepass.Service, c samphirepass.Caller, class samphirepass.Class, r QueryResult, took samphirepass.Millis) {
	m.queries.WithLabelValues(string(s), m.boundedLabel(c), string(class), string(r)).Observe(float64(took) * secondsPerMilli)
}

// ObserveRequest records one request of a client to a route and its duration.
func (m *Metrics) ObserveRequest(route string, rank int, r QueryResult, took samphirepass.Millis) {
	label := m.boundedLabel(samphirepass.Caller(route))
	m.requests.WithLabelValues(label, strconv.Itoa(rank), string(r)).Observe(float64(took) * secondsPerMilli)
}

// Attempts records the number of leaf requests of one query, and the number of hedges and retries among them.
func (m *Metrics) Attempts(s samphirepass.Service, all, extra int) {
	m.attempts.WithLabelValues(string(s)).Add(float64(all))
	m.extra.WithLabelValues(string(s)).Add(float64(extra))
	m.totalAttempts.Add(int64(all))
	m.totalExtra.Add(int64(extra))
}

// ColdLeafRequest records the outcome for a request to a cold leaf.
func (m *Metrics) ColdLeafRequest(outcome string) { m.cold.WithLabelValues(outcome).Inc() }

// LeafRequests returns the number of requests to leaves of all services, and the number of hedges and retries among them.
func (m *Metrics) LeafRequests() (all, extra int64) {
	return m.totalAttempts.Load(), m.totalExtra.Load()
}

// RepeatOutcome is how the second delivery of a part ended, as a metrics label.
type RepeatOutcome string

// Outcomes of parts that were delivered again.
const (
	// RepeatAnswered means that the second delivery answered first.
	RepeatAnswered RepeatOutcome = "answered"
	// RepeatOvertaken means that the first one did after all.
	RepeatOvertaken RepeatOutcome = "overtaken"
	// RepeatFailed means that neither did.
	RepeatFailed RepeatOutcome = "failed"
)

// PartRepeated counts a part that was delivered again.
func (m *Metrics) PartRepeated(outcome RepeatOutcome) {
	m.repeats.WithLabelValues(string(outcome)).Inc()
}

// RelayOutcome is how the offer of a request to other gateways ended, as a metrics label.
type RelayOutcome string

// Outcomes of requests that were offered to other gateways.
const (
	RelayTaken RelayOutcome = "taken"
	// RelayRefused means that no gateway took the request.
	RelayRefused RelayOutcome = "refused"
)

// RequestRelayed counts a request that was offered to other gateways.
func (m *Metrics) RequestRelayed(outcome RelayOutcome) {
	m.relayed.WithLabelValues(string(outcome)).Inc()
}

// SetPathLost records whether no leaf is reached.
func (m *Metrics) SetPathLost(lost bool) {
	m.pathLost.Set(0)
	if lost {
		m.pathLost.Set(1)
	}
}

// CollectStage is a stage of a collected request, as a metrics label.
type CollectStage string

// The stages of a collected request. The waits are the longest of its attempts, StageLeaf is the median.
const (
	// StageTransit is the delay on the way to the collector.
	StageTransit CollectStage = "transit"
	// StageStart is the time to start the first attempts.
	StageStart CollectStage = "start"
	// StageSendWait is the wait for a connection and for the processor.
	StageSendWait CollectStage = "send-wait"
	// StageLeaf is the time of a leaf, network included.
	StageLeaf CollectStage = "leaf"
	// StageHandleWait is the wait of an answer for the processor.
	StageHandleWait CollectStage = "handle-wait"
)

// ObserveStage records the duration of one stage of a collected request.
func (m *Metrics) ObserveStage(stage CollectStage, took samphirepass.Millis) {
	m.stages.WithLabelValues(string(stage)).Observe(float64(took) * secondsPerMilli)
}

// The descriptions of the metrics of clients.
var (
	clientBytes       = prometheus.NewDesc("samphirepass_client_memory_bytes", "Memory that clients hold, from the budget of the process.", nil, nil)
	messageBytes      = prometheus.NewDesc("samphirepass_message_memory_bytes", "Memory that messages of other processes hold, from their budget.", nil, nil)
	clientConnections = prometheus.NewDesc("samphirepass_client_connections", "Connections of clients.", nil, nil)
	clientRefusals    = prometheus.NewDesc("samphirepass_client_refusals_total", "Clients that were refused, by what they exceeded.", []string{"reason"}, nil)
	clientEvictions   = prometheus.NewDesc("samphirepass_client_evictions_total", "Clients that gave way to others, by what they did.", []string{"state"}, nil)
)

// clientCollector collects the metrics of clients.
type clientCollector func() samphirepass.ClientStats

// Describe implements prometheus.Collector.
func (clientCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{clientBytes, messageBytes, clientConnections, clientRefusals, clientEvictions} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c clientCollector) Collect(out chan<- prometheus.Metric) {
	stats := c()
	out <- prometheus.MustNewConstMetric(clientBytes, prometheus.GaugeValue, float64(stats.Bytes))
	out <- prometheus.MustNewConstMetric(messageBytes, prometheus.GaugeValue, float64(stats.MessageBytes))
	out <- prometheus.MustNewConstMetric(clientConnections, prometheus.GaugeValue, float64(stats.Connections))
	for reason, n := range stats.Refused {
		out <- prometheus.MustNewConstMetric(clientRefusals, prometheus.CounterValue, float64(n), reason)
	}
	for state, n := range stats.Evicted {
		out <- prometheus.MustNewConstMetric(clientEvictions, prometheus.CounterValue, float64(n), state)
	}
}

// ObserveClients adds the metrics of clients, which read returns at each collection.
func (m *Metrics) ObserveClients(read func() samphirepass.ClientStats) {
	m.registry.MustRegister(clientCollector(read))
}

// ObserveInFlight adds the metrics of requests in flight; read returns the bytes that they hold and the number of refused ones, at each
// collection.
func (m *Metrics) ObserveInFlight(read func() (bytes, refused int64)) {
	m.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "samphirepass_requests_in_flight_bytes", Help: "Memory that requests in flight hold, from their budget.",
		}, func() float64 {
			bytes, _ := read()
			return float64(bytes)
		}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "samphirepass_requests_in_flight_refused_total", Help: "Requests, and parts of them, that were refused as too many are in flight.",
		}, func() float64 {
			_, refused := read()
			return float64(refused)
		}),
	)
}

// ObserveLevels adds the metrics of levels; read returns the highest that this process reads and that of the log, at each collection.
func (m *Metrics) ObserveLevels(read func() (own, log samphirepass.Level)) {
	m.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "samphirepass_level", Help: "Highest level of the replicated log that this process reads.",
		}, func() float64 {
			own, _ := read()
			return float64(own)
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "samphirepass_log_level", Help: "Level of the replicated log, the lowest that its members read: nothing above it is written. 0 before this process is a member.",
		}, func() float64 {
			_, log := read()
			return float64(log)
		}),
	)
}

// Run records one run with its state.
func (m *Metrics) Run(s samphirepass.Service, state samphirepass.RunState) {
	m.runs.WithLabelValues(string(s), string(state)).Inc()
}

// SetEvacuations records the numbers of evacuated data centres and of services that have no leaf elsewhere.
func (m *Metrics) SetEvacuations(dataCentres, uncovered int) {
	m.evacuated.Set(float64(dataCentres))
	m.uncovered.Set(float64(uncovered))
}

// LeafChoice records the reason of a choice of a leaf.
func (m *Metrics) LeafChoice(reason string) { m.choices.WithLabelValues(reason).Inc() }

// BalancingSwitched records that a service is switched to or from choices by weights.
func (m *Metrics) BalancingSwitched(on bool) {
	if on {
		m.balanced.Inc()
	} else {
		m.balanced.Dec()
	}
}

// BalancingDropped records that n services that were switched on are not known any more.
func (m *Metrics) BalancingDropped(n int) { m.balanced.Sub(float64(n)) }

// Handler returns a handler that serves the metrics to Prometheus.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
