// Package web provides what the HTTP servers of all roles share: listening, draining, readiness, request bodies and refusals.
package web
