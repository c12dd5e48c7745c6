package operator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"samphirepass"
	"samphirepass/blackboard"
	"samphirepass/web"
)

// bookmarkEveryMs is the time between two lines that tell a quiet watch how far it has come.
const bookmarkEveryMs samphirepass.Millis = 1000

// WatchLine is one line of a watch; just one of its fields is set.
type WatchLine struct {
	Event *samphirepass.ResourceEvent `json:"event,omitempty"`
	// Bookmark tells that all events up to this revision have been sent.
	Bookmark samphirepass.Revision `json:"bookmark,omitempty"`
	// Error ends the watch; with the code restart-watch the watcher lists and watches anew.
	Error *samphirepass.Refusal `json:"error,omitempty"`
}

// watch streams the changes of one kind after a revision, one JSON object a line.
func (a *API) watch(w http.ResponseWriter, r *http.Request, kind samphirepass.Kind) {
	from, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		web.WriteError(w, invalidQuery("watch", "a revision"))
		return
	}
	at := samphirepass.Revision(from)
	if cfg := a.Board.Config.Value(); at < cfg.EventsAfter {
		web.WriteError(w, restartWatch(at))
		return
	}
	w.Header().Set("Content-Type", "application/jsonl")
	w.WriteHeader(http.StatusOK)
	s := &stream{api: a, kind: kind, at: at, encoder: json.NewEncoder(w), flusher: http.NewResponseController(w)}
	s.run(r.Context().Done())
}

func restartWatch(at samphirepass.Revision) error {
	return samphirepass.Refuse(samphirepass.CodeRestartWatch, "events after revision %d are no longer held; list and watch from the list's revision", at)
}

// stream is one running watch.
type stream struct {
	api     *API
	kind    samphirepass.Kind
	at      samphirepass.Revision
	encoder *json.Encoder
	flusher *http.ResponseController
}

func (s *stream) run(done <-chan struct{}) {
	bookmark := time.NewTicker(bookmarkEveryMs.Duration())
	defer bookmark.Stop()
	for {
		cfg, version := s.api.Board.Config.Get()
		_, stopVersion := s.api.Board.Stopping.Get()
		if s.api.Board.Stopping.Value() {
			s.send(WatchLine{Error: samphirepass.Refuse(samphirepass.CodeStopping, "this VM stops; watch on from revision %d at another", s.at)})
			return
		}
		if !s.advance(cfg) {
			return
		}
		select {
		case <-s.api.Board.Config.Changed(version):
		case <-s.api.Board.Stopping.Changed(stopVersion):
		case <-bookmark.C:
			if !s.send(WatchLine{Bookmark: max(s.at, 1)}) {
				return
			}
		case <-done:
			return
		}
	}
}

// advance sends the events that follow the watch's revision; it reports whether the watch goes on.
func (s *stream) advance(cfg blackboard.Config) bool {
	if s.at < cfg.EventsAfter {
		s.send(WatchLine{Error: samphirepass.AsRefusal(restartWatch(s.at))})
		return false
	}
	for _, e := range cfg.Events {
		if e.Revision <= s.at || e.Kind != s.kind {
			continue
		}
		if !s.send(WatchLine{Event: &e}) {
			return false
		}
	}
	s.at = max(s.at, cfg.Revision)
	return true
}

func (s *stream) send(line WatchLine) bool {
	if err := s.encoder.Encode(line); err != nil {
		return false
	}
	return s.flusher.Flush() == nil
}
