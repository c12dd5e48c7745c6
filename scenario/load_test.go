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

// load sends queries from several workers until it is stopped; like the platform's balancer it asks only ready entries.
type load struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
	tally  *bench.Tally
	// unsent counts requests that found no ready entry.
	unsent atomic.Int64
}

const loadWorkers = 6

// cmdLoad: load start SERVICE | load stop [refused=N] checks that no answer was wrong and at most N requests failed.
func cmdLoad(s *system, args []string) error {
	if args[0] == "start" {
		s.load = s.startLoad(samphirepass.Service(args[1]))
		return nil
	}
	l := s.load
	s.load = nil
	l.stop()
	f := l.tally.Figures()
	allowed := number(options(args[1:]), "refused", 0)
	if f.Wrong > 0 {
		return fmt.Errorf("%d wrong: %w", f.Wrong, l.tally.FirstWrong())
	}
	if f.Refused+f.Partial > allowed {
		return fmt.Errorf("%d refused and %d partial of %d: %w", f.Refused, f.Partial, f.Requests, l.tally.FirstRefusal())
	}
	if f.Whole == 0 {
		return fmt.Errorf("no request was answered")
	}
	return nil
}

func (s *system) startLoad(service samphirepass.Service) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel, tally: bench.NewTally()}
	var entries []string
	for _, name := range s.names {
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
					l.unsent.Add(1)
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
	a, err := c.Query(context.Background(), service, samphirepass.Query{Caller: marshal, Query: query})
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
