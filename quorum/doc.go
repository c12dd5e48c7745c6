// Package quorum agrees on a replicated log among control VMs, as a state machine without sockets, files or clocks.
package quorum
