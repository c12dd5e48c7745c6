package scenario_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"samphirepass"
	"samphirepass/bench"
	"samphirepass/caller"
	"samphirepass/operator"
	"samphirepass/settings"
	"samphirepass/standin"
)

const marshal = "marshal"

type command = func(ts *testscript.TestScript, neg bool, args []string)

// with hands the script's system to a command that reports an error.
func with(f func(s *system, args []string) error) command {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		err := f(ts.Value(systemKey{}).(*system), args)
		if neg && err == nil {
			ts.Fatalf("succeeded against expectation")
		}
		if !neg {
			ts.Check(err)
		}
	}
}

func commands() map[string]command {
	return map[string]command{
		"system": with(cmdSystem), "leaves": with(cmdLeaves), "declare": with(cmdDeclare), "await": with(cmdAwait),
		"signal": with(cmdSignal), "start": with(cmdStart), "exits": with(cmdExits), "wipe": with(cmdWipe),
		"copy": with(cmdCopy), "isolate": with(cmdIsolate), "query": with(cmdQuery), "run": with(cmdRun),
		"ran": with(cmdRan), "state": with(cmdState), "fault": with(cmdFault), "leaf": with(cmdLeaf),
		"load": with(cmdLoad), "background": with(cmdBackground),
		"spare": with(cmdSpare), "member": with(cmdMember), "watch": with(cmdWatch), "vars": cmdVars, "change": with(cmdChange), "pause": with(cmdPause), "inforce": with(cmdInForce),
		"commits": with(cmdCommits), "share": with(cmdShare), "collect": with(cmdCollect),
	}
}

// cmdBackground: background COMMAND ARGS... starts a command; collect gathers its error.
func cmdBackground(s *system, args []string) error {
	f := map[string]func(*system, []string) error{"run": cmdRun, "commits": cmdCommits, "query": cmdQuery}[args[0]]
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		if err := f(s, args[1:]); err != nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.failures = append(s.failures, err)
		}
	}()
	return nil
}

// cmdCollect: collect returns once all background commands have ended, with their errors.
func cmdCollect(s *system, _ []string) error {
	s.background.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	err := errors.Join(s.failures...)
	s.failures = nil
	return err
}

// options reads key=value arguments.
func options(args []string) map[string]string {
	out := map[string]string{}
	for _, a := range args {
		key, value, _ := strings.Cut(a, "=")
		out[key] = value
	}
	return out
}

func number(o map[string]string, key string, otherwise int) int {
	n, err := strconv.Atoi(o[key])
	if err != nil {
		return otherwise
	}
	return n
}

// cmdSystem: system CONTROLS ENTRIES [seats=N] starts the processes and waits until every entry is ready.
func cmdSystem(s *system, args []string) error {
	controls, _ := strconv.Atoi(args[0])
	entries, _ := strconv.Atoi(args[1])
	if err := s.build(controls, entries, number(options(args), "seats", entries)); err != nil {
		return err
	}
	for i := range entries {
		name := fmt.Sprintf("entry-%d", i+1)
		if err := await(name+" ready", func() bool { return s.ready(name) }); err != nil {
			return err
		}
	}
	return nil
}

// cmdLeaves: leaves SERVICE SHARDS REPLICAS [work=MS] [slots=N] [relay=1] [snapshot=N] starts stand-ins.
func cmdLeaves(s *system, args []string) error {
	shards, _ := strconv.Atoi(args[1])
	replicas, _ := strconv.Atoi(args[2])
	o := options(args[3:])
	fleet := bench.Fleet{
		Service: samphirepass.Service(args[0]), Shards: shards, Replicas: replicas, Slots: number(o, "slots", 3),
		Connections: number(o, "connections", 30), WorkMs: samphirepass.Millis(number(o, "work", 2)),
	}
	w := bench.Workload{DataCentres: []samphirepass.DataCentre{"derby"}}
	snapshot := samphirepass.Snapshot(number(o, "snapshot", 1))
	for _, lo := range fleet.Leaves(w, snapshot, s.entryAPIs(), 1) {
		lo.AnnounceMs = 300
		if o["relay"] == "1" {
			if err := s.relayLeaf(&lo); err != nil {
				return err
			}
		}
		l, err := standin.Start(lo)
		if err != nil {
			return err
		}
		s.leaves = append(s.leaves, l)
	}
	return nil
}

