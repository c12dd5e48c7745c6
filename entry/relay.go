package entry

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"samphirepass"
	"samphirepass/blackboard"
	"samphirepass/control"
	"samphirepass/leaf"
	"samphirepass/ledger"
	"samphirepass/peer"
)

const (
	kindExchange = "exchange"
	kindAnnounce = "announce"

	// exchangeEveryMs is the time between two exchanges with each other entry.
	exchangeEveryMs samphirepass.Millis = 400
	// exchangeTimeoutMs bounds one exchange.
	exchangeTimeoutMs samphirepass.Millis = 800
	// learnMs is longer than the time between two announcements of a leaf.
	learnMs samphirepass.Millis = 2000
	// spreadTimeoutMs bounds the passing on of one announcement.
	spreadTimeoutMs samphirepass.Millis = 500
)

type exchangeRequest struct {
	VM       samphirepass.VM
	Revision samphirepass.Revision
	Digest   uint64
	Alive    []leaf.Heartbeat
}

type exchangeReply struct {
	Revision samphirepass.Revision
	// Sync is set where the answering entry has a newer configuration.
	Sync *control.SyncReply
	// Table is set where the two know different announcements.
	Table []leaf.AgedAnnouncement
}

type announceRequest struct {
	Heard leaf.AgedAnnouncement
}

type announceReply struct{}

// PeerSyncer exchanges configuration and announcements with the other entries.
type PeerSyncer struct {
	o        Options
	registry *leaf.Registry

	mu   sync.Mutex
	busy map[samphirepass.VM]bool
	// began is when the relay started, exchanged whether another entry has told all it knows.
	began     samphirepass.Millis
	exchanged bool
}

// NewPeerSyncer returns a relay of what registry holds.
func NewPeerSyncer(o Options, registry *leaf.Registry) *PeerSyncer {
	return &PeerSyncer{o: o, registry: registry, busy: map[samphirepass.VM]bool{}, began: o.Clock.Now()}
}

// Register adds the requests that other entries send to h.
func (r *PeerSyncer) Register(h *peer.Handlers) {
	peer.HandleCall(h, kindExchange, r.exchange)
	peer.HandleCall(h, kindAnnounce, r.announce)
}

// Serve runs until ctx ends.
func (r *PeerSyncer) Serve(ctx context.Context) error {
	t := time.NewTicker(exchangeEveryMs.Duration())
	defer t.Stop()
	for {
		for _, s := range r.others() {
			if r.begin(s.VM) {
				go r.askOnce(ctx, s)
			}
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return fmt.Errorf("relay: %w", ctx.Err())
		}
	}
}

// begin reports whether no exchange with vm is under way.
func (r *PeerSyncer) begin(vm samphirepass.VM) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy[vm] {
		return false
	}
	r.busy[vm] = true
	return true
}

// DiscoveryComplete reports whether the entry has had the means to learn of the leaves: from another entry,
// or, where none knows any, from the leaves themselves within learnMs of the start.
func (r *PeerSyncer) DiscoveryComplete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	told := r.exchanged && len(r.registry.Announcements()) > 0
	return told || r.o.Clock.Now()-r.began >= learnMs
}

func (r *PeerSyncer) end(vm samphirepass.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.busy, vm)
}

func (r *PeerSyncer) others() []ledger.Seat {
	var out []ledger.Seat
	for _, s := range r.o.Board.Config.Value().Seats {
		if s.VM != r.o.VM {
			out = append(out, s)
		}
	}
	return out
}

func (r *PeerSyncer) askOnce(ctx context.Context, s ledger.Seat) {
	defer r.end(s.VM)
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeoutMs.Duration())
	defer cancel()
	have := r.o.Board.Config.Value().Revision
	sent := r.o.Clock.Now()
	req := exchangeRequest{VM: r.o.VM, Revision: have, Digest: r.registry.Digest(), Alive: r.registry.Heartbeats()}
	var reply exchangeReply
	if err := r.o.Peers.Get(s.Address).Call(ctx, kindExchange, req, &reply); err != nil {
		return
	}
	for _, h := range reply.Table {
		r.registry.Apply(h.Announcement, h.AgeMs, false)
	}
	r.mu.Lock()
	r.exchanged = true
	r.mu.Unlock()
	if reply.Sync != nil {
		r.o.Board.Config.Update(func(cfg blackboard.Config) (blackboard.Config, bool) { return ApplySyncReply(cfg, have, *reply.Sync) })
	}
	// An entry that has just started may have forgotten a change that it was counted for.
	if reply.Revision > 0 && r.o.Board.Config.Value().Revision >= reply.Revision {
		r.o.Lease.RecordPeer(s.VM, sent)
	}
}

func (r *PeerSyncer) exchange(_ context.Context, req exchangeRequest) (exchangeReply, error) {
	for _, a := range req.Alive {
		r.registry.ApplyHeartbeat(a)
	}
	cfg := r.o.Board.Config.Value()
	reply := exchangeReply{Revision: cfg.Revision}
	if cfg.Revision > req.Revision {
		full := NewSyncReply(cfg, req.Revision)
		reply.Sync = &full
	}
	if r.registry.Digest() != req.Digest {
		reply.Table = r.registry.Announcements()
	}
	return reply, nil
}

func (r *PeerSyncer) announce(_ context.Context, req announceRequest) (announceReply, error) {
	r.registry.Apply(req.Heard.Announcement, req.Heard.AgeMs, false)
	return announceReply{}, nil
}

// Broadcast passes an announcement to all other entries at once and returns how many hold it, and how many there are.
func (r *PeerSyncer) Broadcast(ctx context.Context, a samphirepass.Announcement) (held, entries int) {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeoutMs.Duration())
	defer cancel()
	others := r.others()
	var got atomic.Int64
	var wg sync.WaitGroup
	for _, s := range others {
		wg.Add(1)
		go func() {
			defer wg.Done()
			req := announceRequest{Heard: leaf.AgedAnnouncement{Announcement: a}}
			if r.o.Peers.Get(s.Address).Call(ctx, kindAnnounce, req, &announceReply{}) == nil {
				got.Add(1)
			}
		}()
	}
	wg.Wait()
	return 1 + int(got.Load()), 1 + len(others)
}
