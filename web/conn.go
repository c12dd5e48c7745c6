package web

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"samphirepass"
	"samphirepass/policy"
)

const (
	// maxDeclaredHeadBytes bounds the limit on heads that a routing document may declare, headMarginBytes is allowed beyond the declared
	// limit: it is not said whether the request line counts.
	maxDeclaredHeadBytes = 1 << 20
	headMarginBytes      = 8192
	// maxHeadLines bounds the lines of a head, unless shorter lines fit into a declared limit.
	maxHeadLines      = 8192
	shortestLineBytes = 4
	// headLineBytes is the memory that a header line takes beside its bytes, in the header that is read and in the one that is sent on.
	headLineBytes = 192
	// freeHeadBytes is the memory of a head that counts with its connection.
	freeHeadBytes = 8 << 10
	// maxLeadingBytes bounds the empty lines before a request.
	maxLeadingBytes = 64
	// headMarginMs is allowed beyond the declared time for a head.
	headMarginMs samphirepass.Millis = 500
	// defaultKeepMs is how long an idle connection is kept where no time is declared, unless no other one can give way.
	defaultKeepMs samphirepass.Millis = 60_000
	// writePieceBytes is the part of an answer whose writing counts as progress.
	writePieceBytes = 64 << 10
	// freeAnswerBytes is the length of an answer that counts with its connection.
	freeAnswerBytes = 16 << 10
	// refusalWriteMs bounds the time to write a refusal, lingerMs the time in which the client can read it, and lingerBytes how much it may
	// send meanwhile. To close a connection that has unread bytes would discard the refusal.
	refusalWriteMs samphirepass.Millis = 50
	lingerMs       samphirepass.Millis = 500
	lingerBytes                        = 256 << 10
)

// The reasons of refusals, as labels of a metric.
const (
	reasonHeadBytes   = "head-bytes"
	reasonHeadLines   = "head-lines"
	reasonEmptyLines  = "empty-lines"
	reasonHeadTime    = "head-time"
	reasonHeadMemory  = "head-memory"
	reasonBodyBytes   = "body-bytes"
	reasonBodyMemory  = "body-memory"
	reasonBodyTime    = "body-time"
	reasonAnswers     = "answer-memory"
	reasonConnections = "connections"
	reasonMessages    = "message-memory"
	reasonQueue       = "queue-memory"
)

// refusal is the answer to a request that is refused before a handler sees it.
type refusal struct {
	reason string
	status int
	text   string
}

var (
	refusalHeadBytes    = &refusal{reasonHeadBytes, http.StatusRequestHeaderFieldsTooLarge, "the request line and the headers are too long"}
	refusalHeadLines    = &refusal{reasonHeadLines, http.StatusRequestHeaderFieldsTooLarge, "there are too many header lines"}
	refusalEmptyLines   = &refusal{reasonEmptyLines, http.StatusBadRequest, "there are too many empty lines before the request"}
	refusalHeadTime     = &refusal{reasonHeadTime, http.StatusRequestTimeout, "the headers did not arrive in time; the request was not run"}
	refusalHeadMemory   = &refusal{reasonHeadMemory, http.StatusServiceUnavailable, "there is no memory for the headers now; the request was not run"}
	refusalNoConnection = &refusal{reasonConnections, http.StatusServiceUnavailable, "there are too many connections; no request was run"}
	refusalAnswers      = &refusal{reasonAnswers, http.StatusServiceUnavailable, "too many answers wait to be read; the request was not run"}
)

// refusalOf returns the bytes of the answer.
func refusalOf(r *refusal) []byte {
	retry := ""
	if r.status == http.StatusServiceUnavailable {
		retry = "Retry-After: " + formatSeconds(retryAfter()) + "\r\n"
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s\n",
		r.status, http.StatusText(r.status), len(r.text)+1, retry, r.text)
}

// formatSeconds returns a time in whole seconds, as HTTP has them.
func formatSeconds(ms samphirepass.Millis) string {
	return strconv.Itoa(int(math.Ceil(float64(ms) / 1000)))
}

// errRefused makes net/http close a connection without a word; the answer has been written.
var errRefused = &net.OpError{Op: "read", Err: errors.New("request refused")}

