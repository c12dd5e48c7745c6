package directory

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"samphirepass"
	"samphirepass/leaf"
	"samphirepass/peer"
)

const (
	// storeTimeoutMs bounds the wait for the disk of a process that was asked to store departures, and the call that asks it.
	storeTimeoutMs samphirepass.Millis = 600
	// askIntervalMs is the time after which a departure that too few processes have stored is sent to further ones, and again to those
	// that could not store it.
	askIntervalMs samphirepass.Millis = 100
	// unknownLeafDelayMs is how long a process waits for the announcement of a departing leaf that none of those that it asked knows. It is
	// longer than a new announcement takes to reach all processes that are not cut off.
	unknownLeafDelayMs = 3 * coalesceMs
)

// ErrLeafUnknown means that no process that was asked knows a leaf that leaves.
var ErrLeafUnknown = eris.New("no process that was asked knows the leaf")

// DepartureOptions set up Departures.
type DepartureOptions struct {
	// Address is the peer address of this process.
	Address string
	// Copies is the number of disks on which an acknowledged departure is stored: one more than may be lost at once.
	Copies   int
	Registry *leaf.Registry
	Follower *Follower
	Peers    *peer.Pool
	Clock    samphirepass.Clock
}

// Departures stores departures of leaves on the disks of several control processes; it is safe for concurrent use.
//
// An acknowledged departure has to hold whatever ends next: the process that acknowledged it, all processes at once, or all power together
// with as many disks as may be lost. Copies in memory survive none of the latter, and a process that has just started cannot tell whether
// it is alone or not known yet. Only disks are counted therefore, as for a routing document, and a process that finds too few of them
// refuses. What is stored names the incarnation of the leaf, so that neither a refused nor a late departure affects its next start.
type Departures struct {
	opts DepartureOptions
	// cache is nil without a data folder.
	cache *DiskCache

	mu sync.Mutex
	// waiting holds the departures to be sent to each process; an address is present while a goroutine sends to it.
	waiting map[string][]*pendingDeparture
}

// NewDepartures returns Departures without a disk of its own.
func NewDepartures(opts DepartureOptions) *Departures {
	return &Departures{opts: opts, waiting: map[string][]*pendingDeparture{}}
}

// UseCache makes this process store departures in its own cache; it must be called before calls of others are served.
func (d *Departures) UseCache(cache *DiskCache) { d.cache = cache }

// Register adds the handler for departures that other processes pass on to h.
func (d *Departures) Register(h *peer.Handlers) { peer.HandleCall(h, kindDeparture, d.handle) }

// leafStatus is what a process knows of a leaf; it is zero if the leaf is unknown.
type leafStatus struct {
	incarnation samphirepass.Incarnation
	leaving     bool
}

func statusOf(a *leaf.AgedAnnouncement) leafStatus {
	if a == nil {
		return leafStatus{}
	}
	return leafStatus{a.Announcement.Incarnation, a.Announcement.State.Leaving()}
}

// pendingDeparture is a departure that is not yet stored on enough disks.
type pendingDeparture struct {
	ctx  context.Context
	leaf samphirepass.Leaf
	// current is set if the leaf named no incarnation, so that the newest one leaves.
	current bool

	mu sync.Mutex
	// asked holds the processes that have been asked and have not answered yet.
	asked map[string]bool
	// stored holds what each process has stored of the leaf.
	stored map[string]leafStatus
	// failures holds why processes did not store it.
	failures map[string]string
	answered chan struct{}
}

// KeepGone marks the newest incarnation of a leaf as gone, as far as this process and those that it asks know it, and returns the addresses
// of the processes that have stored that once they are enough. It returns an error if ctx ends first, and ErrLeafUnknown if none of them
// knows the leaf: one that is cut off may, and so may those that follow it.
func (d *Departures) KeepGone(ctx context.Context, name samphirepass.Leaf) ([]string, error) {
	return d.keep(ctx, name, true)
}

// Keep stores the newest announcement of a leaf, which leaves, and returns the addresses of the processes that have stored it once they are
// enough, or an error if ctx ends first.
func (d *Departures) Keep(ctx context.Context, name samphirepass.Leaf) ([]string, error) {
	return d.keep(ctx, name, false)
}

func (d *Departures) keep(ctx context.Context, name samphirepass.Leaf, current bool) ([]string, error) {
	p := &pendingDeparture{
		ctx: ctx, leaf: name, current: current, asked: map[string]bool{}, stored: map[string]leafStatus{}, failures: map[string]string{},
		answered: make(chan struct{}, 1),
	}
	askMore := time.NewTicker(askIntervalMs.Duration())
	defer askMore.Stop()
	began := d.opts.Clock.Now()
	for limit := 2*d.opts.Copies - 1; ; {
		d.ask(p, limit)
		select {
		case <-p.answered:
		case <-askMore.C:
			limit += d.opts.Copies
		case <-ctx.Done():
			return nil, fmt.Errorf("store the departure of leaf %s on %d disks: %w%s", name, d.opts.Copies, ctx.Err(), p.failureText())
		}
		status := statusOf(d.newest(p))
		holders := p.holders(status)
		switch known := status != (leafStatus{}); {
		case len(holders) < d.opts.Copies:
		case known:
			return holders, nil
		case d.opts.Clock.Now()-began >= unknownLeafDelayMs:
			return nil, fmt.Errorf("store the departure of leaf %s: %w", name, ErrLeafUnknown)
		}
	}
}

