// Package peer carries requests and one-way messages between the system's own processes, over WebSocket with CBOR.
package peer
