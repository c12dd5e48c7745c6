package daemon

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestWholeNumber draws for many keys: the mean is kept, and each key always draws the same.
func TestWholeNumber(t *testing.T) {
	for _, x := range []float64{0.3, 1, 2.66, 2.999} {
		sum := 0
		for i := range 10_000 {
			key := fmt.Sprint("vm-", i)
			n := wholeNumber(x, key)
			require.Equal(t, n, wholeNumber(x, key))
			require.InDelta(t, x, float64(n), 1)
			sum += n
		}
		require.InDelta(t, x, float64(sum)/10_000, 0.03)
	}
}
