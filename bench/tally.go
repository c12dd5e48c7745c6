package bench

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"samphirepass"
)

// Figures sum up a load.
type Figures struct {
	Requests int `json:"requests"`
	Whole    int `json:"whole"`
	Partial  int `json:"partial"`
	Refused  int `json:"refused"`
	Wrong    int `json:"wrong"`
	// P50Ms and P99Ms are the times of whole answers.
	P50Ms samphirepass.Millis `json:"p50-ms"`
	P99Ms samphirepass.Millis `json:"p99-ms"`
	// ExtraLoadPercent is the share of hedges and retries over the first leaf requests.
	ExtraLoadPercent samphirepass.Percent `json:"extra-load-percent"`
}

const (
	microsPerMilli = 1000
	maxMicros      = 120_000_000
)

// Tally collects the outcomes of requests and is safe for concurrent use.
type Tally struct {
	mu       sync.Mutex
	figures  Figures
	times    *hdrhistogram.Histogram
	answered float64
	total    float64
	firstBad error
	refusal  error
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{times: hdrhistogram.New(1, maxMicros, 3)}
}

// Add records one request; wrong is the reason why its answer is not true, if it is not.
func (t *Tally) Add(took samphirepass.Millis, a samphirepass.Answer, err, wrong error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.figures.Requests++
	t.total++
	switch {
	case wrong != nil:
		t.figures.Wrong++
		if t.firstBad == nil {
			t.firstBad = wrong
		}
	case err != nil:
		t.figures.Refused++
		if t.refusal == nil {
			t.refusal = err
		}
	case a.Whole:
		// The value is within the histogram's range, so this cannot fail.
		_ = t.times.RecordValue(min(max(int64(took*microsPerMilli), 1), maxMicros))
		t.figures.Whole++
		t.answered++
	default:
		t.figures.Partial++
		t.answered += float64(a.Coverage.Answered) / float64(a.Coverage.Total)
	}
}

// Figures returns the sums so far.
func (t *Tally) Figures() Figures {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.figures
	f.P50Ms = samphirepass.Millis(t.times.ValueAtQuantile(50)) / microsPerMilli
	f.P99Ms = samphirepass.Millis(t.times.ValueAtQuantile(99)) / microsPerMilli
	return f
}

// Coverage returns the mean share of shards that the answers rest on; a refused request counts as none.
func (t *Tally) Coverage() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answered / max(t.total, 1)
}

// FirstWrong returns why the first wrong answer was wrong.
func (t *Tally) FirstWrong() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.firstBad
}

// FirstRefusal returns why the first refused request was refused.
func (t *Tally) FirstRefusal() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refusal
}

// ExtraLoad returns the hedges and retries as a percentage of the first requests to leaves.
func ExtraLoad(all, extra int64) samphirepass.Percent {
	return samphirepass.Percent(100 * float64(extra) / float64(max(all-extra, 1)))
}
