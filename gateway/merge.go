package gateway

import (
	"bytes"
	"slices"

	"samphirepass"
)

// recordBytes is the length of one record in a shard's reply.
const recordBytes = 16

// mergeTopK returns the n greatest records of all replies in descending order, skipping nil replies. A truncated record at the end of a
// reply is ignored.
func mergeTopK(replies []*samphirepass.Reply, n int) []byte {
	var records [][]byte
	for _, r := range replies {
		if r == nil {
			continue
		}
		for rest := r.Body; len(rest) >= recordBytes; rest = rest[recordBytes:] {
			records = append(records, rest[:recordBytes])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(len(records), n)]
	return bytes.Join(records, nil)
}
