package leaf

import (
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/policy"
)

// TestOwnDelayCausesNoHedges answers the load pattern of a process that gets no processor time for a while: when it runs again, all its
// shards seem late, although their answers have arrived and only wait to be read.
func TestOwnDelayCausesNoHedges(t *testing.T) {
	tests := map[string]struct {
		late samphirepass.Millis
		want bool
	}{
		"timer in time":     {1, false},
		"timer much late":   {80, true},
		"timer a bit late":  {4.9, false},
		"timer 5 ms late":   {5, true},
		"timer fired early": {-0.0005, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			clock := &manualClock{now: 1000}
			f := &fanOut{fanOutDeps: &fanOutDeps{clock: clock}, fanOutOptions: fanOutOptions{hedger: policy.NewQuantileHedger(15).WithBaseDelay(50)}}
			f.shards = []shardState{{hedgeFrom: 1000}, {hedgeFrom: 1000}}
			f.timerAt = 1050
			clock.now = f.timerAt + tt.late
			require.Equal(t, tt.want, f.discountOwnDelay())
			for i := range f.shards {
				if tt.want {
					require.Equal(t, 1000+tt.late, f.shards[i].hedgeFrom, "the shard has its whole delay left")
				} else {
					require.Equal(t, samphirepass.Millis(1000), f.shards[i].hedgeFrom)
				}
			}
		})
	}
}
