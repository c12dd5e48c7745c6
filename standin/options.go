package standin

import "samphirepass"

// Options describe one leaf stand-in; the zero value of each field but the first four turns its behaviour off.
type Options struct {
	Leaf       samphirepass.Leaf
	Service    samphirepass.Service
	DataCentre samphirepass.DataCentre
	Holdings   []samphirepass.Holding
	// Address is where to listen; empty means a free loopback port.
	Address string
	// Advertise is the address to announce, if it is another.
	Advertise string
	// Entries are the API addresses to announce to; empty means none.
	Entries []string
	// AnnounceMs is the time between announcements, 1000 if 0.
	AnnounceMs samphirepass.Millis
	// Slots is the number of requests worked on at once, 3 if 0.
	Slots int
	// Connections is the number of connections accepted, 30 if 0.
	Connections int
	// ConnectMs is the cost of a new connection.
	ConnectMs samphirepass.Millis
	// WorkMs is the time of a request.
	WorkMs samphirepass.Millis
	// StragglePercent of the requests take StraggleMs in place of WorkMs.
	StragglePercent samphirepass.Percent
	StraggleMs      samphirepass.Millis
	// ColdMs is the time after the start over which requests take up to ColdFactor times as long.
	ColdMs     samphirepass.Millis
	ColdFactor float64
	// Queue is the number of requests that wait for a slot before more are shed; 0 means no limit.
	Queue int
	// OneWayMs is the network delay to the leaf, which is added to each request twice.
	OneWayMs samphirepass.Millis
	// Seed makes the drawn stragglers the same in each run.
	Seed uint64
	Faults
}

// Faults are ways in which a leaf misbehaves; they may be changed while it runs.
type Faults struct {
	// ReportedLoad is what the load endpoint claims, if it lies.
	ReportedLoad *float64
	// PartialAnswers marks every answer as partial.
	PartialAnswers bool
	// WrongShard, WrongSnapshot, CrossedAnswers and BadDigest falsify every answer.
	WrongShard    bool
	WrongSnapshot bool
	WrongRequest  bool
	BadDigest     bool
	// Truncated cuts every answer's body short.
	Truncated bool
	// DropAfterRead closes the connection once a request has been read and worked on.
	DropAfterRead bool
	// Redirect answers every request with a 307 to the leaf itself.
	Redirect bool
	// Silent reads requests and never answers.
	Silent bool
	// RefuseRuns sheds every run.
	RefuseRuns bool
}

const (
	defaultAnnounceMs  samphirepass.Millis = 1000
	defaultSlots                           = 3
	defaultConnections                     = 30
)

func (o Options) withDefaults() Options {
	if o.AnnounceMs == 0 {
		o.AnnounceMs = defaultAnnounceMs
	}
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	if o.Connections == 0 {
		o.Connections = defaultConnections
	}
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	return o
}
