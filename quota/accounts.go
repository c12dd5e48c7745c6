package quota

import (
	"sync"

	"samphirepass"
)

// AccountLimits knows the quotas of client accounts from the routing document in force. It implements samphirepass.FleetLimits.
type AccountLimits struct {
	// Applied returns the routing document that this process has applied.
	Applied func() samphirepass.RoutingDocument
	Reader  samphirepass.RoutingReader
	// WindowMs, Overage and Slack state how far the requests of an account may exceed its quota.
	WindowMs       samphirepass.Millis
	Overage, Slack float64

	mu      sync.Mutex
	version samphirepass.RoutingVersion
	limits  map[samphirepass.LimitKey]samphirepass.FleetLimit
}

// FleetLimit implements samphirepass.FleetLimits.
func (a *AccountLimits) FleetLimit(key samphirepass.LimitKey) (samphirepass.FleetLimit, bool) {
	document := a.Applied()
	a.mu.Lock()
	defer a.mu.Unlock()
	if document.Version != a.version {
		a.decode(document)
	}
	limit, ok := a.limits[key]
	return limit, ok
}

// decode reads the quotas of a document, once for each version. A document that cannot be read has none: nothing is granted then.
func (a *AccountLimits) decode(document samphirepass.RoutingDocument) {
	a.version, a.limits = document.Version, nil
	routing, err := a.Reader.ReadRouting(document.Source)
	if err != nil {
		return
	}
	a.limits = make(map[samphirepass.LimitKey]samphirepass.FleetLimit, len(routing.Accounts))
	for _, account := range routing.Accounts {
		a.limits[samphirepass.AccountLimitKey(account.Name)] = samphirepass.FleetLimit{
			RateLimit: account.Quota, WindowMs: a.WindowMs, Overage: a.Overage, Slack: a.Slack, Unlimited: account.Quota.PerSecond == 0,
		}
	}
}
