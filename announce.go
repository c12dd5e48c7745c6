package samphirepass

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
