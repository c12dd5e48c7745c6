package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// stopRequests are sent at once to one machine. The leaf works on two at a time, so that the last is due in stopDeadline.
	stopRequests = 38
	stopWork     = 400 * time.Millisecond
	stopDeadline = 8 * time.Second
	lossSlack    = 200 * time.Millisecond
	// lastSixth is the part of the grace in which a leaf may still be at work on a request that is cut.
	lastSixth = graceS * time.Second / 6
)

// unsafeConfig is config with requests that may run at most once.
func unsafeConfig(version int) []byte {
	var doc map[string]any
	_ = json.Unmarshal(config(version), &doc)
	for _, route := range doc["Routes"].([]any) {
		route.(map[string]any)["Type"] = "unsafe"
	}
	data, _ := json.Marshal(doc)
	return data
}

// ended is how a client's request ended.
type ended struct {
	id       string
	sent, at time.Time
	status   int
	err      error
}

// post sends one request that may not be repeated and waits for its end.
func (p *platform) post(ctx context.Context, m *machine, id string) ended {
	e := ended{id: id, sent: time.Now()}
	client := &http.Client{Timeout: stopDeadline + time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.front(m)+"/sync/"+id, bytes.NewReader([]byte("refresh")))
	if err == nil {
		req.Host = routeHost
		req.Header.Set("Samphirepass-Request-Id", id)
		req.Header.Set("Samphirepass-Deadline-Ms", fmt.Sprint(stopDeadline.Milliseconds()))
		var resp *http.Response
		if resp, err = client.Do(req); err == nil {
			defer resp.Body.Close()
			e.status = resp.StatusCode
			_, err = io.ReadAll(resp.Body)
		}
	}
	e.at, e.err = time.Now(), err
	p.rec.printf("client's request %s to %s, sent %v ago: status %d %v", id, m.name, e.at.Sub(e.sent).Round(time.Millisecond), e.status, err)
	return e
}

// playStop stops a machine that has read more requests than their leaf can work on before the end of the grace.
func playStop(ctx context.Context, p *platform, trouble bool) error {
	p.startSystem()
	l, err := p.addLeafOf(&leaf{id: "i-1", service: deskService, zone: "brq-a", slots: 2, work: stopWork})
	if err != nil {
		return err
	}
	defer l.end()
	if err := p.putConfig(ctx, 1, unsafeConfig(1), readyTimeout); err != nil {
		return err
	}
	if err := p.awaitReady(ctx); err != nil {
		return err
	}
	m := p.machine("bts-a-2")
	if first := p.post(ctx, m, "first"); first.status != http.StatusOK {
		return fmt.Errorf("machine %s does not serve", m.name)
	}
	pause(ctx, contactWindow)
	ends := make([]ended, stopRequests)
	var wg sync.WaitGroup
	for i := range ends {
		wg.Go(func() { ends[i] = p.post(ctx, m, fmt.Sprintf("sync-%d", i)) })
	}
	pause(ctx, 500*time.Millisecond)
	term := time.Now()
	if trouble {
		p.rec.printf("machine %s gets SIGTERM", m.name)
		m.signal(syscall.SIGTERM)
		go func() {
			pause(ctx, graceS*time.Second)
			m.signal(syscall.SIGKILL)
		}()
	}
	wg.Wait()
	lost := 0
	for _, e := range ends {
		if p.isLost(l, e, term) {
			lost++
		}
	}
	if lost == 0 {
		return nil
	}
	return fmt.Errorf("LOST: %d requests that the machine had read ended with their connection, with no answer, though no leaf was at work on them: %w", lost, errBroken)
}

// isLost reports whether a request was read and ended without an answer, and none of the excuses holds.
func (p *platform) isLost(l *leaf, e ended, term time.Time) bool {
	if e.err == nil || e.at.Sub(e.sent) >= stopDeadline || e.at.Sub(e.sent) < lossSlack {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.arrivals {
		if a.id == e.id {
			// The leaf is excused if it was at work in the last sixth of the grace.
			return a.at.Add(l.work).Before(term.Add(graceS*time.Second - lastSixth))
		}
	}
	return true
}
