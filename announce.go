package samphirepass

import (
	"fmt"
	"net/netip"
)

// LeafState is the state of a leaf.
type LeafState string

// The states of a leaf.
const (
	LeafStarting LeafState = "starting"
	LeafServing  LeafState = "serving"
	LeafDraining LeafState = "draining"
	// LeafGone is the state of a leaf whose incarnation has ended or is about to end; the leaf itself does not announce it.
	LeafGone LeafState = "gone"
)

// Leaving reports whether a leaf in state s never gets new work again.
func (s LeafState) Leaving() bool { return s == LeafDraining || s == LeafGone }

// Holding is one shard of one snapshot that a leaf holds.
type Holding struct {
	Snapshot Snapshot `json:"snapshot" validate:"required"`
	// Shards is the number of shards of the whole snapshot.
	Shards int   `json:"shards" validate:"required,min=1,max=100000"`
	Shard  Shard `json:"shard"`
}

// Announcement describes a leaf; the announcements of one leaf are ordered by incarnation and sequence.
type Announcement struct {
	Leaf        Leaf        `json:"leaf" validate:"required,min=1,max=128"`
	Service     Service     `json:"service" validate:"required,min=1,max=64"`
	Address     string      `json:"address" validate:"required,ip_port"`
	DataCentre  DataCentre  `json:"data-centre" validate:"required,min=1,max=64"`
	Incarnation Incarnation `json:"incarnation" validate:"required"`
	Sequence    uint64      `json:"sequence" validate:"required"`
	State       LeafState   `json:"state" validate:"required,oneof=starting serving draining"`
	Holdings    []Holding   `json:"holdings" validate:"max=64,dive"`
	// Slots is the number of requests that the leaf processes concurrently.
	Slots int `json:"slots" validate:"required,min=1,max=10000"`
	// Connections is the total number of connections that the leaf accepts.
	Connections int `json:"connections" validate:"required,min=1,max=100000"`
	// ColdMs is the remaining warm-up time, as stated by the leaf.
	ColdMs Millis `json:"cold-ms,omitempty" validate:"min=0"`
	// StartedMs is the wall time of the leaf's start, which tells successive leaves at one address apart; 0 if unknown.
	StartedMs Millis `json:"started-ms,omitempty" validate:"min=0"`
}

// MaxColdMs bounds the warm-up time that a leaf may state.
const MaxColdMs Millis = 3600 * 1000

const (
	// maxNameBytes bounds the names in an announcement.
	maxNameBytes = 256
	// maxLeafSlots and maxLeafConnections bound what a leaf may say that it takes, so that sums and products of them do not overflow.
	maxLeafSlots       = 10_000
	maxLeafConnections = 100_000
	// maxHoldings and maxHoldingShards bound what a leaf holds.
	maxHoldings      = 64
	maxHoldingShards = 100_000
)

// CheckBounds returns an error that names the first field that no leaf can have, whatever its protocol; such an announcement must neither
// be kept nor passed on, as all other processes would read it.
func (a Announcement) CheckBounds() error {
	for _, name := range []struct{ field, value string }{{"leaf", string(a.Leaf)}, {"service", string(a.Service)}, {"data-centre", string(a.DataCentre)}} {
		if len(name.value) > maxNameBytes {
			return outOfBounds(name.field, "at most %d bytes", maxNameBytes)
		}
	}
	address, err := netip.ParseAddrPort(a.Address)
	switch {
	case a.Leaf == "":
		return outOfBounds("leaf", "a name")
	case err != nil || address.Port() == 0:
		return outOfBounds("address", "an IP number with a port")
	case a.Slots < 0 || a.Slots > maxLeafSlots:
		return outOfBounds("slots", "0 to %d", maxLeafSlots)
	case a.Connections < 0 || a.Connections > maxLeafConnections:
		return outOfBounds("connections", "0 to %d", maxLeafConnections)
	case !(a.ColdMs >= 0 && a.ColdMs <= MaxColdMs):
		return outOfBounds("cold-ms", "0 to %.0f", MaxColdMs)
	case !(a.StartedMs >= 0):
		return outOfBounds("started-ms", "at least 0")
	case len(a.Holdings) > maxHoldings:
		return outOfBounds("holdings", "at most %d", maxHoldings)
	}
	for _, h := range a.Holdings {
		if h.Shards < 1 || h.Shards > maxHoldingShards || int(h.Shard) >= h.Shards {
			return outOfBounds("holdings.shards", "1 to %d, above the shard", maxHoldingShards)
		}
	}
	return nil
}

func outOfBounds(field, allowed string, args ...any) error {
	r := Refuse(CodeInvalid, "the announcement is out of bounds")
	r.Field, r.Allowed = field, fmt.Sprintf(allowed, args...)
	return r
}

// Newer reports whether a replaces b, an announcement of the same leaf. Within an incarnation, leaving is final.
func (a Announcement) Newer(b Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.State.Leaving() != b.State.Leaving() {
		return a.State.Leaving()
	}
	return a.Sequence > b.Sequence
}