// newest returns the newest known announcement of the leaf of p, or nil if there is none. If p names no incarnation, that one leaves, unless
// the leaf no longer waits: it may have started again since.
func (d *Departures) newest(p *pendingDeparture) *leaf.AgedAnnouncement {
	if p.current && p.ctx.Err() == nil {
		d.opts.Registry.MarkGone(p.leaf)
	}
	known, ok := d.opts.Registry.Newest(p.leaf)
	if !ok {
		return nil
	}
	return &known
}

// ask asks this process and up to limit others with disks to store p, except those that have stored it or have not answered yet.
func (d *Departures) ask(p *pendingDeparture, limit int) {
	status := statusOf(d.newest(p))
	if d.cache != nil && p.beginAsking(d.opts.Address, status) {
		go func() {
			p.finishAsking(d.opts.Address, status, d.store(p.ctx))
		}()
	}
	addresses := d.opts.Follower.DiskAddresses()
	// Each process prefers others, so that no process gets all departures.
	slices.SortFunc(addresses, func(a, b string) int {
		if xxhash.Sum64String(d.opts.Address+a) < xxhash.Sum64String(d.opts.Address+b) {
			return -1
		}
		return 1
	})
	for _, address := range addresses[:min(limit, len(addresses))] {
		if p.beginAsking(address, status) {
			d.enqueue(address, p)
		}
	}
}

// enqueue adds p to the departures that wait for a process. Those that come while a call to it runs share the next one.
func (d *Departures) enqueue(address string, p *pendingDeparture) {
	d.mu.Lock()
	defer d.mu.Unlock()
	queue, sending := d.waiting[address]
	d.waiting[address] = append(queue, p)
	if !sending {
		go d.sendWaiting(address)
	}
}

// sendWaiting sends departures to a process until none waits.
func (d *Departures) sendWaiting(address string) {
	for {
		d.mu.Lock()
		batch := d.waiting[address]
		if len(batch) == 0 {
			delete(d.waiting, address)
			d.mu.Unlock()
			return
		}
		d.waiting[address] = nil
		d.mu.Unlock()
		d.send(address, batch)
	}
}

// send asks a process to store departures and records the outcome.
func (d *Departures) send(address string, batch []*pendingDeparture) {
	batch = slices.DeleteFunc(batch, func(p *pendingDeparture) bool { return p.ctx.Err() != nil })
	if len(batch) == 0 {
		return
	}
	req := departureRequest{Departures: make([]departure, len(batch))}
	for i, p := range batch {
		req.Departures[i] = departure{Leaf: p.leaf, Announcement: d.newest(p)}
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeoutMs.Duration())
	defer cancel()
	var reply departureReply
	err := d.opts.Peers.Get(address).Call(ctx, kindDeparture, req, &reply)
	if err == nil && reply.NotStored != "" {
		err = eris.New(reply.NotStored)
	}
	for _, a := range reply.Newer {
		d.opts.Registry.ApplyAged(a)
	}
	for i, p := range batch {
		p.finishAsking(address, statusOf(req.Departures[i].Announcement), err)
	}
}

// handle stores departures that another process passes on, and tells it of later incarnations of the leaves.
func (d *Departures) handle(ctx context.Context, req departureRequest) (departureReply, error) {
	var reply departureReply
	for _, departing := range req.Departures {
		if departing.Announcement != nil {
			d.opts.Registry.ApplyAged(*departing.Announcement)
		}
		known, ok := d.opts.Registry.Newest(departing.Leaf)
		if ok && known.Announcement.Incarnation > statusOf(departing.Announcement).incarnation {
			reply.Newer = append(reply.Newer, known)
		}
	}
	if err := d.store(ctx); err != nil {
		reply.NotStored = err.Error()
	}
	return reply, nil
}

// store returns once the state of the leaves is on this process's disk. It fails on a process that has not heard from enough others
// since its start: it may not know the newest incarnation of a leaf.
func (d *Departures) store(ctx context.Context) error {
	if d.cache == nil {
		return eris.New("no disk")
	}
	if heard := d.opts.Follower.HeardFromDisks(); heard+1 < d.opts.Copies {
		return fmt.Errorf("has heard from %d processes with disks since its start, needs %d", heard, d.opts.Copies-1)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeoutMs.Duration())
	defer cancel()
	return d.cache.AwaitSaved(ctx, d.opts.Registry.Version())
}

// beginAsking reports whether a process is to be asked to store a status, and marks it as asked.
func (p *pendingDeparture) beginAsking(address string, status leafStatus) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	stored, ok := p.stored[address]
	if p.asked[address] || (ok && stored == status) {
		return false
	}
	p.asked[address] = true
	return true
}

// finishAsking records the outcome of asking a process to store a status.
func (p *pendingDeparture) finishAsking(address string, status leafStatus, err error) {
	p.mu.Lock()
	delete(p.asked, address)
	if err != nil {
		p.failures[address] = err.Error()
	} else {
		p.stored[address] = status
	}
	p.mu.Unlock()
	select {
	case p.answered <- struct{}{}:
	default:
	}
}

// holders returns the processes that have stored a status, sorted.
func (p *pendingDeparture) holders(status leafStatus) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var holders []string
	for address, stored := range p.stored {
		if stored == status {
			holders = append(holders, address)
		}
	}
	slices.Sort(holders)
	return holders
}

// failureText names the processes that have stored p and why others have not.
func (p *pendingDeparture) failureText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "; stored by %d", len(p.stored))
	for address, failure := range p.failures {
		if _, ok := p.stored[address]; !ok {
			fmt.Fprintf(&b, "; %s: %s", address, failure)
		}
	}
	for address := range p.asked {
		fmt.Fprintf(&b, "; %s has not answered", address)
	}
	return b.String()
}
