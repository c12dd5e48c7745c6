package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"samphirepass"
	"samphirepass/leaf"
)

// maxBodyBytes is the size limit of a request body.
const maxBodyBytes = 1 << 20

// ItemValue is the value of each item in an emulated leaf's answer. Tests compare it with the query that they sent.
type ItemValue struct {
	Leaf     samphirepass.Leaf     `json:"leaf"`
	Snapshot samphirepass.Snapshot `json:"snapshot"`
	Shard    samphirepass.Shard    `json:"shard"`
	// Query is the body of the request, by which a test recognizes the answer to another query.
	Query json.RawMessage `json:"query"`
}

func (l *Leaf) serveQuery(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	body, ok := l.readBody(w, r)
	if !ok {
		return
	}
	snapshot, shard, isHeld := l.requestedHolding(r)
	w.Header().Set(leaf.HeaderRequest, r.Header.Get(leaf.HeaderRequest))
	switch {
	case l.countIfDraining():
		l.refuse(w, leaf.HeaderNotRun)
		return
	case !isHeld:
		l.refuse(w, leaf.HeaderNotHeld)
		return
	}
	if !l.process(r) {
		l.refuse(w, leaf.HeaderNotRun)
		return
	}
	l.queries.Add(1)
	l.answerQuery(w, r, body, snapshot, shard, start)
}

// readBody reads the body of a query or run. It reports false if the request was already answered or ended: because the
// body cannot be read, or by the fault Silent or Redirect.
func (l *Leaf) readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return nil, false
	}
	f := l.currentFaults()
	if f.Silent {
		<-r.Context().Done()
		return nil, false
	}
	if f.Redirect {
		w.Header().Set("Location", r.URL.Path)
		w.WriteHeader(http.StatusTemporaryRedirect)
		return nil, false
	}
	return body, true
}

// requestedHolding returns the snapshot and the shard that a request names, and whether the leaf holds that shard.
func (l *Leaf) requestedHolding(r *http.Request) (samphirepass.Snapshot, samphirepass.Shard, bool) {
	snapshot, _ := strconv.ParseUint(r.Header.Get(leaf.HeaderSnapshot), 10, 64)
	shard, _ := strconv.ParseUint(r.Header.Get(leaf.HeaderShard), 10, 32)
	s, n := samphirepass.Snapshot(snapshot), samphirepass.Shard(shard)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.holdings {
		if h.Snapshot == s && h.Shard == n {
			return s, n, true
		}
	}
	return s, n, false
}

// countIfDraining reports whether the leaf is draining and, if so, counts the request as received while draining.
func (l *Leaf) countIfDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == samphirepass.LeafDraining {
		l.whileDraining.Add(1)
		return true
	}
	return false
}

// refuse answers 503 with header set, which tells why the request was not executed.
func (l *Leaf) refuse(w http.ResponseWriter, header string) {
	l.shed.Add(1)
	w.Header().Set(header, "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// process waits for a slot and occupies it for the processing time of one request. It reports false if the request was
// shed because the queue is full, or cancelled.
func (l *Leaf) process(r *http.Request) bool {
	inFlight := l.inFlight.Add(1)
	if l.o.Queue > 0 && inFlight > int64(l.o.Queue+l.o.Slots) {
		l.inFlight.Add(-1)
		return false
	}
	defer l.inFlight.Add(-1)
	select {
	case l.slots <- struct{}{}:
	case <-r.Context().Done():
		return false
	}
	defer func() { <-l.slots }()
	return sleep(r.Context(), l.processingTime())
}

func sleep(ctx context.Context, m samphirepass.Millis) bool {
	if m <= 0 {
		return true
	}
	t := time.NewTimer(m.Duration())
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// processingTime draws the processing time of one request, including the network latency of both directions.
func (l *Leaf) processingTime() samphirepass.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	duration := l.o.WorkMs
	if samphirepass.Percent(l.rnd.Float64()*100) < l.o.StragglePercent {
		duration = l.o.StraggleMs
	}
	age := samphirepass.MillisOf(time.Since(l.started))
	if age < l.o.ColdMs {
		duration *= samphirepass.Millis(1 + (l.o.ColdFactor-1)*float64(1-age/l.o.ColdMs))
	}
	return duration + 2*l.o.OneWayMs
}

func (l *Leaf) answerQuery(w http.ResponseWriter, r *http.Request, query []byte, snapshot samphirepass.Snapshot, shard samphirepass.Shard, start time.Time) {
	f := l.currentFaults()
	value, err := json.Marshal(ItemValue{Leaf: l.o.Leaf, Snapshot: snapshot, Shard: shard, Query: query})
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := json.Marshal([]samphirepass.Item{{Score: float64(shard), Value: value}})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	l.answer(w, r, f, body, start)
}

// answer sends body with the headers of a correct answer, as altered by the faults f.
func (l *Leaf) answer(w http.ResponseWriter, r *http.Request, f Faults, body []byte, start time.Time) {
	if f.DropAfterRead {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set(leaf.HeaderSnapshot, choose(f.WrongSnapshot, "999999", r.Header.Get(leaf.HeaderSnapshot)))
	h.Set(leaf.HeaderShard, choose(f.WrongShard, "999999", r.Header.Get(leaf.HeaderShard)))
	h.Set(leaf.HeaderPartial, strconv.FormatBool(f.PartialAnswers))
	h.Set(leaf.HeaderDigest, choose(f.BadDigest, "0", leaf.Digest(body)))
	h.Set(leaf.HeaderLoad, fmt.Sprintf("%.3f", float64(l.inFlight.Load())/float64(l.o.Slots)))
	h.Set(leaf.HeaderWorked, fmt.Sprintf("%.3f", samphirepass.MillisOf(time.Since(start))))
	if f.WrongRequest {
		h.Set(leaf.HeaderRequest, "another-request")
	}
	if f.Truncated {
		body = body[:len(body)/2]
	}
	_, _ = w.Write(body)
}

func choose(fault bool, wrong, correct string) string {
	if fault {
		return wrong
	}
	return correct
}

func (l *Leaf) serveRun(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	body, ok := l.readBody(w, r)
	if !ok {
		return
	}
	w.Header().Set(leaf.HeaderRequest, r.Header.Get(leaf.HeaderRequest))
	f := l.currentFaults()
	if l.countIfDraining() || f.RefuseRuns {
		l.refuse(w, leaf.HeaderNotRun)
		return
	}
	l.mu.Lock()
	l.runs[samphirepass.RunKey(r.Header.Get(leaf.HeaderKey))]++
	l.mu.Unlock()
	// A run that has started continues when the client disconnects.
	l.process(r.WithContext(context.WithoutCancel(r.Context())))
	l.answer(w, r, f, body, start)
}

func (l *Leaf) serveLoad(w http.ResponseWriter, r *http.Request) {
	f := l.currentFaults()
	if f.Silent {
		<-r.Context().Done()
		return
	}
	load := float64(l.inFlight.Load()) / float64(l.o.Slots)
	if f.ReportedLoad != nil {
		load = *f.ReportedLoad
	}
	_, _ = fmt.Fprintf(w, "%.3f", load)
}
