package daemon

import (
	"samphirepass"
)

const (
	// connectionMargin is the part of a leaf's connections that entries share out: an entry that has just started is not counted yet.
	connectionMargin = 0.9
	// defaultConnections stands for the limit of a leaf whose service declares none.
	defaultConnections = 32
	// connectionsPerSlot bounds the share of one entry: more connections than a leaf can work on only wait there.
	connectionsPerSlot = 2
)

// routingShares shares the connections of each leaf out evenly among the entries that follow the directory.
type routingShares struct{ g *Gateway }

// Share returns how many connections this entry may hold to a leaf.
func (s routingShares) Share(a samphirepass.Announcement) int {
	routing, _ := s.g.dispatcher.Routing()
	limit := routing.Connections[a.Service]
	if limit <= 0 {
		limit = defaultConnections
	}
	entries := max(s.g.follower.Entries(), 1)
	share := int(connectionMargin * float64(limit) / float64(entries))
	return min(max(share, 1), connectionsPerSlot*max(a.Slots, 1))
}

// Version changes with the routing document and the number of entries.
func (s routingShares) Version() uint64 {
	routing, _ := s.g.dispatcher.Routing()
	return uint64(routing.Version)<<20 + uint64(s.g.follower.Entries())
}
