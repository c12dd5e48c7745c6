package standin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"samphirepass"
	"samphirepass/leaf"
)

// Counts are the counters of an emulated leaf.
type Counts struct {
	// Queries is the number of queries processed, Shed the number of requests rejected or cancelled.
	Queries, Shed int64
	// MaxConnections is the largest number of connections open at the same time.
	MaxConnections int64
	// OverLimit is the number of connections closed on accept because they exceeded the limit.
	OverLimit int64
	// Runs is the number of times that each key was run.
	Runs map[samphirepass.RunKey]int
	// RequestsWhileDraining is the number of requests that arrived while the leaf was draining.
	RequestsWhileDraining int64
}

// Leaf is a running emulated backend server. It is safe for concurrent use.
type Leaf struct {
	o        Options
	listener net.Listener
	server   *http.Server
	slots    chan struct{}
	inFlight atomic.Int64
	started  time.Time

	queries, shed, openConns, maxOpenConns, overLimit, whileDraining atomic.Int64

	mu          sync.Mutex
	faults      Faults
	holdings    []samphirepass.Holding
	state       samphirepass.LeafState
	incarnation samphirepass.Incarnation
	sequence    uint64
	nextEntry   int
	runs        map[samphirepass.RunKey]int
	rnd         *rand.Rand

	stop    func()
	running sync.WaitGroup
}

// Start starts to serve and to announce, and returns the running leaf. It fails if it cannot listen on the address.
func Start(o Options) (*Leaf, error) {
	o = o.withDefaults()
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for leaf %s: %w", o.Leaf, err)
	}
	l := &Leaf{
		o: o, slots: make(chan struct{}, o.Slots), started: time.Now(), faults: o.Faults, holdings: o.Holdings,
		state: samphirepass.LeafServing, incarnation: samphirepass.Incarnation(time.Now().UnixNano()),
		runs: map[samphirepass.RunKey]int{}, rnd: rand.New(rand.NewPCG(o.Seed, 0)),
	}
	l.listener = &limitListener{Listener: listener, leaf: l}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+leaf.PathQuery, l.serveQuery)
	mux.HandleFunc("POST "+leaf.PathRun, l.serveRun)
	mux.HandleFunc("GET "+leaf.PathLoad, l.serveLoad)
	l.server = &http.Server{Handler: mux}
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	l.running.Add(2)
	go func() {
		defer l.running.Done()
		_ = l.server.Serve(l.listener)
	}()
	go func() {
		defer l.running.Done()
		l.announceLoop(ctx)
	}()
	return l, nil
}

// Address returns the address that the leaf listens on.
func (l *Leaf) Address() string { return l.listener.Addr().String() }

// Name returns the name that the leaf announces.
func (l *Leaf) Name() samphirepass.Leaf { return l.o.Leaf }

// SetFaults replaces the injected faults.
func (l *Leaf) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

func (l *Leaf) currentFaults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// SetHoldings replaces the holdings of the leaf and announces them to one entry.
func (l *Leaf) SetHoldings(h []samphirepass.Holding) {
	l.mu.Lock()
	l.holdings = h
	l.mu.Unlock()
	l.announceOnce(context.Background())
}

// Counts returns a copy of the counters.
func (l *Leaf) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := make(map[samphirepass.RunKey]int, len(l.runs))
	for k, n := range l.runs {
		runs[k] = n
	}
	return Counts{
		Queries: l.queries.Load(), Shed: l.shed.Load(), MaxConnections: l.maxOpenConns.Load(),
		OverLimit: l.overLimit.Load(), Runs: runs, RequestsWhileDraining: l.whileDraining.Load(),
	}
}

// Drain puts the leaf into the draining state and announces it once for each entry, in round-robin order, so that every
// reachable entry learns of it before ctx ends.
func (l *Leaf) Drain(ctx context.Context) {
	l.mu.Lock()
	l.state = samphirepass.LeafDraining
	l.mu.Unlock()
	for range l.entryCount() {
		l.announceOnce(ctx)
	}
}

// AnnounceDrainingTo puts the leaf into the draining state, announces that to the entry with the given API address and
// stops announcing to any other.
func (l *Leaf) AnnounceDrainingTo(ctx context.Context, entry string) error {
	l.mu.Lock()
	l.state = samphirepass.LeafDraining
	l.o.Entries = nil
	l.mu.Unlock()
	return Announce(ctx, entry, l.Announcement())
}

// ResetDrainCount sets Counts.RequestsWhileDraining back to 0.
func (l *Leaf) ResetDrainCount() {
	l.whileDraining.Store(0)
}

// Stop stops announcing and closes the listener and all connections.
func (l *Leaf) Stop() {
	l.stop()
	_ = l.server.Close()
	l.running.Wait()
}

// Shutdown waits for the requests in flight until ctx ends, then stops the leaf.
func (l *Leaf) Shutdown(ctx context.Context) error {
	err := l.server.Shutdown(ctx)
	l.Stop()
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("shut down leaf: %w", err)
	}
	return nil
}

// limitListener enforces the connection limit.
type limitListener struct {
	net.Listener
	leaf *Leaf
}

// Accept returns the next connection within the limit and closes those that exceed it.
func (c *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := c.Listener.Accept()
		if err != nil {
			return nil, err
		}
		n := c.leaf.openConns.Add(1)
		if n > int64(c.leaf.o.Connections) {
			c.leaf.overLimit.Add(1)
			c.leaf.openConns.Add(-1)
			_ = conn.Close()
			continue
		}
		for {
			highest := c.leaf.maxOpenConns.Load()
			if n <= highest || c.leaf.maxOpenConns.CompareAndSwap(highest, n) {
				break
			}
		}
		return &limitConn{Conn: conn, leaf: c.leaf, opened: time.Now()}, nil
	}
}

// limitConn counts against the connection limit until it is closed, and delays its first read.
type limitConn struct {
	net.Conn
	leaf    *Leaf
	opened  time.Time
	delayed sync.Once
	closed  sync.Once
}

// Read delays the first read until ConnectMs after the connection was accepted.
func (c *limitConn) Read(b []byte) (int, error) {
	c.delayed.Do(func() { time.Sleep(time.Until(c.opened.Add(c.leaf.o.ConnectMs.Duration()))) })
	return c.Conn.Read(b)
}

// Close closes the connection and no longer counts it against the limit.
func (c *limitConn) Close() error {
	c.closed.Do(func() { c.leaf.openConns.Add(-1) })
	return c.Conn.Close()
}
