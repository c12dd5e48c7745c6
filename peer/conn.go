package peer

import (
	"context"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"

	"samphirepass"
	"samphirepass/cbor"
	"samphirepass/web"
)

const (
	// busyHeartbeatMs is the time between heartbeats of the end that accepted the connection while it has not answered a request, by which its
	// clients notice at once that it has fallen silent. idleHeartbeatMs is that time otherwise, and clientHeartbeatMs that of the end that
	// dialled: a process may have a connection to each of a hundred others.
	busyHeartbeatMs   samphirepass.Millis = 400
	idleHeartbeatMs   samphirepass.Millis = 700
	clientHeartbeatMs samphirepass.Millis = 1500
	// clientTimeoutMs and serverTimeoutMs are the times without a received frame after which the end that dialled and the one that accepted
	// close a connection.
	clientTimeoutMs samphirepass.Millis = 1500
	serverTimeoutMs samphirepass.Millis = 3500
	// maxFrameBytes is the largest frame that is read.
	maxFrameBytes = 64 << 20
	// sendQueueFrames is the number of frames that may be queued for writing.
	sendQueueFrames = 1024
)

// ErrLost reports that a connection ended before the reply arrived. The request may have been carried out.
var ErrLost = eris.New("peer: connection lost")

// ErrNotSent reports that a request was not sent because there was no connection.
var ErrNotSent = eris.New("peer: not sent")

// frame is one message on a connection. A frame with a kind is a request, or a one-way message if its ID is 0. A frame with
// neither Kind, Reply nor Cancel is a heartbeat.
type frame struct {
	ID    uint64 `codec:"i,omitempty"`
	Kind  string `codec:"k,omitempty"`
	Reply bool   `codec:"r,omitempty"`
	// TimeoutMs is how long the sender waits for the reply; 0 means no limit.
	TimeoutMs samphirepass.Millis   `codec:"t,omitempty"`
	Body      []byte                `codec:"b,omitempty"`
	Refusal   *samphirepass.Refusal `codec:"e,omitempty"`
	// Cancel cancels request ID: its sender no longer waits for the reply.
	Cancel bool `codec:"c,omitempty"`
	// SentAtMs is when the frame was queued, on the sender's clock.
	SentAtMs samphirepass.Millis `codec:"s,omitempty"`
}

// received is a frame with its time of receipt and its delay in transit.
type received struct {
	frame
	at, transit samphirepass.Millis
}

// queuedFrame is an encoded frame that waits to be written.
type queuedFrame struct {
	encoded []byte
	reply   bool
}

// maxUnanswered is the number of requests of the other end that may be in flight. A follower or a smaller gateway has some hundreds at
// most.
const maxUnanswered = 4096

// conn is one WebSocket connection with a write loop, a read loop and heartbeats.
type conn struct {
	ws *websocket.Conn
	// messages charges the messages of the other end to the budget for clients; it is nil at the end that dialled.
	messages  *web.Messages
	handlers  *Handlers
	sendQueue chan queuedFrame
	// unanswered counts the requests of the other end whose replies have not been written.
	unanswered atomic.Int64
	done       chan struct{}
	closeOnce  sync.Once
	clock      samphirepass.SystemClock
	// becameBusy receives a value when the first unanswered request of the other end has arrived.
	becameBusy chan struct{}
	// idleMs and busyMs are the times between heartbeats without and with unanswered requests of the other end, timeoutMs is that without a
	// received frame after which the connection is closed.
	idleMs, busyMs, timeoutMs samphirepass.Millis
	// lastRead is when the last frame was received, or else when the connection was opened.
	lastRead atomicMillis
	// lastSent is when the last frame was queued. A heartbeat is skipped shortly after another frame.
	lastSent atomicMillis
	nextID   atomic.Uint64

	mu sync.Mutex
	// pending holds the reply channels of the calls in flight, by request ID. close closes them.
	pending map[uint64]chan frame
	// incoming cancels the requests of the other end that are in flight, by ID.
	incoming map[uint64]context.CancelFunc
}

