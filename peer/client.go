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

// dialTimeoutMs bounds the opening of a connection: many times the way between data centres,
// and short enough that a process which is not up yet is soon tried again.
const dialTimeoutMs samphirepass.Millis = 300

// redialPauseMs keeps failed dials apart.
const redialPauseMs samphirepass.Millis = 100

// Client keeps one connection to one address, opened when first needed and again when it is lost; it is safe for concurrent use.
type Client struct {
	address string
	http    *http.Client

	mu      sync.Mutex
	conn    *conn
	dialing chan struct{}
	failed  time.Time
	lastErr error
	stopped bool
}

// NewClient returns a client of the process at address, an IP number with a port.
// Connections start from the IP number from, or from any if it is not valid.
func NewClient(address string, from netip.Addr) *Client {
	dialer := &net.Dialer{}
	if from.IsValid() && !from.IsUnspecified() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(from, 0))
	}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}
	return &Client{address: address, http: &http.Client{Transport: transport}}
}

// Address returns the address of the other process.
func (c *Client) Address() string { return c.address }

// SilentFor returns the time since the last frame of the other end, and whether a connection stands.
func (c *Client) SilentFor() (samphirepass.Millis, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil || c.conn.closed() {
		return 0, false
	}
	return samphirepass.MillisOf(time.Since(time.Unix(0, c.conn.lastRead.Load()))), true
}

// Open dials ahead of need, unless a connection stands or the last dial failed just now; it does not wait.
func (c *Client) Open() {
	c.mu.Lock()
	defer c.mu.Unlock()
	stands := c.conn != nil && !c.conn.closed()
	if stands || c.stopped || c.dialing != nil || (c.lastErr != nil && time.Since(c.failed) < redialPauseMs.Duration()) {
		return
	}
	c.dialing = make(chan struct{})
	go c.dial(c.dialing)
}

// Call sends a request and decodes the reply into reply; ErrLost or a context error leave open whether it was carried out, ErrNotSent tells that it was not.
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

// Notify sends a one-way message if a connection stands, and opens one for the next message if not.
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

// connect returns the open connection or dials one; one dial runs at a time.
func (c *Client) connect(ctx context.Context) (*conn, error) {
	for {
		c.mu.Lock()
		if c.stopped {
			c.mu.Unlock()
			return nil, ErrLost
		}
		if c.conn != nil && !c.conn.closed() {
			defer c.mu.Unlock()
			return c.conn, nil
		}
		if c.lastErr != nil && time.Since(c.failed) < redialPauseMs.Duration() {
			defer c.mu.Unlock()
			return nil, c.lastErr
		}
		if c.dialing == nil {
			c.dialing = make(chan struct{})
			go c.dial(c.dialing)
		}
		wait := c.dialing
		c.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, fmt.Errorf("connect to %s: %w", c.address, ctx.Err())
		}
	}
}

func (c *Client) dial(finished chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeoutMs.Duration())
	defer cancel()
	ws, _, err := websocket.Dial(ctx, "ws://"+c.address+Path, &websocket.DialOptions{
		HTTPClient: c.http, CompressionMode: websocket.CompressionDisabled,
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(finished)
	c.dialing = nil
	if err != nil {
		c.failed = time.Now()
		c.lastErr = fmt.Errorf("dial %s: %w", c.address, err)
		return
	}
	c.lastErr = nil
	if c.stopped {
		_ = ws.CloseNow()
		return
	}
	c.conn = newConn(ws, NewHandlers())
	go c.conn.run(context.Background())
}

// Close ends the connection and refuses further requests.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	if c.conn != nil {
		c.conn.close()
	}
}

// Pool keeps one client for each address and is safe for concurrent use; its zero value is ready.
type Pool struct {
	// From is the IP number that connections start from, if it is valid.
	From netip.Addr

	mu      sync.Mutex
	clients map[string]*Client
}

// Get returns the client of address.
func (p *Pool) Get(address string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients == nil {
		p.clients = map[string]*Client{}
	}
	c := p.clients[address]
	if c == nil {
		c = NewClient(address, p.From)
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
