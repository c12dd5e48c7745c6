package quota

import (
	"sync"

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

	mu       sync.Mutex
	version  samphirepass.RoutingVersion
	accounts map[samphirepass.LimitKey]samphirepass.FleetLimit
	warmUps  map[samphirepass.Service]samphirepass.WarmUp
}

// FleetLimit implements samphirepass.FleetLimits.
func (r *RoutingLimits) FleetLimit(key samphirepass.LimitKey) (samphirepass.FleetLimit, bool) {
	document := r.Applied()
	r.mu.Lock()
	defer r.mu.Unlock()
	if document.Version != r.version {
		r.decode(document)
	}
	if limit, ok := r.accounts[key]; ok {
		return limit, true
	}
	if r.WarmUps == nil || len(r.warmUps) == 0 {
		return samphirepass.FleetLimit{}, false
	}
	rate, ok := r.WarmUps.Limit(key, r.warmUps)
	return r.WarmUps.fleetLimit(rate), ok
}

// fleetLimit returns the limit of a cold leaf. What comes as a burst is part of the slack.
func (w WarmUpBounds) fleetLimit(rate samphirepass.RateLimit) samphirepass.FleetLimit {
	return samphirepass.FleetLimit{RateLimit: rate, WindowMs: warmUpWindowMs, Overage: w.Factor - 1, Slack: max(w.Slack-w.Factor*rate.Burst, 0)}
}

// decode reads the limits of a document, once for each version. A document that cannot be read has none: nothing is granted then.
func (r *RoutingLimits) decode(document samphirepass.RoutingDocument) {
	r.version, r.accounts, r.warmUps = document.Version, nil, nil
	routing, err := r.Reader.ReadRouting(document.Source)
	if err != nil {
		return
	}
	r.warmUps = routing.WarmUps
	if r.Quotas == nil {
		return
	}
	r.accounts = make(map[samphirepass.LimitKey]samphirepass.FleetLimit, len(routing.Accounts))
	for _, account := range routing.Accounts {
		r.accounts[samphirepass.AccountLimitKey(account.Name)] = samphirepass.FleetLimit{
			RateLimit: account.Quota, WindowMs: r.Quotas.WindowMs, Overage: r.Quotas.Overage, Slack: r.Quotas.Slack, Unlimited: account.Quota.PerSecond == 0,
		}
	}
}
