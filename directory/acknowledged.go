package directory

import (
	"context"
	"fmt"
)

const (
	// knownByOthers is the number of other control processes that must know of a change before AwaitKnown returns.
	knownByOthers = 2
	// pollingTTLMs is the time since its last poll for which a follower counts as running; it polls more often than that.
	pollingTTLMs = 2 * pollWaitMs
)

// AwaitKnown returns once knownByOthers other control processes have all changes of leaves up to a version of the registry, or as many as
// poll this source if they are fewer. It returns how many have them and how many poll.
func (s *Source) AwaitKnown(ctx context.Context, version uint64) (having, polling int, err error) {
	for {
		having, polling, polled := s.knownElsewhere(version)
		if having >= min(knownByOthers, polling) {
			return having, polling, nil
		}
		select {
		case <-polled:
		case <-ctx.Done():
			return having, polling, fmt.Errorf("wait until other control processes know of a change: %w", ctx.Err())
		}
	}
}

// knownElsewhere returns how many other control processes have a version, how many poll, and a channel that is closed at the next poll of
// one of them.
func (s *Source) knownElsewhere(version uint64) (having, polling int, polled <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	for key, f := range s.followers {
		if key.controlAddress == "" || now-f.lastSeen > pollingTTLMs {
			continue
		}
		polling++
		if f.leavesVersion >= version {
			having++
		}
	}
	return having, polling, s.controlPolled
}

// recordAcknowledgedLocked records the version of the leaves that a follower has, as its poll says.
func (s *Source) recordAcknowledgedLocked(f *followerState, req followRequest) {
	f.leavesVersion = 0
	if req.Epoch == s.epoch {
		f.leavesVersion = req.LeavesVersion
	}
	if req.ControlAddress != "" {
		close(s.controlPolled)
		s.controlPolled = make(chan struct{})
	}
}
