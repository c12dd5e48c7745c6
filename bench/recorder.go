package bench

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"samphirepass"
)

// Totals counts the outcomes of the requests of a load and summarizes their latencies.
type Totals struct {
	Requests int `json:"requests"`
	Whole    int `json:"whole"`
	Partial  int `json:"partial"`
	// Refused counts all requests without an answer, including those that timed out.
	Refused int `json:"refused"`
	// Wrong counts answers that Check rejects.
	Wrong int `json:"wrong"`
	// P50Ms and P99Ms are latency quantiles of the whole answers.
	P50Ms samphirepass.Millis `json:"p50-ms"`
	P99Ms samphirepass.Millis `json:"p99-ms"`
	// ExtraLoadPercent is the number of hedges and retries as a percentage of the first requests to leaves.
	ExtraLoadPercent samphirepass.Percent `json:"extra-load-percent"`
}

const (
	microsPerMilli   = 1000
	maxLatencyMicros = 120_000_000
)

// Recorder accumulates the outcomes of requests. It is safe for concurrent use.
type Recorder struct {
	mu sync.Mutex
	// counts are the totals so far, without the quantiles and the extra load.
	counts    Totals
	latencies *hdrhistogram.Histogram
	// coverageSum is the sum of the share of answered shards over all requests, requests the number of requests.
	coverageSum  float64
	requests     float64
	firstWrong   error
	firstRefusal error
}

// NewRecorder returns an empty Recorder.
func NewRecorder() *Recorder {
	return &Recorder{latencies: hdrhistogram.New(1, maxLatencyMicros, 3)}
}

// Add records one request. wrong is the error from Check if the answer is wrong, and nil otherwise.
func (r *Recorder) Add(latency samphirepass.Millis, a samphirepass.Answer, err, wrong error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Requests++
	r.requests++
	switch {
	case wrong != nil:
		r.counts.Wrong++
		if r.firstWrong == nil {
			r.firstWrong = wrong
		}
	case err != nil:
		r.counts.Refused++
		if r.firstRefusal == nil {
			r.firstRefusal = err
		}
	case a.Whole:
		// This cannot fail, as the value is clamped to the range of the histogram.
		_ = r.latencies.RecordValue(min(max(int64(latency*microsPerMilli), 1), maxLatencyMicros))
		r.counts.Whole++
		r.coverageSum++
	default:
		r.counts.Partial++
		r.coverageSum += float64(a.Coverage.Answered) / float64(a.Coverage.Total)
	}
}

// Totals returns the totals so far. ExtraLoadPercent is not set, as the recorder does not see requests to leaves.
func (r *Recorder) Totals() Totals {
	r.mu.Lock()
	defer r.mu.Unlock()
	totals := r.counts
	totals.P50Ms = samphirepass.Millis(r.latencies.ValueAtQuantile(50)) / microsPerMilli
	totals.P99Ms = samphirepass.Millis(r.latencies.ValueAtQuantile(99)) / microsPerMilli
	return totals
}

// Coverage returns the mean share of shards that were answered per request. Refused requests and wrong answers count
// as 0.
func (r *Recorder) Coverage() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.coverageSum / max(r.requests, 1)
}

// FirstWrong returns the error of the first wrong answer, or nil.
func (r *Recorder) FirstWrong() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.firstWrong
}

// FirstRefusal returns the error of the first request that Totals.Refused counts, or nil.
func (r *Recorder) FirstRefusal() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.firstRefusal
}

// ExtraLoad returns the extra requests (hedges and retries) as a percentage of the first requests to leaves, given the number
// of all requests.
func ExtraLoad(all, extra int64) samphirepass.Percent {
	return samphirepass.Percent(100 * float64(extra) / float64(max(all-extra, 1)))
}
