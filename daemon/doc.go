// Package daemon assembles the process of each role from its components and shuts them down in order.
package daemon
