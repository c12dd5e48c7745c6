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
	heardAt     samphirepass.Millis
}

type reportRequest struct {
	Reports []leafReport
}

// applyReports applies what an entry heard from leaves. All other processes learn of it like of any other change of a leaf.
func (s *Source) applyReports(_ context.Context, req reportRequest) (struct{}, error) {
	for _, r := range req.Reports {
		s.opts.Registry.SetLimit(r.Leaf, r.Incarnation, r.Limit, true)
		if r.Leaving {
			s.opts.Registry.SetLeaving(r.Leaf, r.Incarnation)
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
	select {
	case f.reports <- leafReport{Leaf: from.Leaf, Incarnation: from.Incarnation, Limit: limit, Leaving: n.Leaving, heardAt: f.opts.Clock.Now()}:
	default:
		f.opts.Logf("What leaf %s says is not reported: %d reports are waiting.", from.Leaf, maxWaitingReports)
	}
}

// sendReports sends reports to a source until ctx ends.
func (f *Follower) sendReports(ctx context.Context) {
	for {
		var reports []leafReport
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
func (f *Follower) sendReport(ctx context.Context, reports []leafReport) {
	var lastErr error
	for _, address := range f.followedSources() {
		for i := range reports {
			reports[i].Limit.AgeMs = f.opts.Clock.Now() - reports[i].heardAt
		}
		if lastErr = f.callReport(ctx, address, reports); lastErr == nil {
			return
		}
	}
	f.opts.Logf("What %d leaves say is not reported: no source took it (%v).", len(reports), lastErr)
}

func (f *Follower) callReport(ctx context.Context, address string, reports []leafReport) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeoutMs.Duration())
	defer cancel()
	var reply struct{}
	if err := f.opts.Peers.Get(address).Call(ctx, kindReport, reportRequest{Reports: reports}, &reply); err != nil {
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
