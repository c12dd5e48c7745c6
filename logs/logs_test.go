package logs_test

import (
	"bytes"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass/logs"
)

// TestProofLinesAfterCloseAreDropped guards against a panic of a goroutine that logs while the process ends.
func TestProofLinesAfterCloseAreDropped(t *testing.T) {
	var out bytes.Buffer
	l := logs.NewTo(&out, "vm-1")
	l.Infof("before")
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 500 {
				l.For("gateway").RequestEvent("Request answered.", "request", "r1")
				l.Errorf("late")
			}
		})
	}
	l.Close()
	wg.Wait()
	l.Close()
	require.Contains(t, out.String(), "before")
}
