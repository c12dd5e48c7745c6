// Package bench puts entries under load with the users' workloads, verifies every answer and compares policies.
package bench
