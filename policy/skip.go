package policy

import (
	"math/rand/v2"
	"sync"

	"samphirepass"
)

const (
	// skipLateStep and skipOnTimeStep are the changes of a shard's skip level by an answer that was late or missing, and by one in time.
	// Their ratio sets the share of late answers, a quarter, at which the level stays as it is.
	skipLateStep   = 0.03
	skipOnTimeStep = 0.01
	// skipDeadZone is the level up to which a shard is never skipped, so that the brief pause of a leaf changes nothing.
	skipDeadZone = 0.1
	// maxSkipLevel keeps some requests going to an overloaded shard, which show when it has recovered.
	maxSkipLevel = 0.95
)

// ShardSkipper decides which shards of a scatter-gather request are left out from the start because their leaves are overloaded.
// A leaf that gets more requests than it can serve answers all of them late, so that a request waits for it in vain. If some requests
// leave the shard out, as far as they may lack shards, it answers the others in time; and where more shards are overloaded than a
// request may lack, each request leaves out others. It is safe for concurrent use.
type ShardSkipper struct {
	mu     sync.Mutex
	levels map[samphirepass.Service]float64
}

// NewShardSkipper returns a skipper that has seen no late answers.
func NewShardSkipper() *ShardSkipper {
	return &ShardSkipper{levels: map[samphirepass.Service]float64{}}
}

// Select returns the indices of the shards to leave out of a request, which may lack up to allowed of them.
func (s *ShardSkipper) Select(shards []samphirepass.Service, allowed int) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if allowed <= 0 || len(s.levels) == 0 {
		return nil
	}
	var skipped []int
	for i, shard := range shards {
		if rand.Float64() < s.levels[shard]-skipDeadZone {
			skipped = append(skipped, i)
		}
	}
	if len(skipped) > allowed {
		rand.Shuffle(len(skipped), func(i, j int) { skipped[i], skipped[j] = skipped[j], skipped[i] })
		skipped = skipped[:allowed]
	}
	return skipped
}

// Record records whether a shard that was not skipped answered in time.
func (s *ShardSkipper) Record(shard samphirepass.Service, onTime bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	level := s.levels[shard]
	if onTime {
		level -= skipOnTimeStep
	} else {
		level = min(level+skipLateStep, maxSkipLevel)
	}
	if level <= 0 {
		delete(s.levels, shard)
		return
	}
	s.levels[shard] = level
}
