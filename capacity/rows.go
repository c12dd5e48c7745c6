package capacity

import "math"

// SlopeOrder is the order in which slopes are shown.
func SlopeOrder() []string {
	return []string{
		"leaf-request", "query", "connection-memory", "announcement-cpu", "announcement-bytes", "announcement-memory",
		"entry-cpu", "entry-bytes", "leader-cpu", "leader-bytes", "in-force", "watch-cpu", "watch-memory", "run-cpu",
		"recovery-log", "yardstick-http", "yardstick-sync",
	}
}

// Rows works the table out from the slopes.
func Rows(s map[string]Slope) []Row {
	v := func(name string) float64 { return s[name].Value }
	rows := append(append(entryRows(v), controlRows(v)...), leafRows()...)
	return append(rows, unmeasuredRows()...)
}

const (
	announceTree = "each node hears only the leaves that it holds connections to, through relays by service (not built)"
	relayTree    = "a tree of relays of fan-out 16 under 9 control VMs, with acknowledgments added up on the way (not built)"
	holders      = "each leaf's connections are held by a few nodes, and a query goes through the holders of its shards (collectors that hold all leaves: built; holders of some: not built)"
)

func entryRows(v func(string) float64) []Row {
	perNode := float64(QueriesPerSecond) / Nodes
	leafRequests := perNode * LeavesPerQuery
	held := float64(Leaves) * connectionsPerLeaf / Nodes
	memory := v("announcement-memory")*Leaves + v("connection-memory")*held
	return []Row{
		row("entry", "leaf requests a second", leafRequests, 0, "a second", "arithmetic", "fan-out over kept connections (built)"),
		row("entry", "processor for leaf requests", leafRequests*v("leaf-request")/1e6, 0, "cores", "leaf-request", "fan-out over kept connections (built)"),
		row("entry", "processor for queries beside them", perNode*v("query")/1e6, 0, "cores", "query", "one goroutine a query (built)"),
		row("entry", "connections to leaves that it may hold", held, 0, "connections", "arithmetic", holders),
		row("entry", "processor for announcements, if it hears all", Leaves*v("announcement-cpu"), ControlPlaneCPUPercent, "% of a core", "announcement-cpu", announceTree),
		row("entry", "bytes for announcements, if it hears all", Leaves*v("announcement-bytes"), ControlPlaneKBps, "KB/s", "announcement-bytes", announceTree),
		row("entry", "memory for announcements and connections", memory, ControlPlaneMB, "MB", "announcement-memory, connection-memory", announceTree),
		row("entry", "processor for exchanges with all others", Nodes*v("entry-cpu"), ControlPlaneCPUPercent, "% of a core", "entry-cpu", relayTree),
		row("entry", "bytes for exchanges with all others", Nodes*v("entry-bytes"), ControlPlaneKBps, "KB/s", "entry-bytes", relayTree),
	}
}

func controlRows(v func(string) float64) []Row {
	changes := float64(ChangesPerDay) / secondsPerDay
	seats := 2 * float64(RestartedVMsPerDay+FailedVMsPerDay) / secondsPerDay
	depth := math.Ceil(math.Log(float64(Nodes)/ControlVMs) / math.Log(treeFanOut))
	return []Row{
		row("control", "processor of the leader for syncs of all nodes", Nodes*v("leader-cpu"), 100, "% of a core", "leader-cpu", relayTree),
		row("control", "bytes of the leader for syncs of all nodes", Nodes*v("leader-bytes"), 0, "KB/s", "leader-bytes", relayTree),
		row("control", "time from a change's sending to in force everywhere", Nodes*v("in-force"), MaxPropagationSeconds*1000, "ms", "in-force", relayTree),
		row("control", "the same through a tree, in rounds", depth+1, 0, "rounds", "arithmetic", relayTree),
		row("control", "changes", changes, 0, "a second", "arithmetic", "one replicated log (built)"),
		row("control", "processor of the leader for changes, each taken as a run", changes*v("run-cpu")/1e4, 100, "% of a core", "run-cpu", "one replicated log (built)"),
		row("control", "seat changes for restarts and failures", seats, 0, "a second", "arithmetic", "seats in the log, one change at a time (built)"),
		row("control", "runs a second that fill one core of the leader", 1e6/v("run-cpu"), 0, "a second", "run-cpu", "several logs, divided by a hash of the key (not built)"),
		row("control", "reading a day's changes back without snapshots", ChangesPerDay*v("recovery-log"), 0, "ms", "recovery-log", "a snapshot each 1000 entries (built)"),
	}
}

func leafRows() []Row {
	perLeaf := float64(QueriesPerSecond) * LeavesPerQuery / Leaves
	lateAllowed := 1 - math.Pow(0.99, 1.0/LeavesPerQuery)
	const stragglers = 0.01
	return []Row{
		row("leaf", "requests that it must answer", perLeaf, slotsPerLeaf*1000/workMs, "a second", "arithmetic", "leaves that answer many queries at once (the users' side)"),
		row("leaf", "nodes that want a connection to it", Nodes, connectionsPerLeaf, "connections", "arithmetic", holders),
		row("query", "late shards with one hedge at 1 % stragglers", stragglers*stragglers*1e5, lateAllowed*1e5, "in 100,000", "arithmetic", "a second hedge for each shard: 0.1 in 100,000 (not built)"),
	}
}

// unmeasuredRows are the budgets of the letter for which there is no slope yet.
func unmeasuredRows() []Row {
	return []Row{
		unmeasured("query", "99 in 100 of the queries to 650 leafs within 170 ms", "hedges and holders; 300 leafs was the widest run (hedges built)"),
		unmeasured("control", "at most 9 VMs set aside", "control on VMs of its own, with a relay tree below (tree not built)"),
		unmeasured("all", "41 failing and 3,100 restarting VMs a day at 6,800 nodes", "seats, snapshots, exchanges; up to 40 entries were run (built)"),
		unmeasured("all", "a rack or switch lost on most days", "replicas spread over racks (not built: racks are not known)"),
		unmeasured("all", "a data centre of 8 lost", "control in at least 3 of them; silence of an eighth (built)"),
		unmeasured("all", "regions of 3 parted for minutes", "the region without the majority stops within 2 s (built); a log a region (not built)"),
	}
}

func row(role, what string, need, budget float64, unit, from, mechanism string) Row {
	return Row{Role: role, Metric: what, Projected: need, Budget: budget, Unit: unit, Source: from, Mechanism: mechanism}
}

func unmeasured(role, what, mechanism string) Row {
	return Row{Role: role, Metric: what, Source: "-", Mechanism: mechanism, NotMeasured: true}
}
