package gateway

import (
	"bytes"
	"slices"

	"samphirepass"
)

// recordBytes is the length of one record in a shard's reply.
const recordBytes = 16

// mergeTopK returns the n greatest records of all parts in descending order. A truncated record at the end of a part is ignored.
func mergeTopK(parts []*samphirepass.Reply, n int) []byte {
	var records [][]byte
	for _, p := range parts {
		if p == nil {
			continue
		}
		for rest := p.Body; len(rest) >= recordBytes; rest = rest[recordBytes:] {
			records = append(records, rest[:recordBytes])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(len(records), n)]
	return bytes.Join(records, nil)
}
