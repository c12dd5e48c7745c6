package web

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"samphirepass"
)

const (
	// headerTimeoutMs is the time within which a client must send its request headers.
	headerTimeoutMs samphirepass.Millis = 5000
	// drainPollMs is the interval at which Drain checks for open connections.
	drainPollMs samphirepass.Millis = 20
	// acceptLimitMs is the time after which Drain closes the listener though Serve has not accepted all that is established.
	acceptLimitMs samphirepass.Millis = 1000
	// maxHeaderBytes bounds the line and the headers of a request where no limit is declared. It is above what operators allow their
	// clients.
	maxHeaderBytes = 128 << 10
	// maxBodyBytes is the greatest length of a request body.
	maxBodyBytes = 1 << 20
)

// Server is an HTTP server on one address that a supervisor runs by calling Serve.
type Server struct {
	listener guardedListener
	tcp      *drainingListener
	server   *http.Server
	// openConns is the number of open connections.
	openConns atomic.Int64
	// draining tells Serve that Drain closed the listener.
	draining atomic.Bool
	// accepted is closed once Serve accepts no more connections.
	accepted     chan struct{}
	acceptedOnce sync.Once
}

// Listen returns a server that listens on address and answers requests with h once Serve runs. Its clients are bounded by ProcessGuard.
func Listen(address string, h http.Handler) (*Server, error) { return ListenDoor(address, h, Door{}) }

// ListenDoor returns a server like Listen whose clients are bounded by the guard of a door.
func ListenDoor(address string, h http.Handler, door Door) (*Server, error) {
	if door.Guard == nil {
		door.Guard = ProcessGuard()
	}
	if door.Name == "" {
		door.Name = address
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	tcp := &drainingListener{TCPListener: l.(*net.TCPListener)}
	s := &Server{listener: guardedListener{tcp, &door}, tcp: tcp, accepted: make(chan struct{})}
	s.server = &http.Server{
		Handler: guardHandler(h), ReadHeaderTimeout: headerTimeoutMs.Duration(), MaxHeaderBytes: maxDeclaredHeadBytes + headMarginBytes, ConnState: s.trackConn,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	return s, nil
}

// guardHandler tells the connection of each request when its handling begins and ends.
func guardHandler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if refused := c.begin(r.Body == http.NoBody); refused != nil {
			c.countRefused(refused.reason)
			if refused.status == http.StatusServiceUnavailable {
				w.Header().Set("Retry-After", formatSeconds(retryAfter()))
			}
			w.Header().Set("Connection", "close")
			http.Error(w, refused.text, refused.status)
			return
		}
		defer c.answered()
		h.ServeHTTP(w, r)
	})
}

// trackConn counts open connections; a hijacked connection no longer belongs to the server.
func (s *Server) trackConn(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.openConns.Add(1)
	case http.StateIdle:
		c.(*conn).idle()
	case http.StateHijacked:
		c.(*conn).hijack()
		s.openConns.Add(-1)
	case http.StateClosed:
		s.openConns.Add(-1)
	}
}

// Address returns the address that the server listens on, with the actual port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve answers requests until the server is shut down or ctx ends. The end of ctx closes all connections at once. Once Drain
// has been called, Serve returns only when ctx ends.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		// Clients whose requests are cut off learn of it only by the closed connection.
		_ = s.server.Close()
	})
	defer stop()
	err := s.server.Serve(s.listener)
	s.acceptedOnce.Do(func() { close(s.accepted) })
	if s.draining.Load() {
		// Requests on open connections are still served.
		<-ctx.Done()
		return nil
	}
	if !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve http: %w", err)
	}
	return nil
}

// Drain stops listening and serves the open connections until all are closed or less than reserve remains until ctx's deadline.
// It then shuts the server down. An immediate shutdown would drop requests that have arrived but are not answered yet. The
// handler must ask clients to close their connections.
func (s *Server) Drain(ctx context.Context, reserve samphirepass.Millis) error {
	s.draining.Store(true)
	if err := s.stopAccepting(ctx); err != nil {
		return err
	}
	t := time.NewTicker(drainPollMs.Duration())
	defer t.Stop()
	for s.openConns.Load() > 0 {
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < reserve.Duration() {
			break
		}
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
	return s.Shutdown(ctx)
}

// stopAccepting stops listening and returns once all connections that were established have been accepted.
func (s *Server) stopAccepting(ctx context.Context) error {
	if err := s.tcp.Drain(); err != nil {
		return fmt.Errorf("stop listening: %w", err)
	}
	limit := time.NewTimer(acceptLimitMs.Duration())
	defer limit.Stop()
	select {
	case <-s.accepted:
		return nil
	case <-limit.C:
	case <-ctx.Done():
	}
	if err := s.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("stop listening: %w", err)
	}
	return nil
}

// Shutdown stops listening, and returns once all requests have been answered or ctx ends. A request that arrives from now on is not
// answered, see Drain.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down http: %w", err)
	}
	return nil
}

// CloseWhenStopping asks clients to close their connections while stopping reports true, so that Drain need not wait for them.
func CloseWhenStopping(stopping func() bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if stopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// ReadBody returns the body of r, or a refusal if it is too long or cannot be read.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := Body(w, r, maxBodyBytes)
	if refusal := samphirepass.AsRefusal(err); refusal != nil {
		return nil, refusal
	}
	if err != nil {
		refusal := samphirepass.Refuse(samphirepass.CodeInvalid, "read body: %v", err)
		refusal.Field, refusal.Allowed = "document", fmt.Sprintf("at most %d bytes", maxBodyBytes)
		return nil, refusal
	}
	return body, nil
}

// WriteJSON answers with status and v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The error is dropped, because a client that has disconnected cannot be told of it.
	_ = json.NewEncoder(w).Encode(v)
}

// ErrorBody is the JSON body of an error answer.
type ErrorBody struct {
	Error *samphirepass.Refusal `json:"error"`
}

// WriteError answers with the refusal in err's chain. For any other error the outcome is unknown: the request may have run.
func WriteError(w http.ResponseWriter, err error) {
	refusal := samphirepass.AsRefusal(err)
	if refusal == nil {
		refusal = samphirepass.RefuseUnknown("%v", err)
	}
	if refusal.NotRun && refusal.RetryAfterMs > 0 {
		w.Header().Set("Retry-After", formatSeconds(refusal.RetryAfterMs))
	}
	WriteJSON(w, Status(refusal.Code), ErrorBody{Error: refusal})
}

// Status returns the HTTP status of a refusal with code c.
func Status(c samphirepass.Code) int {
	switch c {
	case samphirepass.CodeInvalid:
		return http.StatusBadRequest
	case samphirepass.CodeNotFound:
		return http.StatusNotFound
	case samphirepass.CodeUnknownCaller:
		return http.StatusForbidden
	case samphirepass.CodeConflict, samphirepass.CodeKeyMismatch, samphirepass.CodeKeyRunning:
		return http.StatusConflict
	case samphirepass.CodeKeyExpired, samphirepass.CodeRestartWatch:
		return http.StatusGone
	case samphirepass.CodeOverloaded:
		return http.StatusTooManyRequests
	case CodeTooSlow:
		return http.StatusRequestTimeout
	case samphirepass.CodeDeadline, samphirepass.CodePartial, samphirepass.CodeOutcomeUnknown:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}
