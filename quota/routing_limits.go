package quota

import (
	"sync"
	"sync/atomic"

	"samphirepass"
)

// warmUpWindowMs is the window in which the requests to a cold leaf are bounded.
const warmUpWindowMs samphirepass.Millis = 1000

// AccountBounds state how far the requests of an account may exceed its quota in a window.
type AccountBounds struct {
	WindowMs       samphirepass.Millis
	Overage, Slack float64
}

// WarmUpBounds state that a cold leaf may get, in a second, Factor times the rate that it tolerates and Slack requests.
type WarmUpBounds struct {
	Factor, Slack float64
	// Limit returns the limit of a cold leaf, by the warm-ups of a routing document, or false if there is none.
	Limit func(key samphirepass.LimitKey, warmUps map[samphirepass.Service]samphirepass.WarmUp) (samphirepass.RateLimit, bool)
}

// RoutingLimits knows the limits that follow from the routing document in force: the quotas of client accounts, and the limits of cold leaves.
// It implements samphirepass.FleetLimits.
type RoutingLimits struct {
	// Applied returns the routing document that this process has applied.
	Applied func() samphirepass.RoutingDocument
	Reader  samphirepass.RoutingReader
	// Quotas and WarmUps are nil where the settings declare none.
	Quotas  *AccountBounds
	WarmUps *WarmUpBounds

	// decoding is held while a document is decoded; others use the previous limits meanwhile.
	decoding sync.Mutex
	decoded  atomic.Pointer[decodedLimits]
}

// decodedLimits are the limits of one version of the routing document.
type decodedLimits struct {
	version  samphirepass.RoutingVersion
	accounts map[samphirepass.LimitKey]samphirepass.FleetLimit
	warmUps  map[samphirepass.Service]samphirepass.WarmUp
}

// FleetLimit implements samphirepass.FleetLimits.
func (r *RoutingLimits) FleetLimit(key samphirepass.LimitKey) (samphirepass.FleetLimit, bool) {
	d := r.current()
	if limit, ok := d.accounts[key]; ok {
		return limit, true
	}
	if r.WarmUps == nil || len(d.warmUps) == 0 {
		return samphirepass.FleetLimit{}, false
	}
	rate, ok := r.WarmUps.Limit(key, d.warmUps)
	return r.WarmUps.fleetLimit(rate), ok
}

// current returns the limits of the document in force, or those before while another caller decodes it.
func (r *RoutingLimits) current() *decodedLimits {
	document, d := r.Applied(), r.decoded.Load()
	if d != nil && d.version >= document.Version {
		return d
	}
	if d == nil {
		r.decoding.Lock()
	} else if !r.decoding.TryLock() {
		return d
	}
	defer r.decoding.Unlock()
	if d = r.decoded.Load(); d == nil || d.version < document.Version {
		d = r.decode(document)
		r.decoded.Store(d)
	}
	return d
}

// fleetLimit returns the limit of a cold leaf. What comes as a burst is part of the slack.
func (w WarmUpBounds) fleetLimit(rate samphirepass.RateLimit) samphirepass.FleetLimit {
	return samphirepass.FleetLimit{RateLimit: rate, WindowMs: warmUpWindowMs, Overage: w.Factor - 1, Slack: max(w.Slack-w.Factor*rate.Burst, 0)}
}

// decode reads the limits of a document, once for each version. A document that cannot be read has none: nothing is granted then.
func (r *RoutingLimits) decode(document samphirepass.RoutingDocument) *decodedLimits {
	d := &decodedLimits{version: document.Version}
	routing, err := r.Reader.ReadRouting(document.Source)
	if err != nil {
		return d
	}
	d.warmUps = routing.WarmUps
	if r.Quotas == nil {
		return d
	}
	d.accounts = make(map[samphirepass.LimitKey]samphirepass.FleetLimit, len(routing.Accounts))
	for _, account := range routing.Accounts {
		d.accounts[samphirepass.AccountLimitKey(account.Name)] = samphirepass.FleetLimit{
			RateLimit: account.Quota, WindowMs: r.Quotas.WindowMs, Overage: r.Quotas.Overage, Slack: r.Quotas.Slack, Unlimited: account.Quota.PerSecond == 0,
		}
	}
	return d
}
