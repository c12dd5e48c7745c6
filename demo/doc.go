// Package demo runs all roles in one process on loopback ports, with emulated leaves and a bounded load.
package demo
