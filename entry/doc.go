// Package entry keeps an entry's configuration and its knowledge of leaves in step with control and with the other entries.
package entry
