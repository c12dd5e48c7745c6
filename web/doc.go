// Package web holds what the HTTP servers of all roles share: listening, readiness, bodies and refusals.
package web
