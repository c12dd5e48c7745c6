// Package logs writes structured logs with a fixed prefix for each part.
package logs
