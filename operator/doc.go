// Package operator implements the HTTP API for operators, which reads, changes and watches resources, and the client for it.
package operator
