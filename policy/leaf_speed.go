package policy

import (
	"math"

	"samphirepass"
)

const (
	// batchMs is the time whose answers count as one in a leaf's usual latency: pauses and slow phases of leaves make answers within half
	// a second alike, and counted one by one they make the standard error too small.
	batchMs samphirepass.Millis = 500
	// usualWeight is the least weight of a batch in a leaf's usual latency, about the last 40 batches: speeds of VMs last, and slow phases and
	// waits average out.
	usualWeight = 0.05
	// recentDecayMs is the time constant of a leaf's recent latency: slow phases of leaves last 0.6 s.
	recentDecayMs samphirepass.Millis = 300
	// busyWeight is the weight of an answer in the share of answers that reported all slots occupied.
	busyWeight = 0.05
	// maxRelativeLatency bounds a latency that is counted, so that one pause does not outweigh all other answers.
	maxRelativeLatency = 8
)

// LeafSpeed measures how fast a leaf answers, from the latencies of its answers as multiples of the expected ones. Its users lock it.
type LeafSpeed struct {
	batches         int
	usual, variance float64
	// batchSum and batchN are the sum and the number of the answers since batchAt, which are not part of usual yet.
	batchSum, batchN   float64
	batchAt            samphirepass.Millis
	recentSum, recentN float64
	updatedAt          samphirepass.Millis
	busy               float64
}

// AddLoad records the load that the leaf reported, as a fraction of its slots.
func (s *LeafSpeed) AddLoad(load float64) {
	occupied := 0.0
	if load >= 1 {
		occupied = 1
	}
	s.busy += (occupied - s.busy) * busyWeight
}

// Add records the latency of an answer as a multiple of the expected one.
func (s *LeafSpeed) Add(now samphirepass.Millis, relative float64) {
	if s.batches > 0 {
		relative = min(relative, maxRelativeLatency*s.usual)
	}
	if s.batchN > 0 && now-s.batchAt >= batchMs {
		s.endBatch()
	}
	if s.batchN == 0 {
		s.batchAt = now
	}
	s.batchSum, s.batchN = s.batchSum+relative, s.batchN+1
	decay := s.decay(now)
	s.recentSum, s.recentN, s.updatedAt = s.recentSum*decay+relative, s.recentN*decay+1, now
}

func (s *LeafSpeed) endBatch() {
	s.batches++
	weight := max(1/float64(s.batches), usualWeight)
	diff := s.batchSum/s.batchN - s.usual
	s.usual += diff * weight
	s.variance = (1 - weight) * (s.variance + weight*diff*diff)
	s.batchSum, s.batchN = 0, 0
}

func (s *LeafSpeed) decay(now samphirepass.Millis) float64 {
	return math.Exp(-float64((now - s.updatedAt) / recentDecayMs))
}

// Describe fills in what a chooser needs to know of the measurements; scale is the expected latency of the attempt to send.
func (s *LeafSpeed) Describe(now, scale samphirepass.Millis, c *samphirepass.Candidate) {
	c.Answers, c.BusyShare = s.batches, s.busy
	if s.recentN == 0 {
		return
	}
	c.RecentAnswers = s.recentN * s.decay(now)
	c.RecentLatencyMs = samphirepass.Millis(s.recentSum/s.recentN) * scale
	if s.batches == 0 {
		c.UsualLatencyMs = samphirepass.Millis(s.batchSum/s.batchN) * scale
		return
	}
	c.UsualLatencyMs = samphirepass.Millis(s.usual) * scale
	// The mean of n batches, the last ones with the weight w, has the standard error of the mean of min(n, 2/w) equal ones.
	c.UsualErrorMs = samphirepass.Millis(math.Sqrt(s.variance/min(float64(s.batches), 2/usualWeight))) * scale
}
