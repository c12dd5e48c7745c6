package blackboard

import (
	"samphirepass"
	"samphirepass/ledger"
)

// Config is the configuration in force on an entry. It must not be modified in place; a change replaces it.
type Config struct {
	Revision  samphirepass.Revision
	Resources map[string]samphirepass.Resource
	Services  map[samphirepass.Service]samphirepass.ServiceSpec
	Callers   map[samphirepass.Caller]samphirepass.CallerSpec
	// Seats holds the taken seats.
	Seats []ledger.Seat
	// SeatCount is the number of seats, taken or free.
	SeatCount int
	// Events holds the changes after revision EventsAfter, oldest first.
	Events      []samphirepass.ResourceEvent
	EventsAfter samphirepass.Revision
}

// Seat returns the seat of vm and whether it has one.
func (c Config) Seat(vm samphirepass.VM) (ledger.Seat, bool) {
	for _, s := range c.Seats {
		if s.VM == vm {
			return s, true
		}
	}
	return ledger.Seat{}, false
}

// Board holds the state that the parts of one entry process share.
type Board struct {
	Config Observable[Config]
	// Stopping is true once the process has been asked to stop.
	Stopping Observable[bool]
}
