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
	// dueMedians times the median is the least delay.
	dueMedians = 1.5
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

// MedianLatency knows nothing.
func (NoHedge) MedianLatency() samphirepass.Millis { return 0 }

// Delay wants no hedge.
func (NoHedge) Delay() (samphirepass.Millis, bool) { return 0, false }

// QuantileHedger calls a shard late once it has taken longer than nearly all recent leaf requests, or at the time that it is told.
type QuantileHedger struct {
	// late is the share of leaf requests, in percent, that count as late.
	late float64
	// due is when a shard is late whatever others take, 0 if that is to be measured.
	due samphirepass.Millis

	mu sync.Mutex
	// last is filled, then takes the place of previous.
	last, previous *hdrhistogram.Histogram
	delay, usual   samphirepass.Millis
	sinceUpdate    int
}

// updateEvery is the number of observations between two looks at the quantile.
const updateEvery = 32

// NewQuantileHedger returns a hedger without observations, for a budget of limit percent.
func NewQuantileHedger(limit samphirepass.Percent) *QuantileHedger {
	late := min(float64(limit)*hedgeShare, hedgeMaxPercent)
	return &QuantileHedger{late: late, last: newHistogram(), previous: newHistogram()}
}

// WithBaseDelay calls a shard late at the given time, from the first request on, and returns the hedger: the latest time at which a
// second attempt still answers before the target. Until then a first attempt may well answer by itself, and the budget
// of second attempts lasts for those that stand still.
// A median near it raises it: where all requests take long, second attempts would only add to the load.
func (q *QuantileHedger) WithBaseDelay(due samphirepass.Millis) *QuantileHedger {
	q.due = due
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

func (q *QuantileHedger) update() {
	both := newHistogram()
	both.Merge(q.last)
	both.Merge(q.previous)
	if both.TotalCount() < hedgeMinimum {
		return
	}
	at := func(percent float64) samphirepass.Millis {
		return samphirepass.Millis(both.ValueAtQuantile(percent)) / microsPerMilli
	}
	q.usual = at(50)
	q.delay = min(at(100-q.late), max(at(50)*medianFactor, at(100-hedgeMaxPercent)))
	if q.due > 0 {
		q.delay = max(q.due, at(50)*dueMedians)
	}
}

// MedianLatency returns the median.
func (q *QuantileHedger) MedianLatency() samphirepass.Millis {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.usual
}

// Delay returns when a shard is late: at the time that was told, or the quantile once there are enough observations.
func (q *QuantileHedger) Delay() (samphirepass.Millis, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delay := q.delay
	if delay == 0 {
		delay = q.due
	}
	return delay, delay > 0 && q.late > 0
}
