package leaf

import (
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/semaphore"
)

const (
	// maxHeadBytes bounds all that comes before the body of an answer: informational answers, the status line and the headers.
	maxHeadBytes = 64 << 10
	// maxReplyBytes bounds the body of a leaf's reply.
	maxReplyBytes = 8 << 20
	// maxReadingBytes bounds the memory of all bodies that are being read at a time, as any leaf may send bytes without end.
	maxReadingBytes = 16 << 20
	// firstBodyBytes is the size of the buffer for a body of unknown length, which most bodies fit into.
	firstBodyBytes = 4 << 10
	// A body may come with maxFramingBytes and 1/framingDivisor of its length as chunk sizes and trailers, so that no time goes into
	// endless tiny chunks.
	maxFramingBytes = 64 << 10
	framingDivisor  = 8
)

// errTooLong means that an answer was longer than its limits.
var errTooLong = eris.New("answer exceeds its limits")

// answerLimits bound what is read of one answer.
type answerLimits struct {
	// body is the greatest length of the body.
	body int64
	// memory is shared by all answers that are being read; nil means that only body counts.
	memory *semaphore.Weighted
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
		pc.bounded.remaining = limits.body + limits.body/framingDivisor + maxFramingBytes
		pc.bounded.read = 0
		body, err := readBody(resp, limits, &pc.bounded)
		if err != nil {
			return nil, nil, fmt.Errorf("read answer's body: %w", err)
		}
		return resp, body, nil
	}
}

// readBody returns the whole body, which comes through wire. The memory for it is taken as its bytes arrive, whatever length the leaf
// announced.
func readBody(resp *http.Response, limits answerLimits, wire *boundedReader) ([]byte, error) {
	defer func() {
		// Close reads the body to its end, which is of no use after an error and may never come.
		wire.remaining = 0
		_ = resp.Body.Close()
	}()
	if resp.ContentLength > limits.body {
		return nil, fmt.Errorf("%w: Content-Length is %d", errTooLong, resp.ContentLength)
	}
	if resp.ContentLength == 0 || resp.Body == http.NoBody {
		return []byte{}, nil
	}
	size := int64(firstBodyBytes)
	if resp.ContentLength > 0 {
		size = min(size, resp.ContentLength)
	}
	body := make([]byte, 0, size)
	reserved := int64(0)
	defer func() {
		if reserved > 0 {
			limits.memory.Release(reserved)
		}
	}()
	for {
		if len(body) == cap(body) {
			size = min(2*int64(cap(body)), limits.body+1)
			if resp.ContentLength > 0 {
				size = min(size, resp.ContentLength)
			}
			if int64(len(body)) > limits.body {
				return nil, errTooLong
			}
			if limits.memory != nil {
				if !limits.memory.TryAcquire(size) {
					return nil, fmt.Errorf("%w: too many long answers at once", errTooLong)
				}
				reserved += size
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
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
