package bench

import (
	"time"

	"samphirepass"
	"samphirepass/standin"
)

// CaseName names a case.
type CaseName string

// ClassLoad is the offered load of one class.
type ClassLoad struct {
	Class samphirepass.Class
	// QueriesPerSecond is the mean rate of queries.
	QueriesPerSecond float64
}

// Event is a change to the rig during a case, such as a fault. Do is called AtMs after the start of the load.
type Event struct {
	AtMs samphirepass.Millis
	Do   func(r *Rig)
}

// Case is one named experiment: a workload, its load and its faults.
type Case struct {
	Name     CaseName
	Workload Workload
	Load     []ClassLoad
	// DurationMs is the time over which queries arrive.
	DurationMs samphirepass.Millis
	// ConfigureLeaf changes the options of leaf n before it starts; nil leaves them unchanged.
	ConfigureLeaf func(n int, o *standin.Options)
	// Relayed puts a relay, with which events can interrupt connections, in front of each leaf.
	Relayed bool
	Events  []Event
	// ConnectionLimit is the maximum number of connections to each leaf.
	ConnectionLimit int64
}

const (
	caseEntries = 3
	// caseWorkMs is much longer than the machine's overhead per request, so that the leaves are the bottleneck.
	caseWorkMs     samphirepass.Millis = 40
	caseDeadlineMs samphirepass.Millis = 1000
	caseDurationMs samphirepass.Millis = 6000
	// shardCapacityPerSecond is the rate of queries that the leaves of one shard can answer: 3 replicas times 3 slots, divided
	// by the processing time of one request.
	shardCapacityPerSecond = 3 * 3 * 1000 / float64(caseWorkMs)
	// stragglePercent of the requests take straggleFactor times the usual processing time.
	stragglePercent samphirepass.Percent = 1
	straggleFactor                       = 10
	// eventAtMs is the time of the first event of a case.
	eventAtMs samphirepass.Millis = 2000
)

// caseWorkload returns w reduced to its first service, with the processing time, deadline and rule for partial answers that
// the cases use.
func caseWorkload(w Workload) Workload {
	w.Fleets = append([]Fleet(nil), w.Fleets[:1]...)
	w.Fleets[0].ProcessingMs = caseWorkMs
	w.Fleets[0].DeadlineMs = caseDeadlineMs
	w.Fleets[0].Partial = samphirepass.PartialAllowed
	return w
}

// classLoads divides a load among the classes of w. utilization is the total load as a share of shardCapacityPerSecond.
func classLoads(w Workload, utilization float64) []ClassLoad {
	shares := []float64{0.3, 0.3, 0.4}
	loads := make([]ClassLoad, len(shares))
	for i, share := range shares {
		loads[i] = ClassLoad{Class: w.Classes[i], QueriesPerSecond: share * utilization * shardCapacityPerSecond}
	}
	return loads
}

func addStragglers(_ int, o *standin.Options) {
	o.StragglePercent = stragglePercent
	o.StraggleMs = straggleFactor * o.WorkMs
}

// Cases returns every case.
func Cases() []Case {
	federation, overeno := caseWorkload(Federation()), caseWorkload(Overeno())
	newCase := func(name CaseName, w Workload, utilization float64) Case {
		return Case{Name: name, Workload: w, Load: classLoads(w, utilization), DurationMs: caseDurationMs, ConnectionLimit: int64(w.Fleets[0].Connections)}
	}
	stragglers := newCase("stragglers", federation, 0.3)
	stragglers.ConfigureLeaf = addStragglers
	lostReplica := newCase("lost-replica", overeno, 0.3)
	lostReplica.Events = []Event{{AtMs: eventAtMs, Do: stopReplicas}}
	coldStart := newCase("cold-start", federation, 0.3)
	coldStart.Events = []Event{{AtMs: eventAtMs, Do: addColdReplicas}}
	shedding := newCase("shedding", federation, 0.6)
	shedding.ConfigureLeaf = func(n int, o *standin.Options) { o.Queue = 1; addStragglers(n, o) }
	overload := newCase("overload", federation, 3)
	overload.Load = []ClassLoad{
		{Class: federation.Classes[0], QueriesPerSecond: 0.4 * shardCapacityPerSecond},
		{Class: federation.Classes[1], QueriesPerSecond: 1.3 * shardCapacityPerSecond},
		{Class: federation.Classes[2], QueriesPerSecond: 1.3 * shardCapacityPerSecond},
	}
	overload.ConfigureLeaf = func(_ int, o *standin.Options) { o.Queue = 6 }
	partition := newCase("partition", overeno, 0.2)
	partition.Relayed = true
	partition.Events = []Event{{AtMs: eventAtMs, Do: setDataCentreLinks(standin.LinkSilent)}, {AtMs: 2 * eventAtMs, Do: setDataCentreLinks(standin.LinkPass)}}
	repartition := newCase("repartition", overeno, 0.3)
	repartition.Events = []Event{{AtMs: eventAtMs, Do: startRepartition}, {AtMs: 2 * eventAtMs, Do: finishRepartition}}
	misleadingHealth := newCase("misleading-health", federation, 0.3)
	misleadingHealth.ConfigureLeaf = misreportLoad
	silentConnection := newCase("silent-connection", federation, 0.3)
	silentConnection.Relayed = true
	silentConnection.Events = []Event{{AtMs: eventAtMs, Do: silenceOpenConnections}}
	return []Case{stragglers, lostReplica, coldStart, shedding, overload, partition, repartition, misleadingHealth, silentConnection}
}

