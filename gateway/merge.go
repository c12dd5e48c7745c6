package gateway

import (
	"bytes"
	"slices"

	"samphirepass"
)

// recordBytes is the length of one record of a shard's answer.
const recordBytes = 16

// mergeTop returns the greatest n records of all parts, the greatest first; what is left over after the last whole record of a part is none.
func mergeTop(parts []*samphirepass.Reply, n int) []byte {
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
