package policy

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"samphirepass"
)

const (
	// hedgeQuantile is the share of leaf requests, in percent, that are not late.
	hedgeQuantile = 95
	// hedgeWindow is the number of observations after which the older half of them is dropped.
	hedgeWindow = 2000
	// hedgeMinimum is the number of observations below which nothing counts as late.
	hedgeMinimum = 50
	// microsPerMilli converts to the histogram's unit.
	microsPerMilli = 1000
	// maxLatencyMicros is the largest latency that the histogram tells apart.
	maxLatencyMicros = 60_000_000
)

// NoHedge never hedges; it is the baseline.
type NoHedge struct{}

// Observe does nothing.
func (NoHedge) Observe(samphirepass.Millis) {}

// Delay wants no hedge.
func (NoHedge) Delay() (samphirepass.Millis, bool) { return 0, false }

// Quantile calls a shard late once it has taken longer than nearly all recent leaf requests.
type Quantile struct {
	mu sync.Mutex
	// last is filled, then takes the place of previous.
	last, previous *hdrhistogram.Histogram
	delay          samphirepass.Millis
	sinceUpdate    int
}

// updateEvery is the number of observations between two looks at the quantile.
const updateEvery = 32

// NewQuantile returns a hedger without observations.
func NewQuantile() *Quantile {
	return &Quantile{last: newHistogram(), previous: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, 2)
}

// Observe records the time of one whole leaf request.
func (q *Quantile) Observe(latency samphirepass.Millis) {
	q.mu.Lock()
	defer q.mu.Unlock()
	micros := min(max(int64(latency*microsPerMilli), 1), maxLatencyMicros)
	// The value is within the histogram's range, so this cannot fail.
	_ = q.last.RecordValue(micros)
	if q.last.TotalCount() >= hedgeWindow/2 {
		q.last, q.previous = q.previous, q.last
		q.last.Reset()
	}
	q.sinceUpdate++
	if q.sinceUpdate >= updateEvery {
		q.sinceUpdate = 0
		q.update()
	}
}

func (q *Quantile) update() {
	both := newHistogram()
	both.Merge(q.last)
	both.Merge(q.previous)
	if both.TotalCount() < hedgeMinimum {
		return
	}
	q.delay = samphirepass.Millis(both.ValueAtQuantile(hedgeQuantile)) / microsPerMilli
}

// Delay returns the quantile, once there are enough observations.
func (q *Quantile) Delay() (samphirepass.Millis, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.delay, q.delay > 0
}
