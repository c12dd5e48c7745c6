// Package directory distributes the announcements of leaves and the routing document from the control processes to all others.
//
// Each follower sends long polls to a few sources for the changes since the last reply; a source holds a poll until there are changes.
package directory
