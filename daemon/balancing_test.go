package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/leaf"
	"samphirepass/metrics"
	"samphirepass/policy"
	"samphirepass/settings"
)

// TestChooserBySetting guards against another choice of leaves where the settings do not ask for it.
func TestChooserBySetting(t *testing.T) {
	for setting, balanced := range map[settings.Balancing]bool{"": false, settings.BalancingOff: false, settings.BalancingAuto: true, settings.BalancingOn: true} {
		t.Run(string(setting), func(t *testing.T) {
			g := &Gateway{cfg: settings.Node{Balancing: setting}, clock: samphirepass.SystemClock{}, metrics: metrics.NewMetrics(), registry: leaf.NewRegistry(samphirepass.SystemClock{})}
			g.pool = leaf.NewPool(g.clock, routingShares{g})
			c := g.chooser()
			if !balanced {
				require.Equal(t, policy.LeastCostChooser{}, c)
				require.Nil(t, g.balancer)
				return
			}
			require.Same(t, g.balancer, c)
			_, reason := g.balancer.Decide([]samphirepass.Candidate{{Service: "a", SameDataCentre: true}, {Service: "a", SameDataCentre: true}})
			require.Equal(t, setting == settings.BalancingAuto, reason == policy.ReasonAlike)
		})
	}
}