// atomicMillis is a time that several goroutines read and write.
type atomicMillis struct{ bits atomic.Uint64 }

func (a *atomicMillis) store(ms samphirepass.Millis) { a.bits.Store(math.Float64bits(float64(ms))) }

func (a *atomicMillis) load() samphirepass.Millis {
	return samphirepass.Millis(math.Float64frombits(a.bits.Load()))
}

// newClientConn returns the end of a connection that this process has dialled.
func newClientConn(ws *websocket.Conn, h *Handlers) *conn {
	c := newConn(ws, h)
	c.idleMs, c.busyMs, c.timeoutMs = clientHeartbeatMs, clientHeartbeatMs, clientTimeoutMs
	return c
}

// newServerConn returns the end of a connection that this process has accepted.
func newServerConn(ws *websocket.Conn, h *Handlers) *conn {
	c := newConn(ws, h)
	c.idleMs, c.busyMs, c.timeoutMs = idleHeartbeatMs, busyHeartbeatMs, serverTimeoutMs
	return c
}

func newConn(ws *websocket.Conn, h *Handlers) *conn {
	ws.SetReadLimit(maxFrameBytes)
	c := &conn{
		ws: ws, handlers: h, sendQueue: make(chan queuedFrame, sendQueueFrames),
		done: make(chan struct{}), becameBusy: make(chan struct{}, 1), pending: map[uint64]chan frame{}, incoming: map[uint64]context.CancelFunc{},
	}
	c.lastRead.store(c.clock.Now())
	return c
}

// run serves the connection until it is closed.
func (c *conn) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.writeLoop(ctx)
	go c.heartbeatLoop()
	c.readLoop(ctx)
	c.close()
}

// close closes the connection and fails the calls that wait for a reply.
func (c *conn) close() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.ws.CloseNow()
		c.mu.Lock()
		defer c.mu.Unlock()
		for id, ch := range c.pending {
			close(ch)
			delete(c.pending, id)
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

func (c *conn) writeLoop(ctx context.Context) {
	for {
		select {
		case f := <-c.sendQueue:
			if err := c.ws.Write(ctx, websocket.MessageBinary, f.encoded); err != nil {
				c.close()
				return
			}
			c.messages.Dequeue(len(f.encoded))
			if f.reply {
				c.unanswered.Add(-1)
			}
		case <-c.done:
			return
		}
	}
}

// heartbeatLoop sends heartbeats and closes the connection once the other end has been silent for timeoutMs.
func (c *conn) heartbeatLoop() {
	t := time.NewTimer(c.idleMs.Duration())
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-c.becameBusy:
			t.Reset(c.busyMs.Duration())
			continue
		case <-c.done:
			return
		}
		now := c.clock.Now()
		if now-c.lastRead.load() > c.timeoutMs {
			c.close()
			return
		}
		interval := c.idleMs
		if c.unanswered.Load() > 0 {
			interval = c.busyMs
		}
		if now-c.lastSent.load() >= interval/2 {
			// A failed send closes the connection, which ends this loop.
			_ = c.send(frame{})
		}
		t.Reset(interval.Duration())
	}
}

func (c *conn) readLoop(ctx context.Context) {
	var delay transitDelay
	for {
		_, in, err := c.ws.Reader(ctx)
		if err != nil {
			return
		}
		b, release, err := c.messages.Read(in)
		if err != nil {
			return
		}
		r := received{at: c.clock.Now()}
		c.lastRead.store(r.at)
		if err := cbor.Unmarshal(b, &r.frame); err != nil {
			release()
			return
		}
		if r.SentAtMs > 0 {
			r.transit = delay.observe(r.SentAtMs, r.at)
		}
		c.dispatch(ctx, r, release)
	}
}

