package bench

import (
	"fmt"

	"samphirepass"
	"samphirepass/standin"
)

// Fleet describes the leaves of one service.
type Fleet struct {
	Service samphirepass.Service
	// Shards is the number of shards, Replicas the number of leaves per shard.
	Shards, Replicas int
	Slots            int
	Connections      int
	ConnectMs        samphirepass.Millis
	ProcessingMs     samphirepass.Millis
	DeadlineMs       samphirepass.Millis
	Partial          samphirepass.PartialRule
}

// Workload describes the deployment of one user.
type Workload struct {
	Name        string
	DataCentres []samphirepass.DataCentre
	// OneWayDelayMs is the one-way network delay between two data centres.
	OneWayDelayMs samphirepass.Millis
	Classes       []samphirepass.Class
	Fleets        []Fleet
}

// Federation is the member and field search of the Federation.
func Federation() Workload {
	return Workload{
		Name: "federation", OneWayDelayMs: 0.5,
		DataCentres: []samphirepass.DataCentre{"derby", "leicester", "lincoln", "nottingham"},
		Classes:     []samphirepass.Class{"flight-line", "secretary", "public"},
		Fleets: []Fleet{
			{Service: "member-register", Shards: 10, Replicas: 3, Slots: 3, Connections: 30, ConnectMs: 6, ProcessingMs: 4, DeadlineMs: 250, Partial: samphirepass.PartialRefused},
			{Service: "competition-calendar", Shards: 15, Replicas: 3, Slots: 3, Connections: 30, ConnectMs: 6, ProcessingMs: 4, DeadlineMs: 500, Partial: samphirepass.PartialAllowed},
			{Service: "frequency-slots", Shards: 10, Replicas: 3, Slots: 2, Connections: 120, ConnectMs: 1, ProcessingMs: 3, DeadlineMs: 500, Partial: samphirepass.PartialRefused},
			{Service: "newsletter", Shards: 5, Replicas: 3, Slots: 2, Connections: 120, ConnectMs: 1, ProcessingMs: 3, DeadlineMs: 1000, Partial: samphirepass.PartialAllowed},
		},
	}
}

// Overeno is the vehicle history of Overeno Auto.
func Overeno() Workload {
	return Workload{
		Name: "overeno", OneWayDelayMs: 1,
		DataCentres: []samphirepass.DataCentre{"bratislava", "nitra", "trnava"},
		Classes:     []samphirepass.Class{"dealer", "leasing", "private"},
		Fleets: []Fleet{
			{Service: "check", Shards: 10, Replicas: 3, Slots: 3, Connections: 30, ConnectMs: 6, ProcessingMs: 5, DeadlineMs: 500, Partial: samphirepass.PartialAllowed},
			{Service: "billing-ledger", Shards: 15, Replicas: 3, Slots: 3, Connections: 30, ConnectMs: 6, ProcessingMs: 5, DeadlineMs: 500, Partial: samphirepass.PartialRefused},
			{Service: "registry-feed", Shards: 10, Replicas: 2, Slots: 2, Connections: 40, ConnectMs: 1, ProcessingMs: 4, DeadlineMs: 1000, Partial: samphirepass.PartialAllowed},
			{Service: "support-desk", Shards: 5, Replicas: 2, Slots: 2, Connections: 40, ConnectMs: 1, ProcessingMs: 4, DeadlineMs: 1000, Partial: samphirepass.PartialAllowed},
		},
	}
}

// Spec returns the specification of the service.
func (f Fleet) Spec(classes []samphirepass.Class) samphirepass.ServiceSpec {
	return samphirepass.ServiceSpec{
		Classes: classes, DeadlineMs: f.DeadlineMs, Partial: f.Partial, HedgeBudgetPercent: 5,
		Merge: samphirepass.MergeSpec{Kind: samphirepass.MergeConcatenate},
	}
}

// LeafOptions returns the options of the emulated leaves, which are spread over the data centres of w. Each leaf gets a seed of its
// own, derived from seed.
func (f Fleet) LeafOptions(w Workload, snapshot samphirepass.Snapshot, entries []string, seed uint64) []standin.Options {
	var options []standin.Options
	for shard := range f.Shards {
		for replica := range f.Replicas {
			n := shard*f.Replicas + replica
			options = append(options, standin.Options{
				Leaf:    samphirepass.Leaf(fmt.Sprintf("%s-%d-%d", f.Service, shard, replica)),
				Service: f.Service, DataCentre: w.DataCentres[n%len(w.DataCentres)], Entries: entries,
				Holdings: []samphirepass.Holding{{Snapshot: snapshot, Shards: f.Shards, Shard: samphirepass.Shard(shard)}},
				Slots:    f.Slots, Connections: f.Connections, ConnectMs: f.ConnectMs, WorkMs: f.ProcessingMs,
				Seed: seed*1_000_003 + uint64(n),
			})
		}
	}
	return options
}
