package standin

import "samphirepass"

// Options configure an emulated leaf. The first four fields describe the leaf; the zero value of any other field selects
// its default or disables the behaviour.
type Options struct {
	Leaf       samphirepass.Leaf
	Service    samphirepass.Service
	DataCentre samphirepass.DataCentre
	Holdings   []samphirepass.Holding
	// Address is the listen address; empty means a free loopback port.
	Address string
	// Advertise is the address to announce; empty means the listen address.
	Advertise string
	// Entries are the API addresses of the entries to announce to.
	Entries []string
	// AnnounceMs is the interval between announcements, 1000 if 0.
	AnnounceMs samphirepass.Millis
	// Slots is the number of requests processed concurrently, 3 if 0.
	Slots int
	// Connections is the limit of open connections, 30 if 0.
	Connections int
	// ConnectMs is the delay from accepting a connection to reading from it.
	ConnectMs samphirepass.Millis
	// WorkMs is the processing time of a request.
	WorkMs samphirepass.Millis
	// StragglePercent of the requests take StraggleMs instead of WorkMs.
	StragglePercent samphirepass.Percent
	StraggleMs      samphirepass.Millis
	// ColdMs is the warm-up time after the start. Processing times are ColdFactor times as long at first and fall linearly
	// to normal.
	ColdMs     samphirepass.Millis
	ColdFactor float64
	// Queue is the number of requests that may wait for a slot; more are shed. 0 means no limit.
	Queue int
	// OneWayMs is the network latency to the leaf; each request is delayed by twice this time.
	OneWayMs samphirepass.Millis
	// Seed seeds the random choice of stragglers, so that it is the same in each run.
	Seed uint64
	Faults
}

// Faults are the faults that an emulated leaf injects; they may be changed while it runs.
type Faults struct {
	// ReportedLoad replaces the load that the load endpoint reports; nil reports the actual load.
	ReportedLoad *float64
	// PartialAnswers marks every answer as partial.
	PartialAnswers bool
	// WrongShard, WrongSnapshot, WrongRequest and BadDigest put a wrong value into that header of every answer.
	WrongShard    bool
	WrongSnapshot bool
	WrongRequest  bool
	BadDigest     bool
	// Truncated sends only the first half of every answer's body.
	Truncated bool
	// DropAfterRead closes the connection instead of answering, after the request has been read and processed.
	DropAfterRead bool
	// Redirect answers every query and run with a 307 to the same path.
	Redirect bool
	// Silent reads requests and never answers.
	Silent bool
	// RefuseRuns rejects every run as not run.
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
