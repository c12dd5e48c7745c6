package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// request is a request of a client.
type request struct {
	method, target, id string
	deadline           time.Duration
	body               []byte
}

// answer is what a client got.
type answer struct {
	status     int
	retryAfter time.Duration
	closes     bool
}

// clientConn is a connection of a client to a gateway.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func dialClient(address string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	return &clientConn{Conn: c, reader: bufio.NewReader(c)}, nil
}

// do sends a request and reads its whole answer.
func (c *clientConn) do(r request) (answer, error) {
	_ = c.SetDeadline(time.Now().Add(r.deadline + time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nSamphirepass-Request-Id: %s\r\nSamphirepass-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		r.method, r.target, host, r.id, r.deadline.Milliseconds(), len(r.body))
	if _, err := c.Write(append([]byte(head), r.body...)); err != nil {
		return answer{}, fmt.Errorf("send: %w", err)
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{}, fmt.Errorf("read answer: %w", err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return answer{}, fmt.Errorf("read body: %w", err)
	}
	a := answer{status: resp.StatusCode, closes: resp.Close}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	return a, nil
}

// once sends one request on a connection of its own.
func once(address string, r request) (answer, error) {
	c, err := dialClient(address)
	if err != nil {
		return answer{}, err
	}
	defer c.Close()
	return c.do(r)
}
