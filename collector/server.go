package collector

import (
	"context"
	"sync/atomic"

	"samphirepass"
	"samphirepass/gateway"
	"samphirepass/logs"
	"samphirepass/peer"
)

// maxCollecting bounds the requests that a collector works on at once for others, by their memory: each holds some 0.4 MB (worked out)
// for 40 shards. Entries that are refused ask the leaves themselves, over connections that leaves have few of, so it is not lower.
const maxCollecting = 128

// Server collects for smaller entries.
type Server struct {
	deliverer gateway.Deliverer
	stopping  func() bool
	log       logs.Logger
	running   atomic.Int64
}

// NewServer returns a server that asks the leaves through deliverer, and refuses once stopping reports true.
func NewServer(deliverer gateway.Deliverer, stopping func() bool, log logs.Logger) *Server {
	return &Server{deliverer: deliverer, stopping: stopping, log: log}
}

// Register adds the request to collect to h.
func (s *Server) Register(h *peer.Handlers) {
	peer.HandleCall(h, kindCollect, s.collect)
}

// InFlight counts the requests that are being collected.
func (s *Server) InFlight() int64 { return s.running.Load() }

func (s *Server) collect(ctx context.Context, req collectRequest) (collectReply, error) {
	one := req.Delivery
	one.Route.ShardServices = one.Shards
	// Counted first, so that a stop that saw none running also sees none later.
	running := s.running.Add(1)
	defer s.running.Add(-1)
	if s.stopping() {
		return collectReply{}, samphirepass.Refuse(samphirepass.CodeStopping, "the collector is stopping")
	}
	if running > maxCollecting {
		s.log.Decision("Collecting refused.", "request", one.Request.ID, "running", running, "limit", maxCollecting)
		return collectReply{}, samphirepass.Refuse(samphirepass.CodeOverloaded, "%d requests are being collected", running)
	}
	ctx, cancel := context.WithTimeout(ctx, one.Request.DeadlineMs.Duration())
	defer cancel()
	out := s.deliverer.Deliver(ctx, one)
	reply := collectReply{
		Answered: out.Answered, Known: out.Known, Least: out.RequiredShards, Extra: out.Extra, Attempts: out.Attempts,
		MaybeRun: out.MaybeRun, LastLeaf: out.LastLeaf, Poor: out.DegradedShards,
	}
	if out.LastErr != nil {
		reply.LastError = out.LastErr.Error()
	}
	if out.Answered > 0 && out.Answered >= out.RequiredShards {
		reply.Merged = gateway.MergeReplies(one, out)
	}
	s.log.Decision("Request collected.", "request", one.Request.ID, "route", one.Route.Name, "shards", len(one.Shards),
		"answered", out.Answered, "attempts", out.Attempts, "extra", out.Extra, "far", out.CrossCentreAttempts, "poor", len(out.DegradedShards), "last-leaf", out.LastLeaf, "last-error", reply.LastError)
	return reply, nil
}
