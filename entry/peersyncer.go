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

	// exchangeIntervalMs is the time between two exchanges with the same entry.
	exchangeIntervalMs samphirepass.Millis = 400
	exchangeTimeoutMs  samphirepass.Millis = 800
	// discoveryTimeoutMs is the time after the start by which all leaves have announced themselves to this entry;
	// it exceeds the interval between two announcements of a leaf.
	discoveryTimeoutMs samphirepass.Millis = 2000
	broadcastTimeoutMs samphirepass.Millis = 500
)

type exchangeRequest struct {
	VM       samphirepass.VM
	Revision samphirepass.Revision
	Digest   uint64
	// Heartbeats are those of the leaves that recently announced to the sender itself.
	Heartbeats []leaf.Heartbeat
}

type exchangeReply struct {
	Revision samphirepass.Revision
	// Sync is set if the replying entry has a newer configuration.
	Sync *control.SyncReply
	// Announcements is set if the digests of the two registries differ.
	Announcements []leaf.AgedAnnouncement
}

type announceRequest struct {
	Announcement leaf.AgedAnnouncement
}

type announceReply struct{}

// PeerSyncer exchanges configuration and announcements periodically with all other entries.
type PeerSyncer struct {
	opts     Options
	registry *leaf.Registry

	mu sync.Mutex
	// inFlight holds the entries with which an exchange is in progress.
	inFlight  map[samphirepass.VM]bool
	startedMs samphirepass.Millis
	// exchanged is set after the first successful exchange.
	exchanged bool
}

// NewPeerSyncer returns a syncer that reads announcements from registry and adds received ones to it.
func NewPeerSyncer(opts Options, registry *leaf.Registry) *PeerSyncer {
	return &PeerSyncer{opts: opts, registry: registry, inFlight: map[samphirepass.VM]bool{}, startedMs: opts.Clock.Now()}
}

// Register adds the handlers of requests from other entries to h.
func (p *PeerSyncer) Register(h *peer.Handlers) {
	peer.HandleCall(h, kindExchange, p.handleExchange)
	peer.HandleCall(h, kindAnnounce, p.handleAnnounce)
}

// Serve starts an exchange with each other entry at every interval until ctx ends.
func (p *PeerSyncer) Serve(ctx context.Context) error {
	t := time.NewTicker(exchangeIntervalMs.Duration())
	defer t.Stop()
	for {
		for _, seat := range p.otherSeats() {
			if p.beginExchange(seat.VM) {
				go p.exchangeWith(ctx, seat)
			}
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return fmt.Errorf("exchange with other entries: %w", ctx.Err())
		}
	}
}

// beginExchange marks an exchange with vm as in flight; it returns false if there is one already.
func (p *PeerSyncer) beginExchange(vm samphirepass.VM) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight[vm] {
		return false
	}
	p.inFlight[vm] = true
	return true
}

// DiscoveryComplete reports whether the entry has had time to learn of all leaves: from an exchange with another
// entry or, if none knows any, from the leaves' own announcements within discoveryTimeoutMs of the start.
func (p *PeerSyncer) DiscoveryComplete() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	learnedFromEntry := p.exchanged && len(p.registry.Announcements()) > 0
	return learnedFromEntry || p.opts.Clock.Now()-p.startedMs >= discoveryTimeoutMs
}

func (p *PeerSyncer) endExchange(vm samphirepass.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inFlight, vm)
}

func (p *PeerSyncer) otherSeats() []ledger.Seat {
	var others []ledger.Seat
	for _, s := range p.opts.Board.Config.Value().Seats {
		if s.VM != p.opts.VM {
			others = append(others, s)
		}
	}
	return others
}

func (p *PeerSyncer) exchangeWith(ctx context.Context, seat ledger.Seat) {
	defer p.endExchange(seat.VM)
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeoutMs.Duration())
	defer cancel()
	revision := p.opts.Board.Config.Value().Revision
	sent := p.opts.Clock.Now()
	req := exchangeRequest{VM: p.opts.VM, Revision: revision, Digest: p.registry.Digest(), Heartbeats: p.registry.Heartbeats()}
	var reply exchangeReply
	if err := p.opts.Peers.Get(seat.Address).Call(ctx, kindExchange, req, &reply); err != nil {
		return
	}
	for _, a := range reply.Announcements {
		p.registry.ApplyAged(a)
	}
	p.mu.Lock()
	p.exchanged = true
	p.mu.Unlock()
	if reply.Sync != nil {
		p.opts.Board.Config.Update(func(cfg blackboard.Config) (blackboard.Config, bool) {
			return ApplySyncReply(cfg, revision, *reply.Sync)
		})
	}
	// An entry without a configuration does not count as a confirmation: it may have restarted and lost a change
	// that was acknowledged because a majority of the entries, including it, had applied the change.
	if reply.Revision > 0 && p.opts.Board.Config.Value().Revision >= reply.Revision {
		p.opts.Lease.RecordPeer(seat.VM, sent)
	}
}

func (p *PeerSyncer) handleExchange(_ context.Context, req exchangeRequest) (exchangeReply, error) {
	for _, h := range req.Heartbeats {
		p.registry.ApplyHeartbeat(h)
	}
	cfg := p.opts.Board.Config.Value()
	reply := exchangeReply{Revision: cfg.Revision}
	if cfg.Revision > req.Revision {
		syncReply := NewSyncReply(cfg, req.Revision)
		reply.Sync = &syncReply
	}
	if p.registry.Digest() != req.Digest {
		reply.Announcements = p.registry.Announcements()
	}
	return reply, nil
}

func (p *PeerSyncer) handleAnnounce(_ context.Context, req announceRequest) (announceReply, error) {
	p.registry.Apply(req.Announcement.Announcement, req.Announcement.AgeMs, false)
	return announceReply{}, nil
}

// Broadcast sends an announcement to all other entries concurrently and returns how many entries hold it
// and how many there are, this one included; the latter is 0 before this entry has a configuration.
func (p *PeerSyncer) Broadcast(ctx context.Context, a samphirepass.Announcement) (holders, entries int) {
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeoutMs.Duration())
	defer cancel()
	others := p.otherSeats()
	var acknowledged atomic.Int64
	var wg sync.WaitGroup
	for _, seat := range others {
		wg.Add(1)
		go func() {
			defer wg.Done()
			req := announceRequest{Announcement: leaf.AgedAnnouncement{Announcement: a}}
			if p.opts.Peers.Get(seat.Address).Call(ctx, kindAnnounce, req, &announceReply{}) == nil {
				acknowledged.Add(1)
			}
		}()
	}
	wg.Wait()
	if p.opts.Board.Config.Value().Revision == 0 {
		return 1, 0
	}
	return 1 + int(acknowledged.Load()), 1 + len(others)
}
