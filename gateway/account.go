package gateway

import (
	"context"

	"samphirepass"
	"samphirepass/leaf"
)

const (
	// quotaWaitDivisor divides a route's latency target into the time that a request waits for a share of its account's quota.
	quotaWaitDivisor = 2
	// maxQuotaWaitMs bounds that time.
	maxQuotaWaitMs samphirepass.Millis = 50
)

// checkQuota counts a request against its account's quota and refuses it if that is used up. counted is set if the request was counted.
func (d *Dispatcher) checkQuota(ctx context.Context, account *samphirepass.Account, delivery leaf.Delivery) (counted bool, refusal *samphirepass.Refusal) {
	if account == nil || account.Quota.PerSecond == 0 || d.opts.Quotas == nil {
		return false, nil
	}
	wait := maxQuotaWaitMs
	if target := delivery.Route.LatencyTargetMs; target > 0 {
		wait = min(wait, target/quotaWaitDivisor)
	}
	verdict := d.opts.Quotas.Take(ctx, samphirepass.AccountLimitKey(account.Name), wait)
	if verdict.Granted {
		return true, nil
	}
	return false, withRetryAfter(verdict.RetryAfterMs, samphirepass.Refuse(samphirepass.CodeOverQuota, "the quota of account %q is used up", account.Name))
}
