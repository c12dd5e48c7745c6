// Package logs writes structured log lines without blocking, and finds the lines about one request, routing version, leaf or
// collector in logs that were written so.
package logs
