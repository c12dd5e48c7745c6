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
	awaitTimeout = 30 * time.Second
	pollEvery    = 20 * time.Millisecond
	// firstPort and lastPort lie below the ports that the machine gives to outgoing connections.
	firstPort = 20000
	lastPort  = 32000
)

var nextPort atomic.Int64

// forking keeps the probing of ports apart from the starting of processes:
// a process that has just been forked holds every open listener until it runs its own program.
var forking sync.Mutex

// process is one control or entry process with the relay that its peers reach it by.
type process struct {
	settings settings.File
	path     string
	log      string
	relay    *standin.Relay
	cmd      *exec.Cmd
	exited   chan error
}

func (p *process) ip() netip.Addr { return p.settings.PeerIP() }

// system is all processes and leaves of one script.
type system struct {
	folder    string
	env       []string
	processes map[string]*process
	names     []string
	leaves    []*standin.Leaf
	relays    map[samphirepass.Leaf]*standin.Relay
	keys      map[string]samphirepass.RunKey
	load      *load
	http      *http.Client

	background sync.WaitGroup

	mu       sync.Mutex
	failures []error
	// accepted and seen are the revisions of changes, and those that a watch told of.
	accepted, seen []samphirepass.Revision
}

func newSystem(folder string, env []string) *system {
	return &system{
		folder: folder, env: env, processes: map[string]*process{}, relays: map[samphirepass.Leaf]*standin.Relay{},
		keys: map[string]samphirepass.RunKey{}, http: &http.Client{Timeout: 15 * time.Second},
	}
}

// freePort returns a port below the ephemeral ones on which nothing listens at ip.
func freePort(ip string) (string, error) {
	forking.Lock()
	defer forking.Unlock()
	for range lastPort - firstPort {
		port := firstPort + (nextPort.Add(1)+int64(os.Getpid())*37)%(lastPort-firstPort)
		address := fmt.Sprintf("%s:%d", ip, port)
		l, err := net.Listen("tcp", address)
		if err == nil {
			return address, l.Close()
		}
	}
	return "", eris.New("no free port")
}

// build prepares the processes and starts them.
func (s *system) build(controls, entries, seats int) error {
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
	for _, name := range s.names {
		p := s.processes[name]
		p.settings.Control, p.settings.EntrySeats = members, seats
		if err := s.start(name); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) prepare(name string, number int, control bool) (*process, error) {
	own := fmt.Sprintf("127.0.1.%d", number)
	api, err := freePort(own)
	if err != nil {
		return nil, err
	}
	listen, err := freePort(own)
	if err != nil {
		return nil, err
	}
	seen, err := freePort(fmt.Sprintf("127.0.2.%d", number))
	if err != nil {
		return nil, err
	}
	relay, err := standin.NewRelay(seen, listen)
	if err != nil {
		return nil, err
	}
	p := &process{relay: relay, path: filepath.Join(s.folder, name+".json"), log: filepath.Join(s.folder, name+".log")}
	p.settings = settings.File{
		Role: settings.RoleEntry, VM: samphirepass.VM(name), DataCentre: "derby", API: api, Peer: seen, PeerListen: listen,
		Policy: policy.NameMeasured, BalancerNoticeMs: 200,
	}
	if control {
		p.settings.Role = settings.RoleControl
		p.settings.DataFolder = filepath.Join(s.folder, name)
		p.settings.SnapshotEntries = 50
	}
	s.processes[name] = p
	s.names = append(s.names, name)
	return p, nil
}

func (s *system) start(name string) error {
	p := s.processes[name]
	data, err := json.Marshal(p.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.path, data, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	self, err := os.Executable()
	if err != nil {
		return err
	}
	p.cmd = exec.Command(self, string(p.settings.Role), "--settings", p.path)
	p.cmd.Env = append(os.Environ(), daemonVariable+"=1")
	p.cmd.Stdout, p.cmd.Stderr = out, out
	forking.Lock()
	err = p.cmd.Start()
	forking.Unlock()
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

// awaitExit returns the process's exit error once it has ended.
func (p *process) awaitExit() error {
	select {
	case err := <-p.exited:
		p.exited <- err
		return err
	case <-time.After(awaitTimeout):
		return eris.Errorf("%s still runs", p.settings.VM)
	}
}

// close ends everything that the script started.
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
	if out := os.Getenv("SCENARIO_LOGS"); out != "" {
		for name, p := range s.processes {
			b, _ := os.ReadFile(p.log)
			_ = os.WriteFile(filepath.Join(out, name+".log"), b, 0o600)
		}
	}
}

func (s *system) operator(entry string) operator.Client {
	return operator.Client{Address: s.processes[entry].settings.API}
}

func (s *system) entryAPIs() []string {
	var out []string
	for _, name := range s.names {
		if p := s.processes[name]; p.settings.Role == settings.RoleEntry {
			out = append(out, p.settings.API)
		}
	}
	return out
}

// controlStatuses asks every control process that answers.
func (s *system) controlStatuses() []control.Status {
	var out []control.Status
	client := http.Client{Timeout: 300 * time.Millisecond}
	for _, name := range s.names {
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

// leader returns the leader of the highest term.
func (s *system) leader() (control.Status, bool) {
	var best control.Status
	for _, status := range s.controlStatuses() {
		if status.Role == quorum.RoleLeader && status.Term >= best.Term {
			best = status
		}
	}
	return best, best.VM != ""
}

// voters counts the running control processes whose present disk votes and that follow the leader.
func (s *system) voters() int {
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

// resolve turns leader and follower into names of processes.
func (s *system) resolve(name string) (string, error) {
	if name != "leader" && name != "follower" {
		if s.processes[name] == nil {
			return "", eris.Errorf("no process %q", name)
		}
		return name, nil
	}
	var found string
	err := await("a "+name, func() bool {
		leader, ok := s.leader()
		found = string(leader.VM)
		if name == "leader" || !ok {
			return ok
		}
		for _, m := range leader.Members {
			if m.VM != leader.VM {
				found = string(m.VM)
			}
		}
		return true
	})
	return found, err
}

func await(what string, f func() bool) error {
	end := time.Now().Add(awaitTimeout)
	for time.Now().Before(end) {
		if f() {
			return nil
		}
		time.Sleep(pollEvery)
	}
	return eris.Errorf("waited in vain for %s", what)
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

// covered reports whether the entry knows n serving leaves of a service.
func (s *system) covered(entry string, service samphirepass.Service, n int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	status, err := s.operator(entry).Status(ctx)
	if err != nil {
		return false
	}
	have := 0
	for _, l := range status.Leaves {
		if l.Service == service && l.State == samphirepass.LeafServing {
			have++
		}
	}
	return have == n
}

// isolate sets the links between one process and all others, in both directions.
func (s *system) isolate(name string, l standin.Link) {
	p := s.processes[name]
	for other, q := range s.processes {
		if other == name {
			continue
		}
		p.relay.Set(q.ip(), l)
		q.relay.Set(p.ip(), l)
	}
}