// conn is a connection to a client. It follows the heads of requests, which net/http reads before a handler can refuse them, and charges
// them to the budget of the process.
type conn struct {
	net.Conn
	door   *Door
	guard  *Guard
	holder *policy.ClientHolder
	// admitting is held until the connection is complete.
	admitting sync.Mutex
	// inHead is set from the end of a request to the end of the next one's head.
	inHead atomic.Bool
	// buffered is set if net/http may have read bytes of the next request while it read this one.
	buffered atomic.Bool
	// noBody is set while a request without a body is served, leading counts the empty lines that have been removed meanwhile.
	noBody  atomic.Bool
	leading atomic.Int64
	// hijacked is set once the connection no longer belongs to net/http.
	hijacked atomic.Bool
	// queue holds the messages that wait to be written on a hijacked connection.
	queue atomic.Pointer[policy.ClientHolder]
	// refused is set once a refusal has been written.
	refused atomic.Bool
	closed  atomic.Bool

	// The following belong to the goroutine that reads the head.
	head headReader
	// held is what the request holds beside its connection.
	held int64
}

// headReader follows the lines of a head.
type headReader struct {
	// begun is set once the first byte is known to have arrived.
	begun bool
	// joined is set if net/http may hold the start of the head, so that an empty line proves nothing.
	joined bool
	// leading counts bytes of empty lines before the request, lineBytes those of the unfinished line.
	leading, lineBytes int
	lastByte           byte
	bytes, lines       int
}

// read follows the bytes of a part of the head and reports whether the head ends in it.
func (h *headReader) read(p []byte) (ended bool) {
	for len(p) > 0 {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			h.bytes += len(p)
			h.lineBytes += len(p)
			h.lastByte = p[len(p)-1]
			return false
		}
		if i > 0 {
			h.lastByte = p[i-1]
		}
		length := h.lineBytes + i
		empty := length == 0 || length == 1 && h.lastByte == '\r'
		h.bytes += i + 1
		h.lines++
		h.lineBytes = 0
		p = p[i+1:]
		if empty && !h.joined {
			return true
		}
	}
	return false
}

// Read reads from the connection. While it reads a head, it refuses one that is too long or finds no memory.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.inHead.Load() {
			if n > 0 && c.isLeading(p[:n]) {
				continue
			}
			if n > 0 {
				c.buffered.Store(true)
				c.holder.Progress(c.guard.clock.Now(), n)
			}
			return n, err
		}
		if n > 0 {
			kept, refused := c.readHead(p[:n])
			if refused != nil {
				return 0, c.refuse(refused)
			}
			if kept == 0 && err == nil {
				continue
			}
			return kept, err
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && c.head.begun {
			return 0, c.refuse(refusalHeadTime)
		}
		return 0, err
	}
}

// isLeading reports whether p belongs to empty lines before the next request, which net/http reads ahead while it serves one without a body.
func (c *conn) isLeading(p []byte) bool {
	if !c.noBody.Load() || c.head.joined || c.buffered.Load() || c.hijacked.Load() {
		return false
	}
	for _, b := range p {
		if b != '\r' && b != '\n' {
			return false
		}
	}
	return c.leading.Add(int64(len(p))) <= maxLeadingBytes
}

// readHead charges a part of a head. It removes empty lines before the request from p and returns the length of the rest.
func (c *conn) readHead(p []byte) (int, *refusal) {
	h, now := &c.head, c.guard.clock.Now()
	limits := c.door.limits()
	if !h.begun {
		h.begun = true
		if !c.holder.Enter(policy.ClientSending, now) {
			return 0, refusalHeadTime
		}
		_ = c.Conn.SetReadDeadline(time.Now().Add(headTimeout(limits).Duration()))
	}
	if h.bytes == 0 && !h.joined {
		k := 0
		for k < len(p) && (p[k] == '\r' || p[k] == '\n') {
			k++
		}
		if h.leading += k; h.leading > maxLeadingBytes {
			return 0, refusalEmptyLines
		}
		p = p[:copy(p, p[k:])]
		if len(p) == 0 {
			return 0, nil
		}
	}
	before := h.bytes
	ended := h.read(p)
	maxBytes, maxLines := headLimits(limits)
	switch {
	case h.bytes > maxBytes:
		return 0, refusalHeadBytes
	case h.lines > maxLines:
		return 0, refusalHeadLines
	}
	if cost := int64(2*h.bytes + headLineBytes*h.lines); cost > freeHeadBytes {
		switch err := c.holder.Resize(now, cost); {
		case errors.Is(err, policy.ErrEvicted):
			return 0, refusalHeadTime
		case err != nil:
			return 0, refusalHeadMemory
		}
		c.held = cost
	}
	c.holder.Progress(now, len(p))
	if ended {
		// The rest of p belongs to the body or to the next request.
		if h.bytes-before < len(p) {
			c.buffered.Store(true)
		}
		c.inHead.Store(false)
	}
	return len(p), nil
}

