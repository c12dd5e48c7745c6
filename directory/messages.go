package directory

import (
	"samphirepass"
	"samphirepass/leaf"
)

const kindFollow = "follow"

// Endpoint is one process of control as others reach it.
type Endpoint struct {
	Address    string
	DataCentre samphirepass.DataCentre
}

// Offer tells that an entry takes requests over shards from smaller entries.
type Offer struct {
	// Address is where the entry takes them.
	Address    string
	DataCentre samphirepass.DataCentre
	Capacity   samphirepass.Capacity
}

// followRequest asks for what changed since the follower's last reply from this source.
type followRequest struct {
	VM samphirepass.VM
	// Control is the follower's own peer address if it is a process of control itself.
	Control    string
	DataCentre samphirepass.DataCentre
	// Epoch names the life of the source that Leaves is a version of.
	Epoch   string
	Leaves  uint64
	Routing samphirepass.RoutingVersion
	WaitMs  samphirepass.Millis
	// Capacity is that of an entry.
	Capacity samphirepass.Capacity
	// Collect is where the entry takes requests over shards from others, empty if it takes none.
	Collect string
	// Offers is the version of the offers that the follower has from this source.
	Offers uint64
	// Contacts is the version of the contacts that the follower has from this source.
	Contacts uint64
}

type followReply struct {
	Epoch      string
	DataCentre samphirepass.DataCentre
	// Leaves changed since the request's version, or are all that is known if the epoch is another.
	Leaves        []leaf.AgedAnnouncement
	LeavesVersion uint64
	// Alive are signs of life of leaves that announced to the source itself, for followers that count silence themselves.
	Alive []leaf.Heartbeat
	// Silent are the leaves that the source has not heard of for long.
	Silent []samphirepass.Leaf
	// Routing is the document that the source has applied, if it is newer than the follower's.
	Routing samphirepass.RoutingDocument
	// LeaderAgeMs is the time since the source heard of a leader, without whom it may have missed changes.
	LeaderAgeMs samphirepass.Millis
	// Contacts are the processes of control that the source knows, if their version is another than the follower's.
	Contacts []Endpoint
	// Entries are the entries that follow the source itself, EntryCount all that it knows of.
	Entries    []samphirepass.VM
	EntryCount int
	// Offers are those of all collectors, if their version is another than the follower's.
	Offers        []Offer
	OffersVersion uint64
	// OwnOffers are those of the entries that follow the source itself, for followers that are processes of control.
	OwnOffers []Offer
	// Collectors is the number of entries that smaller ones pass requests to, Collecting whether the follower is one of them.
	Collectors int
	Collecting bool
	// ContactsVersion is that of the contacts.
	ContactsVersion uint64
}
