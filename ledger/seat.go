package ledger

import (
	"cmp"
	"slices"

	"samphirepass"
)

func (s *State) applySeat(index samphirepass.Revision, c SeatChange) samphirepass.Code {
	i := slices.IndexFunc(s.c.Seats, func(one Seat) bool { return one.VM == c.VM })
	if c.Release {
		s.c.Left[c.VM] = c.Process
		return s.leaveSeat(index, i)
	}
	if c.Process != "" && s.c.Left[c.VM] == c.Process {
		return samphirepass.CodeStopping
	}
	if i >= 0 {
		s.c.Seats[i].Address = c.Address
		s.c.Seats[i].DataCentre = c.DataCentre
		s.seatsChanged(index)
		return ""
	}
	number, ok := s.freeSeat()
	if !ok {
		return samphirepass.CodeUnavailable
	}
	s.c.Seats = append(s.c.Seats, Seat{Number: number, VM: c.VM, Address: c.Address, DataCentre: c.DataCentre})
	slices.SortFunc(s.c.Seats, func(a, b Seat) int { return cmp.Compare(a.Number, b.Number) })
	s.seatsChanged(index)
	return ""
}

func (s *State) leaveSeat(index samphirepass.Revision, i int) samphirepass.Code {
	if i < 0 {
		return samphirepass.CodeNotFound
	}
	s.c.Seats = slices.Delete(slices.Clone(s.c.Seats), i, i+1)
	s.seatsChanged(index)
	return ""
}

func (s *State) seatsChanged(index samphirepass.Revision) {
	s.c.Revision = index
	s.c.SeatsRevision = index
}

// freeSeat returns the lowest number that no entry VM holds.
func (s *State) freeSeat() (int, bool) {
	for n := range s.c.SeatCount {
		taken := slices.ContainsFunc(s.c.Seats, func(one Seat) bool { return one.Number == n })
		if !taken {
			return n, true
		}
	}
	return 0, false
}
