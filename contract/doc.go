// Package contract tests the interfaces towards callers, operators, leaves and the platform against bad input.
package contract