// dispatch handles a frame. It calls release once the frame is no longer needed.
func (c *conn) dispatch(ctx context.Context, f received, release func()) {
	switch {
	case f.Reply:
		c.deliverReply(f.frame)
		release()
	case f.Cancel:
		c.cancelIncoming(f.ID)
		release()
	case f.Kind == "":
		release()
	case f.ID == 0:
		c.handlers.notify(f.Kind, f.Body)
		release()
	case c.unanswered.Load() >= maxUnanswered:
		release()
		c.unanswered.Add(1)
		_ = c.send(frame{ID: f.ID, Reply: true, Refusal: samphirepass.Refuse(samphirepass.CodeOverloaded, "%d requests are in flight on this connection", maxUnanswered)})
	default:
		ctx, cancel := context.WithCancel(ctx)
		c.mu.Lock()
		c.incoming[f.ID] = cancel
		c.mu.Unlock()
		if c.unanswered.Add(1) == 1 {
			select {
			case c.becameBusy <- struct{}{}:
			default:
			}
		}
		go func() {
			defer release()
			c.handle(ctx, f)
		}()
	}
}

// cancelIncoming cancels the context of a request of the other end, if it is still in flight.
func (c *conn) cancelIncoming(id uint64) {
	c.mu.Lock()
	cancel := c.incoming[id]
	delete(c.incoming, id)
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (c *conn) deliverReply(f frame) {
	c.mu.Lock()
	ch := c.pending[f.ID]
	delete(c.pending, f.ID)
	c.mu.Unlock()
	if ch != nil {
		ch <- f
	}
}

func (c *conn) handle(ctx context.Context, f received) {
	defer c.cancelIncoming(f.ID)
	age := f.transit + c.clock.Now() - f.at
	reply := frame{ID: f.ID, Reply: true}
	if f.TimeoutMs > 0 && age >= f.TimeoutMs {
		reply.Refusal = samphirepass.Refuse(samphirepass.CodeDeadline, "the request took %.0f ms to arrive, of the %.0f ms that it had", age, f.TimeoutMs)
		_ = c.send(reply)
		return
	}
	if f.TimeoutMs > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, (f.TimeoutMs - age).Duration())
		defer cancel()
	}
	ctx = context.WithValue(context.WithValue(ctx, ageKey{}, age), connKey{}, c)
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

// send queues a frame without waiting. If the queue is full it closes the connection.
func (c *conn) send(f frame) error {
	f.SentAtMs = c.clock.Now()
	b, err := cbor.Marshal(f)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	if err := c.messages.Queue(len(b)); err != nil {
		// The other end does not read, or too many others do not.
		c.close()
		return ErrLost
	}
	select {
	case c.sendQueue <- queuedFrame{encoded: b, reply: f.Reply}:
		c.lastSent.store(f.SentAtMs)
		return nil
	case <-c.done:
		return ErrLost
	default:
		// A full queue means that the other end has stopped reading.
		c.close()
		return ErrLost
	}
}

// call sends a request and waits for its reply, and sends a cancel frame if ctx ends first.
func (c *conn) call(ctx context.Context, kind string, body []byte) ([]byte, error) {
	f := frame{ID: c.nextID.Add(1), Kind: kind, Body: body}
	if d, ok := ctx.Deadline(); ok {
		f.TimeoutMs = samphirepass.MillisOf(time.Until(d))
	}
	ch := make(chan frame, 1)
	c.mu.Lock()
	c.pending[f.ID] = ch
	c.mu.Unlock()
	defer c.removePending(f.ID)
	// If close has already run, nothing would close ch.
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
		// If this frame cannot be sent the connection is lost, and that cancels the request at the other end, too.
		_ = c.send(frame{ID: f.ID, Cancel: true})
		return nil, fmt.Errorf("wait for reply to %s: %w", kind, ctx.Err())
	}
}

func (c *conn) removePending(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}
