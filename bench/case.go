package bench

import (
	"time"

	"samphirepass"
	"samphirepass/standin"
)

// CaseName names a case.
type CaseName string

// ClassLoad is the load of one class.
type ClassLoad struct {
	Class samphirepass.Class
	// QueriesPerSecond is the mean rate of queries.
	QueriesPerSecond float64
}

// Event is something that happens during a case.
type Event struct {
	AtMs samphirepass.Millis
	Do   func(r *Rig)
}

// Case is one named experiment.
type Case struct {
	Name     CaseName
	Workload Workload
	Load     []ClassLoad
	// DurationMs is the time over which queries arrive.
	DurationMs    samphirepass.Millis
	ConfigureLeaf func(n int, o *standin.Options)
	Relayed       bool
	Events        []Event
	// ConnectionLimit is the limit of each leaf.
	ConnectionLimit int64
}

const (
	caseEntries = 3
	// caseWorkMs is long against the machine's own time for a request, so that the leaves are what is scarce.
	caseWorkMs     samphirepass.Millis = 40
	caseDeadlineMs samphirepass.Millis = 1000
	caseDurationMs samphirepass.Millis = 6000
	// capacityPerSecond is what the leaves of one shard can answer: replicas times slots by the time of one request.
	capacityPerSecond = 3 * 3 * 1000 / float64(caseWorkMs)
	// stragglePercent of the requests take straggleFactor times as long.
	stragglePercent samphirepass.Percent = 1
	straggleFactor                       = 10
	eventAtMs       samphirepass.Millis  = 2000
)

// queried is the service that the cases put under load.
func queried(w Workload) Workload {
	w.Fleets = append([]Fleet(nil), w.Fleets[:1]...)
	w.Fleets[0].WorkMs = caseWorkMs
	w.Fleets[0].DeadlineMs = caseDeadlineMs
	w.Fleets[0].Partial = samphirepass.PartialAllowed
	return w
}

func share(w Workload, of float64) []ClassLoad {
	parts := []float64{0.3, 0.3, 0.4}
	out := make([]ClassLoad, len(parts))
	for i, p := range parts {
		out[i] = ClassLoad{Class: w.Classes[i], QueriesPerSecond: p * of * capacityPerSecond}
	}
	return out
}

func straggle(_ int, o *standin.Options) {
	o.StragglePercent = stragglePercent
	o.StraggleMs = straggleFactor * o.WorkMs
}

// Cases returns every case.
func Cases() []Case {
	federation, overeno := queried(Federation()), queried(Overeno())
	base := func(name CaseName, w Workload, load float64) Case {
		return Case{Name: name, Workload: w, Load: share(w, load), DurationMs: caseDurationMs, ConnectionLimit: int64(w.Fleets[0].Connections)}
	}
	stragglers := base("stragglers", federation, 0.3)
	stragglers.ConfigureLeaf = straggle
	lost := base("lost-replica", overeno, 0.3)
	lost.Events = []Event{{AtMs: eventAtMs, Do: loseReplicas}}
	cold := base("cold-start", federation, 0.3)
	cold.Events = []Event{{AtMs: eventAtMs, Do: addColdReplicas}}
	shedding := base("shedding", federation, 0.6)
	shedding.ConfigureLeaf = func(n int, o *standin.Options) { o.Queue = 1; straggle(n, o) }
	overload := base("overload", federation, 3)
	overload.Load = []ClassLoad{
		{Class: federation.Classes[0], QueriesPerSecond: 0.4 * capacityPerSecond},
		{Class: federation.Classes[1], QueriesPerSecond: 1.3 * capacityPerSecond},
		{Class: federation.Classes[2], QueriesPerSecond: 1.3 * capacityPerSecond},
	}
	overload.ConfigureLeaf = func(_ int, o *standin.Options) { o.Queue = 6 }
	partition := base("partition", overeno, 0.2)
	partition.Relayed = true
	partition.Events = []Event{{AtMs: eventAtMs, Do: cutCentre(standin.LinkSilent)}, {AtMs: 2 * eventAtMs, Do: cutCentre(standin.LinkPass)}}
	repartition := base("repartition", overeno, 0.3)
	repartition.Events = []Event{{AtMs: eventAtMs, Do: repartitionStart}, {AtMs: 2 * eventAtMs, Do: repartitionEnd}}
	misleading := base("misleading-health", federation, 0.3)
	misleading.ConfigureLeaf = mislead
	silent := base("silent-connection", federation, 0.3)
	silent.Relayed = true
	silent.Events = []Event{{AtMs: eventAtMs, Do: silenceOpen}}
	return []Case{stragglers, lost, cold, shedding, overload, partition, repartition, misleading, silent}
}

// loseReplicas stops one leaf of each shard but the last.
func loseReplicas(r *Rig) {
	for i := 0; i+3 < len(r.Leaves); i += 3 {
		go r.Leaves[i].Stop()
	}
}

// addColdReplicas starts one more leaf for each shard, slow for its first seconds.
func addColdReplicas(r *Rig) {
	w := r.options.Workload
	for n, o := range w.Fleets[0].Leaves(w, firstSnapshot, r.Addresses, r.options.Seed+1) {
		if n%w.Fleets[0].Replicas != 0 {
			continue
		}
		o.Leaf += "-cold"
		o.ColdMs, o.ColdFactor = caseDurationMs, straggleFactor
		// A leaf that cannot start leaves the case as it was.
		_, _ = r.StartLeaf(o)
	}
}

// cutCentre sets the links to the leaves of one data centre.
func cutCentre(l standin.Link) func(*Rig) {
	return func(r *Rig) {
		for i, relay := range r.Relays {
			if i%len(r.options.Workload.DataCentres) == 0 {
				relay.SetDefault(l)
			}
		}
	}
}

// repartitionStart lets each leaf hold a shard of the next snapshot, which has half as many shards, beside its own.
func repartitionStart(r *Rig) {
	eachLeafInTurn(r, func(n int, l *standin.Leaf, o []samphirepass.Holding) { l.SetHoldings(append(o, nextHolding(r, n))) })
}

// repartitionEnd retires the first snapshot, leaf by leaf.
func repartitionEnd(r *Rig) {
	eachLeafInTurn(r, func(n int, l *standin.Leaf, _ []samphirepass.Holding) {
		l.SetHoldings([]samphirepass.Holding{nextHolding(r, n)})
	})
}

func nextHolding(r *Rig, n int) samphirepass.Holding {
	shards := r.options.Workload.Fleets[0].Shards / 2
	return samphirepass.Holding{Snapshot: firstSnapshot + 1, Shards: shards, Shard: samphirepass.Shard(n % shards)}
}

func eachLeafInTurn(r *Rig, f func(n int, l *standin.Leaf, first []samphirepass.Holding)) {
	fleet := r.options.Workload.Fleets[0]
	for n, l := range r.Leaves {
		f(n, l, []samphirepass.Holding{{Snapshot: firstSnapshot, Shards: fleet.Shards, Shard: samphirepass.Shard(n / fleet.Replicas)}})
		time.Sleep(10 * time.Millisecond)
	}
}

// mislead makes one leaf of each shard slow and lets it claim that it is idle, while the others claim to be full.
func mislead(n int, o *standin.Options) {
	says := 1.0
	if n%3 == 0 {
		says = 0
		o.WorkMs *= 5
	}
	o.ReportedLoad = &says
}

func silenceOpen(r *Rig) {
	for _, relay := range r.Relays {
		relay.SilenceOpen()
	}
}
