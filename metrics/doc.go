// Package metrics records the queries, requests and runs of a process and exposes them to Prometheus.
package metrics
