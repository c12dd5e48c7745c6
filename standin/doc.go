// Package standin emulates backend servers with slots, connection limits, stragglers and faults, for tests and measurements.
package standin
