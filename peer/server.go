package peer

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"github.com/coder/websocket"

	"samphirepass"
	"samphirepass/cbor"
)

// Path is the HTTP path at which a process serves its peers.
const Path = "/peer"

// Handlers maps the kinds of requests and one-way messages to handlers. It is safe for concurrent use.
type Handlers struct {
	mu            sync.RWMutex
	calls         map[string]func(ctx context.Context, body []byte) (any, error)
	notifications map[string]func(body []byte)
}

// NewHandlers returns Handlers without any handler.
func NewHandlers() *Handlers {
	return &Handlers{
		calls:         map[string]func(context.Context, []byte) (any, error){},
		notifications: map[string]func([]byte){},
	}
}

// HandleCall registers f as the handler for requests of a kind, replacing any earlier one.
func HandleCall[Req, Reply any](h *Handlers, kind string, f func(context.Context, Req) (Reply, error)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls[kind] = func(ctx context.Context, body []byte) (any, error) {
		var req Req
		if err := cbor.Unmarshal(body, &req); err != nil {
			return nil, samphirepass.Refuse(samphirepass.CodeInvalid, "request %s: %v", kind, err)
		}
		return f(ctx, req)
	}
}

// HandleNotify registers f as the handler for one-way messages of a kind, replacing any earlier one. It must not block, as it
// runs in the read loop of the connection. Messages that cannot be decoded are dropped.
func HandleNotify[Req any](h *Handlers, kind string, f func(Req)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notifications[kind] = func(body []byte) {
		var req Req
		if cbor.Unmarshal(body, &req) == nil {
			f(req)
		}
	}
}

func (h *Handlers) call(ctx context.Context, kind string, body []byte) ([]byte, error) {
	h.mu.RLock()
	f := h.calls[kind]
	h.mu.RUnlock()
	if f == nil {
		return nil, samphirepass.Refuse(samphirepass.CodeNotFound, "no request of kind %q", kind)
	}
	v, err := f(ctx, body)
	if err != nil {
		return nil, err
	}
	b, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode reply to %s: %w", kind, err)
	}
	return b, nil
}

func (h *Handlers) notify(kind string, body []byte) {
	h.mu.RLock()
	f := h.notifications[kind]
	h.mu.RUnlock()
	if f != nil {
		f(body)
	}
}

// Server accepts connections from peers.
type Server struct {
	handlers *Handlers
	ctx      context.Context
	cancel   context.CancelFunc

	mu sync.Mutex
	// closed rejects connections that arrive during Close.
	closed bool
	wg     sync.WaitGroup
}

// NewServer returns a server that handles requests and messages with h.
func NewServer(h *Handlers) *Server {
	s := &Server{handlers: h}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// ServeHTTP upgrades the request to a WebSocket connection and serves it until it is closed.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	if !s.addConn() {
		// The other end sees the closed connection and sends its requests elsewhere.
		_ = ws.CloseNow()
		return
	}
	defer s.wg.Done()
	c := newConn(ws, s.handlers)
	go func() {
		select {
		case <-s.ctx.Done():
			c.close()
		case <-c.done:
		}
	}()
	c.run(s.ctx)
}

// addConn counts a connection that Close waits for. It reports false if the server is closed or closing.
func (s *Server) addConn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.wg.Add(1)
	return true
}

// Close closes all connections and waits until they have ended.
func (s *Server) Close() {
	s.cancel()
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.wg.Wait()
}
