package collector

import (
	"context"
	"fmt"
	"sync"
	"time"

	"samphirepass"
	"samphirepass/gateway"
	"samphirepass/leaf"
	"samphirepass/logs"
	"samphirepass/metrics"
	"samphirepass/peer"
	"samphirepass/policy"
)

// maxInFlight bounds the memory of the requests that a collector works on at once: each holds about 0.4 MB for 40 shards.
// A lower limit would make more entries ask the leaves themselves, and leaves accept only few connections.
const maxInFlight = 128

// restTimeoutMs is how long a delivery goes on after its answers so far were returned unless its entry asks for the rest or releases it.
const restTimeoutMs samphirepass.Millis = 400

// Server answers the requests that other entries forward to this collector; it is safe for concurrent use.
type Server struct {
	// OnEvacuations is called with the evacuations in force at an entry, before its request is delivered; it may be nil.
	OnEvacuations func(samphirepass.Evacuations)
	// EvacuationRevision returns the revision of the evacuations in force here; nil means that there are none.
	EvacuationRevision func() samphirepass.Revision
	// Path is that of this process to leaves; nil means that it is never lost.
	Path samphirepass.LeafPath

	deliverer gateway.Deliverer
	stopping  func() bool
	metrics   *metrics.Metrics
	log       logs.Logger
	clock     samphirepass.Clock
	slots     *leaf.Slots
	load      loadReport

	mu sync.Mutex
	// unfinished holds the deliveries of which the answers so far were returned, by the numbers in those replies.
	unfinished     map[uint64]*unfinishedDelivery
	lastUnfinished uint64
}

// unfinishedDelivery is a delivery that still waits for leaves.
type unfinishedDelivery struct {
	// done receives the reply once the delivery has ended.
	done   <-chan collectReply
	cancel context.CancelFunc
	expiry *time.Timer
}

// NewServer returns a server that asks the leaves through deliverer, and refuses requests once stopping reports true.
func NewServer(deliverer gateway.Deliverer, stopping func() bool, m *metrics.Metrics, log logs.Logger) *Server {
	clock := samphirepass.SystemClock{}
	return &Server{deliverer: deliverer, stopping: stopping, metrics: m, log: log, clock: clock, slots: leaf.NewSlots(leaf.SlotsOptions{Clock: clock, Limit: maxInFlight, OnlyAccountsWait: true}), unfinished: map[uint64]*unfinishedDelivery{}}
}

// Register adds the handlers for collect requests to h.
func (s *Server) Register(h *peer.Handlers) {
	peer.HandleCall(h, kindCollect, s.collect)
	peer.HandleCall(h, kindCollectLimited, s.collectLimited)
	peer.HandleCall(h, kindCollectRest, s.collectRest)
	peer.HandleNotify(h, kindRelease, s.release)
}

// collectLimited is collect for a request whose entry delivers it again if this collector shows no sign of life.
func (s *Server) collectLimited(ctx context.Context, req collectRequest) (collectReply, error) {
	if req.Token == 0 {
		req.Delivery.Route.MaxAttempts, req.Delivery.FurtherAttempts = 1, noFurtherAttempts
	} else {
		req.Delivery.FurtherAttempts = func(ctx context.Context) bool {
			var reply furtherReply
			err := peer.CallBack(ctx, kindFurther, furtherRequest{Token: req.Token}, &reply)
			return err == nil && reply.Granted
		}
	}
	if interval := policy.SignOfLifeInterval(req.Delivery.Route.LatencyTargetMs); interval > 0 {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		go showLife(ctx, interval)
	}
	return s.collect(ctx, req)
}

// showLife sends heartbeats to the entry that waits for a request until ctx ends.
func showLife(ctx context.Context, interval samphirepass.Millis) {
	t := time.NewTicker(interval.Duration())
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if peer.SendHeartbeat(ctx) != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// collect delivers a request. If fewer shards have answered in time than are due, it returns the answers so far while the delivery goes
// on: together with those of other collectors they may be enough.
func (s *Server) collect(ctx context.Context, req collectRequest) (collectReply, error) {
	d := req.Delivery
	d.Route.ShardServices = d.Shards
	if s.stopping() {
		return collectReply{}, samphirepass.Refuse(samphirepass.CodeStopping, "the collector is stopping")
	}
	if samphirepass.PathLost(s.Path) {
		s.load.addRefused()
		return collectReply{}, samphirepass.Refuse(samphirepass.CodeNoPath, "the collector reaches no leaf")
	}
	if req.Evacuations.Revision > 0 && s.OnEvacuations != nil {
		s.OnEvacuations(req.Evacuations)
	}
	if covered := s.deliverer.Covered(d.Shards); covered < req.KnownShards && req.Evacuations.Revision == s.evacuationRevision() {
		// This collector lacks announcements, for example because it is cut off from the registrars. Others can answer the request.
		s.load.addRefused()
		s.log.RequestEvent("Collect request refused: too few leaves are known.", "request", d.Request.ID, "shards", len(d.Shards), "known", covered, "known-to-entry", req.KnownShards)
		return collectReply{}, samphirepass.Refuse(samphirepass.CodeUnavailable, "leaves are known for %d shards, the entry knows leaves of %d", covered, req.KnownShards)
	}
	arrived := s.clock.Now()
	inFlight, ok := s.slots.Take(ctx, d, 1)
	if !ok {
		s.load.addRefused()
		s.log.RequestEvent("Collect request refused.", "request", d.Request.ID, "running", inFlight, "limit", maxInFlight, "account", d.Request.Forwarded.Account, "rank", d.Route.Rank)
		return collectReply{}, samphirepass.Refuse(samphirepass.CodeOverloaded, "%d requests are being collected", inFlight)
	}
	// The times of the delivery count from its sending.
	transit := peer.Age(ctx)
	took := s.clock.Now()
	d = d.WithElapsed(transit + took - arrived)
	// The delivery outlives this call if the answers so far are returned.
	deliverCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.Request.DeadlineMs.Duration())
	callEnded := context.AfterFunc(ctx, cancel)
	partial := make(chan collectReply, 1)
	if d.DueShards > d.MinShards {
		d.OnPartial = func(result leaf.DeliveryResult) { partial <- newCollectReply(d, result) }
	}
	done := make(chan collectReply, 1)
	go func() {
		defer func() { s.slots.Release(1, s.clock.Now()-took) }()
		defer cancel()
		done <- s.deliver(deliverCtx, d, transit, inFlight)
	}()
	select {
	case reply := <-done:
		callEnded()
		return reply, reply.refusal(samphirepass.PathNarrow(s.Path))
	case reply := <-partial:
		if callEnded() {
			reply.Unfinished = s.addUnfinished(done, cancel)
		}
		return reply, nil
	}
}

