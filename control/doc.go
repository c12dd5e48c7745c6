// Package control runs one member of the replicated log and lets entries talk to whichever member leads.
package control