// stopReplicas stops one leaf of each shard except the last shard.
func stopReplicas(r *Rig) {
	for i := 0; i+3 < len(r.Leaves); i += 3 {
		go r.Leaves[i].Stop()
	}
}

// addColdReplicas starts one more leaf for each shard, which is slow until it has warmed up.
func addColdReplicas(r *Rig) {
	w := r.options.Workload
	for n, o := range w.Fleets[0].LeafOptions(w, firstSnapshot, r.Addresses, r.options.Seed+1) {
		if n%w.Fleets[0].Replicas != 0 {
			continue
		}
		o.Leaf += "-cold"
		o.ColdMs, o.ColdFactor = caseDurationMs, straggleFactor
		// The error is ignored: the case continues without the additional leaf.
		_, _ = r.StartLeaf(o)
	}
}

// setDataCentreLinks returns an event that sets the links to the leaves in the first data centre.
func setDataCentreLinks(l standin.Link) func(*Rig) {
	return func(r *Rig) {
		for i, relay := range r.Relays {
			if i%len(r.options.Workload.DataCentres) == 0 {
				relay.SetDefault(l)
			}
		}
	}
}

// startRepartition adds to each leaf a shard of the next snapshot, which has half as many shards.
func startRepartition(r *Rig) {
	updateLeaves(r, func(n int, l *standin.Leaf, initial []samphirepass.Holding) {
		l.SetHoldings(append(initial, nextHolding(r, n)))
	})
}

// finishRepartition removes the first snapshot from each leaf.
func finishRepartition(r *Rig) {
	updateLeaves(r, func(n int, l *standin.Leaf, _ []samphirepass.Holding) {
		l.SetHoldings([]samphirepass.Holding{nextHolding(r, n)})
	})
}

// nextHolding returns the holding of leaf n in the next snapshot.
func nextHolding(r *Rig, n int) samphirepass.Holding {
	shards := r.options.Workload.Fleets[0].Shards / 2
	return samphirepass.Holding{Snapshot: firstSnapshot + 1, Shards: shards, Shard: samphirepass.Shard(n % shards)}
}

// updateLeaves calls f for one leaf after the other, with its index and its initial holdings. The pause between them spreads the
// change over time.
func updateLeaves(r *Rig, f func(n int, l *standin.Leaf, initial []samphirepass.Holding)) {
	fleet := r.options.Workload.Fleets[0]
	for n, l := range r.Leaves {
		f(n, l, []samphirepass.Holding{{Snapshot: firstSnapshot, Shards: fleet.Shards, Shard: samphirepass.Shard(n / fleet.Replicas)}})
		time.Sleep(10 * time.Millisecond)
	}
}

// misreportLoad makes one leaf of each shard slow and has it report no load, while the others report full load.
func misreportLoad(n int, o *standin.Options) {
	reported := 1.0
	if n%3 == 0 {
		reported = 0
		o.WorkMs *= 5
	}
	o.ReportedLoad = &reported
}

func silenceOpenConnections(r *Rig) {
	for _, relay := range r.Relays {
		relay.SilenceOpen()
	}
}
