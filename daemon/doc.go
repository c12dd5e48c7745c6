// Package daemon puts the parts of each process together and stops them in order.
package daemon
