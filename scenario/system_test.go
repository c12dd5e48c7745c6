package scenario_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"samphirepass"
	"samphirepass/control"
	"samphirepass/operator"
	"samphirepass/policy"
	"samphirepass/quorum"
	"samphirepass/settings"
	"samphirepass/standin"
)

const (
	waitTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	// firstPort and lastPort lie below the ephemeral ports, which the operating system assigns to outgoing connections.
	firstPort = 20000
	lastPort  = 32000
)

var nextPort atomic.Int64

// forkMu excludes starting a process while a port is probed: a forked process keeps the probing listener open until exec,
// so the port would still be in use.
var forkMu sync.Mutex

// process is a control or entry process and the relay through which its peers reach it.
type process struct {
	settings     settings.File
	settingsPath string
	logPath      string
	relay        *standin.Relay
	cmd          *exec.Cmd
	exited       chan error
}

func (p *process) ip() netip.Addr { return p.settings.PeerIP() }

// system holds all processes and leaves of one script.
type system struct {
	folder       string
	env          []string
	processes    map[string]*process
	processNames []string
	leaves       []*standin.Leaf
	relays       map[samphirepass.Leaf]*standin.Relay
	runKeys      map[string]samphirepass.RunKey
	load         *load
	http         *http.Client

	background sync.WaitGroup

	mu       sync.Mutex
	failures []error
	// acceptedRevisions are the revisions of the accepted changes, watchedRevisions those that a watch received.
	acceptedRevisions, watchedRevisions []samphirepass.Revision
}

func newSystem(folder string, env []string) *system {
	return &system{
		folder: folder, env: env, processes: map[string]*process{}, relays: map[samphirepass.Leaf]*standin.Relay{},
		runKeys: map[string]samphirepass.RunKey{}, http: &http.Client{Timeout: 15 * time.Second},
	}
}

// freeAddress returns an address of ip whose port is below the ephemeral ports and not in use.
func freeAddress(ip string) (string, error) {
	forkMu.Lock()
	defer forkMu.Unlock()
	for range lastPort - firstPort {
		port := firstPort + (nextPort.Add(1)+int64(os.Getpid())*37)%(lastPort-firstPort)
		address := fmt.Sprintf("%s:%d", ip, port)
		l, err := net.Listen("tcp", address)
		if err == nil {
			return address, l.Close()
		}
	}
	return "", eris.Errorf("no free port from %d to %d at %s", firstPort, lastPort-1, ip)
}

// startProcesses prepares and starts the control and entry processes.
func (s *system) startProcesses(controls, entries, seats int) error {
	var members []settings.ControlMember
	for i := range controls + entries {
		name := fmt.Sprintf("control-%d", i+1)
		if i >= controls {
			name = fmt.Sprintf("entry-%d", i+1-controls)
		}
		p, err := s.prepare(name, i+1, i < controls)
		if err != nil {
			return err
		}
		if i < controls {
			members = append(members, settings.ControlMember{VM: p.settings.VM, Address: p.settings.Peer})
		}
	}
	for _, name := range s.processNames {
		p := s.processes[name]
		p.settings.Control, p.settings.EntrySeats = members, seats
		if err := s.start(name); err != nil {
			return err
		}
	}
	return nil
}

// prepare adds a process with its relay and settings, but does not start it. The number determines its IP addresses:
// 127.0.1.number of the process and 127.0.2.number of its relay.
func (s *system) prepare(name string, number int, control bool) (*process, error) {
	ip := fmt.Sprintf("127.0.1.%d", number)
	api, err := freeAddress(ip)
	if err != nil {
		return nil, err
	}
	peerListen, err := freeAddress(ip)
	if err != nil {
		return nil, err
	}
	peer, err := freeAddress(fmt.Sprintf("127.0.2.%d", number))
	if err != nil {
		return nil, err
	}
	relay, err := standin.NewRelay(peer, peerListen)
	if err != nil {
		return nil, err
	}
	p := &process{relay: relay, settingsPath: filepath.Join(s.folder, name+".json"), logPath: filepath.Join(s.folder, name+".log")}
	p.settings = settings.File{
		Role: settings.RoleEntry, VM: samphirepass.VM(name), DataCentre: "derby", API: api, Peer: peer, PeerListen: peerListen,
		Policy: policy.NameMeasured, BalancerNoticeMs: 200,
	}
	if control {
		p.settings.Role = settings.RoleControl
		p.settings.DataFolder = filepath.Join(s.folder, name)
		p.settings.SnapshotEntries = 50
	}
	s.processes[name] = p
	s.processNames = append(s.processNames, name)
	return p, nil
}

