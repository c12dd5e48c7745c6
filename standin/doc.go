// Package standin emulates backend servers and network links for tests and benchmarks. An emulated leaf has
// slots, a connection limit, stragglers and faults that can be switched on; a relay cuts, delays or silences connections.
package standin
