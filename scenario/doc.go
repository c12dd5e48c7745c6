// Package scenario proves the system under failure, with real processes and a small test language.
package scenario
