package disk

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"samphirepass"
	"samphirepass/cbor"
	"samphirepass/quorum"
)

// headerBytes is the size of a frame's header: the payload length in 4 bytes and its checksum in 8.
const headerBytes = 12

// maxRecordBytes is the greatest payload length that is accepted from a header, since a corrupt one may state any length.
const maxRecordBytes = 64 << 20

// ErrCorrupt means that data which had been synced cannot be read back.
var ErrCorrupt = eris.New("disk: corrupt data")

// segmentBase is the position of the last log entry before a segment's first entry.
type segmentBase struct {
	Index samphirepass.Revision
	Term  samphirepass.Term
}

// record is one record of a segment; exactly one field is set.
type record struct {
	Base      *segmentBase      `codec:",omitempty"`
	HardState *quorum.HardState `codec:",omitempty"`
	Entry     *quorum.Entry     `codec:",omitempty"`
}

// frame prepends a header with the length and the checksum of payload.
func frame(payload []byte) []byte {
	out := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(out, uint32(len(payload)))
	binary.LittleEndian.PutUint64(out[4:], xxhash.Sum64(payload))
	return append(out, payload...)
}

// unframe returns the payload of the frame at the start of data and the frame's length; ok is false if the frame is incomplete
// or its checksum is wrong.
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

// decodeSegment returns the records before the first bad frame of data, and their length in bytes.
func decodeSegment(data []byte) ([]record, int, error) {
	var out []record
	off := 0
	for off < len(data) {
		payload, n, ok := unframe(data[off:])
		if !ok {
			break
		}
		var r record
		if err := decode(payload, &r); err != nil {
			return nil, 0, fmt.Errorf("decode record at byte %d: %w", off, err)
		}
		out = append(out, r)
		off += n
	}
	return out, off, nil
}

// decode decodes the payload of a frame. What cannot be decoded is corrupt, unless it was written by a later version.
func decode(payload []byte, v any) error {
	err := cbor.UnmarshalKnown(payload, v)
	if err == nil || errors.Is(err, cbor.ErrUnknownFields) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrCorrupt, err)
}

// hasLaterRecord reports whether an intact frame starts anywhere in data after its first byte.
func hasLaterRecord(data []byte) bool {
	for i := 1; i < len(data); i++ {
		if _, _, ok := unframe(data[i:]); ok {
			return true
		}
	}
	return false
}
