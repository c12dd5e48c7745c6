package collector

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"samphirepass"
	"samphirepass/directory"
	"samphirepass/leaf"
	"samphirepass/policy"
)

// loadReportMs is the interval of the log lines about the load of a collector.
const loadReportMs samphirepass.Millis = 1000

// loadSums sums up the requests at a collector.
type loadSums struct {
	requests, refused, mostRunning int
	shards, answered, attempts     int
	transitSum, longestTransit     samphirepass.Millis
	// longest holds the longest of each time.
	longest leaf.Timing
}

// loadReport holds the sums since the last log line about the load of a collector.
type loadReport struct {
	mu   sync.Mutex
	sums loadSums
}

// addRefused counts a request that was refused.
func (l *loadReport) addRefused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sums.refused++
}

// add counts a request that was collected, with the number of requests that ran when it arrived.
func (l *loadReport) add(shards int, running int64, transit samphirepass.Millis, result leaf.DeliveryResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &l.sums
	s.requests++
	s.mostRunning = max(s.mostRunning, int(running))
	s.shards += shards
	s.answered += result.Answered
	s.attempts += result.Attempts
	s.transitSum += transit
	s.longestTransit = max(s.longestTransit, transit)
	s.longest.StartMs = max(s.longest.StartMs, result.Timing.StartMs)
	s.longest.SendWaitMs = max(s.longest.SendWaitMs, result.Timing.SendWaitMs)
	s.longest.LeafMs = max(s.longest.LeafMs, result.Timing.LeafMs)
	s.longest.HandleWaitMs = max(s.longest.HandleWaitMs, result.Timing.HandleWaitMs)
	s.longest.TimerLateMs = max(s.longest.TimerLateMs, result.Timing.TimerLateMs)
}

// take returns the sums and starts anew.
func (l *loadReport) take() loadSums {
	l.mu.Lock()
	defer l.mu.Unlock()
	sums := l.sums
	l.sums = loadSums{}
	return sums
}

// Serve logs the load of this collector until ctx ends.
func (s *Server) Serve(ctx context.Context) error {
	t := time.NewTicker(loadReportMs.Duration())
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.logLoad()
		case <-ctx.Done():
			return fmt.Errorf("report the load of a collector: %w", ctx.Err())
		}
	}
}

func (s *Server) logLoad() {
	r := s.load.take()
	if r.requests+r.refused == 0 {
		return
	}
	s.log.Event("Collector load.", "requests", r.requests, "refused", r.refused, "most-running", r.mostRunning, "shards", r.shards, "answered", r.answered, "attempts", r.attempts,
		"mean-transit-ms", int(r.transitSum)/max(r.requests, 1), "transit-ms", int(r.longestTransit), "start-ms", int(r.longest.StartMs), "send-wait-ms", int(r.longest.SendWaitMs),
		"leaf-ms", int(r.longest.LeafMs), "handle-wait-ms", int(r.longest.HandleWaitMs), "timer-late-ms", int(r.longest.TimerLateMs))
}

// logConditions logs each offered collector whose condition has changed, and the number of usable ones.
func (c *Client) logConditions() {
	offers := c.offerSnapshot().offers
	c.mu.Lock()
	defer c.mu.Unlock()
	usable := 0
	var changed []directory.CollectorOffer
	offered := map[string]bool{}
	for _, offer := range offers {
		offered[offer.Address] = true
		condition := policy.CollectorCondition(c.candidateLocked(offer))
		if condition == samphirepass.CollectorUsable {
			usable++
		}
		if c.conditions[offer.Address] != condition {
			c.conditions[offer.Address] = condition
			changed = append(changed, offer)
		}
	}
	for _, address := range slices.Collect(maps.Keys(c.conditions)) {
		if !offered[address] {
			delete(c.conditions, address)
			c.opts.Log.RequestEvent("Collector withdrawn.", "collector", address, "usable", usable, "offered", len(offers))
		}
	}
	for _, offer := range changed {
		c.opts.Log.RequestEvent("Collector condition.", "collector", offer.Address, "data-centre", offer.DataCentre, "condition", c.conditions[offer.Address], "usable", usable, "offered", len(offers))
	}
}
