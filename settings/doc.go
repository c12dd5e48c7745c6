// Package settings reads and checks the settings files of the daemons.
package settings
