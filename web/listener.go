package web

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"samphirepass"
)

// maxDrainMs bounds the time for which a listener that is to close waits for connections whose set-up has begun.
const maxDrainMs samphirepass.Millis = 200

// drainingListener is a TCP listener that can be closed without a reset of the connections which the system has established, but which
// Accept has not returned yet. There are many of them when the process gets little processor time.
type drainingListener struct {
	*net.TCPListener
	// drained tells how the listener closes, nil before Drain.
	drained atomic.Pointer[drained]
}

type drained struct {
	// until is the end of the time in which Accept waits for connections whose set-up has begun.
	until time.Time
	// refusing tells that the system refuses new connections, so that those which are established are finite in number.
	refusing bool
}

// Accept returns the next connection. After Drain it returns those that are established, closes the listener and returns net.ErrClosed.
func (l *drainingListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	d := l.drained.Load()
	if d == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return c, err
	}
	if d.refusing || time.Since(d.until) < maxDrainMs.Duration() {
		if c := acceptEstablished(l.TCPListener); c != nil {
			return c, nil
		}
	}
	if err := l.Close(); err != nil {
		return nil, err
	}
	return nil, net.ErrClosed
}

// Drain has the system refuse new connections, and Accept close the listener once no established connection is left. Where the system
// cannot refuse them while the listener is open, one that is established between the last look and the close is reset.
func (l *drainingListener) Drain() error {
	d := &drained{until: time.Now(), refusing: refuseNew(l.TCPListener)}
	if d.refusing {
		// The set-up of a connection takes a round trip.
		d.until = d.until.Add(maxDrainMs.Duration())
	}
	l.drained.Store(d)
	if err := l.SetDeadline(d.until); err != nil {
		return fmt.Errorf("drain listener: %w", err)
	}
	return nil
}
