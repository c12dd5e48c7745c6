// Command lease shows when an entry may serve with the configuration that it has.
package main
