package scenario_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"samphirepass"
	"samphirepass/bench"
	"samphirepass/caller"
)

func (s *system) benchClient(entry string) bench.Client {
	return bench.Client{Address: s.processes[entry].settings.API, HTTP: s.http}
}

// cmdQuery implements "query ENTRY SERVICE whole|partial|CODE [snapshot=N] [missing=N] [caller=NAME]": it sends a query and
// checks that the answer or the code of the refusal is one of those given, separated by "|".
func cmdQuery(s *system, args []string) error {
	o := parseOptions(args[3:])
	callerName := samphirepass.Caller(defaultCaller)
	if o["caller"] != "" {
		callerName = samphirepass.Caller(o["caller"])
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	query := json.RawMessage(fmt.Sprintf(`{"n":%d}`, time.Now().UnixNano()))
	a, err := s.benchClient(args[0]).Query(ctx, samphirepass.Service(args[1]), samphirepass.Query{Caller: callerName, Query: query})
	got := "partial"
	if r := samphirepass.AsRefusal(err); r != nil {
		got = string(r.Code)
	} else if err != nil {
		return err
	} else if a.Whole {
		got = "whole"
	}
	if err == nil {
		if wrong := bench.Check(query, a); wrong != nil {
			return wrong
		}
	}
	if !slices.Contains(strings.Split(args[2], "|"), got) {
		return fmt.Errorf("query answered %s, want %s: %w", got, args[2], err)
	}
	if n := intOption(o, "missing", len(a.Coverage.Missing)); n != len(a.Coverage.Missing) {
		return fmt.Errorf("answer misses shards %v, want %d missing", a.Coverage.Missing, n)
	}
	if n := intOption(o, "snapshot", int(a.Snapshot)); n != int(a.Snapshot) {
		return fmt.Errorf("answer is of snapshot %d, want %d", a.Snapshot, n)
	}
	return nil
}

// runKey returns the run key that a script refers to by name, and creates it on first use.
func (s *system) runKey(name string) samphirepass.RunKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runKeys[name] == "" {
		s.runKeys[name] = samphirepass.RunKey(uuid.Must(uuid.NewV7()).String())
	}
	return s.runKeys[name]
}

// cmdRun implements "run ENTRY SERVICE KEY OUTCOME [body=N] [deadline=MS]": it sends a run and checks its outcome, which is
// the state of the run, the code of the refusal (with "/not-run" if it states so) or connection-lost. Several outcomes may be
// given, separated by "|".
func cmdRun(s *system, args []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	o := parseOptions(args[4:])
	run := samphirepass.Run{
		Caller: defaultCaller, Key: s.runKey(args[2]), Route: "channel-7", DeadlineMs: samphirepass.Millis(intOption(o, "deadline", 0)),
		Body: json.RawMessage(fmt.Sprintf(`{"slot":%d}`, intOption(o, "body", 1))),
	}
	var answer caller.RunAnswer
	err := s.benchClient(args[0]).Run(ctx, samphirepass.Service(args[1]), run, &answer)
	got := string(answer.State)
	r := samphirepass.AsRefusal(err)
	if r != nil {
		got = string(r.Code)
		if r.NotRun {
			got += "/not-run"
		}
	} else if err != nil {
		got = "connection-lost"
	}
	if slices.Contains(strings.Split(args[3], "|"), got) {
		return nil
	}
	return fmt.Errorf("run has outcome %s, want %s: %w", got, args[3], err)
}

// cmdRunCount implements "run-count KEY N": it fails unless all leaves together have run the key N times.
func cmdRunCount(s *system, args []string) error {
	want, _ := strconv.Atoi(args[1])
	n := 0
	for _, l := range s.leaves {
		n += l.Counts().Runs[s.runKey(args[0])]
	}
	if n != want {
		return fmt.Errorf("key %s was run %d times, want %d", args[0], n, want)
	}
	return nil
}

// cmdAwaitState implements "await-state ENTRY KEY STATE": it waits until the entry reports that state of the run.
func cmdAwaitState(s *system, args []string) error {
	var last string
	err := waitFor("state "+args[2]+" of run "+args[1], func() bool {
		resp, err := s.http.Get("http://" + s.processes[args[0]].settings.API + "/v1/runs/" + string(s.runKey(args[1])))
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		var a caller.RunAnswer
		_ = json.NewDecoder(resp.Body).Decode(&a)
		last = string(a.State)
		return last == args[2]
	})
	if err != nil {
		return fmt.Errorf("last state of the run is %q: %w", last, err)
	}
	return nil
}
