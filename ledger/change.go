package ledger

import (
	"slices"

	"samphirepass"
)

func resourceKey(kind samphirepass.Kind, name string) string {
	return string(kind) + "/" + name
}

// applyChange returns the recorded answer if c is a resend, so that every resend gets the same answer.
func (s *State) applyChange(index samphirepass.Revision, c samphirepass.Change) samphirepass.ChangeResult {
	if !s.data.Formed {
		return samphirepass.ChangeResult{Code: samphirepass.CodeForming}
	}
	if answered, ok := s.changes[c.ID]; ok {
		return answered
	}
	r := s.decideChange(index, c)
	s.recordChange(c.ID, r)
	return r
}

func (s *State) decideChange(index samphirepass.Revision, c samphirepass.Change) samphirepass.ChangeResult {
	key := resourceKey(c.Kind, c.Name)
	current := s.data.Resources[key]
	if current.Revision != c.BaseRevision {
		return samphirepass.ChangeResult{Code: samphirepass.CodeConflict, Winner: current, WinnerChange: s.data.LastChange[key]}
	}
	if c.Delete && current.Revision == 0 {
		return samphirepass.ChangeResult{Code: samphirepass.CodeNotFound}
	}
	next := samphirepass.Resource{Kind: c.Kind, Name: c.Name, Revision: index, Spec: c.Spec}
	if c.Delete {
		delete(s.data.Resources, key)
	} else {
		s.data.Resources[key] = next
	}
	s.data.LastChange[key] = c.ID
	s.data.Revision = index
	s.addEvent(samphirepass.ResourceEvent{Resource: next, Deleted: c.Delete})
	return samphirepass.ChangeResult{Accepted: true, Revision: index}
}

// addEvent appends e and drops the oldest events beyond maxEvents.
func (s *State) addEvent(e samphirepass.ResourceEvent) {
	s.data.Events = append(s.data.Events, e)
	if extra := len(s.data.Events) - maxEvents; extra > 0 {
		s.data.EventsAfter = s.data.Events[extra-1].Revision
		s.data.Events = slices.Clone(s.data.Events[extra:])
	}
}

// recordChange keeps the answer for resends and drops answers older than changeRetentionMs.
func (s *State) recordChange(id samphirepass.ChangeID, r samphirepass.ChangeResult) {
	s.changes[id] = r
	s.data.Changes = append(s.data.Changes, changeRecord{ID: id, AppliedMs: s.data.NowMs, Result: r})
	expired := 0
	for s.data.Changes[expired].AppliedMs < s.data.NowMs-changeRetentionMs {
		delete(s.changes, s.data.Changes[expired].ID)
		expired++
	}
	s.data.Changes = s.data.Changes[expired:]
}
