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

// maxBodyBytes bounds a request's body.
const maxBodyBytes = 1 << 20

// ItemValue is the value of each item that a stand-in returns; a checker compares it with what it asked.
type ItemValue struct {
	Leaf     samphirepass.Leaf     `json:"leaf"`
	Snapshot samphirepass.Snapshot `json:"snapshot"`
	Shard    samphirepass.Shard    `json:"shard"`
	// Query is the request's body, so that a crossed answer shows.
	Query json.RawMessage `json:"query"`
}

func (l *Leaf) serveQuery(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	body, ok := l.readBody(w, r)
	if !ok {
		return
	}
	snapshot, shard, held := l.asked(r)
	w.Header().Set(leaf.HeaderRequest, r.Header.Get(leaf.HeaderRequest))
	switch {
	case l.draining():
		l.refuse(w, leaf.HeaderNotRun)
		return
	case !held:
		l.refuse(w, leaf.HeaderNotHeld)
		return
	}
	if !l.work(r) {
		l.refuse(w, leaf.HeaderNotRun)
		return
	}
	l.queries.Add(1)
	l.answerQuery(w, r, body, snapshot, shard, began)
}

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

// asked returns what a request is for and whether the leaf holds it.
func (l *Leaf) asked(r *http.Request) (samphirepass.Snapshot, samphirepass.Shard, bool) {
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

func (l *Leaf) draining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == samphirepass.LeafDraining {
		l.whileDraining.Add(1)
		return true
	}
	return false
}

func (l *Leaf) refuse(w http.ResponseWriter, header string) {
	l.shed.Add(1)
	w.Header().Set(header, "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// work takes a slot for the time of one request; it reports false if the request was shed or cancelled.
func (l *Leaf) work(r *http.Request) bool {
	waiting := l.waiting.Add(1)
	if l.o.Queue > 0 && waiting > int64(l.o.Queue+l.o.Slots) {
		l.waiting.Add(-1)
		return false
	}
	defer l.waiting.Add(-1)
	select {
	case l.slots <- struct{}{}:
	case <-r.Context().Done():
		return false
	}
	defer func() { <-l.slots }()
	return sleep(r.Context(), l.workTime())
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

func (l *Leaf) workTime() samphirepass.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	took := l.o.WorkMs
	if samphirepass.Percent(l.rnd.Float64()*100) < l.o.StragglePercent {
		took = l.o.StraggleMs
	}
	age := samphirepass.MillisOf(time.Since(l.started))
	if age < l.o.ColdMs {
		took *= samphirepass.Millis(1 + (l.o.ColdFactor-1)*float64(1-age/l.o.ColdMs))
	}
	return took + 2*l.o.OneWayMs
}

func (l *Leaf) answerQuery(w http.ResponseWriter, r *http.Request, query []byte, snapshot samphirepass.Snapshot, shard samphirepass.Shard, began time.Time) {
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
	l.answer(w, r, f, body, began)
}

// answer sends body with the headers of a true answer, as far as the faults leave it true.
func (l *Leaf) answer(w http.ResponseWriter, r *http.Request, f Faults, body []byte, began time.Time) {
	if f.DropAfterRead {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set(leaf.HeaderSnapshot, pick(f.WrongSnapshot, "999999", r.Header.Get(leaf.HeaderSnapshot)))
	h.Set(leaf.HeaderShard, pick(f.WrongShard, "999999", r.Header.Get(leaf.HeaderShard)))
	h.Set(leaf.HeaderPartial, strconv.FormatBool(f.PartialAnswers))
	h.Set(leaf.HeaderDigest, pick(f.BadDigest, "0", leaf.Digest(body)))
	h.Set(leaf.HeaderLoad, fmt.Sprintf("%.3f", float64(l.waiting.Load())/float64(l.o.Slots)))
	h.Set(leaf.HeaderWorked, fmt.Sprintf("%.3f", samphirepass.MillisOf(time.Since(began))))
	if f.WrongRequest {
		h.Set(leaf.HeaderRequest, "another-request")
	}
	if f.Truncated {
		body = body[:len(body)/2]
	}
	_, _ = w.Write(body)
}

func pick(wrong bool, a, b string) string {
	if wrong {
		return a
	}
	return b
}

func (l *Leaf) serveRun(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	body, ok := l.readBody(w, r)
	if !ok {
		return
	}
	w.Header().Set(leaf.HeaderRequest, r.Header.Get(leaf.HeaderRequest))
	f := l.currentFaults()
	if l.draining() || f.RefuseRuns {
		l.refuse(w, leaf.HeaderNotRun)
		return
	}
	l.mu.Lock()
	l.runs[samphirepass.RunKey(r.Header.Get(leaf.HeaderKey))]++
	l.mu.Unlock()
	// A run that has begun goes on, whether or not its caller is still there.
	l.work(r.WithContext(context.WithoutCancel(r.Context())))
	l.answer(w, r, f, body, began)
}

func (l *Leaf) serveLoad(w http.ResponseWriter, r *http.Request) {
	f := l.currentFaults()
	if f.Silent {
		<-r.Context().Done()
		return
	}
	load := float64(l.waiting.Load()) / float64(l.o.Slots)
	if f.ReportedLoad != nil {
		load = *f.ReportedLoad
	}
	_, _ = fmt.Fprintf(w, "%.3f", load)
}