func (s *system) start(name string) error {
	p := s.processes[name]
	data, err := json.Marshal(p.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.settingsPath, data, 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	self, err := os.Executable()
	if err != nil {
		return err
	}
	p.cmd = exec.Command(self, string(p.settings.Role), "--settings", p.settingsPath)
	p.cmd.Env = append(os.Environ(), daemonEnv+"=1")
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	forkMu.Lock()
	err = p.cmd.Start()
	forkMu.Unlock()
	if err != nil {
		return err
	}
	p.exited = make(chan error, 1)
	go func(cmd *exec.Cmd, exited chan error) { exited <- cmd.Wait() }(p.cmd, p.exited)
	return nil
}

// signal sends a signal to a running process.
func (p *process) signal(sig syscall.Signal) error {
	return p.cmd.Process.Signal(sig)
}

// awaitExit waits until the process exits and returns its exit error.
func (p *process) awaitExit() error {
	select {
	case err := <-p.exited:
		p.exited <- err
		return err
	case <-time.After(waitTimeout):
		return eris.Errorf("process %s did not exit within %s", p.settings.VM, waitTimeout)
	}
}

// close kills the processes, stops the leaves and relays, and copies the logs to the folder $SCENARIO_LOGS if that is set.
func (s *system) close() {
	if s.load != nil {
		s.load.stop()
	}
	for _, p := range s.processes {
		p.relay.Close()
		if p.exited == nil {
			continue
		}
		_ = p.signal(syscall.SIGKILL)
		_ = p.awaitExit()
	}
	for _, l := range s.leaves {
		l.Stop()
	}
	for _, r := range s.relays {
		r.Close()
	}
	if folder := os.Getenv("SCENARIO_LOGS"); folder != "" {
		for name, p := range s.processes {
			b, _ := os.ReadFile(p.logPath)
			_ = os.WriteFile(filepath.Join(folder, name+".log"), b, 0o600)
		}
	}
}

func (s *system) operatorClient(entry string) operator.Client {
	return operator.Client{Address: s.processes[entry].settings.API}
}

func (s *system) entryAPIs() []string {
	var out []string
	for _, name := range s.processNames {
		if p := s.processes[name]; p.settings.Role == settings.RoleEntry {
			out = append(out, p.settings.API)
		}
	}
	return out
}

// controlStatuses returns the status of each control process that answers.
func (s *system) controlStatuses() []control.Status {
	var out []control.Status
	client := http.Client{Timeout: 300 * time.Millisecond}
	for _, name := range s.processNames {
		p := s.processes[name]
		if p.settings.Role != settings.RoleControl {
			continue
		}
		resp, err := client.Get("http://" + p.settings.API + "/v1/status")
		if err != nil {
			continue
		}
		var status control.Status
		err = json.NewDecoder(resp.Body).Decode(&status)
		resp.Body.Close()
		if err == nil {
			out = append(out, status)
		}
	}
	return out
}

// leader returns the status of the control leader with the highest term.
func (s *system) leader() (control.Status, bool) {
	var best control.Status
	for _, status := range s.controlStatuses() {
		if status.Role == quorum.RoleLeader && status.Term >= best.Term {
			best = status
		}
	}
	return best, best.VM != ""
}

// voterCount returns the number of running control processes that follow the leader and are voters with their current disk.
func (s *system) voterCount() int {
	leader, ok := s.leader()
	if !ok || !leader.Formed {
		return 0
	}
	n := 0
	for _, status := range s.controlStatuses() {
		m, _ := leader.Members.Find(status.VM)
		if m.Voter && m.Disk == status.Disk && status.Leader == leader.VM {
			n++
		}
	}
	return n
}

// resolve returns the process name for "leader", "follower", a process name or an alias.
func (s *system) resolve(name string) (string, error) {
	if name != "leader" && name != "follower" {
		if s.processes[name] == nil {
			return "", eris.Errorf("unknown process %q", name)
		}
		return name, nil
	}
	var processName string
	err := waitFor("a "+name, func() bool {
		leader, ok := s.leader()
		processName = string(leader.VM)
		if name == "leader" || !ok {
			return ok
		}
		for _, m := range leader.Members {
			if m.VM != leader.VM {
				processName = string(m.VM)
			}
		}
		return true
	})
	return processName, err
}

// waitFor polls f until it returns true, and fails after waitTimeout.
func waitFor(what string, f func() bool) error {
	end := time.Now().Add(waitTimeout)
	for time.Now().Before(end) {
		if f() {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return eris.Errorf("timed out after %s waiting for %s", waitTimeout, what)
}

func (s *system) ready(name string) bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := client.Get("http://" + s.processes[name].settings.API + "/healthz")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// hasServingLeaves reports whether the entry knows exactly n serving leaves of a service.
func (s *system) hasServingLeaves(entry string, service samphirepass.Service, n int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	status, err := s.operatorClient(entry).Status(ctx)
	if err != nil {
		return false
	}
	serving := 0
	for _, l := range status.Leaves {
		if l.Service == service && l.State == samphirepass.LeafServing {
			serving++
		}
	}
	return serving == n
}

// setLinks sets the links between a process and all others, in both directions.
func (s *system) setLinks(name string, l standin.Link) {
	p := s.processes[name]
	for other, q := range s.processes {
		if other == name {
			continue
		}
		p.relay.Set(q.ip(), l)
		q.relay.Set(p.ip(), l)
	}
}
