package leaf

import (
	"slices"

	"samphirepass"
)

// Timing says where the time of one request to leaves went.
type Timing struct {
	// StartMs is the time until the first attempts on all shards had been started.
	StartMs samphirepass.Millis
	// SendWaitMs is the longest time that an attempt with an answer waited for a connection and for the processor before it was sent.
	SendWaitMs samphirepass.Millis
	// LeafMs is the median time from sending an attempt to reading its answer.
	LeafMs samphirepass.Millis
	// HandleWaitMs is the longest time from reading an answer to using it.
	HandleWaitMs samphirepass.Millis
	// TimerLateMs is the longest delay of a timer, a measure of the wait for the processor.
	TimerLateMs samphirepass.Millis
}

// timingRecorder collects the times of the attempts of one fan-out.
type timingRecorder struct {
	timing    Timing
	leafTimes []samphirepass.Millis
}

// record adds an attempt that was answered; the answer is used at now.
func (t *timingRecorder) record(r attemptResult, now samphirepass.Millis) {
	t.timing.SendWaitMs = max(t.timing.SendWaitMs, r.reply.WaitedMs)
	t.timing.HandleWaitMs = max(t.timing.HandleWaitMs, now-r.endedAt)
	t.leafTimes = append(t.leafTimes, r.took-r.reply.WaitedMs)
}

func (t *timingRecorder) result() Timing {
	timing := t.timing
	if len(t.leafTimes) > 0 {
		slices.Sort(t.leafTimes)
		timing.LeafMs = t.leafTimes[len(t.leafTimes)/2]
	}
	return timing
}