// relayLeaf lets a leaf be reached through a relay only.
func (s *system) relayLeaf(o *standin.Options) error {
	address, err := freePort("127.0.3.1")
	if err != nil {
		return err
	}
	seen, err := freePort("127.0.3.2")
	if err != nil {
		return err
	}
	relay, err := standin.NewRelay(seen, address)
	if err != nil {
		return err
	}
	s.relays[o.Leaf] = relay
	o.Address, o.Advertise = address, seen
	return nil
}

// cmdDeclare: declare ENTRY SERVICE [partial=refused] [deadline=MS] applies a service and the caller marshal.
func cmdDeclare(s *system, args []string) error {
	o := options(args[2:])
	partial := samphirepass.PartialRule(o["partial"])
	if partial == "" {
		partial = samphirepass.PartialAllowed
	}
	fleet := bench.Fleet{Partial: partial, DeadlineMs: samphirepass.Millis(number(o, "deadline", 2000))}
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	client := s.operator(args[0])
	spec := fleet.Spec([]samphirepass.Class{"flight-line"})
	spec.HedgeBudgetPercent = samphirepass.Percent(number(o, "budget", 50))
	if _, err := client.Apply(ctx, samphirepass.KindService, args[1], spec); err != nil {
		return err
	}
	_, err := client.Apply(ctx, samphirepass.KindCaller, marshal, samphirepass.CallerSpec{Class: "flight-line"})
	return err
}

// cmdAwait: await ready ENTRY | unready ENTRY | leaves ENTRY SERVICE N | voters N | seats N | leader.
func cmdAwait(s *system, args []string) error {
	switch args[0] {
	case "ready":
		return await(args[1]+" ready", func() bool { return s.ready(args[1]) })
	case "unready":
		return await(args[1]+" unready", func() bool { return !s.ready(args[1]) })
	case "leaves":
		n, _ := strconv.Atoi(args[3])
		return await("leaves", func() bool { return s.covered(args[1], samphirepass.Service(args[2]), n) })
	case "seats":
		n, _ := strconv.Atoi(args[1])
		return await("seats", func() bool {
			leader, ok := s.leader()
			return ok && len(leader.Seats) == n
		})
	case "voters":
		n, _ := strconv.Atoi(args[1])
		return await("voters", func() bool { return s.voters() == n })
	default:
		return await("a leader", func() bool { _, ok := s.leader(); return ok })
	}
}

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM,
}

// cmdSignal: signal PROCESS SIGNAL [AS] sends a signal; AS names the process for later when it is leader or follower.
func cmdSignal(s *system, args []string) error {
	name, err := s.resolve(args[0])
	if err != nil {
		return err
	}
	p := s.processes[name]
	if len(args) > 2 {
		s.processes[args[2]] = p
	}
	if err := p.signal(signals[args[1]]); err != nil {
		return err
	}
	if args[1] == "KILL" {
		_ = p.awaitExit()
	}
	return nil
}

// cmdStart: start PROCESS starts a process that has ended.
func cmdStart(s *system, args []string) error {
	return s.start(args[0])
}

// cmdExits: exits PROCESS waits until a process has ended with status 0.
func cmdExits(s *system, args []string) error {
	return s.processes[args[0]].awaitExit()
}

// cmdWipe: wipe PROCESS removes a data folder.
func cmdWipe(s *system, args []string) error {
	return os.RemoveAll(s.processes[args[0]].settings.DataFolder)
}

// cmdCopy: copy PROCESS save|restore copies a data folder aside, or puts the copy in its place.
func cmdCopy(s *system, args []string) error {
	from, to := s.processes[args[0]].settings.DataFolder, filepath.Join(s.folder, "copy-"+args[0])
	if args[1] == "restore" {
		from, to = to, from
	}
	if err := os.RemoveAll(to); err != nil {
		return err
	}
	return os.CopyFS(to, os.DirFS(from))
}

