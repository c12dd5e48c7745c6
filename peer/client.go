package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/coder/websocket"

	"samphirepass"
	"samphirepass/cbor"
)

// dialTimeoutMs bounds opening a connection. It is many times the network delay between data centres, and short enough
// that a process that is not up yet is soon retried.
const dialTimeoutMs samphirepass.Millis = 300

// maxHandshakeBytes bounds the head of the answer to a handshake.
const maxHandshakeBytes = 16 << 10

// redialCooldownMs is the minimum time between a failed dial and the next one.
const redialCooldownMs samphirepass.Millis = 100

// Client keeps one connection to one address. It connects on first use and reconnects on the next use after the connection
// is lost. It is safe for concurrent use.
type Client struct {
	address string
	http    *http.Client
	// handlers answer the calls that the other end makes over the connection.
	handlers *Handlers

	mu   sync.Mutex
	conn *conn
	// dialing is closed when the dial in progress ends; it is nil if there is none.
	dialing chan struct{}
	// lastFailure is the time of the last failed dial. lastErr is the error of the last dial, or nil if it succeeded.
	lastFailure time.Time
	lastErr     error
	closed      bool
}

// NewClient returns a client for the process at address, an IP address with a port. Its connections start from the IP address
// localAddr, or from any if localAddr is invalid or unspecified.
func NewClient(address string, localAddr netip.Addr) *Client {
	dialer := &net.Dialer{}
	if localAddr.IsValid() && !localAddr.IsUnspecified() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(localAddr, 0))
	}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext, MaxResponseHeaderBytes: maxHandshakeBytes}
	return &Client{address: address, http: &http.Client{Transport: transport}, handlers: NewHandlers()}
}

// Address returns the address of the other process.
func (c *Client) Address() string { return c.address }

// SinceLastFrame returns the time since the last frame from the other end and true, or 0 and false without a connection.
func (c *Client) SinceLastFrame() (samphirepass.Millis, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil || c.conn.closed() {
		return 0, false
	}
	return c.conn.clock.Now() - c.conn.lastRead.load(), true
}

// Preconnect starts to connect in the background and does not wait. It does nothing if the client is connected, connecting or
// closed, or if a dial failed within the cooldown.
func (c *Client) Preconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	connected := c.conn != nil && !c.conn.closed()
	if connected || c.closed || c.dialing != nil || (c.lastErr != nil && time.Since(c.lastFailure) < redialCooldownMs.Duration()) {
		return
	}
	c.dialing = make(chan struct{})
	go c.dial(c.dialing)
}

// Call sends a request and decodes the reply into reply. An error that matches ErrNotSent means that the request was not
// carried out. Without it, ErrLost and context errors leave open whether it was.
func (c *Client) Call(ctx context.Context, kind string, req, reply any) error {
	body, err := cbor.Marshal(req)
	if err != nil {
		return fmt.Errorf("encode request %s: %w", kind, err)
	}
	conn, err := c.connect(ctx)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	b, err := conn.call(ctx, kind, body)
	if err != nil {
		return fmt.Errorf("call %s at %s: %w", kind, c.address, err)
	}
	if err := cbor.Unmarshal(b, reply); err != nil {
		return fmt.Errorf("decode reply to %s: %w", kind, err)
	}
	return nil
}

// Notify sends a one-way message. Without a connection it drops the message and connects for the next one.
func (c *Client) Notify(kind string, msg any) {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn == nil || conn.closed() {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), dialTimeoutMs.Duration())
			defer cancel()
			_, _ = c.connect(ctx)
		}()
		return
	}
	if body, err := cbor.Marshal(msg); err == nil {
		_ = conn.send(frame{Kind: kind, Body: body})
	}
}

// connect returns the open connection, or waits for a dial. Only one dial runs at a time. Within the cooldown after a failed dial
// it returns the error of that dial.
func (c *Client) connect(ctx context.Context) (*conn, error) {
	for {
		c.mu.Lock()
		if c.closed {
			c.mu.Unlock()
			return nil, ErrLost
		}
		if c.conn != nil && !c.conn.closed() {
			defer c.mu.Unlock()
			return c.conn, nil
		}
		if c.lastErr != nil && time.Since(c.lastFailure) < redialCooldownMs.Duration() {
			defer c.mu.Unlock()
			return nil, c.lastErr
		}
		if c.dialing == nil {
			c.dialing = make(chan struct{})
			go c.dial(c.dialing)
		}
		dialed := c.dialing
		c.mu.Unlock()
		select {
		case <-dialed:
		case <-ctx.Done():
			return nil, fmt.Errorf("connect to %s: %w", c.address, ctx.Err())
		}
	}
}

// dial opens the connection and closes done when it has ended.
func (c *Client) dial(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeoutMs.Duration())
	defer cancel()
	ws, _, err := websocket.Dial(ctx, "ws://"+c.address+Path, &websocket.DialOptions{
		HTTPClient: c.http, CompressionMode: websocket.CompressionDisabled,
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(done)
	c.dialing = nil
	if err != nil {
		c.lastFailure = time.Now()
		c.lastErr = fmt.Errorf("dial %s: %w", c.address, err)
		return
	}
	c.lastErr = nil
	if c.closed {
		_ = ws.CloseNow()
		return
	}
	c.conn = newClientConn(ws, c.handlers)
	go c.conn.run(context.Background())
}

// Close closes the connection and fails further requests.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn != nil {
		c.conn.close()
	}
}

// Pool keeps one client per address. It is safe for concurrent use, and its zero value is ready to use.
type Pool struct {
	// LocalAddr is the local IP address of the connections, if valid.
	LocalAddr netip.Addr

	mu       sync.Mutex
	clients  map[string]*Client
	handlers *Handlers
}

// Handlers returns the handlers for the calls that other ends make over the connections of the pool.
func (p *Pool) Handlers() *Handlers {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.handlersLocked()
}

func (p *Pool) handlersLocked() *Handlers {
	if p.handlers == nil {
		p.handlers = NewHandlers()
	}
	return p.handlers
}

// Get returns the client for address and creates it on first use.
func (p *Pool) Get(address string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients == nil {
		p.clients = map[string]*Client{}
	}
	c := p.clients[address]
	if c == nil {
		c = NewClient(address, p.LocalAddr)
		c.handlers = p.handlersLocked()
		p.clients[address] = c
	}
	return c
}

// Close closes all clients.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.Close()
	}
}
