package leaf

import (
	"fmt"
	"sync"
	"sync/atomic"

	"samphirepass"
)

// stalledReadMs is the time without a byte after which a read gives its memory up to others. It is longer than the pauses of leaves.
const stalledReadMs samphirepass.Millis = 1000

// readMemory bounds the memory of all answers that are being read at a time; it is safe for concurrent use. Where it is short, longer
// answers give way to shorter ones and stalled ones to others, so that a leaf that sends bytes without end keeps nobody else from reading.
type readMemory struct {
	clock samphirepass.Clock

	mu   sync.Mutex
	free int64
	// reads holds the reads with a reservation.
	reads map[*readReservation]bool
}

// readReservation is the part of a readMemory that one read holds.
type readReservation struct {
	memory *readMemory
	// interrupt ends the read in progress.
	interrupt func()
	// lastByteAt is when the read last got a byte, in milliseconds of the memory's clock.
	lastByteAt atomic.Int64

	// size and revoked are guarded by memory.mu.
	size int64
	// revoked is set once the read has to give way.
	revoked bool
}

func newReadMemory(bytes int64, clock samphirepass.Clock) *readMemory {
	return &readMemory{clock: clock, free: bytes, reads: map[*readReservation]bool{}}
}

// reserve returns an empty reservation. interrupt may be called at any time until it is released.
func (m *readMemory) reserve(interrupt func()) *readReservation {
	r := &readReservation{memory: m, interrupt: interrupt}
	r.recordBytes()
	return r
}

// recordBytes records that the read got bytes.
func (r *readReservation) recordBytes() { r.lastByteAt.Store(int64(r.memory.clock.Now())) }

// resize changes the size of the reservation. It fails if the memory is short and no other read has to give way.
func (r *readReservation) resize(size int64) error {
	victims, err := r.tryResize(size)
	for _, v := range victims {
		v.interrupt()
	}
	return err
}

func (r *readReservation) tryResize(size int64) (victims []*readReservation, err error) {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.revoked {
		return nil, errGaveWay
	}
	for m.free < size-r.size {
		v := m.victimLocked(r, size)
		if v == nil {
			return victims, fmt.Errorf("%w: too many long answers at once", errTooLong)
		}
		m.free += v.size
		v.size, v.revoked = 0, true
		delete(m.reads, v)
		victims = append(victims, v)
	}
	m.free -= size - r.size
	r.size = size
	m.reads[r] = true
	return victims, nil
}

// victimLocked returns the read that has to give way to one of the given size: the largest one if it is larger, or else the one that has
// been stalled for longest. It returns nil if there is none.
func (m *readMemory) victimLocked(r *readReservation, size int64) *readReservation {
	var largest, stalled *readReservation
	for other := range m.reads {
		if other == r {
			continue
		}
		if largest == nil || other.size > largest.size {
			largest = other
		}
		if stalled == nil || other.lastByteAt.Load() < stalled.lastByteAt.Load() {
			stalled = other
		}
	}
	switch {
	case largest == nil:
		return nil
	case largest.size > size:
		return largest
	case m.clock.Now()-samphirepass.Millis(stalled.lastByteAt.Load()) > stalledReadMs:
		return stalled
	}
	return nil
}

// release gives the memory back, and reports whether the read was allowed to finish.
func (r *readReservation) release() bool {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.free += r.size
	r.size = 0
	delete(m.reads, r)
	return !r.revoked
}
