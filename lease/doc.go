// Package lease decides whether an entry's configuration is recent enough to serve with.
package lease
