package daemon

import (
	"strconv"

	"samphirepass"
	"samphirepass/policy"
	"samphirepass/settings"
)

// chooser returns the chooser of leaves that the settings ask for. Only this function knows the switch; with it off, the chooser is the
// previous one.
func (g *Gateway) chooser() samphirepass.Chooser {
	if g.cfg.Balancing != settings.BalancingAuto && g.cfg.Balancing != settings.BalancingOn {
		return policy.LeastCostChooser{}
	}
	g.pool.MeasureSpeeds()
	g.balancer = policy.NewBalancer(policy.BalancerOptions{
		Always: g.cfg.Balancing == settings.BalancingOn, DataCentres: len(g.cfg.DataCentres), Clock: g.clock, Slots: g.countSlots,
		OnSwitch: g.logBalancing, OnChoice: func(r policy.ChoiceReason) { g.metrics.LeafChoice(string(r)) },
	})
	return g.balancer
}

// countSlots counts the slots of the leaves of a service, also of those to which this gateway has no share of connections.
func (g *Gateway) countSlots(s samphirepass.Service) (n policy.SlotCount) {
	for _, reg := range g.registry.Serving(s) {
		slots := max(reg.Slots, 1)
		n.All += slots
		if reg.DataCentre == g.cfg.DataCentre {
			n.Near += slots
		}
	}
	return n
}

// logBalancing logs that a service is switched. The lines are bounded like those about requests, and a service is switched on and off
// twice a minute at most.
func (g *Gateway) logBalancing(s policy.BalancingSwitch) {
	g.log.For("gateway").RequestEvent("Balancing switched.", "service", s.Service, "on", s.On, "cause", s.Cause, "speed-ratio", strconv.FormatFloat(s.Ratio, 'f', 2, 64),
		"busy-share", strconv.FormatFloat(s.BusyShare, 'f', 3, 64), "answers", s.Answers)
	g.metrics.BalancingSwitched(s.On)
}

// retainBalancing drops what is measured of services that the routing document in force does not name.
func (g *Gateway) retainBalancing(routing samphirepass.Routing) {
	if g.balancer == nil {
		return
	}
	named := map[samphirepass.Service]bool{}
	for _, r := range routing.Routes {
		for _, s := range r.AllServices() {
			named[s] = true
		}
	}
	g.metrics.BalancingDropped(g.balancer.Retain(func(s samphirepass.Service) bool { return named[s] }))
}
