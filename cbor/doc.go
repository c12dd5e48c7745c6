// Package cbor encodes and decodes the system's own messages and records.
package cbor
