// Package capacity works out what the size asked for costs, from slopes measured on one machine.
package capacity
