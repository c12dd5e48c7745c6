package policy

import (
	"errors"
	"sync"
	"sync/atomic"

	"samphirepass"
)

const (
	// connectionBytes is what a connection without a request holds: its goroutine's stack, its buffers, and a small head or body.
	connectionBytes = 24 << 10
	// smallBytes is the greatest holding that may draw on the reserve for ordinary requests.
	smallBytes = 64 << 10
	// progressBytes is the number of bytes that count as progress. With single bytes a client could hold memory for ever.
	progressBytes = 1 << 10
	// stalledMs is the time without progress after which a request may give way to others that need its memory, stalledReadMs that of an
	// answer. Answers exist already when they are counted, so a crowd of slow readers must be evicted faster than answers arrive.
	stalledMs     samphirepass.Millis = 100
	stalledReadMs samphirepass.Millis = 20
	// stalledConnectionMs is the time without progress after which a request or an answer may give way to a new connection.
	stalledConnectionMs samphirepass.Millis = 1000
	// groupFraction is the fraction of the connections that one address of the process may hold.
	groupFraction = 0.75
	// reserveDivisor is the part of the budget that is left for connections and small requests.
	reserveDivisor = 4
	// overdraft is the multiple of the budget that a single message, or answers that exist already, may reach.
	overdraft = 2
)

// Errors of ClientMemory.
var (
	// ErrMemoryShort means that a client's request or connection does not fit into the budget now.
	ErrMemoryShort = errors.New("the memory for clients is in use")
	// ErrEvicted means that the holder had to give way to others.
	ErrEvicted = errors.New("made no progress while memory or connections were short")
)

// ClientState says what the client of a holder does.
type ClientState string

// The states of clients.
const (
	// ClientIdle has sent nothing of its next request.
	ClientIdle ClientState = "idle"
	// ClientSending has sent a part of a request.
	ClientSending ClientState = "sending"
	// ClientWaiting has sent a request that may be running. It is evicted only while it does not read its answer.
	ClientWaiting ClientState = "waiting"
	// ClientReading is the state that evictions of clients report that do not read their answer.
	ClientReading ClientState = "reading"
	clientEvicted ClientState = "evicted"
)

// ClientMemoryLimits are the limits of ClientMemory.
type ClientMemoryLimits struct {
	// Bytes is the budget, Connections the number of connections, 0 for no limit besides the budget.
	Bytes       int64
	Connections int
}

// ClientMemory is the budget of memory and connections that the clients of one process share. It is safe for concurrent use.
type ClientMemory struct {
	limits ClientMemoryLimits
	// overdrawn is set while the budget is exceeded.
	overdrawn atomic.Bool

	mu      sync.Mutex
	used    int64
	holders map[*ClientHolder]bool
	// connections and grouped count the connections, in all and by group.
	connections int
	grouped     map[string]int
}

// ClientHolder is a connection, or a message on one, with the memory that it holds.
type ClientHolder struct {
	memory *ClientMemory
	// group names the address to which the connection was made; it is empty for a message.
	group string
	// evict is called without locks, once, with the state that the client was in.
	evict func(ClientState)
	// patience is the least time without progress after which it is evicted.
	patience samphirepass.Millis
	// progressAt is when the client last made progress in sending, in milliseconds; readingSince is when it last did in reading its
	// answer, 0 while no answer is being written.
	progressAt, readingSince atomic.Int64
	// progressed counts bytes towards progressBytes.
	progressed atomic.Int64
	// evicted is set before evict is called.
	evicted atomic.Bool

	// The following are guarded by memory.mu.
	state ClientState
	bytes int64
	// served is set once the connection has been idle after a request, keepMs is how long it is then kept.
	served bool
	keepMs samphirepass.Millis
}

// NewClientMemory returns a budget of which nothing is used.
func NewClientMemory(limits ClientMemoryLimits) *ClientMemory {
	// The share of one address applies also where the memory for connections is shorter than descriptors.
	if most := int(limits.Bytes / connectionBytes); limits.Bytes > 0 && (limits.Connections == 0 || most < limits.Connections) {
		limits.Connections = most
	}
	return &ClientMemory{limits: limits, holders: map[*ClientHolder]bool{}, grouped: map[string]int{}}
}

// Used returns the memory that is held, and the number of connections.
func (m *ClientMemory) Used() (bytes int64, connections int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used, m.connections
}

// Limits returns the limits.
func (m *ClientMemory) Limits() ClientMemoryLimits { return m.limits }

