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

// bookmarkIntervalMs is the interval between bookmarks, which tell a client how far the watch has advanced even without events.
const bookmarkIntervalMs samphirepass.Millis = 1000

// WatchLine is one line of a watch stream; exactly one of its fields is set.
type WatchLine struct {
	Event *samphirepass.ResourceEvent `json:"event,omitempty"`
	// Bookmark is a revision up to which all events have been sent.
	Bookmark samphirepass.Revision `json:"bookmark,omitempty"`
	// Error ends the watch; after the code restart-watch the client must list the resources and start a new watch.
	Error *samphirepass.Refusal `json:"error,omitempty"`
}

// watch streams the changes of one kind after the requested revision as one JSON object per line.
func (a *API) watch(w http.ResponseWriter, r *http.Request, kind samphirepass.Kind) {
	from, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		web.WriteError(w, refuseQuery("watch", "a revision"))
		return
	}
	revision := samphirepass.Revision(from)
	if cfg := a.Board.Config.Value(); revision < cfg.EventsAfter {
		web.WriteError(w, restartWatch(revision))
		return
	}
	w.Header().Set("Content-Type", "application/jsonl")
	w.WriteHeader(http.StatusOK)
	s := &watchStream{api: a, kind: kind, revision: revision, encoder: json.NewEncoder(w), flusher: http.NewResponseController(w)}
	s.serve(r.Context().Done())
}

func restartWatch(revision samphirepass.Revision) error {
	return samphirepass.Refuse(samphirepass.CodeRestartWatch, "events after revision %d are no longer held; list and watch from the list's revision", revision)
}

// watchStream sends one watch to its client.
type watchStream struct {
	api  *API
	kind samphirepass.Kind
	// revision is the revision up to which all events have been sent.
	revision samphirepass.Revision
	encoder  *json.Encoder
	flusher  *http.ResponseController
}

func (s *watchStream) serve(done <-chan struct{}) {
	bookmark := time.NewTicker(bookmarkIntervalMs.Duration())
	defer bookmark.Stop()
	for {
		cfg, version := s.api.Board.Config.Get()
		_, stopVersion := s.api.Board.Stopping.Get()
		if s.api.Board.Stopping.Value() {
			s.send(WatchLine{Error: samphirepass.Refuse(samphirepass.CodeStopping, "this VM stops; watch on from revision %d at another", s.revision)})
			return
		}
		if !s.sendEvents(cfg) {
			return
		}
		select {
		case <-s.api.Board.Config.Changed(version):
		case <-s.api.Board.Stopping.Changed(stopVersion):
		case <-bookmark.C:
			// A bookmark of 0 would be left out of the JSON.
			if !s.send(WatchLine{Bookmark: max(s.revision, 1)}) {
				return
			}
		case <-done:
			return
		}
	}
}

// sendEvents sends the events that follow the watch's revision; it reports whether the watch continues.
func (s *watchStream) sendEvents(cfg blackboard.Config) bool {
	if s.revision < cfg.EventsAfter {
		s.send(WatchLine{Error: samphirepass.AsRefusal(restartWatch(s.revision))})
		return false
	}
	for _, e := range cfg.Events {
		if e.Revision <= s.revision || e.Kind != s.kind {
			continue
		}
		if !s.send(WatchLine{Event: &e}) {
			return false
		}
	}
	s.revision = max(s.revision, cfg.Revision)
	return true
}

func (s *watchStream) send(line WatchLine) bool {
	if err := s.encoder.Encode(line); err != nil {
		return false
	}
	return s.flusher.Flush() == nil
}
