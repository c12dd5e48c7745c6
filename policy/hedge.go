package policy

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"samphirepass"
)

const (
	// hedgeShare is the part of the budget that is meant for hedges, the rest being for retries and noise.
	hedgeShare = 0.6
	// hedgeMaxPercent bounds the share of leaf requests that count as late.
	hedgeMaxPercent = 10
	// medianFactor bounds the delay where so many requests straggle that the quantile lies among them.
	medianFactor = 3
	// ceilingMedians times the median is the least that a ceiling may bound the delay to.
	ceilingMedians = 1.5
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
	// late is the share of leaf requests, in percent, that count as late.
	late float64
	// ceiling bounds the delay, and is the delay before there are enough observations; 0 for none.
	ceiling samphirepass.Millis

	mu sync.Mutex
	// last is filled, then takes the place of previous.
	last, previous *hdrhistogram.Histogram
	delay          samphirepass.Millis
	sinceUpdate    int
}

// updateEvery is the number of observations between two looks at the quantile.
const updateEvery = 32

// NewQuantile returns a hedger without observations, for a budget of limit percent.
func NewQuantile(limit samphirepass.Percent) *Quantile {
	late := min(float64(limit)*hedgeShare, hedgeMaxPercent)
	return &Quantile{late: late, last: newHistogram(), previous: newHistogram()}
}

// WithCeiling bounds the delay by the given time, from the first request on, and returns the hedger.
// Where so many leaves are slow that the quantile lies among them, a second attempt after it would come too late to be of use.
// A median near the ceiling raises it: where all requests take long, earlier second attempts would only add to the load.
func (q *Quantile) WithCeiling(ceiling samphirepass.Millis) *Quantile {
	q.ceiling = ceiling
	return q
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
	at := func(percent float64) samphirepass.Millis {
		return samphirepass.Millis(both.ValueAtQuantile(percent)) / microsPerMilli
	}
	q.delay = min(at(100-q.late), max(at(50)*medianFactor, at(100-hedgeMaxPercent)))
	if q.ceiling > 0 {
		q.delay = min(q.delay, max(q.ceiling, at(50)*ceilingMedians))
	}
}

// Delay returns the quantile, once there are enough observations.
func (q *Quantile) Delay() (samphirepass.Millis, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delay := q.delay
	if delay == 0 {
		delay = q.ceiling
	}
	return delay, delay > 0 && q.late > 0
}
