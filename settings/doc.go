// Package settings reads and validates the settings files of the daemons.
package settings
