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

func (s *system) bench(entry string) bench.Client {
	return bench.Client{Address: s.processes[entry].settings.API, HTTP: s.http}
}

// cmdQuery: query ENTRY SERVICE whole|partial|CODE [snapshot=N] [missing=N] [caller=NAME] sends one query and checks its answer.
func cmdQuery(s *system, args []string) error {
	o := options(args[3:])
	from := samphirepass.Caller(marshal)
	if o["caller"] != "" {
		from = samphirepass.Caller(o["caller"])
	}
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	query := json.RawMessage(fmt.Sprintf(`{"n":%d}`, time.Now().UnixNano()))
	a, err := s.bench(args[0]).Query(ctx, samphirepass.Service(args[1]), samphirepass.Query{Caller: from, Query: query})
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
		return fmt.Errorf("got %s, want %s: %w", got, args[2], err)
	}
	if n := number(o, "missing", len(a.Coverage.Missing)); n != len(a.Coverage.Missing) {
		return fmt.Errorf("missing %v, want %d", a.Coverage.Missing, n)
	}
	if n := number(o, "snapshot", int(a.Snapshot)); n != int(a.Snapshot) {
		return fmt.Errorf("snapshot %d, want %d", a.Snapshot, n)
	}
	return nil
}

func (s *system) key(name string) samphirepass.RunKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys[name] == "" {
		s.keys[name] = samphirepass.RunKey(uuid.Must(uuid.NewV7()).String())
	}
	return s.keys[name]
}

// cmdRun: run ENTRY SERVICE KEY STATE-OR-CODE [body=N] [deadline=MS] sends a run and checks what is told of it.
func cmdRun(s *system, args []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	o := options(args[4:])
	run := samphirepass.Run{
		Caller: marshal, Key: s.key(args[2]), Route: "channel-7", DeadlineMs: samphirepass.Millis(number(o, "deadline", 0)),
		Body: json.RawMessage(fmt.Sprintf(`{"slot":%d}`, number(o, "body", 1))),
	}
	var answer caller.RunAnswer
	err := s.bench(args[0]).Run(ctx, samphirepass.Service(args[1]), run, &answer)
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
	return fmt.Errorf("got %s, want %s: %w", got, args[3], err)
}

// cmdRan: ran KEY N checks how often the leaves have run a key.
func cmdRan(s *system, args []string) error {
	want, _ := strconv.Atoi(args[1])
	n := 0
	for _, l := range s.leaves {
		n += l.Counts().Runs[s.key(args[0])]
	}
	if n != want {
		return fmt.Errorf("key %s ran %d times, want %d", args[0], n, want)
	}
	return nil
}

// cmdState: state ENTRY KEY STATE waits until the key's record has a state.
func cmdState(s *system, args []string) error {
	var last string
	err := await("state "+args[2], func() bool {
		resp, err := s.http.Get("http://" + s.processes[args[0]].settings.API + "/v1/runs/" + string(s.key(args[1])))
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
		return fmt.Errorf("state %q: %w", last, err)
	}
	return nil
}
