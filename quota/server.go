package quota

import (
	"context"
	"fmt"
	"sync"
	"time"

	"samphirepass"
	"samphirepass/logs"
	"samphirepass/metrics"
	"samphirepass/peer"
)

// VoterSource knows the voters of the replicated log. It is safe for concurrent use.
type VoterSource interface {
	// VoterAddresses returns the peer addresses of the voters, nil if they are not known.
	VoterAddresses() []string
	// SinceLeaderContact returns the time since the last contact with a leader.
	SinceLeaderContact() samphirepass.Millis
}

// ServerOptions set up a Server.
type ServerOptions struct {
	// Address is the peer address of this process.
	Address string
	Voters  VoterSource
	Limits  samphirepass.FleetLimits
	Clock   ServerClock
	Metrics *metrics.Metrics
	Log     logs.Logger
}

// ServerClock are the clocks of a server: the age of the last contact with a leader is measured with the one that does not advance while a VM is
// suspended, tokens with the other.
type ServerClock interface {
	samphirepass.Clock
	samphirepass.BootClock
}

const (
	// updateIntervalMs is the interval at which the voters are read.
	updateIntervalMs samphirepass.Millis = 250
	// suspendedMs is the difference of the clocks from which the VM was suspended.
	suspendedMs samphirepass.Millis = 100
)

// Server issues tokens to gateways; it is safe for concurrent use.
type Server struct {
	opts ServerOptions

	mu         sync.Mutex
	issuer     *Issuer
	membership *Membership
	// suspension is the time for which the VM has been suspended, plus a constant; resumedAt is when it last resumed.
	suspension samphirepass.Millis
	resumedAt  samphirepass.Millis
	// issuing and issuers are as last logged.
	issuing bool
	issuers int
}

// NewServer returns a server.
func NewServer(opts ServerOptions) *Server {
	now := opts.Clock.Boot()
	return &Server{opts: opts, issuer: NewIssuer(now), membership: NewMembership(opts.Address), suspension: now - opts.Clock.Now()}
}

// Serve follows the voters until ctx ends.
func (s *Server) Serve(ctx context.Context) error {
	t := time.NewTicker(updateIntervalMs.Duration())
	defer t.Stop()
	for {
		s.mu.Lock()
		s.updateLocked()
		s.mu.Unlock()
		select {
		case <-t.C:
		case <-ctx.Done():
			return fmt.Errorf("issue tokens: %w", ctx.Err())
		}
	}
}

// updateLocked reads the voters and returns the present time and this issuer's part.
func (s *Server) updateLocked() (samphirepass.Millis, Part, bool) {
	// The time comes first: what is read after it is at least as old as it seems.
	now := s.opts.Clock.Boot()
	if suspension := now - s.opts.Clock.Now(); suspension-s.suspension > suspendedMs {
		s.suspension, s.resumedAt = suspension, now
		s.membership.LoseContact()
	}
	contactAge := s.opts.Voters.SinceLeaderContact()
	if contactAge > now-s.resumedAt {
		// The contact was before the VM was suspended.
		contactAge = maxContactAgeMs
	}
	if s.membership.Update(now, s.opts.Voters.VoterAddresses(), contactAge) {
		s.issuer.Reset(now)
	}
	part, ok := s.membership.Part(now)
	s.logState(ok, len(part.Issuers), contactAge)
	return now, part, ok
}

// Register adds the handler for asks of gateways to h.
func (s *Server) Register(h *peer.Handlers) { peer.HandleCall(h, kindIssue, s.issue) }

func (s *Server) issue(_ context.Context, req issueRequest) (issueReply, error) {
	limit, known := s.opts.Limits.FleetLimit(req.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	now, part, ok := s.updateLocked()
	if !ok || !known {
		return issueReply{Issues: ok, Known: known}, nil
	}
	issue := s.issuer.Issue(now, req.Key, limit, part, min(max(req.Want, 1), maxWant))
	s.opts.Metrics.TokensIssued(issue.Granted)
	return issueReply{Issues: true, Known: true, Issue: issue}, nil
}

// logState logs when this process begins or ceases to issue, and when the number of issuers changes.
func (s *Server) logState(issuing bool, issuers int, contactAge samphirepass.Millis) {
	if issuing == s.issuing && issuers == s.issuers {
		return
	}
	s.issuing, s.issuers = issuing, issuers
	s.opts.Log.Event("Issuing of tokens.", "issuing", issuing, "issuers", issuers, "since-leader-contact-ms", int(min(contactAge, 1e6)))
}
