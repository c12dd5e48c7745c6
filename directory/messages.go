package directory

import (
	"samphirepass"
	"samphirepass/leaf"
)

const (
	kindFollow    = "follow"
	kindDeparture = "departure"
)

// Endpoint is the peer address and the data centre of a control process.
type Endpoint struct {
	Address    string
	DataCentre samphirepass.DataCentre
	// HasDisk is set if the process keeps the known leaves on a disk.
	HasDisk bool
}

// CollectorOffer is the offer of an entry to collect for smaller entries, that is, to take scatter-gather requests from them.
type CollectorOffer struct {
	// Address is the peer address at which the entry takes them.
	Address    string
	DataCentre samphirepass.DataCentre
	Capacity   samphirepass.Capacity
}

// followRequest is a long poll for the changes since the last reply of this source.
type followRequest struct {
	VM samphirepass.VM
	// ControlAddress is the peer address of the follower if it is a control process; it is empty otherwise.
	ControlAddress string
	DataCentre     samphirepass.DataCentre
	// Epoch identifies the process start of the source to which LeavesVersion belongs.
	Epoch          string
	LeavesVersion  uint64
	RoutingVersion samphirepass.RoutingVersion
	WaitMs         samphirepass.Millis
	// Capacity is the capacity of the follower if it is an entry.
	Capacity samphirepass.Capacity
	// CollectAddress is the peer address at which the follower collects for smaller entries, empty if it does not.
	CollectAddress string
	// OffersVersion is the version of the offers that the follower last received from this source.
	OffersVersion uint64
	// EndpointsVersion is the version of the endpoints that the follower last received from this source.
	EndpointsVersion uint64
	// SuspicionsVersion is the version of the suspicions that the follower last received from this source.
	SuspicionsVersion uint64
	// HasDisk is set if the follower is a control process that keeps the known leaves on a disk.
	HasDisk bool
	// EvacuationsRevision is that of the evacuations that the follower has in force.
	EvacuationsRevision samphirepass.Revision
	// NoPath is set if the follower reaches no leaf.
	NoPath bool
	// KnownStale tells whether the source was stale at its last reply; nil from a follower of an earlier version.
	KnownStale *bool
	// ControlStateOnly asks for a reply without leaves, offers and suspicions, which does not make the sender a follower. A source of an earlier
	// version replies as to any other poll.
	ControlStateOnly bool
}

// endpoint returns the follower's endpoint, without an address if it is not a control process.
func (r followRequest) endpoint() Endpoint {
	return Endpoint{Address: r.ControlAddress, DataCentre: r.DataCentre, HasDisk: r.HasDisk}
}

// followReply is the reply of a source to a followRequest.
type followReply struct {
	Epoch      string
	DataCentre samphirepass.DataCentre
	// Leaves are the leaves that changed since the request's LeavesVersion, or all leaves if its epoch differs.
	Leaves        []leaf.AgedAnnouncement
	LeavesVersion uint64
	// Heartbeats are those of the leaves that announce to the source directly; only followers that are control processes get them.
	Heartbeats []leaf.Heartbeat
	// SilentLeaves are the leaves without recent heartbeats.
	SilentLeaves []samphirepass.Leaf
	// Routing is the routing document that the source has applied, if it is newer than the follower's.
	Routing samphirepass.RoutingDocument
	// SinceLeaderContactMs is the time since the source was in contact with a leader; without one it may have missed changes.
	SinceLeaderContactMs samphirepass.Millis
	// Endpoints are the control processes that the source knows, if their version differs from the follower's.
	Endpoints []Endpoint
	// DirectEntries are the entries that follow the source itself; only followers that are control processes get them. EntryCount is
	// the number of all entries that the source knows.
	DirectEntries []samphirepass.VM
	EntryCount    int
	// Offers are the offers of all collectors, if their version differs from the follower's.
	Offers        []CollectorOffer
	OffersVersion uint64
	// DirectOffers are the offers of the entries that follow the source itself; only followers that are control processes get them.
	DirectOffers []CollectorOffer
	// CollectorCount is the number of collectors. IsCollector is set if the follower is one of them.
	CollectorCount int
	IsCollector    bool
	// EndpointsVersion is the version of Endpoints.
	EndpointsVersion uint64
	// Suspicions are the requests that crash leaves, as far as they have changed since the request's SuspicionsVersion.
	Suspicions        []samphirepass.Suspicion
	SuspicionsVersion uint64
	// HasDisk is set if the source keeps the known leaves on a disk.
	HasDisk bool
	// Evacuations are those that the source has applied, if they are newer than the follower's or come with Routing; nil otherwise.
	Evacuations *samphirepass.Evacuations
	// HeldMs is the time from the arrival of the request to the moment as of which SinceLeaderContactMs is said; nil from a source of an
	// earlier version, which says it as of some moment before.
	HeldMs *samphirepass.Millis
}

// departure is a leaf that leaves.
type departure struct {
	Leaf samphirepass.Leaf
	// Announcement is the newest one that the sender knows, nil if it knows none.
	Announcement *leaf.AgedAnnouncement
}

// departureRequest asks a control process to store departures on its disk.
type departureRequest struct {
	Departures []departure
}

// departureReply is the reply to a departureRequest.
type departureReply struct {
	// NotStored is why the departures are not on the disk of the receiver, empty if they are.
	NotStored string
	// Newer holds the announcements of those leaves of which the receiver knows a later incarnation than the request names.
	Newer []leaf.AgedAnnouncement
}
