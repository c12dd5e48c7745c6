package daemon

import (
	"math"
	"os"
	"runtime/debug"

	"samphirepass/logs"
	"samphirepass/metrics"
	"samphirepass/settings"
	"samphirepass/web"
)

// heapFraction is the fraction of a process's memory at which the garbage collector runs more often. The rest is for memory that is not
// the heap's.
const heapFraction = 0.7

// newGuard returns the guard of a gateway or a registrar, and bounds its heap.
func newGuard(cfg settings.Node, log logs.Logger, m *metrics.Metrics) *web.Guard {
	limitHeap(cfg.MemoryMb)
	g := web.NewGuard(web.GuardOptions{MemoryMb: cfg.MemoryMb, MaxDescriptors: cfg.MaxDescriptors, Log: log.For("clients")})
	m.ObserveClients(g.ClientStats)
	return g
}

// newFileGuard returns the guard of an entry or a control process. Without settings of their own, all processes that run in one share a
// guard.
func newFileGuard(cfg settings.File, log logs.Logger, m *metrics.Metrics) *web.Guard {
	g := web.ProcessGuard()
	g.LogTo(log.For("clients"))
	if cfg.MemoryMb > 0 || cfg.MaxDescriptors > 0 {
		limitHeap(cfg.MemoryMb)
		g = web.NewGuard(web.GuardOptions{MemoryMb: cfg.MemoryMb, MaxDescriptors: cfg.MaxDescriptors, Log: log.For("clients")})
	}
	m.ObserveClients(g.ClientStats)
	return g
}

// limitHeap sets a soft limit on the heap, unless the environment sets one or the memory is unknown.
func limitHeap(memoryMb float64) {
	if memoryMb > 0 && os.Getenv("GOMEMLIMIT") == "" && debug.SetMemoryLimit(-1) == math.MaxInt64 {
		debug.SetMemoryLimit(int64(memoryMb * heapFraction * (1 << 20)))
	}
}