// Overdrawn reports whether answers that exist already exceed the budget, after the eviction of holders that make no progress.
func (m *ClientMemory) Overdrawn(now samphirepass.Millis) bool {
	if !m.overdrawn.Load() {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for m.used > m.limits.Bytes {
		if !m.evictLocked(m.memoryVictimLocked(now, nil)) {
			return true
		}
	}
	return false
}

// Connect adds a connection of a group. If there are too many, the one that has to give way is evicted; without one, it returns
// ErrMemoryShort. evict must end the connection that it belongs to.
func (m *ClientMemory) Connect(now samphirepass.Millis, group string, evict func(ClientState)) (*ClientHolder, error) {
	h := &ClientHolder{memory: m, group: group, evict: evict, state: ClientIdle}
	h.progressAt.Store(int64(now))
	m.mu.Lock()
	defer m.mu.Unlock()
	for m.used+connectionBytes > m.limits.Bytes && int64(m.connections+1)*connectionBytes > m.limits.Bytes/reserveDivisor {
		if !m.evictLocked(m.memoryVictimLocked(now, nil)) && !m.evictLocked(m.connectionVictimLocked(now, "")) {
			return nil, ErrMemoryShort
		}
	}
	for m.groupShortLocked(group) {
		if !m.evictLocked(m.connectionVictimLocked(now, group)) {
			return nil, ErrMemoryShort
		}
	}
	for m.limits.Connections > 0 && m.connections >= m.limits.Connections {
		if !m.evictLocked(m.connectionVictimLocked(now, "")) {
			return nil, ErrMemoryShort
		}
	}
	m.used += connectionBytes
	m.connections++
	m.grouped[group]++
	m.holders[h] = true
	return h, nil
}

func (m *ClientMemory) groupShortLocked(group string) bool {
	return m.limits.Connections > 0 && float64(m.grouped[group]) >= groupFraction*float64(m.limits.Connections)
}

// Message returns a holder for messages on a connection, which is not counted as one itself. It gives way to others only after the time
// patience without progress.
func (m *ClientMemory) Message(now, patience samphirepass.Millis, evict func(ClientState)) *ClientHolder {
	h := &ClientHolder{memory: m, patience: patience, evict: evict, state: ClientSending}
	h.progressAt.Store(int64(now))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holders[h] = true
	return h
}

// Enter changes the state. It returns false if the holder has been evicted.
func (h *ClientHolder) Enter(state ClientState, now samphirepass.Millis) bool {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	if h.state == clientEvicted {
		return false
	}
	h.state = state
	h.progressAt.Store(int64(now))
	return true
}

// Idle ends a request: it releases what the request held, and the connection is kept for at least keep unless the process is short of
// connections.
func (h *ClientHolder) Idle(now, keep samphirepass.Millis) {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.releaseLocked(h)
	h.progressAt.Store(int64(now))
	h.readingSince.Store(0)
	if h.state != clientEvicted {
		h.state, h.served, h.keepMs = ClientIdle, true, keep
	}
}

// Progress records that bytes of a request have arrived.
func (h *ClientHolder) Progress(now samphirepass.Millis, n int) {
	if h.progressed.Add(int64(n)) >= progressBytes {
		h.progressed.Store(0)
		h.progressAt.Store(int64(now))
	}
}

// Writing records that an answer is being written, or that a part of it has been; Written ends that.
func (h *ClientHolder) Writing(now samphirepass.Millis) { h.readingSince.Store(max(int64(now), 1)) }

// Written records that nothing is being written.
func (h *ClientHolder) Written() { h.readingSince.Store(0) }

// Evicted reports whether the holder has been evicted.
func (h *ClientHolder) Evicted() bool { return h.evicted.Load() }

// Resize changes what is held beside the connection itself. If the budget is short, holders that make no progress are evicted; without
// one it returns ErrMemoryShort.
func (h *ClientHolder) Resize(now samphirepass.Millis, bytes int64) error {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.state == clientEvicted {
		return ErrEvicted
	}
	for bytes > h.bytes && !m.fitsLocked(h, bytes) {
		if !m.evictLocked(m.memoryVictimLocked(now, h)) {
			return ErrMemoryShort
		}
	}
	m.setLocked(h, bytes)
	return nil
}

// fitsLocked reports whether h may hold bytes. Large requests leave a reserve for ordinary ones, and connections may use all. A single
// message that is larger than the budget fits while little else is held.
func (m *ClientMemory) fitsLocked(h *ClientHolder, bytes int64) bool {
	others := m.used - h.bytes
	limit := m.limits.Bytes * 7 / 8
	if bytes > smallBytes {
		limit = m.limits.Bytes - m.limits.Bytes/reserveDivisor
		if others <= m.limits.Bytes/reserveDivisor {
			limit = m.limits.Bytes * overdraft
		}
	}
	return others+bytes <= limit
}

// Add adds bytes of an answer that exists already. Holders that make no progress are evicted while the reserve is needed for it. It
// returns ErrMemoryShort if the answer must be dropped.
func (h *ClientHolder) Add(now samphirepass.Millis, bytes int64) error {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.state == clientEvicted {
		return ErrEvicted
	}
	for m.used+bytes > m.limits.Bytes-m.limits.Bytes/reserveDivisor {
		if !m.evictLocked(m.memoryVictimLocked(now, h)) {
			break
		}
	}
	if m.used+bytes > m.limits.Bytes*overdraft-m.limits.Bytes/reserveDivisor {
		return ErrMemoryShort
	}
	m.setLocked(h, h.bytes+bytes)
	return nil
}

// Release gives bytes back that Add has added.
func (h *ClientHolder) Release(bytes int64) {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setLocked(h, max(h.bytes-bytes, 0))
}

// Close releases everything.
func (h *ClientHolder) Close() {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeLocked(h)
}

func (m *ClientMemory) setLocked(h *ClientHolder, bytes int64) {
	if m.holders[h] {
		m.used += bytes - h.bytes
		h.bytes = bytes
	}
	m.overdrawn.Store(m.used > m.limits.Bytes)
}

func (m *ClientMemory) releaseLocked(h *ClientHolder) { m.setLocked(h, 0) }

func (m *ClientMemory) removeLocked(h *ClientHolder) {
	if !m.holders[h] {
		return
	}
	m.releaseLocked(h)
	delete(m.holders, h)
	if h.group != "" {
		m.used -= connectionBytes
		m.connections--
		m.grouped[h.group]--
	}
}

// evictLocked evicts the holder, if any, and reports whether there was one. Its memory counts as free at once; what it frees comes within
// moments.
func (m *ClientMemory) evictLocked(h *ClientHolder) bool {
	if h == nil {
		return false
	}
	state := h.state
	if state == ClientWaiting {
		state = ClientReading
	}
	m.removeLocked(h)
	h.state = clientEvicted
	h.evicted.Store(true)
	// The callback closes connections, which may wait for other locks.
	go h.evict(state)
	return true
}

// stallMs returns how long the client of h has made no progress, 0 if it need not make any or does so within the given times.
func (h *ClientHolder) stallMs(now, sending, reading samphirepass.Millis) samphirepass.Millis {
	stall := samphirepass.Millis(0)
	switch h.state {
	case ClientSending:
		if stall = now - samphirepass.Millis(h.progressAt.Load()); stall < max(sending, h.patience) {
			return 0
		}
	case ClientWaiting:
		since := h.readingSince.Load()
		if stall = now - samphirepass.Millis(since); since == 0 || stall < max(reading, h.patience) {
			return 0
		}
	}
	return stall
}

// memoryVictimLocked returns the holder that has held the most for the longest without progress, or nil.
func (m *ClientMemory) memoryVictimLocked(now samphirepass.Millis, self *ClientHolder) *ClientHolder {
	var victim *ClientHolder
	worst := samphirepass.Millis(0)
	for h := range m.holders {
		if h == self || h.bytes == 0 {
			continue
		}
		if score := h.stallMs(now, stalledMs, stalledReadMs) * samphirepass.Millis(h.bytes); score > worst {
			victim, worst = h, score
		}
	}
	return victim
}

// connectionVictimLocked returns the connection that has to give way to a new one, within a group if one is given: one that makes no
// progress, or that has been idle for longer than it is kept, or has never sent anything; and else the one that has been idle longest.
func (m *ClientMemory) connectionVictimLocked(now samphirepass.Millis, group string) *ClientHolder {
	var victim, idlest *ClientHolder
	worst, longest := samphirepass.Millis(0), samphirepass.Millis(0)
	for h := range m.holders {
		if h.group == "" || group != "" && h.group != group {
			continue
		}
		stall := h.stallMs(now, stalledConnectionMs, stalledConnectionMs)
		if h.state == ClientIdle {
			idle := now - samphirepass.Millis(h.progressAt.Load())
			if idle > longest {
				idlest, longest = h, idle
			}
			if idle >= stalledMs && (!h.served || idle > h.keepMs) {
				stall = idle
			}
		}
		if score := stall * samphirepass.Millis(h.bytes+connectionBytes); score > worst {
			victim, worst = h, score
		}
	}
	if victim == nil {
		return idlest
	}
	return victim
}
