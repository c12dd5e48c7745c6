// Package quorum implements the Raft consensus algorithm for the replicated log of the control VMs, with pre-votes,
// leadership transfer and linearizable reads. It is a state machine without sockets, files or clocks.
package quorum
