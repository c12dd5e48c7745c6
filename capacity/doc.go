// Package capacity computes the resource use at the target scale from slopes (costs per unit) measured on one machine.
package capacity
