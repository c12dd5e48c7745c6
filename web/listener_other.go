//go:build !linux

package web

import "net"

// refuseNew reports that new connections cannot be refused while the listener is open.
func refuseNew(*net.TCPListener) bool { return false }

// acceptEstablished returns nil, as the connections that the system has established are not known here.
func acceptEstablished(*net.TCPListener) net.Conn { return nil }
