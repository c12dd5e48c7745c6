package peer

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"

	"samphirepass"
	"samphirepass/cbor"
)

const (
	// HeartbeatIntervalMs is the time between heartbeats, which both ends send.
	HeartbeatIntervalMs samphirepass.Millis = 400
	// HeartbeatTimeoutMs is the time without a frame after which a connection counts as dead.
	HeartbeatTimeoutMs samphirepass.Millis = 1500
	// maxFrameBytes bounds one frame.
	maxFrameBytes = 64 << 20
	// sendQueue is the number of frames that may wait to be written.
	sendQueue = 1024
)

// ErrLost tells that a connection ended before the reply; the request may have been carried out.
var ErrLost = eris.New("peer: connection lost")

// ErrNotSent tells that a request was not sent, as there was no connection.
var ErrNotSent = eris.New("peer: not sent")

// frame is one message on a connection; a frame with neither kind, reply nor cancel is a heartbeat.
type frame struct {
	ID    uint64 `codec:"i,omitempty"`
	Kind  string `codec:"k,omitempty"`
	Reply bool   `codec:"r,omitempty"`
	// TimeoutMs is the time that the sender waits for the reply.
	TimeoutMs samphirepass.Millis   `codec:"t,omitempty"`
	Body      []byte                `codec:"b,omitempty"`
	Refusal   *samphirepass.Refusal `codec:"e,omitempty"`
	// Cancel tells that nobody waits for the reply to ID any more.
	Cancel bool `codec:"c,omitempty"`
}

// conn is one WebSocket with a writer, a reader and heartbeats.
type conn struct {
	ws       *websocket.Conn
	handlers *Handlers
	out      chan []byte
	done     chan struct{}
	closing  sync.Once
	lastRead atomic.Int64
	// lastSent is when a frame was last sent, which spares a heartbeat.
	lastSent atomic.Int64
	nextID   atomic.Uint64

	mu      sync.Mutex
	waiting map[uint64]chan frame
	// answering ends the requests of the other end that are under way.
	answering map[uint64]context.CancelFunc
}

func newConn(ws *websocket.Conn, h *Handlers) *conn {
	ws.SetReadLimit(maxFrameBytes)
	c := &conn{
		ws: ws, handlers: h, out: make(chan []byte, sendQueue),
		done: make(chan struct{}), waiting: map[uint64]chan frame{}, answering: map[uint64]context.CancelFunc{},
	}
	c.lastRead.Store(time.Now().UnixNano())
	return c
}

// run serves the connection until it ends.
func (c *conn) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.write(ctx)
	go c.beat()
	c.read(ctx)
	c.close()
}

func (c *conn) close() {
	c.closing.Do(func() {
		close(c.done)
		_ = c.ws.CloseNow()
		c.mu.Lock()
		defer c.mu.Unlock()
		for id, ch := range c.waiting {
			close(ch)
			delete(c.waiting, id)
		}
	})
}

func (c *conn) closed() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

func (c *conn) write(ctx context.Context) {
	for {
		select {
		case b := <-c.out:
			if err := c.ws.Write(ctx, websocket.MessageBinary, b); err != nil {
				c.close()
				return
			}
		case <-c.done:
			return
		}
	}
}

// beat sends heartbeats and closes the connection once the other end fell silent.
func (c *conn) beat() {
	t := time.NewTicker(HeartbeatIntervalMs.Duration())
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if time.Since(time.Unix(0, c.lastRead.Load())) > HeartbeatTimeoutMs.Duration() {
				c.close()
				return
			}
			if time.Since(time.Unix(0, c.lastSent.Load())) >= HeartbeatIntervalMs.Duration()/2 {
				// A send that fails closes the connection, which ends this loop.
				_ = c.send(frame{})
			}
		case <-c.done:
			return
		}
	}
}

func (c *conn) read(ctx context.Context) {
	for {
		_, b, err := c.ws.Read(ctx)
		if err != nil {
			return
		}
		c.lastRead.Store(time.Now().UnixNano())
		var f frame
		if err := cbor.Unmarshal(b, &f); err != nil {
			return
		}
		c.dispatch(ctx, f)
	}
}

func (c *conn) dispatch(ctx context.Context, f frame) {
	switch {
	case f.Reply:
		c.deliver(f)
	case f.Cancel:
		c.endAnswer(f.ID)
	case f.Kind == "":
	case f.ID == 0:
		c.handlers.notify(f.Kind, f.Body)
	default:
		ctx, cancel := context.WithCancel(ctx)
		c.mu.Lock()
		c.answering[f.ID] = cancel
		c.mu.Unlock()
		go c.answer(ctx, f)
	}
}

// endAnswer cancels the context of a request of the other end, if it is still under way.
func (c *conn) endAnswer(id uint64) {
	c.mu.Lock()
	cancel := c.answering[id]
	delete(c.answering, id)
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (c *conn) deliver(f frame) {
	c.mu.Lock()
	ch := c.waiting[f.ID]
	delete(c.waiting, f.ID)
	c.mu.Unlock()
	if ch != nil {
		ch <- f
	}
}

func (c *conn) answer(ctx context.Context, f frame) {
	defer c.endAnswer(f.ID)
	if f.TimeoutMs > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, f.TimeoutMs.Duration())
		defer cancel()
	}
	reply := frame{ID: f.ID, Reply: true}
	body, err := c.handlers.call(ctx, f.Kind, f.Body)
	reply.Body = body
	if err != nil {
		reply.Refusal = samphirepass.AsRefusal(err)
		if reply.Refusal == nil {
			reply.Refusal = samphirepass.RefuseUnknown("%v", err)
		}
	}
	_ = c.send(reply)
}

func (c *conn) send(f frame) error {
	b, err := cbor.Marshal(f)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	select {
	case c.out <- b:
		c.lastSent.Store(time.Now().UnixNano())
		return nil
	case <-c.done:
		return ErrLost
	default:
		// A full queue means that the other end does not read.
		c.close()
		return ErrLost
	}
}

func (c *conn) call(ctx context.Context, kind string, body []byte) ([]byte, error) {
	f := frame{ID: c.nextID.Add(1), Kind: kind, Body: body}
	if d, ok := ctx.Deadline(); ok {
		f.TimeoutMs = samphirepass.MillisOf(time.Until(d))
	}
	ch := make(chan frame, 1)
	c.mu.Lock()
	c.waiting[f.ID] = ch
	c.mu.Unlock()
	defer c.forget(f.ID)
	if c.closed() {
		return nil, ErrLost
	}
	if err := c.send(f); err != nil {
		return nil, err
	}
	select {
	case reply, ok := <-ch:
		if !ok {
			return nil, ErrLost
		}
		if reply.Refusal != nil {
			return nil, reply.Refusal
		}
		return reply.Body, nil
	case <-ctx.Done():
		// A connection that is lost ends the request at the other end, too.
		_ = c.send(frame{ID: f.ID, Cancel: true})
		return nil, fmt.Errorf("wait for reply to %s: %w", kind, ctx.Err())
	}
}

func (c *conn) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}
