// Package caller serves the callers: queries, and requests that may not be repeated.
package caller
