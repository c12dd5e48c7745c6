package leaf

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"samphirepass"
)

const (
	dialTimeoutMs samphirepass.Millis = 1000
	// keepAliveIdleMs, keepAliveIntervalMs and keepAliveProbes detect within 6 s a peer that vanished without closing the connection.
	// Thousands of connections are idle most of the time: probing each every second caused most of the traffic between data centres.
	keepAliveIdleMs     samphirepass.Millis = 4000
	keepAliveIntervalMs samphirepass.Millis = 1000
	keepAliveProbes                         = 2
	// readBufferBytes holds most replies of one shard; larger buffers cost memory on hundreds of connections.
	readBufferBytes = 2048
	// maxSyncWriteBytes is the body length up to which a request is written before the answer is read.
	// It fits into the buffers on the network path, so a leaf that answers before it has read the request cannot block the writer.
	maxSyncWriteBytes = 2048
	// idleMarginMs is how long before the leaf's idle timeout this side closes a connection.
	idleMarginMs samphirepass.Millis = 1000
)

var (
	// errNotWritten means that no byte of a request was sent.
	errNotWritten = eris.New("no byte was sent")
	// pastDeadline, set as a connection's deadline, ends its reads and writes at once.
	pastDeadline = time.Unix(1, 0)
)

// leafDialer opens connections to leaves.
var leafDialer = newLeafDialer(netip.Addr{})

// newLeafDialer returns a dialer whose connections start from an IP address, or from any if it is invalid.
func newLeafDialer(from netip.Addr) *net.Dialer {
	d := &net.Dialer{Timeout: dialTimeoutMs.Duration(), KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdleMs.Duration(), Interval: keepAliveIntervalMs.Duration(), Count: keepAliveProbes,
	}}
	if from.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(from, 0))
	}
	return d
}

// pooledConn is one of the connections that a connPool may hold; if it is closed, the next request dials.
// One goroutine uses it at a time. It does not go through http.Transport, so that an attempt needs no switches between goroutines,
// nothing is ever sent twice, and it is known whether a byte was sent.
type pooledConn struct {
	conn net.Conn
	// dialer opens the connection; nil means leafDialer.
	dialer *net.Dialer
	// bounded limits what reader reads from conn.
	bounded boundedReader
	reader  *bufio.Reader
	// acquiredAtMs is when an attempt of an account got the connection, 0 if it is not in use by one.
	acquiredAtMs samphirepass.Millis
	// takenAtMs is the same for an attempt without an account.
	takenAtMs samphirepass.Millis
	// failedAtMs is the time of the last failed request, 0 before the first.
	failedAtMs samphirepass.Millis
	// answeredAtMs is the time of the last answer, 0 before the first.
	answeredAtMs samphirepass.Millis
	// answered is set once an answer has arrived on the open connection.
	answered bool
	// idleTimeoutMs is the idle timeout that the leaf announced in its Keep-Alive header, 0 if there was none.
	idleTimeoutMs samphirepass.Millis
	// beforeWrite is called right before a request is written, and keeps it from being sent by an error; it may be nil.
	beforeWrite func() error
}

// nearIdleTimeout reports whether the leaf may be about to close the idle connection.
func (pc *pooledConn) nearIdleTimeout(now samphirepass.Millis) bool {
	return pc.idleTimeoutMs > 0 && pc.answeredAtMs > 0 && now-pc.answeredAtMs > pc.idleTimeoutMs-idleMarginMs
}

// isOpen reports whether the connection is open and alive.
func (pc *pooledConn) isOpen() bool {
	return pc.conn != nil && pc.reader.Buffered() == 0 && isAlive(pc.conn)
}

// connect dials unless the connection is open and alive.
func (pc *pooledConn) connect(ctx context.Context, address string) error {
	if pc.isOpen() {
		return nil
	}
	return pc.dial(ctx, address)
}

// dial opens a new connection and closes an open one.
func (pc *pooledConn) dial(ctx context.Context, address string) error {
	pc.close()
	dialer := pc.dialer
	if dialer == nil {
		dialer = leafDialer
	}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("dial leaf: %w", err)
	}
	pc.conn, pc.answered = c, false
	pc.bounded = boundedReader{source: c}
	if pc.reader == nil {
		pc.reader = bufio.NewReaderSize(&pc.bounded, readBufferBytes)
	} else {
		pc.reader.Reset(&pc.bounded)
	}
	return nil
}

