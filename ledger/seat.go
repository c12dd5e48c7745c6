package ledger

import (
	"cmp"
	"slices"

	"samphirepass"
)

func (s *State) applySeat(index samphirepass.Revision, c SeatChange) samphirepass.Code {
	i := slices.IndexFunc(s.data.Seats, func(seat Seat) bool { return seat.VM == c.VM })
	if c.Release {
		s.data.ReleasedBy[c.VM] = c.Process
		return s.releaseSeat(index, i)
	}
	if c.Process != "" && s.data.ReleasedBy[c.VM] == c.Process {
		return samphirepass.CodeStopping
	}
	if i >= 0 {
		s.data.Seats[i].Address = c.Address
		s.data.Seats[i].DataCentre = c.DataCentre
		s.markSeatsChanged(index)
		return ""
	}
	number, ok := s.lowestFreeSeat()
	if !ok {
		return samphirepass.CodeUnavailable
	}
	s.data.Seats = append(s.data.Seats, Seat{Number: number, VM: c.VM, Address: c.Address, DataCentre: c.DataCentre})
	slices.SortFunc(s.data.Seats, func(a, b Seat) int { return cmp.Compare(a.Number, b.Number) })
	s.markSeatsChanged(index)
	return ""
}

func (s *State) releaseSeat(index samphirepass.Revision, i int) samphirepass.Code {
	if i < 0 {
		return samphirepass.CodeNotFound
	}
	s.data.Seats = slices.Delete(slices.Clone(s.data.Seats), i, i+1)
	s.markSeatsChanged(index)
	return ""
}

func (s *State) markSeatsChanged(index samphirepass.Revision) {
	s.data.Revision = index
	s.data.SeatsRevision = index
}

// lowestFreeSeat returns the lowest seat number that no entry VM holds, and whether there is one.
func (s *State) lowestFreeSeat() (int, bool) {
	for n := range s.data.SeatCount {
		taken := slices.ContainsFunc(s.data.Seats, func(seat Seat) bool { return seat.Number == n })
		if !taken {
			return n, true
		}
	}
	return 0, false
}
