package strict_test

import (
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass/strict"
)

// TestOddDocumentsTakeLittleMemory guards against a document of the largest accepted size that takes more memory to refuse than a VM has.
func TestOddDocumentsTakeLittleMemory(t *testing.T) {
	const size = 1 << 20
	fill := func(unit string) string { return strings.Repeat(unit, size/len(unit)) }
	tests := map[string]struct{ document, want string }{
		"opening brackets":     {fill("["), "nested too deeply"},
		"nested objects":       {fill(`{"a":`), "nested too deeply"},
		"after a comment":      {"/* [ \" */ // {\n" + fill("["), "nested too deeply"},
		"after a string":       {`{"a": "\"]}` + `", "b":` + fill("["), "nested too deeply"},
		"many short values":    {"[" + fill("0,"), "too many values"},
		"many empty lists":     {"[" + fill("[],"), "too many values"},
		"an unended string":    {`{"a":"` + fill("["), "parsing"},
		"an unended comment":   {`{"a":/*` + fill("["), "parsing"},
		"an unended \\ escape": {`{"a":"` + fill("x") + `\`, "parsing"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err := strict.Decode([]byte(tt.document), &struct {
				A string `json:"a"`
			}{})
			runtime.ReadMemStats(&after)
			require.ErrorContains(t, err, tt.want)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(16<<20), "bytes allocated in all")
		})
	}
}

// TestNestingInStringsAndCommentsDoesNotCount has more brackets in a string and in comments than a document may nest.
func TestNestingInStringsAndCommentsDoesNotCount(t *testing.T) {
	brackets := strings.Repeat("[{", 100)
	var doc struct {
		A string `json:"a"`
	}
	require.NoError(t, strict.Decode([]byte("// "+brackets+"\n{/* "+brackets+" */ \"a\": \"\\\""+brackets+"\"}"), &doc))
	require.Equal(t, `"`+brackets, doc.A)
}
