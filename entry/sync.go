package entry

import (
	"context"
	"fmt"
	"time"

	"samphirepass"
	"samphirepass/blackboard"
	"samphirepass/control"
	"samphirepass/lease"
	"samphirepass/peer"
)

const (
	// syncTimeoutMs bounds one sync, its wait for news included.
	syncTimeoutMs samphirepass.Millis = 1000
	// syncPauseMs is the pause after a failed sync.
	syncPauseMs samphirepass.Millis = 50
	// servingEveryMs is the time between two looks at the lease.
	servingEveryMs samphirepass.Millis = 50
)

// Options set up the controllers of one entry.
type Options struct {
	VM         samphirepass.VM
	Address    string
	DataCentre samphirepass.DataCentre
	// Process names this life of the process.
	Process string
	Board   *blackboard.Board
	Lease   *lease.Lease
	Control *control.Client
	Peers   *peer.Pool
	Clock   samphirepass.Clock
	// Log takes one line for each notable event; nil drops them.
	Log func(format string, args ...any)
}

// Syncer keeps the configuration in step with control.
type Syncer struct {
	o Options
}

// NewSyncer returns a syncer.
func NewSyncer(o Options) *Syncer {
	if o.Log == nil {
		o.Log = func(string, ...any) {}
	}
	return &Syncer{o: o}
}

// Serve runs until ctx ends.
func (s *Syncer) Serve(ctx context.Context) error {
	go s.watchLease(ctx)
	for {
		err := s.sync(ctx)
		if ctx.Err() != nil {
			return fmt.Errorf("sync: %w", ctx.Err())
		}
		if err != nil {
			time.Sleep(syncPauseMs.Duration())
		}
	}
}

// sync asks once; a frozen process that wakes finds its lease too old, since the lease counts from the sending.
func (s *Syncer) sync(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeoutMs.Duration())
	defer cancel()
	have := s.o.Board.Config.Value().Revision
	sent := s.o.Clock.Now()
	reply, err := s.o.Control.Sync(ctx, control.SyncRequest{
		VM: s.o.VM, Address: s.o.Address, DataCentre: s.o.DataCentre, Process: s.o.Process, AppliedRevision: have,
	})
	if err != nil {
		return fmt.Errorf("sync with control: %w", err)
	}
	s.o.Board.Config.Update(func(cfg blackboard.Config) (blackboard.Config, bool) { return ApplySyncReply(cfg, have, reply) })
	if s.o.Board.Config.Value().Revision >= reply.Revision {
		s.o.Lease.RecordControl(sent)
	}
	return nil
}

// Serving reports whether the configuration may be served with at this moment.
func (s *Syncer) Serving() bool {
	cfg := s.o.Board.Config.Value()
	if cfg.Revision == 0 {
		return false
	}
	seated := make([]samphirepass.VM, len(cfg.Seats))
	for i, seat := range cfg.Seats {
		seated[i] = seat.VM
	}
	return s.o.Lease.Valid(s.o.Clock.Now(), s.o.VM, seated)
}

// watchLease logs when the entry begins and ceases to serve.
func (s *Syncer) watchLease(ctx context.Context) {
	t := time.NewTicker(servingEveryMs.Duration())
	defer t.Stop()
	before := false
	for {
		now := s.Serving()
		if now != before {
			s.o.Log("Configuration current: %v.", now)
		}
		before = now
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}
