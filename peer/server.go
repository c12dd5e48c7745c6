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

// Path is where a process serves its peers.
const Path = "/peer"

// Handlers maps the kinds of requests and one-way messages to functions; it is safe for concurrent use.
type Handlers struct {
	mu       sync.RWMutex
	calls    map[string]func(ctx context.Context, body []byte) (any, error)
	notifies map[string]func(body []byte)
}

// NewHandlers returns an empty set.
func NewHandlers() *Handlers {
	return &Handlers{
		calls:    map[string]func(context.Context, []byte) (any, error){},
		notifies: map[string]func([]byte){},
	}
}

// HandleCall registers the function for requests of one kind, in place of an earlier one.
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

// HandleNotify registers the function for one-way messages of one kind; it must not block.
func HandleNotify[Req any](h *Handlers, kind string, f func(Req)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notifies[kind] = func(body []byte) {
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
	f := h.notifies[kind]
	h.mu.RUnlock()
	if f != nil {
		f(body)
	}
}

// Server accepts connections of peers.
type Server struct {
	handlers *Handlers
	ctx      context.Context
	cancel   context.CancelFunc

	mu sync.Mutex
	// closed keeps connections that arrive during Close from being served.
	closed bool
	wg     sync.WaitGroup
}

// NewServer returns a server that answers with h.
func NewServer(h *Handlers) *Server {
	s := &Server{handlers: h}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// ServeHTTP upgrades to a WebSocket and serves it until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	if !s.enter() {
		// The other end sees that the connection is closed, and asks elsewhere.
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

// enter counts a connection, unless the server is being closed.
func (s *Server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.wg.Add(1)
	return true
}

// Close ends all connections.
func (s *Server) Close() {
	s.cancel()
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.wg.Wait()
}
