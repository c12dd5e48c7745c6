package daemon

import (
	"samphirepass"
	"samphirepass/platform"
	"samphirepass/quota"
)

// newLimiter returns the limiter of rates that all gateways share, or nil if the settings declare none.
func (g *Gateway) newLimiter(declared bool) samphirepass.FleetLimiter {
	if !declared {
		return nil
	}
	if g.limits == nil {
		g.metrics.EnableLimits()
		g.limits = quota.NewClient(quota.ClientOptions{
			VM: g.cfg.VM, DataCentre: g.cfg.DataCentre, Issuers: g.tokenIssuers, Peers: g.peers, Clock: samphirepass.SystemClock{}, Metrics: g.metrics,
		})
	}
	return g.limits
}

// tokenIssuers returns the registrars that may issue tokens: those with disks, which are the voters of the log.
func (g *Gateway) tokenIssuers() []quota.IssuerAddress {
	endpoints := g.follower.DiskEndpoints()
	issuers := make([]quota.IssuerAddress, len(endpoints))
	for i, e := range endpoints {
		issuers[i] = quota.IssuerAddress{Address: e.Address, DataCentre: e.DataCentre}
	}
	return issuers
}

// serveLimits makes a registrar with a disk issue tokens of the limits that the settings declare.
func (r *Registrar) serveLimits() {
	if r.cfg.DataFolder == "" || (r.cfg.Quota == nil && r.cfg.WarmUp == nil) {
		return
	}
	r.metrics.EnableLimits()
	limits := &quota.RoutingLimits{Applied: r.AppliedRouting, Reader: platform.RoutingReader{}}
	if q := r.cfg.Quota; q != nil {
		limits.Quotas = &quota.AccountBounds{WindowMs: q.WindowMs, Overage: q.Overage, Slack: q.Slack}
	}
	if w := r.cfg.WarmUp; w != nil {
		limits.WarmUps = &quota.WarmUpBounds{Factor: w.Factor, Slack: w.Slack, Limit: r.registry.WarmUpLimit}
	}
	r.issuer = quota.NewServer(quota.ServerOptions{
		Address: r.cfg.PeerAddress(), Voters: r, Limits: limits, Clock: samphirepass.SystemClock{}, Metrics: r.metrics, Log: r.log.For("quota"),
	})
	r.issuer.Register(r.handlers)
}

// VoterAddresses returns the peer addresses of the voters of the log, nil if this process does not know them.
func (r *Registrar) VoterAddresses() []string {
	m := r.member.Load()
	if m == nil {
		return nil
	}
	var addresses []string
	for _, member := range m.Members() {
		if member.Voter {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}
