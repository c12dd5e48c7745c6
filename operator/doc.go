// Package operator serves the resource API with its watches, and holds the client that the shell command uses.
package operator
