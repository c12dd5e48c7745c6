package relay

import (
	"context"
	"slices"
	"sync/atomic"

	"samphirepass"
	"samphirepass/gateway"
	"samphirepass/logs"
	"samphirepass/peer"
)

// maxRelayed bounds the memory of the requests that a gateway delivers for others at once.
const maxRelayed = 128

// ServerOptions set up a Server.
type ServerOptions struct {
	// Deliverer delivers requests and never passes them to another gateway as a whole.
	Deliverer gateway.Deliverer
	// Path is that of this process to leaves.
	Path samphirepass.LeafPath
	// Stopping reports whether this gateway takes no more requests of others.
	Stopping func() bool
	// Shards returns the shards of all routes in force, as lists that do not change.
	Shards func() [][]samphirepass.Service
	// OnEvacuations is called with the evacuations in force at another gateway, before its request is delivered.
	OnEvacuations func(samphirepass.Evacuations)
	Log           logs.Logger
}

// Server delivers the requests of gateways that reach no leaf; it is safe for concurrent use.
type Server struct {
	opts     ServerOptions
	inFlight atomic.Int64
}

// NewServer returns a server without requests.
func NewServer(opts ServerOptions) *Server { return &Server{opts: opts} }

// Register adds the handler for relayed requests to h.
func (s *Server) Register(h *peer.Handlers) {
	peer.HandleCall(h, kindRelay, s.deliver)
}

func (s *Server) deliver(ctx context.Context, req relayRequest) (relayReply, error) {
	if s.opts.Stopping() {
		return relayReply{}, samphirepass.Refuse(samphirepass.CodeStopping, "the gateway is stopping")
	}
	if samphirepass.PathLost(s.opts.Path) {
		return relayReply{}, samphirepass.Refuse(samphirepass.CodeNoPath, "the gateway reaches no leaf")
	}
	defer s.inFlight.Add(-1)
	if n := s.inFlight.Add(1); n > maxRelayed {
		return relayReply{}, samphirepass.Refuse(samphirepass.CodeOverloaded, "%d requests are delivered for other gateways", n)
	}
	if req.Evacuations.Revision > 0 {
		s.opts.OnEvacuations(req.Evacuations)
	}
	d := req.Delivery.WithElapsed(peer.Age(ctx))
	d.Shards = s.knownList(d.Shards)
	if d.Route.IsScatterGather() {
		d.Route.ShardServices = d.Shards
	}
	ctx, cancel := context.WithTimeout(ctx, d.Request.DeadlineMs.Duration())
	defer cancel()
	result := s.opts.Deliverer.Deliver(ctx, d)
	s.opts.Log.RequestEvent("Request delivered for another gateway.", "request", d.Request.ID, "route", d.Route.Name, "shards", len(d.Shards),
		"answered", result.Answered, "attempts", result.Attempts, "extra", result.Extra, "maybe-run", result.MaybeRun, "no-path", result.NoPath, "last-leaf", result.LastLeaf)
	return newRelayReply(d, result), nil
}

// knownList returns the list of shards in force that equals the given one, or else the given one. What follows from a list is cached by it.
func (s *Server) knownList(shards []samphirepass.Service) []samphirepass.Service {
	for _, known := range s.opts.Shards() {
		if slices.Equal(known, shards) {
			return known
		}
	}
	return shards
}
