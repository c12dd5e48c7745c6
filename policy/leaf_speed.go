package policy

import (
	"math"

	"samphirepass"
)

const (
	// usualWeight is the least weight of an answer in a leaf's usual latency, about the last 40 answers: speeds of VMs last, and slow
	// phases and waits average out.
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
	answers            int
	usual, variance    float64
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
	if s.answers > 0 {
		relative = min(relative, maxRelativeLatency*s.usual)
	}
	s.answers++
	weight := max(1/float64(s.answers), usualWeight)
	diff := relative - s.usual
	s.usual += diff * weight
	s.variance = (1 - weight) * (s.variance + weight*diff*diff)
	decay := s.decay(now)
	s.recentSum, s.recentN, s.updatedAt = s.recentSum*decay+relative, s.recentN*decay+1, now
}

func (s *LeafSpeed) decay(now samphirepass.Millis) float64 {
	return math.Exp(-float64((now - s.updatedAt) / recentDecayMs))
}

// Describe fills in what a chooser needs to know of the measurements; scale is the expected latency of the attempt to send.
func (s *LeafSpeed) Describe(now, scale samphirepass.Millis, c *samphirepass.Candidate) {
	c.Answers, c.BusyShare = s.answers, s.busy
	if s.answers == 0 {
		return
	}
	c.UsualLatencyMs = samphirepass.Millis(s.usual) * scale
	// Of n answers with the weight w each, the standard error of the mean is that of min(n, 2/w) independent ones.
	c.UsualErrorMs = samphirepass.Millis(math.Sqrt(s.variance/min(float64(s.answers), 2/usualWeight))) * scale
	c.RecentAnswers = s.recentN * s.decay(now)
	c.RecentLatencyMs = samphirepass.Millis(s.recentSum/s.recentN) * scale
}
