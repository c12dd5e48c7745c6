package scenario_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"

	"samphirepass"
	"samphirepass/bench"
)

// load sends queries from several workers until it is stopped. Like the platform's load balancer, it sends only to
// entries that report ready.
type load struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
	tally  *bench.Recorder
	// skippedEntries counts the times that a worker skipped an entry because it was not ready.
	skippedEntries atomic.Int64
}

const loadWorkers = 6

// cmdLoad implements "load start SERVICE" and "load stop [failed=N]": stop fails if any answer was wrong, if more than N
// requests were refused or answered in part, or if none was answered in whole.
func cmdLoad(s *system, args []string) error {
	if args[0] == "start" {
		s.load = s.startLoad(samphirepass.Service(args[1]))
		return nil
	}
	l := s.load
	s.load = nil
	l.stop()
	f := l.tally.Totals()
	allowed := intOption(parseOptions(args[1:]), "failed", 0)
	if f.Wrong > 0 {
		return fmt.Errorf("%d wrong answers: %w", f.Wrong, l.tally.FirstWrong())
	}
	if f.Refused+f.Partial > allowed {
		return fmt.Errorf("%d requests refused and %d answered partially out of %d: %w", f.Refused, f.Partial, f.Requests, l.tally.FirstRefusal())
	}
	if f.Whole == 0 {
		return fmt.Errorf("no request got a whole answer")
	}
	return nil
}

func (s *system) startLoad(service samphirepass.Service) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel, tally: bench.NewRecorder()}
	var entries []string
	for _, name := range s.processNames {
		if s.processes[name].settings.DataFolder == "" {
			entries = append(entries, name)
		}
	}
	for w := range loadWorkers {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			client := &http.Client{Transport: &http.Transport{}}
			for n := w; ctx.Err() == nil; n++ {
				name := entries[n%len(entries)]
				if !s.ready(name) {
					l.skippedEntries.Add(1)
					continue
				}
				l.send(bench.Client{Address: s.processes[name].settings.API, HTTP: client}, service, w, n)
			}
		}()
	}
	return l
}

func (l *load) send(c bench.Client, service samphirepass.Service, worker, n int) {
	query := json.RawMessage(fmt.Sprintf(`{"worker":%d,"n":%d}`, worker, n))
	a, err := c.Query(context.Background(), service, samphirepass.Query{Caller: defaultCaller, Query: query})
	var wrong error
	if err == nil {
		wrong = bench.Check(query, a)
	}
	l.tally.Add(1, a, err, wrong)
}

func (l *load) stop() {
	l.cancel()
	l.wg.Wait()
}
