package policy

import (
	"math/rand/v2"
	"slices"

	"samphirepass"
)

const (
	// relayCooldownMs is how long a gateway that refused a request or failed is not offered others.
	relayCooldownMs samphirepass.Millis = 1000
	// relayKeptAnswers is the number of answers of sources in a row after which a gateway that none of them named counts as gone: a source does
	// not name those that do not follow it. Sources that are silent say nothing.
	relayKeptAnswers = 5
	// remoteRelayFactor is the cost of a gateway in another data centre relative to one in the own, as bytes between data centres cost.
	remoteRelayFactor = 1.5
	// minRelayCores is the processor share assumed of a gateway that states none.
	minRelayCores = 0.1
)

// relayState is what is known of one gateway.
type relayState struct {
	samphirepass.Relay
	inFlight      int
	cooldownUntil samphirepass.Millis
	// unnamed is the number of answers since a source last named it.
	unnamed int
}

// RelayChooser spreads requests over other gateways by the power of two choices (Mitzenmacher, "The Power of Two Choices in Randomized Load
// Balancing", 2001), in proportion to their processors. It is not safe for concurrent use.
type RelayChooser struct {
	dataCentre samphirepass.DataCentre
	relays     []relayState
}

// NewRelayChooser returns a chooser without gateways for one in the given data centre.
func NewRelayChooser(dataCentre samphirepass.DataCentre) *RelayChooser {
	return &RelayChooser{dataCentre: dataCentre}
}

// NameRelays adds the gateways that an answer of sources names. Those that it does not name remain for relayKeptAnswers, as other sources may
// name them, and with what is known of them: one that reaches no leaf any more refuses.
func (c *RelayChooser) NameRelays(relays []samphirepass.Relay) {
	for i := range c.relays {
		c.relays[i].unnamed++
	}
	for _, relay := range relays {
		i := c.index(relay.Address)
		if i < 0 {
			i = len(c.relays)
			c.relays = append(c.relays, relayState{})
		}
		c.relays[i].Relay, c.relays[i].unnamed = relay, 0
	}
	c.relays = slices.DeleteFunc(c.relays, func(r relayState) bool { return r.unnamed >= relayKeptAnswers && r.inFlight == 0 })
}

// Reset forgets all gateways.
func (c *RelayChooser) Reset() { c.relays = nil }

func (c *RelayChooser) index(address string) int {
	return slices.IndexFunc(c.relays, func(r relayState) bool { return r.Address == address })
}

// Begin returns the address of the gateway that is offered a request, and counts the request as in flight there until End. It reports false
// if there is no gateway other than those excluded and those that have just refused or failed.
func (c *RelayChooser) Begin(now samphirepass.Millis, excluded []string) (address string, ok bool) {
	var candidates []int
	for i, r := range c.relays {
		if now >= r.cooldownUntil && r.unnamed < relayKeptAnswers && !slices.Contains(excluded, r.Address) {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	best := candidates[rand.IntN(len(candidates))]
	if other := candidates[rand.IntN(len(candidates))]; c.cost(other) < c.cost(best) {
		best = other
	}
	c.relays[best].inFlight++
	return c.relays[best].Address, true
}

// InFlight returns the number of requests in flight at the gateways.
func (c *RelayChooser) InFlight() int {
	n := 0
	for _, r := range c.relays {
		n += r.inFlight
	}
	return n
}

// cost returns the cost of one more request at a gateway.
func (c *RelayChooser) cost(i int) float64 {
	r := c.relays[i]
	cost := float64(r.inFlight+1) / max(r.Capacity.Cores, minRelayCores)
	if r.DataCentre != c.dataCentre {
		cost *= remoteRelayFactor
	}
	return cost
}

// End records that a request at a gateway has ended, and whether the gateway refused it or failed.
func (c *RelayChooser) End(now samphirepass.Millis, address string, failed bool) {
	i := c.index(address)
	if i < 0 {
		return
	}
	c.relays[i].inFlight = max(c.relays[i].inFlight-1, 0)
	if failed {
		c.relays[i].cooldownUntil = now + relayCooldownMs
	}
}
