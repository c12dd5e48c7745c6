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
	maxQuotaWaitMs samphirepass.Millis = 30
)

// checkQuota counts a request against its account's quota and refuses it if that is used up. It takes the time that this took from the
// delivery's. The verdict is not granted if the request was not counted.
func (d *Dispatcher) checkQuota(ctx context.Context, account *samphirepass.Account, delivery *leaf.Delivery) (samphirepass.LimitVerdict, *samphirepass.Refusal) {
	if account == nil || account.Quota.PerSecond == 0 || d.opts.Quotas == nil {
		return samphirepass.LimitVerdict{}, nil
	}
	wait := min(maxQuotaWaitMs, delivery.Request.DeadlineMs/quotaWaitDivisor)
	began := d.opts.Clock.Now()
	if target := delivery.Route.LatencyTargetMs; target > 0 {
		wait = min(wait, target/quotaWaitDivisor)
	}
	verdict := d.opts.Quotas.Take(ctx, samphirepass.AccountLimitKey(account.Name), wait)
	if elapsed := d.opts.Clock.Now() - began; elapsed > 0 {
		delivery.Request.DeadlineMs = max(delivery.Request.DeadlineMs-elapsed, 1)
		if delivery.PartialAfterMs > 0 {
			delivery.PartialAfterMs = max(delivery.PartialAfterMs-elapsed, 1)
		}
	}
	if verdict.Granted {
		return verdict, nil
	}
	return samphirepass.LimitVerdict{}, withRetryAfter(verdict.RetryAfterMs, samphirepass.Refuse(samphirepass.CodeOverQuota, "the quota of account %q is used up", account.Name))
}
