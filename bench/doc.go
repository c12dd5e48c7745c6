// Package bench drives entries with the users' workloads, checks every answer for truth and compares policies.
package bench
