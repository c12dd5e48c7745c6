package samphirepass

// Capacity is the computing and network capacity of a process.
type Capacity struct {
	// Cores is the CPU share of the process, in cores.
	Cores float64
	// LinkMbps is the link speed of its VM, in Mbit/s.
	LinkMbps float64
}

// offloadCoreFactor is the ratio of CPU shares from which forwarding a request to a larger entry pays off:
// at twice the speed the fan-out saves more time than the extra round trip takes.
const offloadCoreFactor = 2

// SuitsOffloadFrom reports whether it pays off to forward scatter-gather requests from a process with capacity other to one with c.
func (c Capacity) SuitsOffloadFrom(other Capacity) bool {
	return c.Cores >= offloadCoreFactor*other.Cores && c.LinkMbps >= other.LinkMbps && other.Cores > 0
}

// CollectorCandidate describes an entry to which another entry may forward scatter-gather requests.
type CollectorCandidate struct {
	Address        string
	SameDataCentre bool
	// LocalShardShare is the share of the request's shards that have a leaf in the candidate's data centre.
	LocalShardShare float64
	// InFlight is the number of this entry's requests that the candidate has not answered.
	InFlight int
	// OldestInFlightMs is the age of the oldest of these requests, 0 if there is none.
	OldestInFlightMs Millis
	Connected        bool
	// SilentMs is the time since the last frame from the candidate on an open connection.
	SilentMs Millis
	// SinceFailureMs is the time since the candidate last failed or refused a request.
	SinceFailureMs Millis
	// NoPath is set for a while after the candidate said that it reaches no leaf.
	NoPath bool
}

// CollectorCondition says whether an entry may send requests to a collector.
type CollectorCondition string

// Conditions of a collector.
const (
	CollectorUsable       CollectorCondition = "usable"
	CollectorDisconnected CollectorCondition = "disconnected"
	CollectorSilent       CollectorCondition = "silent"
	// CollectorStalled means that an answer is long overdue although the collector still sends frames.
	CollectorStalled CollectorCondition = "stalled"
	// CollectorFailed means that a request has just failed or was refused.
	CollectorFailed CollectorCondition = "failed"
	// CollectorNoPath means that the collector has just said that it reaches no leaf.
	CollectorNoPath CollectorCondition = "no-path"
)

// ShardPart is a subset of a request's shards that one entry collects.
type ShardPart struct {
	// DataCentre is where the shards are collected, empty if no data centre with a collector has a leaf of any of them.
	DataCentre DataCentre
	// Shards holds indices into the request's shards, in ascending order.
	Shards []int
}

// Relay is a gateway that reaches leaves and delivers the requests of gateways that do not.
type Relay struct {
	// Address is its peer address.
	Address    string
	DataCentre DataCentre
	Capacity   Capacity
}
