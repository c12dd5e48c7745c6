// Package ledger is the replicated state machine: resources, run records and entry seats.
package ledger
