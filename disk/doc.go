// Package disk keeps the replicated log, its snapshots and the identity of a data folder on stable storage.
package disk
