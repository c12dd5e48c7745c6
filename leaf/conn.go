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
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"samphirepass"
)

const (
	dialTimeoutMs samphirepass.Millis = 1000
	// keepAliveIdleMs, keepAliveMs and keepAliveProbes find connections whose other end is gone without a word within 6 s.
	// Thousands of connections rest most of the time: with a probe each second they sent most of the bytes between data centres.
	keepAliveIdleMs     samphirepass.Millis = 4000
	keepAliveIntervalMs samphirepass.Millis = 1000
	keepAliveProbes                         = 2
	// laneBufferBytes holds most answers of one shard; larger buffers cost memory on hundreds of connections.
	readBufferBytes = 2048
	// sentAtOnceBytes is the length of a body up to which a request is written before its answer is looked for;
	// it fits into the buffers on the way, so that a leaf which answers early cannot hold the writer up.
	maxSyncWriteBytes = 2048
	// idleMarginMs is how much sooner than the leaf this side gives an idle connection up.
	idleMarginMs samphirepass.Millis = 1000
)

var (
	// errNotWritten tells that no byte of a request left.
	errNotWritten = eris.New("no byte was sent")
	// longAgo as a deadline ends what reads or writes a connection.
	pastDeadline = time.Unix(1, 0)
)

// leafDialer opens connections to leaves.
var leafDialer = &net.Dialer{Timeout: dialTimeoutMs.Duration(), KeepAliveConfig: net.KeepAliveConfig{
	Enable: true, Idle: keepAliveIdleMs.Duration(), Interval: keepAliveIntervalMs.Duration(), Count: keepAliveProbes,
}}

// lane is the right to one connection of a leaf, with the connection if it is open; one goroutine uses it at a time.
// It holds the connection itself, in place of a http.Transport, so that an attempt costs no switches between goroutines,
// nothing is ever sent twice, and it is known whether a byte was sent.
type pooledConn struct {
	conn   net.Conn
	reader *bufio.Reader
	// cutMs is when a request last failed, which closes the connection.
	failedAtMs samphirepass.Millis
	// usedMs is when the last answer came, 0 before the first.
	answeredAtMs samphirepass.Millis
	// idleMs is how long the leaf keeps the connection without a request, by its own word, 0 if it did not say.
	idleTimeoutMs samphirepass.Millis
}

// worn reports whether the leaf may be about to close the connection for its idleness.
func (l *pooledConn) nearIdleTimeout(now samphirepass.Millis) bool {
	return l.idleTimeoutMs > 0 && l.answeredAtMs > 0 && now-l.answeredAtMs > l.idleTimeoutMs-idleMarginMs
}

// open dials unless a connection stands.
func (l *pooledConn) connect(ctx context.Context, address string) error {
	if l.conn != nil && l.reader.Buffered() == 0 && isAlive(l.conn) {
		return nil
	}
	l.close()
	c, err := leafDialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("dial leaf: %w", err)
	}
	l.conn = c
	if l.reader == nil {
		l.reader = bufio.NewReaderSize(c, readBufferBytes)
	} else {
		l.reader.Reset(c)
	}
	return nil
}

// close gives the connection up.
func (l *pooledConn) close() {
	if l.conn != nil {
		// There is nothing more to learn from the connection, whatever its end says.
		_ = l.conn.Close()
		l.conn = nil
	}
}

// roundTrip sends a request once and returns the whole answer; afterwards the connection stands only if another request may follow.
// Its error has errNotWritten in its chain where no byte of the request left.
func (l *pooledConn) roundTrip(ctx context.Context, address string, req *http.Request, maxBody int64) (*http.Response, []byte, error) {
	if err := l.connect(ctx, address); err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errNotWritten, err)
	}
	conn := l.conn
	stop := context.AfterFunc(ctx, func() {
		// A connection that is closed already needs no end.
		_ = conn.SetDeadline(pastDeadline)
	})
	sent, err := l.write(req)
	var resp *http.Response
	var body []byte
	if err == nil {
		resp, body, err = l.read(req, maxBody)
	}
	// A request that is still being written when its answer is there leaves a connection on which nothing may follow.
	written := false
	select {
	case written = <-sent:
	default:
	}
	if !stop() || err != nil || !written || resp.Close || req.Close {
		l.close()
	}
	return resp, body, err
}

// write sends the request, a long one beside the reading of the answer; the channel tells at the end whether all was written.
func (l *pooledConn) write(req *http.Request) (<-chan bool, error) {
	done := make(chan bool, 1)
	if req.ContentLength >= 0 && req.ContentLength <= maxSyncWriteBytes {
		var b bytes.Buffer
		err := req.Write(&b)
		if err != nil {
			done <- false
			return done, fmt.Errorf("%w: encode request: %w", errNotWritten, err)
		}
		n, err := l.conn.Write(b.Bytes())
		done <- err == nil
		switch {
		case err != nil && n == 0:
			return done, fmt.Errorf("%w: %w", errNotWritten, err)
		case err != nil:
			return done, fmt.Errorf("write request: %w", err)
		}
		return done, nil
	}
	conn := l.conn
	go func() {
		// The answer, or its absence, tells what a failure to write meant.
		done <- req.Write(conn) == nil
	}()
	return done, nil
}

// read returns the whole answer to the request.
func (l *pooledConn) read(req *http.Request, maxBody int64) (*http.Response, []byte, error) {
	for {
		resp, err := http.ReadResponse(l.reader, req)
		if err != nil {
			return nil, nil, fmt.Errorf("read answer: %w", err)
		}
		if resp.StatusCode/100 == 1 && resp.StatusCode != http.StatusSwitchingProtocols {
			// The final answer follows.
			continue
		}
		body, err := readBody(resp, maxBody)
		if err != nil {
			return nil, nil, err
		}
		return resp, body, nil
	}
}

func readBody(resp *http.Response, maxBody int64) ([]byte, error) {
	defer resp.Body.Close()
	if resp.ContentLength > maxBody {
		return nil, eris.Errorf("read answer's body: %d bytes are too many", resp.ContentLength)
	}
	if resp.ContentLength >= 0 {
		body := make([]byte, resp.ContentLength)
		if _, err := io.ReadFull(resp.Body, body); err != nil {
			return nil, fmt.Errorf("read answer's body: %w", err)
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err == nil && int64(len(body)) > maxBody {
		err = eris.Errorf("more than %d bytes", maxBody)
	}
	if err != nil {
		return nil, fmt.Errorf("read answer's body: %w", err)
	}
	return body, nil
}

// stands reports whether an idle connection is neither closed by the other end nor holds bytes that belong to no request.
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
		// The descriptor does not block, so a live connection says that it has nothing yet.
		_, err := syscall.Read(int(fd), b[:])
		alive = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && alive
}
