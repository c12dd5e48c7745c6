// Package directory distributes the announcements of leaves and the routing document from the control processes to all others.
//
// Control processes are the sources. A follower sends them long polls for the changes since the last reply, which a source holds until
// there are changes. An entry follows a few sources; a control process follows all others. Entries
// are gateways here, and control processes are registrars.
package directory
