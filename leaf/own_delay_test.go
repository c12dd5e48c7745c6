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
	const shards = 8
	tests := map[string]struct {
		late samphirepass.Millis
		// open is the number of shards that are not answered.
		open int
		want bool
	}{
		"timer in time":                    {1, shards, false},
		"timer much late":                  {80, shards, true},
		"timer a bit late":                 {4.9, shards, false},
		"timer 5 ms late":                  {5, 2, true},
		"timer late, but only one shard":   {80, 1, false},
		"timer fired early, by a rounding": {-0.0005, shards, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			clock := &manualClock{now: 1000}
			f := &fanOut{fanOutDeps: &fanOutDeps{clock: clock}, fanOutOptions: fanOutOptions{hedger: policy.NewQuantileHedger(15).WithBaseDelay(50)}}
			for i := range shards {
				f.shards = append(f.shards, shardState{hedgeFrom: 1000, inFlight: 1, closed: i >= tt.open})
			}
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
