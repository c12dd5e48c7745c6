package daemon

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRoundByHash checks that the mean over many keys is the original number, and that a key always gives the same result.
func TestRoundByHash(t *testing.T) {
	for _, x := range []float64{0.3, 1, 2.66, 2.999} {
		sum := 0
		for i := range 10_000 {
			key := fmt.Sprint("vm-", i)
			n := roundByHash(x, key)
			require.Equal(t, n, roundByHash(x, key))
			require.InDelta(t, x, float64(n), 1)
			sum += n
		}
		require.InDelta(t, x, float64(sum)/10_000, 0.03)
	}
}
