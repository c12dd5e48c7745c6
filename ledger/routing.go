package ledger

import "samphirepass"

// applyRouting replaces the routing document if d has a higher version; otherwise it does nothing.
func (s *State) applyRouting(d samphirepass.RoutingDocument) samphirepass.Code {
	if !s.data.Formed {
		return samphirepass.CodeForming
	}
	if d.Version > s.data.Routing.Version {
		s.data.Routing = d
	}
	return ""
}

// Routing returns the routing document with the highest version.
func (s *State) Routing() samphirepass.RoutingDocument {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.data.Routing
}
