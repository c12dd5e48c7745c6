// Package shell implements the command line: the daemons, the demo and the operator commands.
package shell
