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

// Counts are what a stand-in has seen.
type Counts struct {
	// Queries counts the queries worked on, Shed those refused.
	Queries, Shed int64
	// MaxConnections is the largest number of connections at one time.
	MaxConnections int64
	// OverLimit counts the connections beyond the limit, which were closed at once.
	OverLimit int64
	// Runs counts the runs of each key.
	Runs map[samphirepass.RunKey]int
	// RequestsWhileDraining counts the requests that arrived after the leaf began to drain.
	RequestsWhileDraining int64
}

// Leaf is one running stand-in; it is safe for concurrent use.
type Leaf struct {
	o        Options
	listener net.Listener
	server   *http.Server
	slots    chan struct{}
	waiting  atomic.Int64
	started  time.Time

	queries, shed, open, maxOpen, overLimit, whileDraining atomic.Int64

	mu          sync.Mutex
	faults      Faults
	holdings    []samphirepass.Holding
	state       samphirepass.LeafState
	incarnation samphirepass.Incarnation
	sequence    uint64
	nextEntry   int
	runs        map[samphirepass.RunKey]int
	rnd         *rand.Rand

	stop func()
	done sync.WaitGroup
}

// Start listens, begins to announce and returns the running stand-in.
func Start(o Options) (*Leaf, error) {
	o = o.withDefaults()
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, fmt.Errorf("listen as leaf %s: %w", o.Leaf, err)
	}
	l := &Leaf{
		o: o, slots: make(chan struct{}, o.Slots), started: time.Now(), faults: o.Faults, holdings: o.Holdings,
		state: samphirepass.LeafServing, incarnation: samphirepass.Incarnation(time.Now().UnixNano()),
		runs: map[samphirepass.RunKey]int{}, rnd: rand.New(rand.NewPCG(o.Seed, 0)),
	}
	l.listener = &countingListener{Listener: listener, leaf: l}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+leaf.PathQuery, l.serveQuery)
	mux.HandleFunc("POST "+leaf.PathRun, l.serveRun)
	mux.HandleFunc("GET "+leaf.PathLoad, l.serveLoad)
	l.server = &http.Server{Handler: mux}
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	l.done.Add(2)
	go func() {
		defer l.done.Done()
		_ = l.server.Serve(l.listener)
	}()
	go func() {
		defer l.done.Done()
		l.announceLoop(ctx)
	}()
	return l, nil
}

// Address returns where the leaf listens.
func (l *Leaf) Address() string { return l.listener.Addr().String() }

// Name returns the leaf's name.
func (l *Leaf) Name() samphirepass.Leaf { return l.o.Leaf }

// SetFaults changes how the leaf misbehaves.
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

// SetHoldings changes what the leaf holds and announces it.
func (l *Leaf) SetHoldings(h []samphirepass.Holding) {
	l.mu.Lock()
	l.holdings = h
	l.mu.Unlock()
	l.announceOnce(context.Background())
}

// Counts returns what the leaf has seen so far.
func (l *Leaf) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := make(map[samphirepass.RunKey]int, len(l.runs))
	for k, n := range l.runs {
		runs[k] = n
	}
	return Counts{
		Queries: l.queries.Load(), Shed: l.shed.Load(), MaxConnections: l.maxOpen.Load(),
		OverLimit: l.overLimit.Load(), Runs: runs, RequestsWhileDraining: l.whileDraining.Load(),
	}
}

// Drain announces that the leaf leaves, to every entry in turn until each has heard of it or ctx ends.
func (l *Leaf) Drain(ctx context.Context) {
	l.mu.Lock()
	l.state = samphirepass.LeafDraining
	l.mu.Unlock()
	for range l.entryCount() {
		l.announceOnce(ctx)
	}
}

// AnnounceDrainingTo announces to one entry only that the leaf leaves, and to no other after it.
func (l *Leaf) AnnounceDrainingTo(ctx context.Context, entry string) error {
	l.mu.Lock()
	l.state = samphirepass.LeafDraining
	l.o.Entries = nil
	l.mu.Unlock()
	return Announce(ctx, entry, l.Announcement())
}

// ResetDrainCount starts the count of requests after the drain anew.
func (l *Leaf) ResetDrainCount() {
	l.whileDraining.Store(0)
}

// Stop closes the listener and all connections and announces nothing more.
func (l *Leaf) Stop() {
	l.stop()
	_ = l.server.Close()
	l.done.Wait()
}

// Shutdown finishes the requests at hand and stops.
func (l *Leaf) Shutdown(ctx context.Context) error {
	err := l.server.Shutdown(ctx)
	l.Stop()
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("shut down leaf: %w", err)
	}
	return nil
}

// countingListener applies the connection limit and the cost of a connection.
type countingListener struct {
	net.Listener
	leaf *Leaf
}

// Accept returns the next connection within the limit; those beyond it are closed at once.
func (c *countingListener) Accept() (net.Conn, error) {
	for {
		conn, err := c.Listener.Accept()
		if err != nil {
			return nil, err
		}
		n := c.leaf.open.Add(1)
		if n > int64(c.leaf.o.Connections) {
			c.leaf.overLimit.Add(1)
			c.leaf.open.Add(-1)
			_ = conn.Close()
			continue
		}
		for {
			highest := c.leaf.maxOpen.Load()
			if n <= highest || c.leaf.maxOpen.CompareAndSwap(highest, n) {
				break
			}
		}
		return &countedConn{Conn: conn, leaf: c.leaf, opened: time.Now()}, nil
	}
}

// countedConn delays its first bytes by the cost of a connection.
type countedConn struct {
	net.Conn
	leaf   *Leaf
	opened time.Time
	paid   sync.Once
	closed sync.Once
}

// Read waits until the connection's cost is paid.
func (c *countedConn) Read(b []byte) (int, error) {
	c.paid.Do(func() { time.Sleep(time.Until(c.opened.Add(c.leaf.o.ConnectMs.Duration()))) })
	return c.Conn.Read(b)
}

// Close counts the connection out.
func (c *countedConn) Close() error {
	c.closed.Do(func() { c.leaf.open.Add(-1) })
	return c.Conn.Close()
}