// headLimits returns the limits on the bytes and the lines of a head.
func headLimits(l samphirepass.ClientLimits) (maxBytes, maxLines int) {
	if l.MaxHeaderBytes <= 0 {
		return maxHeaderBytes, maxHeadLines
	}
	maxBytes = min(l.MaxHeaderBytes, maxDeclaredHeadBytes) + headMarginBytes
	return maxBytes, max(maxHeadLines, maxBytes/shortestLineBytes)
}

// headTimeout returns the time from the first byte of a head to its end.
func headTimeout(l samphirepass.ClientLimits) samphirepass.Millis {
	if l.HeaderTimeoutMs <= 0 {
		return headerTimeoutMs
	}
	return l.HeaderTimeoutMs + headMarginMs
}

// refuse writes a refusal and returns an error at which net/http closes the connection.
func (c *conn) refuse(r *refusal) error {
	c.guard.countRefused(r.reason)
	c.refused.Store(true)
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteMs.Duration()))
	_, _ = c.Conn.Write(refusalOf(r))
	return errRefused
}

// SetReadDeadline sets the deadline of reads, except that the time for a head starts with its first byte.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.inHead.Load() && t.After(time.Now()) {
		if c.head.begun {
			return nil
		}
		// The connection is new, or net/http holds the start of the head already.
		t = time.Now().Add(max(headerTimeoutMs, headTimeout(c.door.limits())).Duration())
	}
	err := c.Conn.SetReadDeadline(t)
	if c.holder.Evicted() {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

// begin ends the head: a handler gets the request. It returns why the request must be refused, or nil.
func (c *conn) begin(noBody bool) *refusal {
	c.inHead.Store(false)
	c.noBody.Store(noBody)
	now := c.guard.clock.Now()
	switch {
	case !c.holder.Enter(policy.ClientWaiting, now):
		return refusalHeadTime
	case c.door.RefuseOverdrawn && c.guard.memory.Overdrawn(now):
		return refusalAnswers
	}
	return nil
}

// answered ends the handling of a request; the rest of its body may still be read.
func (c *conn) answered() {
	if !c.hijacked.Load() {
		_ = c.holder.Enter(policy.ClientSending, c.guard.clock.Now())
	}
}

// idle ends a request.
func (c *conn) idle() {
	// Bytes that were read ahead may hold several requests, and the start of one more.
	c.head = headReader{joined: c.buffered.Swap(false) || c.head.joined}
	c.held = 0
	c.noBody.Store(false)
	c.leading.Store(0)
	keep := c.door.limits().IdleTimeoutMs
	if keep <= 0 {
		keep = defaultKeepMs
	}
	c.holder.Idle(c.guard.clock.Now(), keep)
	c.inHead.Store(true)
}

// hijack ends the part of net/http.
func (c *conn) hijack() {
	c.hijacked.Store(true)
	c.inHead.Store(false)
	_ = c.holder.Resize(c.guard.clock.Now(), 0)
}

// Write writes to the connection. What waits to be read counts, and a client that does not read it may be evicted.
func (c *conn) Write(p []byte) (int, error) {
	if len(p) > freeAnswerBytes && !c.hijacked.Load() {
		if err := c.holder.Add(c.guard.clock.Now(), int64(len(p))); err != nil {
			return 0, fmt.Errorf("write answer: %w", err)
		}
		defer c.holder.Release(int64(len(p)))
	}
	defer c.holder.Written()
	for written := 0; ; {
		now := c.guard.clock.Now()
		c.holder.Writing(now)
		if q := c.queue.Load(); q != nil {
			q.Writing(now)
		}
		n, err := c.Conn.Write(p[written:min(written+writePieceBytes, len(p))])
		if written += n; err != nil || written == len(p) {
			return written, err
		}
	}
}

// evict ends the connection, or what the client is doing.
func (c *conn) evict(state policy.ClientState) {
	c.admitting.Lock()
	defer c.admitting.Unlock()
	c.guard.countEvicted(state)
	switch state {
	case policy.ClientSending:
		// The reader of the head or the body then refuses the request, and the client may have stopped reading as well.
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerMs.Duration()))
	case policy.ClientReading:
		if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
			// Otherwise the system would keep what the client does not read.
			_ = l.SetLinger(0)
		}
		_ = c.Close()
	default:
		_ = c.Close()
	}
}

// CloseWrite closes the connection for writing.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close closes the connection, after the client could read a refusal.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	_ = c.holder.Resize(0, 0)
	if limit := c.guard.memory.Limits().Connections; c.refused.Load() && (limit == 0 || c.guard.open.Load() < int64(limit)) {
		_ = c.CloseWrite()
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerMs.Duration()))
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	err := c.Conn.Close()
	c.holder.Close()
	c.guard.open.Add(-1)
	return err
}
