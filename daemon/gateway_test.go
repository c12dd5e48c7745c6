package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/gateway"
)

// TestProofStoppingCollectorTakesParts guards against parts of requests that fail at a collector that has just begun to stop, as entries learn
// of that only with the next reply of the directory.
func TestProofStoppingCollectorTakesParts(t *testing.T) {
	g := &Gateway{ending: gateway.NewEnding(samphirepass.SystemClock{})}
	require.False(t, g.refusesParts())
	g.stopping.Store(true)
	require.False(t, g.refusesParts(), "others do not know yet")
	g.ending.Begin(1000)
	require.True(t, g.refusesParts(), "the requests in flight end")
}
