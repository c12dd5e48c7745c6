// Package buildinfo tells which build of the program a process runs.
package buildinfo
