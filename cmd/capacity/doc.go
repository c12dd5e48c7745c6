// Command capacity prints the tables of docs/CAPACITY.md, computed from the measured slopes (costs per unit).
package main
