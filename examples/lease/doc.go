// Command lease demonstrates the configuration lease: when an entry may serve with the configuration that it has.
package main
