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

// defaultCaller is the caller that declare-service declares and that sends queries and runs unless a script names another.
const defaultCaller = "marshal"

type commandFunc = func(ts *testscript.TestScript, neg bool, args []string)

// withSystem makes a script command of a function that is called with the script's system. The script may negate the
// command with "!", which then has to return an error.
func withSystem(f func(s *system, args []string) error) commandFunc {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		err := f(ts.Value(systemKey{}).(*system), args)
		if neg && err == nil {
			ts.Fatalf("command succeeded, but the script expects it to fail")
		}
		if !neg {
			ts.Check(err)
		}
	}
}

func commands() map[string]commandFunc {
	return map[string]commandFunc{
		"system": withSystem(cmdSystem), "leaves": withSystem(cmdLeaves), "await": withSystem(cmdAwait),
		"declare-service": withSystem(cmdDeclareService), "declare-caller": withSystem(cmdDeclareCaller),
		"change-callers": withSystem(cmdChangeCallers), "await-caller": withSystem(cmdAwaitCaller),
		"signal": withSystem(cmdSignal), "start": withSystem(cmdStart), "await-exit": withSystem(cmdAwaitExit),
		"wipe": withSystem(cmdWipe), "backup": withSystem(cmdBackup), "set-links": withSystem(cmdSetLinks),
		"query": withSystem(cmdQuery), "run": withSystem(cmdRun), "run-count": withSystem(cmdRunCount),
		"await-state": withSystem(cmdAwaitState), "fault": withSystem(cmdFault), "leaf": withSystem(cmdLeaf),
		"max-connections": withSystem(cmdMaxConnections), "load": withSystem(cmdLoad),
		"background": withSystem(cmdBackground), "await-background": withSystem(cmdAwaitBackground),
		"prepare-control": withSystem(cmdPrepareControl), "member": withSystem(cmdMember),
		"force-leader": withSystem(cmdForceLeader), "watch": withSystem(cmdWatch), "pause": withSystem(cmdPause),
		"entry-env": cmdEntryEnv,
	}
}

// cmdBackground implements "background run|declare-caller|query ARGS...": it starts the command and returns.
func cmdBackground(s *system, args []string) error {
	f := map[string]func(*system, []string) error{"run": cmdRun, "declare-caller": cmdDeclareCaller, "query": cmdQuery}[args[0]]
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

// cmdAwaitBackground implements "await-background": it waits until all background commands have ended and returns their
// errors.
func cmdAwaitBackground(s *system, _ []string) error {
	s.background.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	err := errors.Join(s.failures...)
	s.failures = nil
	return err
}

// parseOptions parses KEY=VALUE arguments.
func parseOptions(args []string) map[string]string {
	out := map[string]string{}
	for _, a := range args {
		key, value, _ := strings.Cut(a, "=")
		out[key] = value
	}
	return out
}

// intOption returns the integer value of an option, or defaultValue if it is missing or not an integer.
func intOption(o map[string]string, key string, defaultValue int) int {
	n, err := strconv.Atoi(o[key])
	if err != nil {
		return defaultValue
	}
	return n
}

// cmdSystem implements "system CONTROLS ENTRIES [seats=N]": it starts that many control and entry processes and waits
// until every entry is ready.
func cmdSystem(s *system, args []string) error {
	controls, _ := strconv.Atoi(args[0])
	entries, _ := strconv.Atoi(args[1])
	if err := s.startProcesses(controls, entries, intOption(parseOptions(args), "seats", entries)); err != nil {
		return err
	}
	for i := range entries {
		name := fmt.Sprintf("entry-%d", i+1)
		if err := waitFor(name+" ready", func() bool { return s.ready(name) }); err != nil {
			return err
		}
	}
	return nil
}

// cmdDeclareService implements "declare-service ENTRY SERVICE [partial=refused] [deadline=MS] [budget=PERCENT]": it applies
// a service with that hedge budget, and defaultCaller.
func cmdDeclareService(s *system, args []string) error {
	o := parseOptions(args[2:])
	partial := samphirepass.PartialRule(o["partial"])
	if partial == "" {
		partial = samphirepass.PartialAllowed
	}
	fleet := bench.Fleet{Partial: partial, DeadlineMs: samphirepass.Millis(intOption(o, "deadline", 2000))}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	client := s.operatorClient(args[0])
	spec := fleet.Spec([]samphirepass.Class{"flight-line"})
	spec.HedgeBudgetPercent = samphirepass.Percent(intOption(o, "budget", 50))
	if _, err := client.Apply(ctx, samphirepass.KindService, args[1], spec); err != nil {
		return err
	}
	_, err := client.Apply(ctx, samphirepass.KindCaller, defaultCaller, samphirepass.CallerSpec{Class: "flight-line"})
	return err
}

// cmdAwait implements "await ready ENTRY | unready ENTRY | leaves ENTRY SERVICE N | voters N | seats N | leader".
func cmdAwait(s *system, args []string) error {
	switch args[0] {
	case "ready":
		return waitFor(args[1]+" ready", func() bool { return s.ready(args[1]) })
	case "unready":
		return waitFor(args[1]+" unready", func() bool { return !s.ready(args[1]) })
	case "leaves":
		n, _ := strconv.Atoi(args[3])
		return waitFor(args[3]+" serving leaves of "+args[2]+" at "+args[1], func() bool { return s.hasServingLeaves(args[1], samphirepass.Service(args[2]), n) })
	case "seats":
		n, _ := strconv.Atoi(args[1])
		return waitFor(args[1]+" seats", func() bool {
			leader, ok := s.leader()
			return ok && len(leader.Seats) == n
		})
	case "voters":
		n, _ := strconv.Atoi(args[1])
		return waitFor(args[1]+" voters", func() bool { return s.voterCount() == n })
	default:
		return waitFor("a leader", func() bool { _, ok := s.leader(); return ok })
	}
}

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM,
}

