// Package samphirepass defines the identifiers, units, messages and exchangeable interfaces of a query tier over many shards.
package samphirepass
