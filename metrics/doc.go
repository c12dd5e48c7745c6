// Package metrics counts what a process does, for a metrics collector.
package metrics
