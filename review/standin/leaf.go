package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that reached a leaf.
type arrival struct {
	at       time.Time
	id, from string
}

// leaf is a backend server as the pages describe it: it announces itself, runs the requests that name it and says in its answers when it
// leaves.
type leaf struct {
	rec               *record
	id, service, zone string
	// slots is the number of requests that the leaf announces to process concurrently, work the time that it works on each.
	slots      int
	work       time.Duration
	listener   net.Listener
	server     *http.Server
	born       int64
	registrars []string
	client     *http.Client
	stop       context.CancelFunc

	mu       sync.Mutex
	sequence int
	leaving  bool
	arrivals []arrival
}

func newRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// addLeaf starts a quick leaf.
func (p *platform) addLeaf(id, service, zone string) (*leaf, error) {
	return p.addLeafOf(&leaf{id: id, service: service, zone: zone, slots: 3, work: 5 * time.Millisecond})
}

// addLeafOf starts a leaf that announces itself to the registrars of its zone first.
func (p *platform) addLeafOf(l *leaf) (*leaf, error) {
	p.nextHost++
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.2.%d:0", p.network, p.nextHost))
	if err != nil {
		return nil, fmt.Errorf("listen for leaf: %w", err)
	}
	l.rec, l.listener, l.born, l.client = p.rec, listener, time.Now().UnixMilli(), &http.Client{Timeout: time.Second}
	for _, near := range []bool{true, false} {
		for _, m := range p.registrars() {
			if (m.zone == l.zone) == near {
				l.registrars = append(l.registrars, p.control(m))
			}
		}
	}
	l.server = &http.Server{Handler: l, IdleTimeout: 15 * time.Second}
	go func() { _ = l.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	go l.announce(ctx)
	return l, nil
}

// announce sends heartbeats until ctx ends, each to the next registrar if one does not acknowledge it.
func (l *leaf) announce(ctx context.Context) {
	next := 0
	for ctx.Err() == nil {
		pause := heartbeat
		if !l.beat(ctx, l.registrars[next%len(l.registrars)]) {
			next++
			pause = retryPause
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

func (l *leaf) beat(ctx context.Context, registrar string) bool {
	l.mu.Lock()
	l.sequence++
	body, _ := json.Marshal(map[string]any{
		"Service": l.service, "Address": l.listener.Addr().String(), "Zone": l.zone, "Version": "v1", "MaxConcurrency": l.slots, "State": "ready",
		"WarmupLeftMs": 0, "Sequence": l.sequence, "born": l.born,
	})
	l.mu.Unlock()
	return l.call(ctx, http.MethodPut, registrar, body)
}

func (l *leaf) call(ctx context.Context, method, registrar string, body []byte) bool {
	req, err := newRequest(ctx, method, "http://"+registrar+"/samphirepass/instances/"+l.id, body)
	if err != nil {
		return false
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// depart sends DELETE to one registrar, as a leaf that never reports draining does, and reports whether it was acknowledged. The leaf goes on
// serving.
func (l *leaf) depart(ctx context.Context, registrar string) bool {
	l.stop()
	l.mu.Lock()
	l.leaving = true
	l.mu.Unlock()
	return l.call(ctx, http.MethodDelete, registrar, nil)
}

// end ends the leaf.
func (l *leaf) end() {
	l.stop()
	_ = l.server.Close()
}

// since returns the requests that have reached the leaf after a time.
func (l *leaf) since(t time.Time) []arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	var late []arrival
	for _, a := range l.arrivals {
		if a.at.After(t) {
			late = append(late, a)
		}
	}
	return late
}

// ServeHTTP runs one request.
func (l *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, target := r.Header.Get("Samphirepass-Request-Id"), r.Header.Get("Samphirepass-Target-Instance")
	from, _, _ := net.SplitHostPort(r.RemoteAddr)
	l.mu.Lock()
	l.arrivals = append(l.arrivals, arrival{time.Now(), id, from})
	leaving := l.leaving
	l.mu.Unlock()
	w.Header().Set("Samphirepass-Request-Id", id)
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if target != "" && target != l.id {
		w.Header().Set("Samphirepass-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	l.rec.printf("leaf %s (%s) runs request %s, sent by %s, leaving %v", l.id, l.service, id, from, leaving)
	time.Sleep(l.work)
	w.Header().Set("Samphirepass-Response-Signature", l.id+"."+id)
	_, _ = w.Write([]byte("the record of " + id))
}
