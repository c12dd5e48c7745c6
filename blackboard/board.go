package blackboard

import (
	"samphirepass"
	"samphirepass/ledger"
)

// Config is the configuration in force on one entry; it is never changed in place.
type Config struct {
	Revision  samphirepass.Revision
	Resources map[string]samphirepass.Resource
	Services  map[samphirepass.Service]samphirepass.ServiceSpec
	Callers   map[samphirepass.Caller]samphirepass.CallerSpec
	Seats     []ledger.Seat
	SeatCount int
	// Events are the last changes, oldest first, and EventsAfter is the revision that they follow.
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

// Board holds the cells of one entry.
type Board struct {
	Config Observable[Config]
	// Stopping is set once the process has been told to stop.
	Stopping Observable[bool]
}
