// Package control runs one member of the replicated log and provides the client through which other processes
// reach the leader.
//
// A process introduces its disk to the other members by hello requests before it takes part in the log. The membership
// is either a configured list or dynamic: then processes know some seeds, join by themselves and are removed when silent.
package control
