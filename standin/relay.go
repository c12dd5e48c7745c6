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

// Link says what a relay does with the connections from one source.
type Link string

// The states of a link.
const (
	// LinkPass forwards everything.
	LinkPass Link = "pass"
	// LinkCut closes connections and refuses new ones.
	LinkCut Link = "cut"
	// LinkSilent keeps connections open, accepts new ones and forwards nothing.
	LinkSilent Link = "silent"
)

// copyBytes is the size of the buffer for one direction.
const copyBytes = 32 << 10

// Relay forwards TCP connections to one address and cuts, delays or silences them by the source's IP number.
type Relay struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	links map[netip.Addr]Link
	other Link
	delay samphirepass.Millis
	pairs map[*pair]bool
	// bytes counts what was forwarded in both directions.
	bytes int64
}

// pair is one relayed connection.
type pair struct {
	from     netip.Addr
	in, out  net.Conn
	silenced bool
}

// NewRelay listens on address and forwards to the address to.
func NewRelay(address, to string) (*Relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen as relay: %w", err)
	}
	r := &Relay{listener: l, to: to, links: map[netip.Addr]Link{}, other: LinkPass, pairs: map[*pair]bool{}}
	go r.accept()
	return r, nil
}

// Address returns where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Set changes the link from one source, or from all sources that have none of their own if from is not valid.
func (r *Relay) Set(from netip.Addr, l Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from.IsValid() {
		r.links[from] = l
	} else {
		r.other = l
	}
	if l != LinkCut {
		return
	}
	for p := range r.pairs {
		if !from.IsValid() || p.from == from {
			p.close()
		}
	}
}

// SetAll changes the link from all sources.
func (r *Relay) SetAll(l Link) {
	r.Set(netip.Addr{}, l)
}

// SetDelay adds a delay to each piece of data in both directions.
func (r *Relay) SetDelay(d samphirepass.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// SilenceOpen makes the connections that stand now forward nothing more, for good; new ones work.
func (r *Relay) SilenceOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.silenced = true
	}
}

// OpenConnections counts the connections that stand now.
func (r *Relay) OpenConnections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pairs)
}

// BytesRead returns how many bytes were read from either end.
func (r *Relay) BytesRead() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Set(netip.Addr{}, LinkCut)
}

func (p *pair) close() {
	_ = p.in.Close()
	if p.out != nil {
		_ = p.out.Close()
	}
}

func (r *Relay) link(from netip.Addr) Link {
	if l, ok := r.links[from]; ok {
		return l
	}
	return r.other
}

func (r *Relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(in)
	}
}

func (r *Relay) serve(in net.Conn) {
	from := in.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	p := &pair{from: from, in: in}
	defer p.close()
	r.mu.Lock()
	cut := r.link(from) == LinkCut
	r.mu.Unlock()
	if cut {
		return
	}
	out, err := net.Dial("tcp", r.to)
	if err != nil {
		return
	}
	r.mu.Lock()
	p.out = out
	r.pairs[p] = true
	r.mu.Unlock()
	done := make(chan struct{}, 2)
	go r.copy(p, in, out, done)
	go r.copy(p, out, in, done)
	<-done
	p.close()
	<-done
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
}

// copy forwards one direction; what is read on a silent link is thrown away.
func (r *Relay) copy(p *pair, from io.Reader, to io.Writer, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, copyBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		r.mu.Lock()
		// Bytes lost on a link of TCP never come back, so the connection stays silent when the link heals.
		p.silenced = p.silenced || r.link(p.from) == LinkSilent
		silenced, delay := p.silenced, r.delay
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
