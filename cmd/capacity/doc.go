// Command capacity prints the tables of docs/CAPACITY.md from the measured slopes.
package main
