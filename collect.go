package samphirepass

// Capacity is what a process has to work with.
type Capacity struct {
	// Cores is its share of the processor, in cores.
	Cores float64
	// LinkMbps is the speed of its VM's link, in megabits a second.
	LinkMbps float64
}

// dwarfFactor is how many times the processor of a smaller entry one must have for a request to gain from going there:
// at twice the speed the work of a fan-out saves more time than the way there and back takes.
const dwarfFactor = 2

// SuitsOffloadFrom reports whether requests over many shards are better done with c than with other.
func (c Capacity) SuitsOffloadFrom(other Capacity) bool {
	return c.Cores >= dwarfFactor*other.Cores && c.LinkMbps >= other.LinkMbps && other.Cores > 0
}

// CollectorCandidate is what an entry knows of a larger one that takes requests over shards from it.
type CollectorCandidate struct {
	Address        string
	SameDataCentre bool
	// LocalShardShare is the share of the request's shards that have a leaf in the candidate's data centre.
	LocalShardShare float64
	// InFlight counts this entry's requests that the candidate has not answered.
	InFlight int
	// OldestInFlightMs is the age of the oldest of them, 0 if there is none.
	OldestInFlightMs Millis
	// Connected is set where a connection to the candidate stands.
	Connected bool
	// SilentMs is the time since the candidate was last heard of on a connection that stands.
	SilentMs Millis
	// SinceFailureMs is the time since it last failed or refused a request.
	SinceFailureMs Millis
}

// ShardPart is a part of a request's shards that is collected together.
type ShardPart struct {
	// DataCentre is the data centre that has a leaf of each of them, empty if none has.
	DataCentre DataCentre
	// Shards are indices into the request's shards, rising.
	Shards []int
}
