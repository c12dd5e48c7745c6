package metrics_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/metrics"
)

// TestProofAccountSeriesAreBounded guards against series for each of 100,000 accounts, and against series of accounts that are no longer
// among the largest.
func TestProofAccountSeriesAreBounded(t *testing.T) {
	m := metrics.NewMetrics()
	m.ObserveAccount("before", true, 1)
	accounts := make([]samphirepass.Account, 100_000)
	for i := range accounts {
		accounts[i] = samphirepass.Account{Name: samphirepass.AccountName(fmt.Sprintf("account-%d", i)), Quota: samphirepass.RateLimit{PerSecond: float64(i + 1)}}
	}
	observe := func() {
		for _, a := range accounts {
			m.ObserveAccount(a.Name, true, 20)
			m.ObserveAccount(a.Name, false, 1)
		}
	}
	m.SetAccounts(accounts)
	observe()
	page := scrape(m)
	require.Equal(t, 20, strings.Count(page, "samphirepass_account_request_seconds_count"))
	require.Contains(t, page, `samphirepass_account_request_seconds_count{account="account-99999",result="served"} 1`)
	require.Contains(t, page, `samphirepass_account_request_seconds_count{account="other",result="refused"} 99991`)

	for i := range 9 {
		accounts[i].Quota.PerSecond = 0
	}
	m.SetAccounts(accounts)
	observe()
	page = scrape(m)
	require.Equal(t, 20, strings.Count(page, "samphirepass_account_request_seconds_count"))
	require.Contains(t, page, `account="account-0"`)
	require.NotContains(t, page, `account="account-99999"`)
}

func scrape(m *metrics.Metrics) string {
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}
