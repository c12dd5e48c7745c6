package control_test

import (
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// heldPort is a loopback port that a test owns until it ends, so that no other process can take it while a member is stopped.
// Connections that arrive meanwhile are closed at once.
type heldPort struct {
	listener net.Listener

	mu sync.Mutex
	// current is the listener of the running server, or nil.
	current *heldListener
}

func holdPort(t testing.TB) *heldPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &heldPort{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go p.serve()
	return p
}

func (p *heldPort) address() string { return p.listener.Addr().String() }

func (p *heldPort) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		current := p.current
		p.mu.Unlock()
		if current == nil {
			_ = c.Close()
			continue
		}
		select {
		case current.conns <- c:
		case <-current.closed:
			_ = c.Close()
		}
	}
}

// listen returns a listener for the next server on the port; the previous one must be closed.
func (p *heldPort) listen() net.Listener {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current = &heldListener{port: p, conns: make(chan net.Conn), closed: make(chan struct{})}
	return p.current
}

// heldListener passes the connections of a held port to one server.
type heldListener struct {
	port   *heldPort
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Accept returns the next connection, or net.ErrClosed after Close.
func (l *heldListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the server's use of the port, which stays held.
func (l *heldListener) Close() error {
	l.once.Do(func() {
		l.port.mu.Lock()
		defer l.port.mu.Unlock()
		if l.port.current == l {
			l.port.current = nil
		}
		close(l.closed)
	})
	return nil
}

// Addr returns the address of the port.
func (l *heldListener) Addr() net.Addr { return l.port.listener.Addr() }

func TestHeldPortStaysTaken(t *testing.T) {
	p := holdPort(t)
	for range 2 {
		l := p.listen()
		c, err := net.Dial("tcp", p.address())
		require.NoError(t, err)
		accepted, err := l.Accept()
		require.NoError(t, err)
		require.Equal(t, c.LocalAddr(), accepted.RemoteAddr())
		require.NoError(t, accepted.Close())
		require.NoError(t, l.Close())
		_, err = net.Listen("tcp", p.address())
		require.Error(t, err, "the port can be taken while no server runs")
		refused, err := net.Dial("tcp", p.address())
		require.NoError(t, err)
		_, err = refused.Read(make([]byte, 1))
		require.Error(t, err, "a connection stays open while no server runs")
	}
}
