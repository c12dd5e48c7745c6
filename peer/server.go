package peer

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/coder/websocket"

	"samphirepass"
	"samphirepass/cbor"
	"samphirepass/web"
)

// Path is the HTTP path at which a process serves its peers.
const Path = "/peer"

// Handlers maps the kinds of requests and one-way messages to handlers. It is safe for concurrent use.
type Handlers struct {
	// OnPanic is called with the kind of a message whose handler panicked, the reason and the stack; it may be nil. It must be set
	// before the handlers are used.
	OnPanic func(kind string, reason any, stack []byte)

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

// call handles a request. A handler that panics fails only its request, whose outcome is unknown.
func (h *Handlers) call(ctx context.Context, kind string, body []byte) (reply []byte, err error) {
	h.mu.RLock()
	f := h.calls[kind]
	h.mu.RUnlock()
	defer func() {
		if reason := recover(); reason != nil {
			h.reportPanic(kind, reason)
			err = samphirepass.RefuseUnknown("the handler of %s failed", kind)
		}
	}()
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
	defer func() {
		if reason := recover(); reason != nil {
			h.reportPanic(kind, reason)
		}
	}()
	if f != nil {
		f(body)
	}
}

func (h *Handlers) reportPanic(kind string, reason any) {
	if h.OnPanic != nil {
		h.OnPanic(kind, reason, debug.Stack())
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
	conns  map[*conn]bool
	wg     sync.WaitGroup
}

const (
	// drainPollMs is the interval at which Drain looks for requests that are not answered yet.
	drainPollMs samphirepass.Millis = 5
	// arrivalTimeoutMs bounds the wait for answers that are in transit.
	arrivalTimeoutMs samphirepass.Millis = 500
)

// NewServer returns a server that handles requests and messages with h.
func NewServer(h *Handlers) *Server {
	s := &Server{handlers: h, conns: map[*conn]bool{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// ServeHTTP upgrades the request to a WebSocket connection and serves it until it is closed.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	c := newServerConn(ws, s.handlers)
	if !s.addConn(c) {
		// The other end sees the closed connection and sends its requests elsewhere.
		_ = ws.CloseNow()
		return
	}
	defer s.removeConn(c)
	c.messages = web.MessagesOf(r.Context(), c.close)
	defer c.messages.Close()
	go func() {
		select {
		case <-s.ctx.Done():
			c.close()
		case <-c.done:
		}
	}()
	c.run(s.ctx)
}

// addConn adds a connection that Close waits for. It reports false if the server is closed or closing.
func (s *Server) addConn(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.wg.Add(1)
	s.conns[c] = true
	return true
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.wg.Done()
}

// Drain returns once the requests of all peers have been answered and the answers have arrived, or ctx ends. Requests that arrive
// meanwhile are handled, too.
func (s *Server) Drain(ctx context.Context) {
	t := time.NewTicker(drainPollMs.Duration())
	defer t.Stop()
	for s.busy() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
	// Closing a connection discards what is still in transit, so each peer is asked whether it has read everything.
	ctx, cancel := context.WithTimeout(ctx, arrivalTimeoutMs.Duration())
	defer cancel()
	s.mu.Lock()
	conns := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, c := range conns {
		// Without an answer to the ping the peer is gone or too slow to wait for.
		wg.Go(func() { _ = c.ws.Ping(ctx) })
	}
	wg.Wait()
}

// busy reports whether a request is not answered yet or an answer not written.
func (s *Server) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.unanswered.Load() > 0 {
			return true
		}
	}
	return false
}

// Close closes all connections and waits until they have ended.
func (s *Server) Close() {
	s.cancel()
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.wg.Wait()
}
