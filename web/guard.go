package web

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"samphirepass"
	"samphirepass/logs"
	"samphirepass/policy"
)

const (
	// defaultMemoryMb is the assumed memory of a process that has no setting for it.
	defaultMemoryMb = 256
	// clientFraction is the fraction of a process's memory that its clients may hold, and the same for messages of peers and for requests in
	// flight. The garbage collector lets a heap grow to twice of what is in use, and the process needs memory of its own.
	clientFraction = 0.25
	// connectionFraction is the fraction of a process's descriptors that its clients may hold; it needs others for its own connections.
	connectionFraction = 0.5
	// retryAfterMs and retryAfterJitterMs bound the time after which a client that found no memory may return.
	retryAfterMs       samphirepass.Millis = 500
	retryAfterJitterMs samphirepass.Millis = 1000
	// noticeIntervalMs is the least time between two log lines about refused and evicted clients.
	noticeIntervalMs samphirepass.Millis = 1000
)

// GuardOptions are the options of NewGuard.
type GuardOptions struct {
	// MemoryMb is the memory of the process, MaxDescriptors the number of descriptors that it may open, 0 if unknown.
	MemoryMb       float64
	MaxDescriptors int
	Log            logs.Logger
}

// Guard bounds what the clients of all servers of one process hold.
type Guard struct {
	memory *policy.ClientMemory
	// messages is the budget for messages of peers. It is separate, so that clients do not keep the processes from each other, and a
	// routing document can be passed on while it is held.
	messages *policy.ClientMemory
	clock    samphirepass.Clock
	log      atomic.Pointer[logs.Logger]
	// open counts connections until their descriptor is closed.
	open atomic.Int64
	// refused and evicted count clients by the reason, which is one of refusalReasons or the state of the client.
	refused, evicted counts
	// noticedAt is when the last log line was written, in milliseconds.
	noticedAt atomic.Int64
}

// counts are counters by name.
type counts struct {
	mu     sync.Mutex
	byName map[string]int64
}

func (c *counts) add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byName == nil {
		c.byName = map[string]int64{}
	}
	c.byName[name]++
}

func (c *counts) all() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int64, len(c.byName))
	for name, n := range c.byName {
		out[name] = n
	}
	return out
}

// MemoryBudget returns the number of bytes that one kind of work may hold in a process with the given memory in megabytes, 0 if unknown.
func MemoryBudget(memoryMb float64) int64 {
	if memoryMb == 0 {
		memoryMb = defaultMemoryMb
	}
	return int64(memoryMb * clientFraction * (1 << 20))
}

// NewGuard returns a guard without clients.
func NewGuard(o GuardOptions) *Guard {
	if o.MaxDescriptors == 0 {
		var limit syscall.Rlimit
		if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil && limit.Cur < 1<<30 {
			o.MaxDescriptors = int(limit.Cur)
		}
	}
	bytes := MemoryBudget(o.MemoryMb)
	g := &Guard{
		memory:   policy.NewClientMemory(policy.ClientMemoryLimits{Bytes: bytes, Connections: int(float64(o.MaxDescriptors) * connectionFraction)}),
		messages: policy.NewClientMemory(policy.ClientMemoryLimits{Bytes: bytes}),
		clock:    samphirepass.SystemClock{},
	}
	g.LogTo(o.Log)
	return g
}

// LogTo sets where refusals and evictions are logged.
func (g *Guard) LogTo(log logs.Logger) { g.log.Store(&log) }

// ProcessGuard returns the guard of all servers of this process that have no guard with settings of its own.
var ProcessGuard = sync.OnceValue(func() *Guard { return NewGuard(GuardOptions{}) })

// ClientStats returns what clients hold, and how many have been refused and evicted.
func (g *Guard) ClientStats() samphirepass.ClientStats {
	bytes, connections := g.memory.Used()
	messageBytes, _ := g.messages.Used()
	return samphirepass.ClientStats{Bytes: bytes, MessageBytes: messageBytes, Connections: connections, Refused: g.refused.all(), Evicted: g.evicted.all()}
}

// countRefused counts a refused client.
func (g *Guard) countRefused(reason string) {
	g.refused.add(reason)
	g.notice()
}

// countEvicted counts a client that gave way to others.
func (g *Guard) countEvicted(state policy.ClientState) {
	g.evicted.add(string(state))
	g.notice()
}

// notice logs the counts, at most once in noticeIntervalMs.
func (g *Guard) notice() {
	now, last := int64(g.clock.Now()), g.noticedAt.Load()
	if last != 0 && now-last < int64(noticeIntervalMs) || !g.noticedAt.CompareAndSwap(last, max(now, 1)) {
		return
	}
	stats, limits := g.ClientStats(), g.memory.Limits()
	g.log.Load().Event("Clients refused or evicted.", "held-bytes", stats.Bytes, "message-bytes", stats.MessageBytes, "budget-bytes", limits.Bytes, "connections", stats.Connections,
		"max-connections", limits.Connections, "refused", stats.Refused, "evicted", stats.Evicted)
}

// retryAfter returns the time after which a client that found no memory may return.
func retryAfter() samphirepass.Millis {
	return retryAfterMs + retryAfterJitterMs*samphirepass.Millis(rand.Float64())
}

// Door is an address at which clients connect.
type Door struct {
	// Guard is the guard of the process, ProcessGuard if nil.
	Guard *Guard
	// Name is the name of the address in messages and metrics.
	Name string
	// Limits returns the limits on clients that are in force; it may be nil.
	Limits func() samphirepass.ClientLimits
	// RefuseOverdrawn makes the door refuse requests while answers exceed the budget. It is for requests whose answers are long.
	RefuseOverdrawn bool
}

func (d *Door) limits() samphirepass.ClientLimits {
	if d.Limits == nil {
		return samphirepass.ClientLimits{}
	}
	return d.Limits()
}

// guardedListener admits connections to the budget.
type guardedListener struct {
	net.Listener
	door *Door
}

// Accept returns the next connection that is admitted.
func (l guardedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.door.admit(c); admitted != nil {
			return admitted, nil
		}
	}
}

// admit returns the connection with its share of the budget, or refuses it.
func (d *Door) admit(inner net.Conn) net.Conn {
	c := &conn{Conn: inner, door: d, guard: d.Guard}
	c.inHead.Store(true)
	// Without the lock, the connection could be evicted before it is complete.
	c.admitting.Lock()
	defer c.admitting.Unlock()
	holder, err := d.Guard.memory.Connect(d.Guard.clock.Now(), d.Name, c.evict)
	if err != nil {
		d.Guard.countRefused(reasonConnections)
		_ = inner.SetWriteDeadline(time.Now().Add(refusalWriteMs.Duration()))
		_, _ = inner.Write(refusalOf(refusalNoConnection))
		_ = inner.Close()
		return nil
	}
	c.holder = holder
	d.Guard.open.Add(1)
	return c
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// connOf returns the connection that a request came on, nil if its server has no guard.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}
