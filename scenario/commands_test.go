package scenario_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"samphirepass"
	"samphirepass/bench"
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
		"spare": with(cmdSpare), "member": with(cmdMember), "watch": with(cmdWatch), "vars": cmdVars, "leads": with(cmdLeads), "change": with(cmdChange), "pause": with(cmdPause), "inforce": with(cmdInForce),
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

// cmdLeads: leads PROCESS freezes whoever else leads until PROCESS does.
func cmdLeads(s *system, args []string) error {
	return await(args[0]+" leading", func() bool {
		leader, ok := s.leader()
		if !ok || string(leader.VM) == args[0] {
			return ok
		}
		p := s.processes[string(leader.VM)]
		if p.signal(syscall.SIGSTOP) != nil {
			return false
		}
		time.Sleep(2 * time.Second)
		return p.signal(syscall.SIGCONT) != nil
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
