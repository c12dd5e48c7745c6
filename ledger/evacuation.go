package ledger

import (
	"slices"

	"samphirepass"
)

// EvacuationOrder evacuates a data centre or revokes that.
type EvacuationOrder struct {
	DataCentre samphirepass.DataCentre
	Evacuate   bool
	// Base is the index of the last order for the data centre when the operator's call arrived, 0 if there was none. An order that was
	// delayed on its way has no effect once a later one has been applied.
	Base samphirepass.Revision
}

// evacuationRecord is the state of one data centre.
type evacuationRecord struct {
	Evacuated bool
	// OrderedAt is the index of the last order for the data centre, also of one that changed nothing.
	OrderedAt samphirepass.Revision
}

// applyEvacuation returns CodeConflict if an order was applied after the call began and calls for the opposite.
func (s *State) applyEvacuation(index samphirepass.Revision, o EvacuationOrder) samphirepass.Code {
	if !s.data.Formed {
		return samphirepass.CodeForming
	}
	record := s.data.Evacuations[o.DataCentre]
	if record.OrderedAt != o.Base {
		if record.Evacuated == o.Evacuate {
			return ""
		}
		return samphirepass.CodeConflict
	}
	if record.Evacuated != o.Evacuate {
		s.data.EvacuationsRevision = index
	}
	s.data.Evacuations[o.DataCentre] = evacuationRecord{Evacuated: o.Evacuate, OrderedAt: index}
	return ""
}

// Evacuations returns the data centres that are evacuated.
func (s *State) Evacuations() samphirepass.Evacuations {
	s.mu.RLock()
	defer s.mu.RUnlock()
	e := samphirepass.Evacuations{Revision: s.data.EvacuationsRevision}
	for dc, record := range s.data.Evacuations {
		if record.Evacuated {
			e.DataCentres = append(e.DataCentres, dc)
		}
	}
	slices.Sort(e.DataCentres)
	return e
}

// EvacuationOrderedAt returns the index of the last order for a data centre, 0 if there was none.
func (s *State) EvacuationOrderedAt(dc samphirepass.DataCentre) samphirepass.Revision {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.data.Evacuations[dc].OrderedAt
}
