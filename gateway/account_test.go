package gateway_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/gateway"
	"samphirepass/leaf"
	"samphirepass/metrics"
)

// fakeLimiter grants a number of requests of each limit.
type fakeLimiter map[samphirepass.LimitKey]int

func (l fakeLimiter) Take(_ context.Context, key samphirepass.LimitKey, _ samphirepass.Millis) samphirepass.LimitVerdict {
	if l[key] == 0 {
		return samphirepass.LimitVerdict{RetryAfterMs: 250}
	}
	l[key]--
	return samphirepass.LimitVerdict{Granted: true}
}

func (l fakeLimiter) Return(key samphirepass.LimitKey, _ samphirepass.LimitVerdict) { l[key]++ }

func accountRouting(version samphirepass.RoutingVersion, accounts ...samphirepass.Account) samphirepass.Routing {
	public := singleRoute
	public.Prefix, public.Public = "/public/", true
	return samphirepass.Routing{Version: version, Routes: []samphirepass.Route{singleRoute, public}, Accounts: accounts, HasAccounts: true}
}

// TestKeysDecideWhoIsServed guards against requests that run without the key of an account, with a key that was taken away, or under another
// account's name.
func TestKeysDecideWhoIsServed(t *testing.T) {
	first, second := samphirepass.DigestKey("first"), samphirepass.DigestKey("second")
	withKeys := func(keys ...samphirepass.KeyDigest) samphirepass.Account {
		return samphirepass.Account{Name: "a", Keys: keys}
	}
	tests := map[string]struct {
		routing samphirepass.Routing
		prefix  string
		key     *samphirepass.KeyDigest
		code    samphirepass.Code
		account samphirepass.AccountName
		hidden  bool
	}{
		"key of an account":       {accountRouting(2, withKeys(first)), singleRoute.Prefix, &first, "", "a", true},
		"no key":                  {accountRouting(2, withKeys(first)), singleRoute.Prefix, nil, samphirepass.CodeUnauthorized, "", true},
		"unknown key":             {accountRouting(2, withKeys(first)), singleRoute.Prefix, &second, samphirepass.CodeUnauthorized, "", true},
		"key taken away":          {accountRouting(2, withKeys()), singleRoute.Prefix, &first, samphirepass.CodeUnauthorized, "", true},
		"key added":               {accountRouting(2, withKeys(first, second)), singleRoute.Prefix, &second, "", "a", true},
		"public without a key":    {accountRouting(2, withKeys(first)), "/public/", nil, "", "", true},
		"public with a key":       {accountRouting(2, withKeys(first)), "/public/", &first, "", "a", true},
		"public, unknown key":     {accountRouting(2, withKeys(first)), "/public/", &second, "", "", true},
		"no accounts declared":    {samphirepass.Routing{Version: 2, Routes: []samphirepass.Route{singleRoute}}, singleRoute.Prefix, &first, "", "", false},
		"accounts without a name": {accountRouting(2), singleRoute.Prefix, &first, samphirepass.CodeUnauthorized, "", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := &fakeDeliverer{covered: 1, result: leaf.DeliveryResult{Replies: []*samphirepass.Reply{reply("a", "")}, Answered: 1, RequiredShards: 1}}
			dispatcher := gateway.NewDispatcher(gateway.Options{Deliverer: d, Metrics: metrics.NewMetrics(), Clock: samphirepass.SystemClock{}})
			dispatcher.ApplyRouting(accountRouting(1, withKeys(first)))
			dispatcher.ApplyRouting(tt.routing)
			r := request(tt.prefix)
			r.Key = tt.key
			_, err := dispatcher.Dispatch(t.Context(), r)
			if tt.code != "" {
				require.Equal(t, tt.code, samphirepass.AsRefusal(err).Code)
				require.Empty(t, d.deliveries)
				return
			}
			require.NoError(t, err)
			require.Equal(t, tt.account, d.deliveries[0].Request.Forwarded.Account)
			require.Equal(t, tt.hidden, d.deliveries[0].Request.Forwarded.HideCredentials)
		})
	}
}

// TestQuotaCountsWhatRuns guards against requests beyond a quota that run, and against a quota that is used up by requests that have not run.
func TestQuotaCountsWhatRuns(t *testing.T) {
	key := samphirepass.DigestKey("key")
	answered := leaf.DeliveryResult{Replies: []*samphirepass.Reply{reply("a", "")}, Answered: 1, RequiredShards: 1}
	d := &fakeDeliverer{covered: 1, result: answered}
	limits := fakeLimiter{"account/a": 2}
	dispatcher := gateway.NewDispatcher(gateway.Options{Deliverer: d, Quotas: limits, Metrics: metrics.NewMetrics(), Clock: samphirepass.SystemClock{}})
	dispatcher.ApplyRouting(accountRouting(1, samphirepass.Account{Name: "a", Keys: []samphirepass.KeyDigest{key}, Quota: samphirepass.RateLimit{PerSecond: 1}}))
	send := func() *samphirepass.Refusal {
		r := request(singleRoute.Prefix)
		r.Key = &key
		_, err := dispatcher.Dispatch(t.Context(), r)
		return samphirepass.AsRefusal(err)
	}
	require.Nil(t, send())
	d.result = leaf.DeliveryResult{RequiredShards: 1}
	require.Equal(t, samphirepass.CodeOverloaded, send().Code)
	d.result = answered
	require.Nil(t, send(), "a request that has not run gives its place back")
	refusal := send()
	require.Equal(t, samphirepass.CodeOverQuota, refusal.Code)
	require.True(t, refusal.NotRun)
	require.Equal(t, samphirepass.Millis(250), refusal.RetryAfterMs)
	require.Len(t, d.deliveries, 3)
}
