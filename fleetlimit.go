package samphirepass

import (
	"context"
	"strconv"
	"strings"
)

const warmUpKeyPrefix = "warm-up/"

// LimitKey identifies a limit that all gateways share.
type LimitKey string

// AccountLimitKey returns the key of an account's quota.
func AccountLimitKey(name AccountName) LimitKey { return LimitKey("account/" + string(name)) }

// WarmUpLimitKey returns the key of the limit of a cold leaf. A restarted leaf has a new one.
func WarmUpLimitKey(leaf Leaf, incarnation Incarnation) LimitKey {
	return LimitKey(warmUpKeyPrefix + strconv.FormatUint(uint64(incarnation), 10) + "/" + string(leaf))
}

// ParseWarmUpLimitKey returns the leaf and the incarnation of a key that WarmUpLimitKey returned; ok is false for other keys.
func ParseWarmUpLimitKey(key LimitKey) (leaf Leaf, incarnation Incarnation, ok bool) {
	rest, ok := strings.CutPrefix(string(key), warmUpKeyPrefix)
	number, name, separated := strings.Cut(rest, "/")
	n, err := strconv.ParseUint(number, 10, 64)
	if !ok || !separated || err != nil {
		return "", 0, false
	}
	return Leaf(name), Incarnation(n), true
}

// RateLimit is a rate of requests, and the number of requests that may come at once in addition.
type RateLimit struct {
	PerSecond float64
	Burst     float64
}

// LimitVerdict is the decision on one request.
type LimitVerdict struct {
	// Granted is set if the request is within the limit. It has been counted then.
	Granted bool
	// RetryAfterMs is the time after which another request is worthwhile, if this one is not granted.
	RetryAfterMs Millis
	// ExpiresAtMs is the time of the limiter's clock until which a granted request counts as returned if it has not run.
	ExpiresAtMs Millis
}

// FleetLimiter keeps requests within limits that all gateways share. It is safe for concurrent use.
type FleetLimiter interface {
	// Take counts one request. If this gateway holds no token of the limit, it waits up to wait for one.
	Take(ctx context.Context, key LimitKey, wait Millis) LimitVerdict
	// Return gives back a granted request that has not run. One that was granted too long ago is lost: another may run in its place only
	// within the same window.
	Return(key LimitKey, granted LimitVerdict)
}

// FleetLimit is a limit of the whole fleet: in any window of WindowMs all gateways together grant at most
// (PerSecond x window + Burst) x (1 + Overage) + Slack requests.
type FleetLimit struct {
	RateLimit
	WindowMs Millis
	Overage  float64
	Slack    float64
	// Unlimited is set if any number of requests may run for now. The other fields have no meaning then.
	Unlimited bool
}

// FleetLimits tells the issuers of tokens what a limit is. It is safe for concurrent use and fast, as it is asked for every token.
type FleetLimits interface {
	// FleetLimit returns a limit, or false if the source does not know the key; nothing is granted then.
	FleetLimit(key LimitKey) (FleetLimit, bool)
}

// FleetLimitSources asks several sources, one for each kind of limits, and takes the first that knows a key.
type FleetLimitSources []FleetLimits

// FleetLimit implements FleetLimits.
func (s FleetLimitSources) FleetLimit(key LimitKey) (FleetLimit, bool) {
	for _, source := range s {
		if limit, ok := source.FleetLimit(key); ok {
			return limit, true
		}
	}
	return FleetLimit{}, false
}
