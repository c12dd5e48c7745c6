// Package control runs one member of the replicated log and provides the client through which other processes
// reach the leader.
package control
