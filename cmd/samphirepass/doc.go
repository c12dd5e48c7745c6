// Command samphirepass runs the daemons, the demo and the operator commands.
package main
