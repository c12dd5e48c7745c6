package standin

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"samphirepass"
)

// Link is how a relay treats the connections from one source address.
type Link string

// The states of a link.
const (
	// LinkPass forwards everything.
	LinkPass Link = "pass"
	// LinkCut closes open connections, and new ones as soon as they are accepted.
	LinkCut Link = "cut"
	// LinkRefused closes new connections as soon as they are accepted. Open ones live on.
	LinkRefused Link = "refused"
	// LinkSilent drops all data, but keeps connections open and accepts new ones.
	LinkSilent Link = "silent"
	// LinkHeld keeps all data until the link changes, as if the target had frozen.
	LinkHeld Link = "held"
)

// Direction is one direction of a relayed connection.
type Direction string

// The directions.
const (
	ToTarget Direction = "to-target"
	ToSource Direction = "to-source"
)

// heldPollMs is the interval at which held data looks whether its link has changed.
const heldPollMs samphirepass.Millis = 1

// copyBytes is the buffer size for one direction of a connection.
const copyBytes = 32 << 10

// Relay is a TCP proxy to one address that injects network faults: it cuts or silences the connections from a source IP
// address, and delays data. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	links       map[netip.Addr]Link
	defaultLink Link
	delay       samphirepass.Millis
	// dropped marks the directions in which data is dropped.
	dropped map[Direction]bool
	conns   map[*relayedConn]bool
	// bytes is the number of bytes read in both directions, including those dropped.
	bytes int64
}

// relayedConn is one relayed connection.
type relayedConn struct {
	from              netip.Addr
	inbound, outbound net.Conn
	silenced          bool
	// deaf marks the directions in which data was dropped.
	deaf map[Direction]bool
}

// NewRelay starts a relay that listens on address and forwards connections to target.
func NewRelay(address, target string) (*Relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for relay: %w", err)
	}
	r := &Relay{listener: l, target: target, links: map[netip.Addr]Link{}, defaultLink: LinkPass, dropped: map[Direction]bool{}, conns: map[*relayedConn]bool{}}
	go r.accept()
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Set sets the link from one source address. The zero address sets the default for the sources without a link of their
// own. LinkCut also closes the open connections: those from the source, or all of them for the zero address.
func (r *Relay) Set(from netip.Addr, l Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from.IsValid() {
		r.links[from] = l
	} else {
		r.defaultLink = l
	}
	if l != LinkCut {
		return
	}
	for c := range r.conns {
		if !from.IsValid() || c.from == from {
			c.close()
		}
	}
}

// SetDefault sets the default link. It does not change links set for single sources, but LinkCut closes all open connections.
func (r *Relay) SetDefault(l Link) {
	r.Set(netip.Addr{}, l)
}

// SetDelay sets the delay before each write, in both directions.
func (r *Relay) SetDelay(d samphirepass.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// SetDropped sets whether data is dropped in one direction. A connection of which data was dropped stays silent in that direction.
func (r *Relay) SetDropped(d Direction, dropped bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropped[d] = dropped
}

// SilenceOpen permanently drops all further data on the connections open now. New connections are not affected.
func (r *Relay) SilenceOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.silenced = true
	}
}

// OpenConnections returns the number of open connections.
func (r *Relay) OpenConnections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// OpenConnectionsFrom returns the number of open connections from one source address.
func (r *Relay) OpenConnectionsFrom(from netip.Addr) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for c := range r.conns {
		if c.from == from {
			n++
		}
	}
	return n
}

// BytesRead returns the number of bytes read from both ends of all connections.
func (r *Relay) BytesRead() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes
}

// Close closes the listener and all connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Set(netip.Addr{}, LinkCut)
}

func (c *relayedConn) close() {
	_ = c.inbound.Close()
	if c.outbound != nil {
		_ = c.outbound.Close()
	}
}

func (r *Relay) link(from netip.Addr) Link {
	if l, ok := r.links[from]; ok {
		return l
	}
	return r.defaultLink
}

func (r *Relay) accept() {
	for {
		inbound, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(inbound)
	}
}

func (r *Relay) serve(inbound net.Conn) {
	from := inbound.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	c := &relayedConn{from: from, inbound: inbound, deaf: map[Direction]bool{}}
	defer c.close()
	r.mu.Lock()
	cut := r.link(from) == LinkCut || r.link(from) == LinkRefused
	r.mu.Unlock()
	if cut {
		return
	}
	outbound, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	r.mu.Lock()
	c.outbound = outbound
	// The link may have been cut during the dial.
	cut = r.link(from) == LinkCut
	if !cut {
		r.conns[c] = true
	}
	r.mu.Unlock()
	if cut {
		return
	}
	done := make(chan struct{}, 2)
	go r.copy(c, inbound, outbound, ToTarget, done)
	go r.copy(c, outbound, inbound, ToSource, done)
	<-done
	c.close()
	<-done
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

// copy forwards one direction until the connection closes. It discards data read from a silenced connection.
func (r *Relay) copy(c *relayedConn, from io.Reader, to io.Writer, direction Direction, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, copyBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		r.waitWhileHeld(c)
		r.mu.Lock()
		// Dropped bytes of a TCP stream cannot be sent again, so the connection stays silent when the link is restored.
		c.silenced = c.silenced || r.link(c.from) == LinkSilent
		c.deaf[direction] = c.deaf[direction] || r.dropped[direction]
		silenced, delay := c.silenced || c.deaf[direction], r.delay
		r.bytes += int64(n)
		r.mu.Unlock()
		if silenced {
			continue
		}
		if delay > 0 {
			time.Sleep(delay.Duration())
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// waitWhileHeld returns once the link of a connection is not held.
func (r *Relay) waitWhileHeld(c *relayedConn) {
	for {
		r.mu.Lock()
		held := r.link(c.from) == LinkHeld
		r.mu.Unlock()
		if !held {
			return
		}
		time.Sleep(heldPollMs.Duration())
	}
}
