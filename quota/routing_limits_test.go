package quota_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/quota"
)

// stubReader returns a fixed routing document.
type stubReader struct{ routing samphirepass.Routing }

func (r stubReader) ReadRouting([]byte) (samphirepass.Routing, error) { return r.routing, nil }

// TestProofColdLeafGetsItsLimit guards against more requests to a cold leaf in any second than its service's warm-up allows, with many
// gateways that want to send to it.
func TestProofColdLeafGetsItsLimit(t *testing.T) {
	key := samphirepass.WarmUpLimitKey("l", 7)
	for name, rate := range map[string]samphirepass.RateLimit{"slow": {PerSecond: 0.5, Burst: 1}, "usual": {PerSecond: 4, Burst: 2}, "fast": {PerSecond: 40, Burst: 2}} {
		t.Run(name, func(t *testing.T) {
			limits := quota.RoutingLimits{
				Applied: func() samphirepass.RoutingDocument { return samphirepass.RoutingDocument{Version: 1} },
				Reader:  stubReader{samphirepass.Routing{WarmUps: map[samphirepass.Service]samphirepass.WarmUp{"s": {PerSecond: rate.PerSecond}}}},
				WarmUps: &quota.WarmUpBounds{Factor: 1.5, Slack: 5, Limit: func(k samphirepass.LimitKey, w map[samphirepass.Service]samphirepass.WarmUp) (samphirepass.RateLimit, bool) {
					return rate, k == key && w["s"].PerSecond == rate.PerSecond
				}},
			}
			limit, ok := limits.FleetLimit(key)
			require.True(t, ok)
			_, ok = limits.FleetLimit(samphirepass.AccountLimitKey("a"))
			require.False(t, ok)
			f := newFleet(5, limit, 6, 100)
			for range 3000 {
				f.now += 10
				for range 3 {
					f.request(f.gateways[f.rnd.Intn(len(f.gateways))])
				}
			}
			require.LessOrEqual(t, float64(f.mostInWindow()), rate.PerSecond*1.5+5)
			require.GreaterOrEqual(t, float64(len(f.grants)), rate.PerSecond*30*0.8, "the leaf gets most of what it tolerates")
		})
	}
}
