package capacity

import "math"

// SlopeOrder returns the names of all slopes in the order of the table.
func SlopeOrder() []string {
	return []string{
		"leaf-request", "query", "connection-memory", "announcement-cpu", "announcement-bytes", "announcement-memory",
		"entry-cpu", "entry-bytes", "leader-cpu", "leader-bytes", "in-force", "watch-cpu", "watch-memory", "run-cpu",
		"recovery-log", "yardstick-http", "yardstick-sync",
	}
}

// Rows computes the table of requirements from the slopes. Costs in µs per second convert to load: 1e6 are one core, 1e4 are 1 %
// of a core.
func Rows(slopes map[string]Slope) []Row {
	slope := func(name string) float64 { return slopes[name].Value }
	rows := append(append(entryRows(slope), controlRows(slope)...), leafRows()...)
	return append(rows, unmeasuredRows()...)
}

// Mechanisms that several rows share.
const (
	mechanismServiceRelays     = "each node hears only the leaves that it holds connections to, through relays by service (not built)"
	mechanismRelayTree         = "a tree of relays of fan-out 16 under 9 control VMs, with acknowledgments added up on the way (not built)"
	mechanismConnectionHolders = "each leaf's connections are held by a few nodes, and a query goes through the holders of its shards (collectors that hold all leaves: built; holders of some: not built)"
)

func entryRows(slope func(string) float64) []Row {
	queriesPerNode := float64(QueriesPerSecond) / Nodes
	leafRequestsPerNode := queriesPerNode * LeavesPerQuery
	connections := float64(Leaves) * connectionsPerLeaf / Nodes
	memory := slope("announcement-memory")*Leaves + slope("connection-memory")*connections
	return []Row{
		row("entry", "leaf requests a second", leafRequestsPerNode, 0, "a second", "arithmetic", "fan-out over kept connections (built)"),
		row("entry", "processor for leaf requests", leafRequestsPerNode*slope("leaf-request")/1e6, 0, "cores", "leaf-request", "fan-out over kept connections (built)"),
		row("entry", "processor for queries beside them", queriesPerNode*slope("query")/1e6, 0, "cores", "query", "one goroutine a query (built)"),
		row("entry", "connections to leaves that it may hold", connections, 0, "connections", "arithmetic", mechanismConnectionHolders),
		row("entry", "processor for announcements, if it hears all", Leaves*slope("announcement-cpu"), ControlPlaneCPUPercent, "% of a core", "announcement-cpu", mechanismServiceRelays),
		row("entry", "bytes for announcements, if it hears all", Leaves*slope("announcement-bytes"), ControlPlaneKBps, "KB/s", "announcement-bytes", mechanismServiceRelays),
		row("entry", "memory for announcements and connections", memory, ControlPlaneMB, "MB", "announcement-memory, connection-memory", mechanismServiceRelays),
		row("entry", "processor for exchanges with all others", Nodes*slope("entry-cpu"), ControlPlaneCPUPercent, "% of a core", "entry-cpu", mechanismRelayTree),
		row("entry", "bytes for exchanges with all others", Nodes*slope("entry-bytes"), ControlPlaneKBps, "KB/s", "entry-bytes", mechanismRelayTree),
	}
}

func controlRows(slope func(string) float64) []Row {
	changes := float64(ChangesPerDay) / secondsPerDay
	// Each restart or failure counts as two changes: one releases a seat, one takes it.
	seatChanges := 2 * float64(RestartedVMsPerDay+FailedVMsPerDay) / secondsPerDay
	treeDepth := math.Ceil(math.Log(float64(Nodes)/ControlVMs) / math.Log(treeFanOut))
	return []Row{
		row("control", "processor of the leader for syncs of all nodes", Nodes*slope("leader-cpu"), 100, "% of a core", "leader-cpu", mechanismRelayTree),
		row("control", "bytes of the leader for syncs of all nodes", Nodes*slope("leader-bytes"), 0, "KB/s", "leader-bytes", mechanismRelayTree),
		row("control", "time from a change's sending to in force everywhere", Nodes*slope("in-force"), MaxPropagationSeconds*1000, "ms", "in-force", mechanismRelayTree),
		row("control", "the same through a tree, in rounds", treeDepth+1, 0, "rounds", "arithmetic", mechanismRelayTree),
		row("control", "changes", changes, 0, "a second", "arithmetic", "one replicated log (built)"),
		row("control", "processor of the leader for changes, each taken as a run", changes*slope("run-cpu")/1e4, 100, "% of a core", "run-cpu", "one replicated log (built)"),
		row("control", "seat changes for restarts and failures", seatChanges, 0, "a second", "arithmetic", "seats in the log, one change at a time (built)"),
		row("control", "runs a second that fill one core of the leader", 1e6/slope("run-cpu"), 0, "a second", "run-cpu", "several logs, divided by a hash of the key (not built)"),
		row("control", "reading a day's changes back without snapshots", ChangesPerDay*slope("recovery-log"), 0, "ms", "recovery-log", "a snapshot each 1000 entries (built)"),
	}
}

func leafRows() []Row {
	requestsPerLeaf := float64(QueriesPerSecond) * LeavesPerQuery / Leaves
	// maxLateShare is the share of shards that may be late if 99 % of the queries are to be answered without a late shard.
	maxLateShare := 1 - math.Pow(0.99, 1.0/LeavesPerQuery)
	// With one hedge a shard is late if both requests are stragglers.
	const stragglerShare = 0.01
	return []Row{
		row("leaf", "requests that it must answer", requestsPerLeaf, slotsPerLeaf*1000/workMs, "a second", "arithmetic", "leaves that answer many queries at once (the users' side)"),
		row("leaf", "nodes that want a connection to it", Nodes, connectionsPerLeaf, "connections", "arithmetic", mechanismConnectionHolders),
		row("query", "late shards with one hedge at 1 % stragglers", stragglerShare*stragglerShare*1e5, maxLateShare*1e5, "in 100,000", "arithmetic", "a second hedge for each shard: 0.1 in 100,000 (not built)"),
	}
}

// unmeasuredRows returns the requirements for which there is no slope yet.
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

func row(role, metric string, projected, budget float64, unit, source, mechanism string) Row {
	return Row{Role: role, Metric: metric, Projected: projected, Budget: budget, Unit: unit, Source: source, Mechanism: mechanism}
}

func unmeasured(role, metric, mechanism string) Row {
	return Row{Role: role, Metric: metric, Source: "-", Mechanism: mechanism, NotMeasured: true}
}
