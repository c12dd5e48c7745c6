package directory

import (
	"context"
	"fmt"
	"math"

	"github.com/rotisserie/eris"

	"samphirepass"
)

// staleLeaderMs is the time without contact with a leader after which a source is stale: it may have missed changes.
const staleLeaderMs samphirepass.Millis = 1500

// staleBeliefMs is how long a source that was stale counts as stale without a further reply: one that is not followed sends none.
const staleBeliefMs samphirepass.Millis = 2000

// unknownContactAgeMs is the age of the contact of a source that cannot tell.
const unknownContactAgeMs samphirepass.Millis = 1e9

// pollOptions are those of one poll.
type pollOptions struct {
	// waitMs is how long the source may hold the poll.
	waitMs samphirepass.Millis
	// controlStateOnly asks only for the contact with a leader, the routing document, the evacuations and the endpoints.
	controlStateOnly bool
}

// timeoutMs returns the time after which a poll has failed.
func (o pollOptions) timeoutMs() samphirepass.Millis {
	if o.controlStateOnly {
		return probeTimeoutMs
	}
	return o.waitMs + pollMarginMs
}

// poll sends one poll to a source.
func (f *Follower) poll(ctx context.Context, address string, opts pollOptions) (polledReply, error) {
	f.mu.Lock()
	s := f.sources[address]
	if s == nil {
		f.mu.Unlock()
		return polledReply{}, eris.Errorf("source %s was dropped", address)
	}
	knownStale := s.stale
	req := followRequest{
		VM: f.opts.VM, ControlAddress: f.opts.ControlAddress, DataCentre: f.opts.DataCentre,
		Epoch: s.epoch, LeavesVersion: s.leavesVersion, RoutingVersion: f.state.routingVersion, WaitMs: opts.waitMs,
		Capacity: f.opts.Capacity, CollectAddress: f.opts.CollectAddress, OffersVersion: s.offersVersion, EndpointsVersion: s.endpointsVersion,
		SuspicionsVersion: s.suspicionsVersion, HasDisk: f.opts.HasDisk, EvacuationsRevision: f.state.evacuationsRevision,
		NoPath: samphirepass.PathLost(f.opts.Path), KnownStale: &knownStale, ControlStateOnly: opts.controlStateOnly,
	}
	if f.opts.OnRouting == nil {
		// A control process gets the documents and evacuations from the replicated log, so the source must not send any.
		req.RoutingVersion, req.EvacuationsRevision = math.MaxUint64, math.MaxUint64
	}
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, opts.timeoutMs().Duration())
	defer cancel()
	sentAt := f.opts.Clock.Now()
	var reply followReply
	if err := f.opts.Peers.Get(address).Call(ctx, kindFollow, req, &reply); err != nil {
		return polledReply{}, fmt.Errorf("follow %s: %w", address, err)
	}
	return newPolledReply(reply, sentAt, f.opts.Clock.Now()), nil
}

// polledReply is the reply to a poll, with what it proves on the follower's clock.
type polledReply struct {
	followReply
	// contactAt is when the source was in contact with a leader. It is never later than that contact, however long the reply was on its way:
	// otherwise it would grow newer each time that sources tell each other of it.
	contactAt samphirepass.Millis
	// stale is set if the source had no such contact within staleLeaderMs.
	stale bool
}

// newPolledReply returns a reply that was received at the time now to a poll sent at sentAt.
func newPolledReply(reply followReply, sentAt, now samphirepass.Millis) polledReply {
	p := polledReply{followReply: reply}
	switch {
	case reply.HeldMs != nil:
		p.contactAt = sentAt + max(*reply.HeldMs, 0) - reply.SinceLeaderContactMs
	case reply.HasDisk:
		p.contactAt = sentAt - reply.SinceLeaderContactMs
	default:
		// A source of an earlier version without a disk has its contact from others, and may have it from one in its own state.
		p.contactAt = now - unknownContactAgeMs
	}
	p.contactAt = min(p.contactAt, now)
	p.stale = now-p.contactAt > staleLeaderMs
	return p
}

// isStale reports whether a source is believed to be stale.
func (s *sourceState) isStale(now samphirepass.Millis) bool {
	return s.stale && now-s.repliedAt < staleBeliefMs
}