// close closes the connection; a later request dials again.
func (pc *pooledConn) close() {
	if pc.conn != nil {
		// The connection is discarded, so an error on close is of no use.
		_ = pc.conn.Close()
		pc.conn = nil
	}
}

// roundTrip sends a request once, on the open connection, and returns the whole answer. It closes the connection unless another
// request may follow. Its error wraps errNotWritten if no byte of the request was sent.
func (pc *pooledConn) roundTrip(ctx context.Context, req *http.Request, limits answerLimits) (*http.Response, []byte, error) {
	conn := pc.conn
	stop := context.AfterFunc(ctx, func() {
		// It only fails on a connection that is closed already.
		_ = conn.SetDeadline(pastDeadline)
	})
	sent, err := pc.write(req)
	var resp *http.Response
	var body []byte
	if err == nil {
		resp, body, err = pc.read(req, limits)
	}
	// No other request may follow one that was still being written when its answer arrived.
	written := false
	select {
	case written = <-sent:
	default:
	}
	if !stop() || err != nil || !written || resp.Close || req.Close {
		pc.close()
	}
	return resp, body, err
}

// write sends the request, a long one in the background while the answer is read.
// The channel receives whether the whole request was written.
func (pc *pooledConn) write(req *http.Request) (<-chan bool, error) {
	done := make(chan bool, 1)
	if req.ContentLength >= 0 && req.ContentLength <= maxSyncWriteBytes {
		var b bytes.Buffer
		err := writeRequest(&b, req)
		if err != nil {
			done <- false
			return done, fmt.Errorf("%w: encode request: %w", errNotWritten, err)
		}
		if err := pc.checkWrite(); err != nil {
			done <- false
			return done, err
		}
		n, err := pc.conn.Write(b.Bytes())
		done <- err == nil
		switch {
		case err != nil && n == 0:
			return done, fmt.Errorf("%w: %w", errNotWritten, err)
		case err != nil:
			return done, fmt.Errorf("write request: %w", err)
		}
		return done, nil
	}
	if err := pc.checkWrite(); err != nil {
		done <- false
		return done, err
	}
	conn := pc.conn
	go func() {
		// After a failed write, the answer or the lack of one determines the outcome.
		done <- writeRequest(conn, req) == nil
	}()
	return done, nil
}

// writeRequest writes a request with RequestURI as its target, if that is set: net/http would encode anew what net/url takes for invalid.
func writeRequest(w io.Writer, req *http.Request) error {
	if req.RequestURI == "" || req.RequestURI == req.URL.RequestURI() {
		if err := req.Write(w); err != nil {
			return fmt.Errorf("write request: %w", err)
		}
		return nil
	}
	if strings.ContainsFunc(req.RequestURI, func(c rune) bool { return c <= ' ' || c == 0x7f }) {
		return eris.Errorf("request target %q has a character that ends it", req.RequestURI)
	}
	if err := req.Write(&requestLineWriter{w: w, line: req.Method + " " + req.RequestURI + " HTTP/1.1\r\n"}); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	return nil
}

// requestLineWriter replaces the first line that is written to it.
type requestLineWriter struct {
	w    io.Writer
	line string
	// replaced is set once the line has been written.
	replaced bool
}

func (l *requestLineWriter) Write(p []byte) (int, error) {
	if l.replaced {
		return l.w.Write(p)
	}
	end := bytes.IndexByte(p, '\n')
	if end < 0 {
		return len(p), nil
	}
	l.replaced = true
	if _, err := l.w.Write(append([]byte(l.line), p[end+1:]...)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// checkWrite calls beforeWrite.
func (pc *pooledConn) checkWrite() error {
	if pc.beforeWrite == nil {
		return nil
	}
	if err := pc.beforeWrite(); err != nil {
		return fmt.Errorf("%w: %w", errNotWritten, err)
	}
	return nil
}

// isAlive reports whether an idle connection has neither been closed by the peer nor received bytes that belong to no request.
func isAlive(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		// The descriptor is non-blocking, so a live connection without data returns EAGAIN.
		_, err := syscall.Read(int(fd), b[:])
		alive = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && alive
}
