// Package policy implements the decisions of an entry or a gateway, here both called entries: which leaf gets an attempt,
// when to hedge or retry, which requests are admitted, and which entry collects a scatter-gather request.
package policy