func (s *Server) evacuationRevision() samphirepass.Revision {
	if s.EvacuationRevision == nil {
		return 0
	}
	return s.EvacuationRevision()
}

// deliver sends a request to its leaves and records how that went. A panic fails only this request.
func (s *Server) deliver(ctx context.Context, d leaf.Delivery, transit samphirepass.Millis, inFlight int64) (reply collectReply) {
	defer func() {
		if reason := recover(); reason != nil {
			s.log.Errorf("Delivery of request %s panicked: %v.", d.Request.ID, reason)
			reply = collectReply{RequiredShards: d.RequiredShards(), MaybeRun: true, LastError: fmt.Sprintf("delivery panicked: %v", reason)}
		}
	}()
	result := s.deliverer.Deliver(ctx, d)
	reply = newCollectReply(d, result)
	s.observeStages(transit, result.Timing)
	s.load.add(len(d.Shards), inFlight, transit, result)
	s.log.RequestEvent("Request collected.", "request", d.Request.ID, "route", d.Route.Name, "shards", len(d.Shards),
		"answered", result.Answered, "attempts", result.Attempts, "extra", result.Extra, "skipped", result.Skipped, "far", result.CrossCentreAttempts, "poor", len(result.DegradedShards), "last-leaf", result.LastLeaf, "last-error", reply.LastError,
		"running", inFlight, "transit-ms", int(transit), "start-ms", int(result.Timing.StartMs), "send-wait-ms", int(result.Timing.SendWaitMs),
		"leaf-ms", int(result.Timing.LeafMs), "handle-wait-ms", int(result.Timing.HandleWaitMs), "timer-late-ms", int(result.Timing.TimerLateMs))
	return reply
}

// addUnfinished keeps a delivery for restTimeoutMs and returns its number.
func (s *Server) addUnfinished(done <-chan collectReply, cancel context.CancelFunc) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastUnfinished++
	n := s.lastUnfinished
	s.unfinished[n] = &unfinishedDelivery{done: done, cancel: cancel, expiry: time.AfterFunc(restTimeoutMs.Duration(), func() {
		if u := s.takeUnfinished(n); u != nil {
			u.cancel()
		}
	})}
	return n
}

// takeUnfinished removes a delivery and returns it, nil if there is none with this number.
func (s *Server) takeUnfinished(n uint64) *unfinishedDelivery {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.unfinished[n]
	delete(s.unfinished, n)
	return u
}

// collectRest returns the complete result of a delivery whose answers so far were returned.
func (s *Server) collectRest(ctx context.Context, req collectRestRequest) (collectReply, error) {
	u := s.takeUnfinished(req.Unfinished)
	if u == nil {
		return collectReply{}, samphirepass.Refuse(samphirepass.CodeNotFound, "no delivery %d is unfinished", req.Unfinished)
	}
	u.expiry.Stop()
	select {
	case reply := <-u.done:
		return reply, nil
	case <-ctx.Done():
		u.cancel()
		return collectReply{}, fmt.Errorf("wait for the rest of delivery %d: %w", req.Unfinished, ctx.Err())
	}
}

// release ends a delivery of which the answers so far were enough.
func (s *Server) release(req collectRestRequest) {
	if u := s.takeUnfinished(req.Unfinished); u != nil {
		u.expiry.Stop()
		u.cancel()
	}
}

// observeStages records where the time of a request went.
func (s *Server) observeStages(transit samphirepass.Millis, t leaf.Timing) {
	s.metrics.ObserveStage(metrics.StageTransit, transit)
	s.metrics.ObserveStage(metrics.StageStart, t.StartMs)
	s.metrics.ObserveStage(metrics.StageSendWait, t.SendWaitMs)
	s.metrics.ObserveStage(metrics.StageLeaf, t.LeafMs)
	s.metrics.ObserveStage(metrics.StageHandleWait, t.HandleWaitMs)
}
