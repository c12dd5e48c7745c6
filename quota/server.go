package quota

import (
	"context"
	"sync"

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
	Clock   samphirepass.BootClock
	Metrics *metrics.Metrics
	Log     logs.Logger
}

// Server issues tokens to gateways; it is safe for concurrent use.
type Server struct {
	opts ServerOptions

	mu         sync.Mutex
	issuer     *Issuer
	membership *Membership
	// issuing and issuers are as last logged.
	issuing bool
	issuers int
}

// NewServer returns a server.
func NewServer(opts ServerOptions) *Server {
	return &Server{opts: opts, issuer: NewIssuer(opts.Clock.Boot()), membership: NewMembership(opts.Address)}
}

// Register adds the handler for asks of gateways to h.
func (s *Server) Register(h *peer.Handlers) { peer.HandleCall(h, kindIssue, s.issue) }

func (s *Server) issue(_ context.Context, req issueRequest) (issueReply, error) {
	limit, known := s.opts.Limits.FleetLimit(req.Key)
	voters, contactAge := s.opts.Voters.VoterAddresses(), s.opts.Voters.SinceLeaderContact()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Boot()
	if s.membership.Update(now, voters, contactAge) {
		s.issuer.Reset(now)
	}
	part, ok := s.membership.Part(now)
	s.logState(ok, len(part.Issuers), contactAge)
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
