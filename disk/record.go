package disk

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"samphirepass"
	"samphirepass/cbor"
	"samphirepass/quorum"
)

// headerBytes is the length and the checksum before each record.
const headerBytes = 12

// maxRecordBytes bounds what a length field may ask for.
const maxRecordBytes = 64 << 20

// ErrCorrupt tells that synced data does not read back.
var ErrCorrupt = eris.New("disk: corrupt data")

// base is the point that a segment's entries follow.
type base struct {
	Index samphirepass.Revision
	Term  samphirepass.Term
}

// record is one unit of a segment; just one field is set.
type record struct {
	Base  *base             `codec:",omitempty"`
	Hard  *quorum.HardState `codec:",omitempty"`
	Entry *quorum.Entry     `codec:",omitempty"`
}

func frame(payload []byte) []byte {
	out := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(out, uint32(len(payload)))
	binary.LittleEndian.PutUint64(out[4:], xxhash.Sum64(payload))
	return append(out, payload...)
}

// unframe returns the first payload of data and the bytes that it takes; ok is false if none is intact.
func unframe(data []byte) (payload []byte, n int, ok bool) {
	if len(data) < headerBytes {
		return nil, 0, false
	}
	size := int(binary.LittleEndian.Uint32(data))
	if size == 0 || size > maxRecordBytes || len(data) < headerBytes+size {
		return nil, 0, false
	}
	payload = data[headerBytes : headerBytes+size]
	if xxhash.Sum64(payload) != binary.LittleEndian.Uint64(data[4:]) {
		return nil, 0, false
	}
	return payload, headerBytes + size, true
}

func encodeRecord(r record) ([]byte, error) {
	payload, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return frame(payload), nil
}

// decodeSegment returns the records of data and the length of their intact prefix.
func decodeSegment(data []byte) ([]record, int, error) {
	var out []record
	off := 0
	for off < len(data) {
		payload, n, ok := unframe(data[off:])
		if !ok {
			break
		}
		var r record
		if err := cbor.Unmarshal(payload, &r); err != nil {
			return nil, 0, fmt.Errorf("decode record at byte %d: %w: %w", off, ErrCorrupt, err)
		}
		out = append(out, r)
		off += n
	}
	return out, off, nil
}

// intactAfter reports whether an intact record starts anywhere in data.
func intactAfter(data []byte) bool {
	for i := 1; i < len(data); i++ {
		if _, _, ok := unframe(data[i:]); ok {
			return true
		}
	}
	return false
}
