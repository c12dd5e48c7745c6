package cbor_test

import (
	"bytes"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass/cbor"
)

// TestDeepMessageTakesLittleMemory guards against a message between processes, or a file, that is nested so deeply that it ends its reader.
func TestDeepMessageTakesLittleMemory(t *testing.T) {
	for name, opening := range map[string]byte{"lists": 0x81, "maps": 0xa1, "lists without an end": 0x9f, "tags": 0xc1} {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var v any
			require.Error(t, cbor.Unmarshal(bytes.Repeat([]byte{opening}, 1<<20), &v))
			runtime.ReadMemStats(&after)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(16<<20), "bytes allocated in all")
		})
	}
}
