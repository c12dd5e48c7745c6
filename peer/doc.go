// Package peer sends requests and one-way messages between the processes of the system, as CBOR over WebSocket.
package peer
