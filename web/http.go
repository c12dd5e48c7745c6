package web

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"samphirepass"
)

const (
	// headerTimeoutMs bounds how long a client may take to send its headers.
	headerTimeoutMs samphirepass.Millis = 5000
	// drainPollMs is the time between two looks at the connections that still stand at a stop.
	drainPollMs samphirepass.Millis = 20
	// maxBodyBytes bounds a request's body.
	maxBodyBytes = 1 << 20
)

// Server serves HTTP on one address as a supervised service.
type Server struct {
	listener net.Listener
	server   *http.Server
	// open counts the connections that stand.
	open atomic.Int64
	// draining is set once the listener is closed on purpose.
	draining atomic.Bool
}

// Listen opens the address; the server answers once Serve runs.
func Listen(address string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	s := &Server{listener: l}
	s.server = &http.Server{Handler: h, ReadHeaderTimeout: headerTimeoutMs.Duration(), ConnState: s.count}
	return s, nil
}

func (s *Server) count(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.open.Add(-1)
	}
}

// Address returns the address that is listened on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve answers until the server is shut down, or ctx ends, which cuts what is still open.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		// What is cut at the end has no other way to be told.
		_ = s.server.Close()
	})
	defer stop()
	err := s.server.Serve(s.listener)
	if s.draining.Load() {
		// The connections that stand are still served.
		<-ctx.Done()
		return nil
	}
	if !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve http: %w", err)
	}
	return nil
}

// Drain stops listening and goes on serving the connections that stand until all have ended, or until spare is left of ctx's time.
// A shutdown at once would drop requests that have arrived and are not yet answered to; the handler must ask clients to close.
func (s *Server) Drain(ctx context.Context, spare samphirepass.Millis) error {
	s.draining.Store(true)
	if err := s.listener.Close(); err != nil {
		return fmt.Errorf("stop listening: %w", err)
	}
	t := time.NewTicker(drainPollMs.Duration())
	defer t.Stop()
	for s.open.Load() > 0 {
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < spare.Duration() {
			break
		}
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
	return s.Shutdown(ctx)
}

// Shutdown stops listening and returns once all requests have been answered or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down http: %w", err)
	}
	return nil
}

// ReadBody returns a request's body or a refusal.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		refusal := samphirepass.Refuse(samphirepass.CodeInvalid, "read body: %v", err)
		refusal.Field, refusal.Allowed = "document", fmt.Sprintf("at most %d bytes", maxBodyBytes)
		return nil, refusal
	}
	return body, nil
}

// WriteJSON answers with a status and a value.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A client that has gone cannot be told.
	_ = json.NewEncoder(w).Encode(v)
}

// ErrorBody is the body of every answer that is not a success.
type ErrorBody struct {
	Error *samphirepass.Refusal `json:"error"`
}

// WriteError answers with the refusal in err's chain; any other error leaves open whether the request was run.
func WriteError(w http.ResponseWriter, err error) {
	r := samphirepass.AsRefusal(err)
	if r == nil {
		r = samphirepass.RefuseUnknown("%v", err)
	}
	WriteJSON(w, Status(r.Code), ErrorBody{Error: r})
}

// Status returns the HTTP status for a refusal.
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
	case samphirepass.CodeDeadline, samphirepass.CodePartial, samphirepass.CodeOutcomeUnknown:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}