// cmdSignal implements "signal PROCESS SIGNAL [ALIAS]": it sends a signal and, after KILL, waits for the exit. ALIAS names
// the process in later commands, where "leader" or "follower" may mean another one.
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

// cmdStart implements "start PROCESS": it starts a process that has exited or was only prepared.
func cmdStart(s *system, args []string) error {
	return s.start(args[0])
}

// cmdAwaitExit implements "await-exit PROCESS": it waits until a process exits and fails unless the exit status is 0.
func cmdAwaitExit(s *system, args []string) error {
	return s.processes[args[0]].awaitExit()
}

// cmdWipe implements "wipe PROCESS": it removes the data folder of a control process.
func cmdWipe(s *system, args []string) error {
	return os.RemoveAll(s.processes[args[0]].settings.DataFolder)
}

// cmdBackup implements "backup PROCESS save|restore": it copies a data folder, or replaces the data folder with the copy.
func cmdBackup(s *system, args []string) error {
	from, to := s.processes[args[0]].settings.DataFolder, filepath.Join(s.folder, "backup-"+args[0])
	if args[1] == "restore" {
		from, to = to, from
	}
	if err := os.RemoveAll(to); err != nil {
		return err
	}
	return os.CopyFS(to, os.DirFS(from))
}

// cmdSetLinks implements "set-links PROCESS cut|silent|pass [ALIAS]": it sets the links between a process and all others.
// ALIAS names the process in later commands.
func cmdSetLinks(s *system, args []string) error {
	name, err := s.resolve(args[0])
	if err != nil {
		return err
	}
	if len(args) > 2 {
		s.processes[args[2]] = s.processes[name]
	}
	s.setLinks(name, standin.Link(args[1]))
	return nil
}

// cmdPrepareControl implements "prepare-control NAME": it prepares another control process, to be started with "start".
func cmdPrepareControl(s *system, args []string) error {
	p, err := s.prepare(args[0], len(s.processNames)+1, true)
	if err != nil {
		return err
	}
	first := s.processes["control-1"].settings
	member := settings.ControlMember{VM: p.settings.VM, Address: p.settings.Peer}
	p.settings.Control = append(slices.Clone(first.Control), member)
	p.settings.EntrySeats = first.EntrySeats
	return nil
}

// cmdMember implements "member ENTRY add|remove PROCESS": it changes the membership of control and retries until the change
// is accepted, as another membership change may be in progress.
func cmdMember(s *system, args []string) error {
	name, err := s.resolve(args[2])
	if err != nil {
		return err
	}
	return waitFor("the change of control members", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		p := s.processes[name].settings
		if args[1] == "add" {
			return s.operatorClient(args[0]).AddMember(ctx, operator.MemberBody{VM: p.VM, Address: p.Peer}) == nil
		}
		return s.operatorClient(args[0]).RemoveMember(ctx, p.VM) == nil
	})
}

// cmdForceLeader implements "force-leader PROCESS": while another process leads, it pauses that one for 2 s to cause an
// election, until PROCESS is elected.
func cmdForceLeader(s *system, args []string) error {
	return waitFor(args[0]+" leading", func() bool {
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

// cmdWatch implements "watch start ENTRY" and "watch check": the check waits until the revisions that the watch has received
// equal, in order, those of the changes accepted since its start.
func cmdWatch(s *system, args []string) error {
	if args[0] == "start" {
		list, err := s.operatorClient(args[1]).List(context.Background(), samphirepass.KindCaller)
		if err != nil {
			return err
		}
		s.acceptedRevisions, s.watchedRevisions = nil, nil
		go s.watch(args[1], list.Revision)
		return nil
	}
	return waitFor("the watch to receive every accepted change", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.acceptedRevisions) > 0 && slices.Equal(s.acceptedRevisions, s.watchedRevisions)
	})
}

// watch records the revisions of the events that it receives. When a watch ends, it continues after the last revision at
// entry-2.
func (s *system) watch(entry string, from samphirepass.Revision) {
	for range 100 {
		_ = s.operatorClient(entry).Watch(context.Background(), samphirepass.KindCaller, from, func(l operator.WatchLine) bool {
			if l.Event != nil {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.watchedRevisions = append(s.watchedRevisions, l.Event.Revision)
				from = l.Event.Revision
			}
			return true
		})
		entry = "entry-2"
		time.Sleep(pollInterval)
	}
}

// cmdEntryEnv implements "entry-env": it sets the environment variables ENTRY1, ENTRY2 and so on to the API addresses of
// the entries, for use in exec commands.
func cmdEntryEnv(ts *testscript.TestScript, _ bool, _ []string) {
	for i, a := range ts.Value(systemKey{}).(*system).entryAPIs() {
		ts.Setenv(fmt.Sprintf("ENTRY%d", i+1), a)
	}
}

// cmdPause implements "pause DURATION": it sleeps for the time that the mechanism under test needs.
func cmdPause(_ *system, args []string) error {
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return err
}
