// Package caller serves the HTTP API for callers: queries, and runs, which are requests that must not be executed twice.
package caller
