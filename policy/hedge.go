package policy

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"samphirepass"
)

const (
	// hedgeBudgetShare is the fraction of the budget that is meant for hedges; the rest is for retries and noise.
	hedgeBudgetShare = 0.6
	// maxLatePercent bounds the share of leaf requests that count as late.
	maxLatePercent = 10
	// maxDelayMedians times the median bounds the delay where there are so many stragglers that the quantile lies among them.
	maxDelayMedians = 3
	// minDelayMedians times the median is the shortest delay of a hedger with a base delay.
	minDelayMedians = 1.5
	// observationWindow is the number of observations after which the older half is dropped.
	observationWindow = 2000
	// minObservations is the number of observations below which nothing counts as late.
	minObservations = 50
	microsPerMilli  = 1000
	// maxLatencyMicros is the largest latency that the histogram distinguishes.
	maxLatencyMicros = 60_000_000
)

// NoHedge is the baseline hedger, which never hedges.
type NoHedge struct{}

// Observe does nothing.
func (NoHedge) Observe(samphirepass.Millis) {}

// MedianLatency returns 0.
func (NoHedge) MedianLatency() samphirepass.Millis { return 0 }

// Delay reports that no hedge is wanted.
func (NoHedge) Delay() (samphirepass.Millis, bool) { return 0, false }

// QuantileHedger hedges a shard once it has taken longer than a high quantile of the recent leaf requests, or after a base delay.
type QuantileHedger struct {
	// latePercent is the share of leaf requests that count as late.
	latePercent float64
	// baseDelay replaces the quantile, 0 for none.
	baseDelay samphirepass.Millis

	mu sync.Mutex
	// current collects observations; when it holds half of the window it becomes previous.
	current, previous *hdrhistogram.Histogram
	delay, median     samphirepass.Millis
	sinceUpdate       int
}

// updateEvery is the number of observations between two computations of the delay.
const updateEvery = 32

// NewQuantileHedger returns a hedger without observations; budget is the share of leaf requests that may be extra ones.
func NewQuantileHedger(budget samphirepass.Percent) *QuantileHedger {
	latePercent := min(float64(budget)*hedgeBudgetShare, maxLatePercent)
	return &QuantileHedger{latePercent: latePercent, current: newHistogram(), previous: newHistogram()}
}

// WithBaseDelay replaces the quantile by a fixed delay, in force from the first request on, and returns the hedger; 0 keeps the quantile.
// It should be the latest delay after which a second attempt still answers before the latency target: many first attempts
// answer by then, which saves the budget for attempts on stalled leaves.
// A high median raises the delay, because hedges only add load where all requests are slow.
func (q *QuantileHedger) WithBaseDelay(baseDelay samphirepass.Millis) *QuantileHedger {
	q.baseDelay = baseDelay
	return q
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, 2)
}

// Observe records the time of one whole leaf request.
func (q *QuantileHedger) Observe(latency samphirepass.Millis) {
	q.mu.Lock()
	defer q.mu.Unlock()
	micros := min(max(int64(latency*microsPerMilli), 1), maxLatencyMicros)
	// The value is within the histogram's range, so RecordValue cannot fail.
	_ = q.current.RecordValue(micros)
	if q.current.TotalCount() >= observationWindow/2 {
		q.current, q.previous = q.previous, q.current
		q.current.Reset()
	}
	q.sinceUpdate++
	if q.sinceUpdate >= updateEvery {
		q.sinceUpdate = 0
		q.update()
	}
}

func (q *QuantileHedger) update() {
	merged := newHistogram()
	merged.Merge(q.current)
	merged.Merge(q.previous)
	if merged.TotalCount() < minObservations {
		return
	}
	percentile := func(percent float64) samphirepass.Millis {
		return samphirepass.Millis(merged.ValueAtQuantile(percent)) / microsPerMilli
	}
	q.median = percentile(50)
	q.delay = min(percentile(100-q.latePercent), max(percentile(50)*maxDelayMedians, percentile(100-maxLatePercent)))
	if q.baseDelay > 0 {
		q.delay = max(q.baseDelay, percentile(50)*minDelayMedians)
	}
}

// MedianLatency returns the median of the recent observations, 0 while there are too few.
func (q *QuantileHedger) MedianLatency() samphirepass.Millis {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.median
}

// Delay returns the base delay, raised if the median is high, or without one the quantile of the recent observations.
// It reports false if the budget is 0, or if there are too few observations and no base delay.
func (q *QuantileHedger) Delay() (samphirepass.Millis, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delay := q.delay
	if delay == 0 {
		delay = q.baseDelay
	}
	return delay, delay > 0 && q.latePercent > 0
}