// cmdIsolate: isolate PROCESS cut|silent|pass sets the links between one process and all others.
func cmdIsolate(s *system, args []string) error {
	name, err := s.resolve(args[0])
	if err != nil {
		return err
	}
	if len(args) > 2 {
		s.processes[args[2]] = s.processes[name]
	}
	s.isolate(name, standin.Link(args[1]))
	return nil
}

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

// cmdFault: fault LEAF|SERVICE|all KIND... makes the leaves of that name misbehave; KIND none mends them.
func cmdFault(s *system, args []string) error {
	return s.eachLeaf(args[0], func(l *standin.Leaf) error {
		f, err := faults(args[1:])
		l.SetFaults(f)
		return err
	})
}

func faults(kinds []string) (standin.Faults, error) {
	var f standin.Faults
	set := map[string]*bool{
		"partial": &f.PartialAnswers, "wrong-shard": &f.WrongShard, "wrong-snapshot": &f.WrongSnapshot,
		"crossed": &f.CrossedAnswers, "bad-digest": &f.BadDigest, "truncated": &f.Truncated, "drop": &f.DropAfterRead,
		"redirect": &f.Redirect, "silent": &f.Silent, "refuse-runs": &f.RefuseRuns, "none": new(bool),
	}
	for _, k := range kinds {
		if set[k] == nil {
			return f, fmt.Errorf("no fault %q", k)
		}
		*set[k] = true
	}
	return f, nil
}

func (s *system) eachLeaf(name string, f func(*standin.Leaf) error) error {
	found := false
	for _, l := range s.leaves {
		if name != "all" && string(l.Name()) != name && !strings.HasPrefix(string(l.Name()), name+"-") {
			continue
		}
		found = true
		if err := f(l); err != nil {
			return err
		}
	}
	if !found {
		return fmt.Errorf("no leaf %q", name)
	}
	return nil
}

// cmdLeaf: leaf NAME drain|drain-to ENTRY|forget-drain|idle-after-drain|stop|silence-open|hold SNAPSHOT:SHARDS:SHARD,... acts on leaves.
func cmdLeaf(s *system, args []string) error {
	return s.eachLeaf(args[0], func(l *standin.Leaf) error {
		switch args[1] {
		case "drain":
			l.Drain(context.Background())
		case "drain-to":
			return l.DrainTo(context.Background(), s.processes[args[2]].settings.API)
		case "idle-after-drain":
			if n := l.Counts().WhileDraining; n > 0 {
				return fmt.Errorf("leaf %s got %d requests after it announced that it drains", l.Name(), n)
			}
		case "forget-drain":
			l.ForgetDrainCount()
		case "stop":
			l.Stop()
		case "silence-open":
			s.relays[l.Name()].SilenceOpen()
		case "hold":
			l.SetHoldings(holdings(args[2]))
		default:
			return fmt.Errorf("no action %q", args[1])
		}
		return nil
	})
}

func holdings(arg string) []samphirepass.Holding {
	var out []samphirepass.Holding
	for _, one := range strings.Split(arg, ",") {
		var h samphirepass.Holding
		if _, err := fmt.Sscanf(one, "%d:%d:%d", &h.Snapshot, &h.Shards, &h.Shard); err == nil {
			out = append(out, h)
		}
	}
	return out
}

// cmdChange: change ENTRY COUNT applies COUNT changes of the caller marshal-N, one after the other.
func cmdChange(s *system, args []string) error {
	n, _ := strconv.Atoi(args[1])
	ctx, cancel := context.WithTimeout(context.Background(), 2*awaitTimeout)
	defer cancel()
	for i := range n {
		name := fmt.Sprintf("marshal-%d", i%7)
		answer, err := s.operator(args[0]).Apply(ctx, samphirepass.KindCaller, name, samphirepass.CallerSpec{Class: "flight-line"})
		if err != nil {
			return fmt.Errorf("change %d: %w", i, err)
		}
		s.mu.Lock()
		s.accepted = append(s.accepted, answer.Revision)
		s.mu.Unlock()
	}
	return nil
}

