// Package contract tests the HTTP interfaces for callers, operators, leaves and the platform with invalid input.
package contract
