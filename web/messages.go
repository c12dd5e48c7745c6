package web

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"samphirepass"
	"samphirepass/policy"
)

const (
	// messageWaitMs is how long the reading of a message waits for memory, messageRetryMs the interval between attempts. Meanwhile the
	// system holds back the sender.
	messageWaitMs  samphirepass.Millis = 500
	messageRetryMs samphirepass.Millis = 20
	// queuePatienceMs is the time without progress after which a peer that does not read may be evicted.
	queuePatienceMs samphirepass.Millis = 1000
	// longMessageBytes is the length from which the buffer of a message grows by half only.
	longMessageBytes = 1 << 20
	// freeQueueBytes is the length of queued messages that counts with a connection.
	freeQueueBytes = 64 << 10
)

// Messages charges the messages on a connection that net/http has handed over. Its methods work on nil, which charges nothing.
type Messages struct {
	c     *conn
	queue *policy.ClientHolder
	// end closes the connection.
	end func()

	// queued is the length of the messages that wait to be written.
	queued atomic.Int64

	mu sync.Mutex
	// charged is the part of queued that is charged.
	charged int64
}

// MessagesOf returns the Messages of the connection of a request, nil if its server has no guard. end closes the connection.
func MessagesOf(ctx context.Context, end func()) *Messages {
	c := connOf(ctx)
	if c == nil {
		return nil
	}
	m := &Messages{c: c, end: end}
	now := c.guard.clock.Now()
	m.queue = c.guard.messages.Message(now, queuePatienceMs, m.evict)
	m.queue.Enter(policy.ClientWaiting, now)
	c.queue.Store(m.queue)
	return m
}

func (m *Messages) evict(state policy.ClientState) {
	m.c.guard.countEvicted(state)
	m.end()
}

// Close releases what is queued.
func (m *Messages) Close() {
	if m != nil {
		m.queue.Close()
	}
}

// Read returns a message and a function that releases its memory. It waits for a short time while there is none.
func (m *Messages) Read(in io.Reader) (data []byte, release func(), err error) {
	if m == nil {
		data, err = io.ReadAll(in)
		return data, func() {}, err
	}
	var holder *policy.ClientHolder
	release = func() {
		if holder != nil {
			holder.Close()
		}
	}
	data = make([]byte, 0, firstBodyBytes)
	for {
		if len(data) == cap(data) {
			grown := 2 * cap(data)
			if cap(data) >= longMessageBytes {
				grown = cap(data) + cap(data)/2
			}
			if grown > freeBodyBytes && holder == nil {
				holder = m.c.guard.messages.Message(m.c.guard.clock.Now(), 0, m.evict)
			}
			if holder != nil {
				if err := m.wait(holder, int64(grown)); err != nil {
					release()
					return nil, nil, err
				}
			}
			data = append(make([]byte, 0, grown), data...)
		}
		n, err := in.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if holder != nil {
			holder.Progress(m.c.guard.clock.Now(), n)
		}
		if errors.Is(err, io.EOF) {
			if holder != nil && !holder.Enter(policy.ClientWaiting, m.c.guard.clock.Now()) {
				release()
				return nil, nil, policy.ErrEvicted
			}
			return data, release, nil
		}
		if err != nil {
			release()
			return nil, nil, fmt.Errorf("read message: %w", err)
		}
	}
}

// wait charges a message.
func (m *Messages) wait(h *policy.ClientHolder, bytes int64) error {
	clock := m.c.guard.clock
	for began := clock.Now(); ; {
		now := clock.Now()
		err := h.Resize(now, bytes)
		if err == nil {
			return nil
		}
		if errors.Is(err, policy.ErrEvicted) || now-began > messageWaitMs {
			m.c.countRefused(reasonMessages)
			return fmt.Errorf("hold message: %w", err)
		}
		// The client is not to blame for this time.
		h.Progress(now, int(bytes))
		time.Sleep(messageRetryMs.Duration())
	}
}

// Queue charges a message of n bytes that waits to be written. Up to freeQueueBytes count with the connection.
func (m *Messages) Queue(n int) error {
	if m == nil {
		return nil
	}
	queued := m.queued.Add(int64(n))
	if queued == int64(n) {
		m.queue.Writing(m.c.guard.clock.Now())
	}
	if queued <= freeQueueBytes {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	more := m.queued.Load() - m.charged
	if more <= 0 {
		return nil
	}
	if err := m.queue.Add(m.c.guard.clock.Now(), more); err != nil {
		m.c.countRefused(reasonQueue)
		return fmt.Errorf("queue message: %w", err)
	}
	m.charged += more
	return nil
}

// Dequeue releases a message that has been written.
func (m *Messages) Dequeue(n int) {
	if m == nil {
		return
	}
	queued := m.queued.Add(-int64(n))
	if queued == 0 {
		m.queue.Written()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if less := m.charged - queued; m.charged > 0 && less > 0 {
		m.queue.Release(less)
		m.charged -= less
	}
}
