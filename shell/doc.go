// Package shell is the command line: the daemons, the demo and the operators' commands.
package shell
