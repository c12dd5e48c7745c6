// Package scenario tests the whole system under failures: scripts in testdata start real control and entry processes with
// emulated leaves, inject faults and check the answers. Its benchmarks measure what one more unit of load costs.
package scenario
