package web

import (
	"math"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// noInterface is the index of a network interface that does not exist: the system allots them from 1.
const noInterface = math.MaxInt32

// refuseNew has the system refuse new connections while those that are established, or being set up, remain: the listener is bound to an
// interface on which none arrive. It reports whether this is possible: Linux 5.7 and later allow it to all processes.
func refuseNew(l *net.TCPListener) bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	var refused error
	err = raw.Control(func(fd uintptr) {
		refused = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, noInterface)
	})
	return err == nil && refused == nil
}

// acceptEstablished returns a connection that the system has established, or nil at once if there is none. It returns nil also on an error, as
// the listener is closed next.
func acceptEstablished(l *net.TCPListener) net.Conn {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil
	}
	accepted := -1
	if err := raw.Control(func(fd uintptr) {
		for {
			if accepted, _, err = unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC); err != unix.EINTR && err != unix.ECONNABORTED {
				return
			}
		}
	}); err != nil || accepted < 0 {
		return nil
	}
	f := os.NewFile(uintptr(accepted), "")
	defer f.Close()
	c, err := net.FileConn(f)
	if err != nil {
		return nil
	}
	return c
}
