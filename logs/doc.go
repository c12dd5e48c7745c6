// Package logs writes structured log lines without blocking, and finds the lines of such logs that are about one request, routing
// version, leaf or collector.
package logs
