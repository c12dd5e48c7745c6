// Package directory spreads announcements of leaves and the routing document from the processes of control to all others.
//
// Each follower asks a few sources for what changed since it last asked, and a source holds the question until there is news.
package directory
