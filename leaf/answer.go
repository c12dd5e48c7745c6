package leaf

import (
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

const (
	// maxHeadBytes bounds all that comes before the body of an answer: informational answers, the status line and the headers.
	maxHeadBytes = 64 << 10
	// maxReplyBytes bounds the body of a leaf's reply.
	maxReplyBytes = 8 << 20
	// maxReadingBytes bounds the memory of all bodies that are being read at a time, as any leaf may send bytes without end. A body of the
	// greatest length fits while it is copied to its last buffer.
	maxReadingBytes = maxReplyBytes + maxReplyBytes/2
	// firstBodyBytes is the size of the buffer for a body of unknown length, which most bodies fit into.
	firstBodyBytes = 4 << 10
	// A body may come with maxFramingBytes and 1/framingDivisor of its length as chunk sizes and trailers, so that no time goes into
	// endless tiny chunks.
	maxFramingBytes = 64 << 10
	framingDivisor  = 8
)

// The statuses of final answers (RFC 9110, section 15). No request asks for another protocol, so 101 is none of them.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

var (
	// errTooLong means that an answer was longer than its limits.
	errTooLong = eris.New("answer exceeds its limits")
	// errInvalidStatus means that what a leaf sent is no answer: its status is none of a final answer in HTTP.
	errInvalidStatus = eris.New("invalid status")
	// errGaveWay means that the memory of an answer was needed for shorter ones.
	errGaveWay = eris.New("answer gave way to shorter ones")
)

// answerLimits bound what is read of one answer.
type answerLimits struct {
	// body is the greatest length of the body.
	body int64
	// memory is shared by all answers that are being read; nil means that only body counts.
	memory *readMemory
}

// boundedReader reads at most a number of bytes, which its user sets anew for each part of an answer.
type boundedReader struct {
	source    io.Reader
	remaining int64
	// read counts the bytes since it was last set to 0.
	read int64
}

// Read returns errTooLong once the bound is reached.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errTooLong
	}
	n, err := b.source.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	b.read += int64(n)
	return n, err
}

// read returns the whole answer to the request, past any informational (1xx) ones.
func (pc *pooledConn) read(req *http.Request, limits answerLimits) (*http.Response, []byte, error) {
	pc.bounded.remaining = maxHeadBytes
	for {
		resp, err := http.ReadResponse(pc.reader, req)
		if err != nil {
			return nil, nil, fmt.Errorf("read answer: %w", err)
		}
		if resp.StatusCode/100 == 1 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if resp.StatusCode < minFinalStatus || resp.StatusCode > maxFinalStatus {
			return nil, nil, fmt.Errorf("%w %q", errInvalidStatus, resp.Status)
		}
		pc.bounded.remaining = limits.body + limits.body/framingDivisor + maxFramingBytes
		pc.bounded.read = 0
		body, err := pc.readBody(resp, limits)
		if err != nil {
			return nil, nil, fmt.Errorf("read answer's body: %w", err)
		}
		return resp, body, nil
	}
}

// readBody returns the whole body. The memory for it is taken as its bytes arrive, whatever length the leaf announced.
func (pc *pooledConn) readBody(resp *http.Response, limits answerLimits) ([]byte, error) {
	defer func() {
		// Close reads the body to its end, which is of no use after an error and may never come.
		pc.bounded.remaining = 0
		_ = resp.Body.Close()
	}()
	if resp.ContentLength > limits.body {
		return nil, fmt.Errorf("%w: Content-Length is %d", errTooLong, resp.ContentLength)
	}
	if resp.ContentLength == 0 || resp.Body == http.NoBody {
		return []byte{}, nil
	}
	if limits.memory == nil {
		return readWhole(resp, limits.body, &pc.bounded, nil)
	}
	conn := pc.conn
	reservation := limits.memory.reserve(func() {
		// It only fails on a connection that is closed already.
		_ = conn.SetDeadline(pastDeadline)
	})
	body, err := readWhole(resp, limits.body, &pc.bounded, reservation)
	if !reservation.release() {
		return nil, errGaveWay
	}
	return body, err
}

// readWhole reads a body of at most limit bytes, which comes through wire, and grows the reservation, if there is one, with it.
func readWhole(resp *http.Response, limit int64, wire *boundedReader, reservation *readReservation) ([]byte, error) {
	size := int64(firstBodyBytes)
	if resp.ContentLength > 0 {
		size = min(size, resp.ContentLength)
	}
	body := make([]byte, 0, size)
	for {
		switch length := int64(len(body)); {
		case length > limit:
			return nil, errTooLong
		case length == limit:
			return body, expectEnd(resp.Body)
		}
		if len(body) == cap(body) {
			size = min(2*int64(cap(body)), limit)
			if resp.ContentLength > 0 {
				size = min(size, resp.ContentLength)
			}
			grown, err := grow(body, size, reservation)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if reservation != nil && n > 0 {
			reservation.recordBytes()
		}
		if length := int64(len(body)); wire.read-length > maxFramingBytes+length/framingDivisor {
			return nil, fmt.Errorf("%w: more framing than body", errTooLong)
		}
		switch {
		case err == io.EOF && resp.ContentLength >= 0 && int64(len(body)) < resp.ContentLength:
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		case int64(len(body)) == resp.ContentLength:
			return body, nil
		}
	}
}

// expectEnd returns nil if a body has no more bytes.
func expectEnd(body io.Reader) error {
	switch _, err := io.ReadFull(body, make([]byte, 1)); {
	case err == io.EOF:
		return nil
	case err != nil:
		return fmt.Errorf("read end of body: %w", err)
	}
	return errTooLong
}

// grow copies a body to a larger buffer; the reservation, if there is one, covers both meanwhile.
func grow(body []byte, size int64, reservation *readReservation) ([]byte, error) {
	if reservation == nil {
		return append(make([]byte, 0, size), body...), nil
	}
	if err := reservation.resize(int64(len(body)) + size); err != nil {
		return nil, err
	}
	grown := append(make([]byte, 0, size), body...)
	return grown, reservation.resize(size)
}
