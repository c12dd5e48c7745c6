package collector

import (
	"context"
	"sync/atomic"

	"samphirepass"
	"samphirepass/gateway"
	"samphirepass/leaf"
	"samphirepass/logs"
	"samphirepass/metrics"
	"samphirepass/peer"
)

// maxInFlight bounds the memory of the requests that a collector works on at once: each holds about 0.4 MB for 40 shards.
// A lower limit would make more entries ask the leaves themselves, and leaves accept only few connections.
const maxInFlight = 128

// Server answers the requests that other entries forward to this collector; it is safe for concurrent use.
type Server struct {
	deliverer gateway.Deliverer
	stopping  func() bool
	metrics   *metrics.Metrics
	log       logs.Logger
	inFlight  atomic.Int64
}

// NewServer returns a server that asks the leaves through deliverer, and refuses requests once stopping reports true.
func NewServer(deliverer gateway.Deliverer, stopping func() bool, m *metrics.Metrics, log logs.Logger) *Server {
	return &Server{deliverer: deliverer, stopping: stopping, metrics: m, log: log}
}

// Register adds the handler for collect requests to h.
func (s *Server) Register(h *peer.Handlers) {
	peer.HandleCall(h, kindCollect, s.collect)
}

func (s *Server) collect(ctx context.Context, req collectRequest) (collectReply, error) {
	d := req.Delivery
	d.Route.ShardServices = d.Shards
	inFlight := s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.stopping() {
		return collectReply{}, samphirepass.Refuse(samphirepass.CodeStopping, "the collector is stopping")
	}
	if inFlight > maxInFlight {
		s.log.RequestEvent("Collect request refused.", "request", d.Request.ID, "running", inFlight, "limit", maxInFlight)
		return collectReply{}, samphirepass.Refuse(samphirepass.CodeOverloaded, "%d requests are being collected", inFlight)
	}
	// The times of the delivery count from its sending.
	transit := peer.Age(ctx)
	d = withElapsed(d, transit)
	ctx, cancel := context.WithTimeout(ctx, d.Request.DeadlineMs.Duration())
	defer cancel()
	result := s.deliverer.Deliver(ctx, d)
	reply := collectReply{
		Answered: result.Answered, Known: result.KnownShards, RequiredShards: result.RequiredShards, Extra: result.Extra, Attempts: result.Attempts,
		MaybeRun: result.MaybeRun, LastLeaf: result.LastLeaf, DegradedShards: result.DegradedShards, Skipped: result.Skipped,
	}
	if result.LastErr != nil {
		reply.LastError = result.LastErr.Error()
	}
	if result.Answered > 0 && result.Answered >= result.RequiredShards {
		reply.Merged = gateway.MergeReplies(d, result)
	}
	s.observeStages(transit, result.Timing)
	s.log.RequestEvent("Request collected.", "request", d.Request.ID, "route", d.Route.Name, "shards", len(d.Shards),
		"answered", result.Answered, "attempts", result.Attempts, "extra", result.Extra, "skipped", result.Skipped, "far", result.CrossCentreAttempts, "poor", len(result.DegradedShards), "last-leaf", result.LastLeaf, "last-error", reply.LastError,
		"running", inFlight, "transit-ms", int(transit), "start-ms", int(result.Timing.StartMs), "send-wait-ms", int(result.Timing.SendWaitMs),
		"leaf-ms", int(result.Timing.LeafMs), "handle-wait-ms", int(result.Timing.HandleWaitMs), "timer-late-ms", int(result.Timing.TimerLateMs))
	return reply, nil
}

// observeStages records where the time of a request went.
func (s *Server) observeStages(transit samphirepass.Millis, t leaf.Timing) {
	s.metrics.ObserveStage(metrics.StageTransit, transit)
	s.metrics.ObserveStage(metrics.StageStart, t.StartMs)
	s.metrics.ObserveStage(metrics.StageSendWait, t.SendWaitMs)
	s.metrics.ObserveStage(metrics.StageLeaf, t.LeafMs)
	s.metrics.ObserveStage(metrics.StageHandleWait, t.HandleWaitMs)
}
