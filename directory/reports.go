package directory

import (
	"context"
	"fmt"
	"time"

	"samphirepass"
)

const (
	kindReport = "report-notices"
	// reportDelayMs is how long a report waits for others, so that they are sent together.
	reportDelayMs samphirepass.Millis = 20
	// reportTimeoutMs is the time within which a source must take a report before another one gets it.
	reportTimeoutMs samphirepass.Millis = 500
	// maxWaitingReports bounds the reports that wait to be sent.
	maxWaitingReports = 512
)

// leafReport is what an entry heard from a leaf.
type leafReport struct {
	Leaf        samphirepass.Leaf
	Incarnation samphirepass.Incarnation
	Limit       samphirepass.LeafLimit
	Leaving     bool
}

// report is what an entry has heard from a leaf or learned of a request.
type report struct {
	leaf      *leafReport
	suspicion *samphirepass.Suspicion
	heardAt   samphirepass.Millis
}

type reportRequest struct {
	Reports    []leafReport
	Suspicions []samphirepass.Suspicion
}

// applyReports applies what an entry heard from leaves and learned of requests. All other processes learn of it by their polls.
func (s *Source) applyReports(_ context.Context, req reportRequest) (struct{}, error) {
	for _, r := range req.Reports {
		s.opts.Registry.SetLimit(r.Leaf, r.Incarnation, r.Limit, true)
		if r.Leaving {
			s.opts.Registry.SetLeaving(r.Leaf, r.Incarnation)
		}
	}
	if s.opts.Quarantine != nil {
		for _, suspicion := range req.Suspicions {
			s.opts.Quarantine.Merge(suspicion)
		}
	}
	return struct{}{}, nil
}

// HandleNotice records what a leaf said of itself in an answer, and tells the sources if it is new. It implements leaf.NoticeHandler.
func (f *Follower) HandleNotice(from samphirepass.Announcement, n samphirepass.LeafNotice) {
	limit := samphirepass.LeafLimit{PerSecond: n.LimitPerSecond}
	newLimit := f.opts.Registry.SetLimit(from.Leaf, from.Incarnation, limit, false)
	if newLimit {
		f.opts.Logf("Leaf %s of %s names a limit of %.1f requests a second (0: none).", from.Leaf, from.Service, n.LimitPerSecond)
	}
	nowLeaving := n.Leaving && f.opts.Registry.SetLeaving(from.Leaf, from.Incarnation)
	if nowLeaving {
		f.opts.Logf("Leaf %s of %s says in an answer that it leaves.", from.Leaf, from.Service)
	}
	if !newLimit && !nowLeaving {
		return
	}
	f.report(report{leaf: &leafReport{Leaf: from.Leaf, Incarnation: from.Incarnation, Limit: limit, Leaving: n.Leaving}, heardAt: f.opts.Clock.Now()})
}

// report queues a report for the sources.
func (f *Follower) report(r report) {
	select {
	case f.reports <- r:
	default:
		f.opts.Logf("What leaves say or a request did to them is not reported: %d reports are waiting.", maxWaitingReports)
	}
}

// sendReports sends reports to a source until ctx ends.
func (f *Follower) sendReports(ctx context.Context) {
	for {
		var reports []report
		select {
		case r := <-f.reports:
			reports = append(reports, r)
		case <-ctx.Done():
			return
		}
		time.Sleep(reportDelayMs.Duration())
		for len(f.reports) > 0 {
			reports = append(reports, <-f.reports)
		}
		f.sendReport(ctx, reports)
	}
}

// sendReport sends reports to one of the followed sources.
func (f *Follower) sendReport(ctx context.Context, reports []report) {
	var lastErr error
	for _, address := range f.followedSources() {
		if lastErr = f.callReport(ctx, address, newReportRequest(reports, f.opts.Clock.Now())); lastErr == nil {
			return
		}
	}
	f.opts.Logf("%d reports on leaves and requests are lost: no source took them (%v).", len(reports), lastErr)
}

// newReportRequest returns a request with the reports as they are at the time now.
func newReportRequest(reports []report, now samphirepass.Millis) reportRequest {
	var req reportRequest
	for _, r := range reports {
		age := now - r.heardAt
		if r.leaf != nil {
			aged := *r.leaf
			aged.Limit.AgeMs = age
			req.Reports = append(req.Reports, aged)
		}
		if r.suspicion != nil {
			req.Suspicions = append(req.Suspicions, r.suspicion.Aged(age))
		}
	}
	return req
}

func (f *Follower) callReport(ctx context.Context, address string, req reportRequest) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeoutMs.Duration())
	defer cancel()
	var reply struct{}
	if err := f.opts.Peers.Get(address).Call(ctx, kindReport, req, &reply); err != nil {
		return fmt.Errorf("report to %s: %w", address, err)
	}
	return nil
}

// followedSources returns the addresses of the followed sources.
func (f *Follower) followedSources() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []string
	for address, s := range f.sources {
		if s.followed {
			addresses = append(addresses, address)
		}
	}
	return addresses
}
