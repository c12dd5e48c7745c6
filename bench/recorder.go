package bench

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"samphirepass"
)

// Totals are the totals of a load.
type Totals struct {
	Requests int `json:"requests"`
	Whole    int `json:"whole"`
	Partial  int `json:"partial"`
	Refused  int `json:"refused"`
	Wrong    int `json:"wrong"`
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
	mu        sync.Mutex
	figures   Totals
	latencies *hdrhistogram.Histogram
	// coverageSum is the sum of the share of answered shards over all requests, total the number of requests.
	coverageSum  float64
	total        float64
	firstWrong   error
	firstRefusal error
}

// NewTally returns an empty tally.
func NewTally() *Recorder {
	return &Recorder{latencies: hdrhistogram.New(1, maxLatencyMicros, 3)}
}

// Add records one request. wrong is the error from Check if the answer is wrong, and nil otherwise.
func (t *Recorder) Add(latency samphirepass.Millis, a samphirepass.Answer, err, wrong error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.figures.Requests++
	t.total++
	switch {
	case wrong != nil:
		t.figures.Wrong++
		if t.firstWrong == nil {
			t.firstWrong = wrong
		}
	case err != nil:
		t.figures.Refused++
		if t.firstRefusal == nil {
			t.firstRefusal = err
		}
	case a.Whole:
		// This cannot fail, as the value is clamped to the range of the histogram.
		_ = t.latencies.RecordValue(min(max(int64(latency*microsPerMilli), 1), maxLatencyMicros))
		t.figures.Whole++
		t.coverageSum++
	default:
		t.figures.Partial++
		t.coverageSum += float64(a.Coverage.Answered) / float64(a.Coverage.Total)
	}
}

// Figures returns the totals so far. ExtraLoadPercent is not set, as the tally does not count leaf requests.
func (t *Recorder) Figures() Totals {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.figures
	f.P50Ms = samphirepass.Millis(t.latencies.ValueAtQuantile(50)) / microsPerMilli
	f.P99Ms = samphirepass.Millis(t.latencies.ValueAtQuantile(99)) / microsPerMilli
	return f
}

// Coverage returns the mean share of shards that were answered per request. Refused requests and wrong answers count
// as 0.
func (t *Recorder) Coverage() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.coverageSum / max(t.total, 1)
}

// FirstWrong returns the error of the first wrong answer, or nil.
func (t *Recorder) FirstWrong() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.firstWrong
}

// FirstRefusal returns the error of the first refused request, or nil.
func (t *Recorder) FirstRefusal() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.firstRefusal
}

// ExtraLoad returns the extra requests (hedges and retries) as a percentage of the first requests to leaves, given the number
// of all requests.
func ExtraLoad(all, extra int64) samphirepass.Percent {
	return samphirepass.Percent(100 * float64(extra) / float64(max(all-extra, 1)))
}
