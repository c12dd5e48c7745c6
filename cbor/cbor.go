package cbor

import (
	"fmt"

	"github.com/ugorji/go/codec"
)

var handle = newHandle()

func newHandle() *codec.CborHandle {
	h := &codec.CborHandle{}
	// Structs are encoded as arrays, so fields are identified by position: new ones go last and none may be removed.
	h.StructToArray = true
	h.Canonical = true
	h.MaxDepth = 32
	return h
}

// Marshal returns the CBOR encoding of v, with structs as arrays and map keys in sorted order.
func Marshal(v any) ([]byte, error) {
	var out []byte
	if err := codec.NewEncoderBytes(&out, handle).Encode(v); err != nil {
		return nil, fmt.Errorf("encode cbor: %w", err)
	}
	return out, nil
}

// Unmarshal decodes data into the value that v points to. Bytes after the value are an error.
func Unmarshal(data []byte, v any) error {
	d := codec.NewDecoderBytes(data, handle)
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("decode cbor: %w", err)
	}
	if n := d.NumBytesRead(); n != len(data) {
		return fmt.Errorf("decode cbor: %d bytes follow the value", len(data)-n)
	}
	return nil
}
