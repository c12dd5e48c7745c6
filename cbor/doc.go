// Package cbor encodes and decodes messages between processes, stored records and replicated commands as CBOR.
package cbor
