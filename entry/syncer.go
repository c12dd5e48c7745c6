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
	// syncTimeoutMs bounds one sync, including the long poll for a newer configuration.
	syncTimeoutMs samphirepass.Millis = 1000
	// syncRetryMs is the delay after a failed sync.
	syncRetryMs samphirepass.Millis = 50
	// servingCheckMs is the interval at which watchLease checks the lease.
	servingCheckMs samphirepass.Millis = 50
)

// Options configure the Syncer and the PeerSyncer of one entry.
type Options struct {
	VM         samphirepass.VM
	Address    string
	DataCentre samphirepass.DataCentre
	// Process is a unique id of the running process, which changes at each restart.
	Process string
	Board   *blackboard.Board
	Lease   *lease.Lease
	Control *control.Client
	Peers   *peer.Pool
	Clock   samphirepass.Clock
	// Log receives one line for each notable event; nil discards them.
	Log func(format string, args ...any)
}

// Syncer keeps the configuration in sync with control.
type Syncer struct {
	opts Options
}

// NewSyncer returns a Syncer that is idle until Serve is called.
func NewSyncer(opts Options) *Syncer {
	if opts.Log == nil {
		opts.Log = func(string, ...any) {}
	}
	return &Syncer{opts: opts}
}

// Serve syncs repeatedly until ctx ends.
func (s *Syncer) Serve(ctx context.Context) error {
	go s.watchLease(ctx)
	for {
		err := s.sync(ctx)
		if ctx.Err() != nil {
			return fmt.Errorf("sync: %w", ctx.Err())
		}
		if err != nil {
			time.Sleep(syncRetryMs.Duration())
		}
	}
}

// sync requests the configuration once. The lease counts from the time at which the request was sent, so a process
// that was suspended for longer than the lease in the meantime finds it expired when it resumes.
func (s *Syncer) sync(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeoutMs.Duration())
	defer cancel()
	revision := s.opts.Board.Config.Value().Revision
	sent := s.opts.Clock.Now()
	reply, err := s.opts.Control.Sync(ctx, control.SyncRequest{
		VM: s.opts.VM, Address: s.opts.Address, DataCentre: s.opts.DataCentre, Process: s.opts.Process, AppliedRevision: revision,
	})
	if err != nil {
		return fmt.Errorf("sync with control: %w", err)
	}
	s.opts.Board.Config.Update(func(cfg blackboard.Config) (blackboard.Config, bool) { return ApplySyncReply(cfg, revision, reply) })
	if s.opts.Board.Config.Value().Revision >= reply.Revision {
		s.opts.Lease.RecordControl(sent)
	}
	return nil
}

// Serving reports whether the lease on the configuration is valid now, so that the entry may serve requests.
func (s *Syncer) Serving() bool {
	cfg := s.opts.Board.Config.Value()
	if cfg.Revision == 0 {
		return false
	}
	seated := make([]samphirepass.VM, len(cfg.Seats))
	for i, seat := range cfg.Seats {
		seated[i] = seat.VM
	}
	return s.opts.Lease.Valid(s.opts.Clock.Now(), s.opts.VM, seated)
}

// watchLease logs when the lease becomes valid and when it expires.
func (s *Syncer) watchLease(ctx context.Context) {
	t := time.NewTicker(servingCheckMs.Duration())
	defer t.Stop()
	wasServing := false
	for {
		serving := s.Serving()
		if serving != wasServing {
			s.opts.Log("Configuration lease valid: %v.", serving)
		}
		wasServing = serving
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}
