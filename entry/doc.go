// Package entry keeps the configuration and the leaf registry of an entry in sync with control and with the other entries.
package entry
