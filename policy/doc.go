// Package policy decides which leaf gets an attempt, when a second one is worth its load, and which requests are admitted.
package policy
