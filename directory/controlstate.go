package directory

import "samphirepass"

// firstStateTimeoutMs is the time after which a follower without any state accepts one that may be stale: it is then likely to be partitioned
// from every source in contact with a leader. Processes that are all killed at once have a leader again earlier.
const firstStateTimeoutMs samphirepass.Millis = 3000

// controlState decides which of the routing documents and evacuations in the replies of sources are put in force. Its zero value, with
// startedAt set, has neither.
type controlState struct {
	startedAt           samphirepass.Millis
	routingVersion      samphirepass.RoutingVersion
	evacuationsRevision samphirepass.Revision
	// known is set once evacuations have been accepted, also if none were ordered.
	known bool
}

// accept returns the evacuations and the routing document of a reply that are to be put in force, in this order, nil for none. An older
// one never replaces a newer one. Nothing is accepted before the first reply of a source in contact with a leader, or firstStateTimeoutMs:
// a source that was partitioned may lack an order that was acknowledged long ago.
func (s *controlState) accept(now samphirepass.Millis, reply polledReply) (*samphirepass.Evacuations, *samphirepass.RoutingDocument) {
	first := !s.known
	fresh := reply.Evacuations != nil && !reply.stale
	timedOut := reply.Routing.Version > 0 && now-s.startedAt >= firstStateTimeoutMs
	if first && !fresh && !timedOut {
		return nil, nil
	}
	s.known = true
	evacuations := reply.Evacuations
	switch {
	case first && evacuations == nil:
		// The source runs a version that stores no evacuations.
		evacuations = &samphirepass.Evacuations{}
	case !first && evacuations != nil && evacuations.Revision <= s.evacuationsRevision:
		evacuations = nil
	}
	if evacuations != nil {
		s.evacuationsRevision = evacuations.Revision
	}
	if reply.Routing.Version <= s.routingVersion {
		return evacuations, nil
	}
	s.routingVersion = reply.Routing.Version
	return evacuations, &reply.Routing
}

// holdsBack reports whether a reply has something that was not accepted yet.
func (s *controlState) holdsBack(reply polledReply) bool {
	return reply.Routing.Version > s.routingVersion || (reply.Evacuations != nil && reply.Evacuations.Revision > s.evacuationsRevision)
}

// applyControlState passes what is newer in a reply to OnEvacuations and OnRouting.
func (f *Follower) applyControlState(reply polledReply) {
	if f.opts.OnRouting == nil {
		return
	}
	f.stateMu.Lock()
	defer f.stateMu.Unlock()
	f.mu.Lock()
	evacuations, routing := f.state.accept(f.opts.Clock.Now(), reply)
	f.mu.Unlock()
	if evacuations != nil && f.opts.OnEvacuations != nil {
		f.opts.OnEvacuations(*evacuations)
	}
	if routing != nil {
		f.opts.OnRouting(*routing)
	}
}

// holdsBack reports whether a reply has something that this follower does not accept yet.
func (f *Follower) holdsBack(reply polledReply) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.opts.OnRouting != nil && f.state.holdsBack(reply)
}

// addControlState adds the routing document and the evacuations to a reply that the follower does not have. A source that may lack
// evacuations sends no routing document either, so that its followers learn both together.
func (s *Source) addControlState(req followRequest, reply *followReply) {
	evacuations := s.opts.State.AppliedEvacuations()
	if evacuations == nil {
		return
	}
	if d := s.opts.State.AppliedRouting(); d.Version > req.RoutingVersion {
		reply.Routing = d
	}
	if reply.Routing.Version > 0 || evacuations.Revision > req.EvacuationsRevision {
		reply.Evacuations = evacuations
	}
}
