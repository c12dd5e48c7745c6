package ledger

import "samphirepass"

// applyRouting keeps the document with the highest version; one that is not higher changes nothing.
func (s *State) applyRouting(d samphirepass.RoutingDocument) samphirepass.Code {
	if !s.c.Formed {
		return samphirepass.CodeForming
	}
	if d.Version > s.c.Routing.Version {
		s.c.Routing = d
	}
	return ""
}

// Routing returns the routing document with the highest version.
func (s *State) Routing() samphirepass.RoutingDocument {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.c.Routing
}
