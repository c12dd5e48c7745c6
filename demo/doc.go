// Package demo runs all roles in one process on loopback ports, with stand-in leaves and a bounded load.
package demo
