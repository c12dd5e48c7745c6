package metrics

import (
	"cmp"
	"math"
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"samphirepass"
)

// maxAccountLabels is the number of accounts with series of their own, two each. There may be 100,000 accounts.
const maxAccountLabels = 9

// accountMetrics are the metrics of requests by client account.
type accountMetrics struct {
	requests *prometheus.HistogramVec
	// named holds the accounts with series of their own.
	named map[samphirepass.AccountName]bool
}

// SetAccounts adds the metrics of client accounts. The accounts with the largest quotas have series of their own, those without a quota
// first, and all others share one.
func (m *Metrics) SetAccounts(accounts []samphirepass.Account) {
	named := make(map[samphirepass.AccountName]bool, maxAccountLabels)
	largest := slices.Clone(accounts)
	slices.SortFunc(largest, func(a, b samphirepass.Account) int {
		return cmp.Or(cmp.Compare(quotaOrder(b), quotaOrder(a)), cmp.Compare(a.Name, b.Name))
	})
	for _, a := range largest[:min(len(largest), maxAccountLabels)] {
		named[a.Name] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.accounts.Load()
	if current == nil {
		current = &accountMetrics{requests: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "samphirepass_account_request_seconds", Help: "Time of clients' requests by account, for the accounts with the largest quotas, and result.",
			Buckets: []float64{.01, .02, .03, .045, .06, .08, .1, .12, .15, .2, .3, .5, .75, 1, 2.5, 5},
		}, []string{"account", "result"})}
		m.registry.MustRegister(current.requests)
	}
	for name := range current.named {
		if !named[name] {
			current.requests.DeletePartialMatch(prometheus.Labels{"account": string(name)})
		}
	}
	m.accounts.Store(&accountMetrics{requests: current.requests, named: named})
}

// quotaOrder returns the quota of an account, infinity if it has none.
func quotaOrder(a samphirepass.Account) float64 {
	if a.Quota.PerSecond == 0 {
		return math.Inf(1)
	}
	return a.Quota.PerSecond
}

// ObserveAccount records one request of a client account and its duration.
func (m *Metrics) ObserveAccount(account samphirepass.AccountName, served bool, took samphirepass.Millis) {
	a := m.accounts.Load()
	if a == nil {
		return
	}
	label, result := overflowLabel, "refused"
	if a.named[account] {
		label = string(account)
	}
	if served {
		result = "served"
	}
	a.requests.WithLabelValues(label, result).Observe(float64(took) * secondsPerMilli)
}