// cmdSpare: spare NAME prepares a further control VM, which is started later.
func cmdSpare(s *system, args []string) error {
	p, err := s.prepare(args[0], len(s.names)+1, true)
	if err != nil {
		return err
	}
	first := s.processes["control-1"].settings
	own := settings.ControlMember{VM: p.settings.VM, Address: p.settings.Peer}
	p.settings.Control = append(slices.Clone(first.Control), own)
	p.settings.EntrySeats = first.EntrySeats
	return nil
}

// cmdMember: member ENTRY add|remove NAME changes the membership of control, waiting out a change under way.
func cmdMember(s *system, args []string) error {
	name, err := s.resolve(args[2])
	if err != nil {
		return err
	}
	return await("a change of members", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		p := s.processes[name].settings
		if args[1] == "add" {
			return s.operator(args[0]).AddMember(ctx, operator.MemberBody{VM: p.VM, Address: p.Peer}) == nil
		}
		return s.operator(args[0]).RemoveMember(ctx, p.VM) == nil
	})
}

// cmdWatch: watch start ENTRY | watch check compares what a watch saw with the changes accepted since it began.
func cmdWatch(s *system, args []string) error {
	if args[0] == "start" {
		list, err := s.operator(args[1]).List(context.Background(), samphirepass.KindCaller)
		if err != nil {
			return err
		}
		s.accepted, s.seen = nil, nil
		go s.watch(args[1], list.Revision)
		return nil
	}
	return await("every accepted change at the watch", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.accepted) > 0 && slices.Equal(s.accepted, s.seen)
	})
}

// watch records the revisions that it is told, and goes on from the last one at another entry when it is ended.
func (s *system) watch(entry string, from samphirepass.Revision) {
	for range 100 {
		_ = s.operator(entry).Watch(context.Background(), samphirepass.KindCaller, from, func(l operator.WatchLine) bool {
			if l.Event != nil {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.seen = append(s.seen, l.Event.Revision)
				from = l.Event.Revision
			}
			return true
		})
		entry = "entry-2"
		time.Sleep(pollEvery)
	}
}

// cmdVars: vars sets ENTRY1 and ENTRY2 to the API addresses of the entries, for commands of the shell.
func cmdVars(ts *testscript.TestScript, _ bool, _ []string) {
	for i, a := range ts.Value(systemKey{}).(*system).entryAPIs() {
		ts.Setenv(fmt.Sprintf("ENTRY%d", i+1), a)
	}
}

// cmdPause: pause DURATION lets time pass that the mechanism under test needs.
func cmdPause(_ *system, args []string) error {
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return err
}

// cmdInForce: inforce ENTRY CALLER waits until the entry serves with a caller declared.
func cmdInForce(s *system, args []string) error {
	return await(args[1]+" in force at "+args[0], func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		q := samphirepass.Query{Caller: samphirepass.Caller(args[1]), Query: json.RawMessage(`{}`)}
		_, err := s.bench(args[0]).Query(ctx, "desk", q)
		r := samphirepass.AsRefusal(err)
		return err == nil || (r != nil && r.Code != samphirepass.CodeUnknownCaller && r.Code != samphirepass.CodeStale)
	})
}

// cmdCommits: commits ENTRY NAME applies one caller and fails unless it is accepted in time.
func cmdCommits(s *system, args []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, err := s.operator(args[0]).Apply(ctx, samphirepass.KindCaller, args[1], samphirepass.CallerSpec{Class: "flight-line"})
	return err
}

// cmdShare: share LIMIT fails if any leaf ever had more than LIMIT connections.
func cmdShare(s *system, args []string) error {
	limit, _ := strconv.ParseInt(args[0], 10, 64)
	for _, l := range s.leaves {
		if c := l.Counts(); c.MaxConnections > limit || c.OverLimit > 0 {
			return fmt.Errorf("leaf %s had %d connections, %d over its limit", l.Name(), c.MaxConnections, c.OverLimit)
		}
	}
	return nil
}
