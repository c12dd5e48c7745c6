// Command samphirepass runs the daemons, the demo and the operators' shell.
package main
