package ledger

import (
	"slices"

	"samphirepass"
)

func resourceKey(kind samphirepass.Kind, name string) string {
	return string(kind) + "/" + name
}

func (s *State) applyChange(index samphirepass.Revision, c samphirepass.Change) samphirepass.ChangeResult {
	if !s.c.Formed {
		return samphirepass.ChangeResult{Code: samphirepass.CodeForming}
	}
	if first, ok := s.changes[c.ID]; ok {
		return first
	}
	r := s.decideChange(index, c)
	s.rememberChange(c.ID, r)
	return r
}

func (s *State) decideChange(index samphirepass.Revision, c samphirepass.Change) samphirepass.ChangeResult {
	key := resourceKey(c.Kind, c.Name)
	have := s.c.Resources[key]
	if have.Revision != c.BaseRevision {
		return samphirepass.ChangeResult{Code: samphirepass.CodeConflict, Winner: have, WinnerChange: s.c.LastChange[key]}
	}
	if c.Delete && have.Revision == 0 {
		return samphirepass.ChangeResult{Code: samphirepass.CodeNotFound}
	}
	next := samphirepass.Resource{Kind: c.Kind, Name: c.Name, Revision: index, Spec: c.Spec}
	if c.Delete {
		delete(s.c.Resources, key)
	} else {
		s.c.Resources[key] = next
	}
	s.c.LastChange[key] = c.ID
	s.c.Revision = index
	s.addEvent(samphirepass.ResourceEvent{Resource: next, Deleted: c.Delete})
	return samphirepass.ChangeResult{Accepted: true, Revision: index}
}

func (s *State) addEvent(e samphirepass.ResourceEvent) {
	s.c.Events = append(s.c.Events, e)
	if extra := len(s.c.Events) - maxEvents; extra > 0 {
		s.c.EventsAfter = s.c.Events[extra-1].Revision
		s.c.Events = slices.Clone(s.c.Events[extra:])
	}
}

// rememberChange keeps the answer for resends and forgets those past their retention.
func (s *State) rememberChange(id samphirepass.ChangeID, r samphirepass.ChangeResult) {
	s.changes[id] = r
	s.c.Changes = append(s.c.Changes, rememberedChange{ID: id, AtMs: s.c.NowMs, Result: r})
	old := 0
	for s.c.Changes[old].AtMs < s.c.NowMs-changeRetentionMs {
		delete(s.changes, s.c.Changes[old].ID)
		old++
	}
	s.c.Changes = s.c.Changes[old:]
}
