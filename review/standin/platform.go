package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

// The bounds of the deployment overeno-search.
const (
	catchUp       = 4 * time.Second
	contactWindow = 4 * time.Second
	drainBound    = 3 * time.Second
	configApply   = 3 * time.Second
	ackBound      = 5 * time.Second
	graceS        = 6
	heartbeat     = 1200 * time.Millisecond
)

const (
	program      = "target/samphirepass"
	readyTimeout = 20 * time.Second
	callTimeout  = 1200 * time.Millisecond
	// readBackTime is how long the configuration is asked for at the end: MaxSkewMs and ContactWindowMs, twice.
	readBackTime = 32 * time.Second
	retryPause   = 50 * time.Millisecond
)

// ports are the same on all machines.
type ports struct{ front, ready, control, peer, collect, gatewayMetrics, registrarMetrics int }

// machine is one machine of the system with its two processes.
type machine struct {
	name, zone, ip string
	// disk is the folder of the disk, empty for a machine without one.
	disk string
	// cores is the processor share that the settings state.
	cores float64
	// registrar reports whether the machine serves control as well.
	registrar bool
	processes []*process
	gone      bool
}

type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// platform starts, signals and replaces machines, and is the operator.
type platform struct {
	rec      *record
	folder   string
	network  int
	nextHost int
	ports    ports
	machines []*machine
	// seeds are the control addresses in the settings that are written from now on.
	seeds  []string
	client *http.Client
}

func newPlatform(rec *record) (*platform, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("build the programs first: %w", err)
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("make folder: %w", err)
	}
	p := &platform{rec: rec, folder: folder, network: 20 + rand.IntN(200), client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	if err := p.pickPorts(); err != nil {
		return nil, err
	}
	return p, nil
}

// pickPorts picks ports that are free on the first addresses.
func (p *platform) pickPorts() error {
	var free []int
	for range 7 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:0", p.network))
		if err != nil {
			return fmt.Errorf("find a free port: %w", err)
		}
		defer l.Close()
		free = append(free, l.Addr().(*net.TCPAddr).Port)
	}
	p.ports = ports{front: free[0], ready: free[1], control: free[2], peer: free[3], collect: free[4], gatewayMetrics: free[5], registrarMetrics: free[6]}
	return nil
}

// close ends all processes and removes the folder.
func (p *platform) close() {
	for _, m := range p.machines {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range p.machines {
		m.awaitExit(5 * time.Second)
	}
	if logs := os.Getenv("REVIEW_LOGS"); logs != "" {
		if err := os.CopyFS(logs, os.DirFS(p.folder)); err != nil {
			p.rec.printf("logs not kept: %v", err)
		}
	}
	_ = os.RemoveAll(p.folder)
}

// addMachine adds a machine that has not been started.
func (p *platform) addMachine(name, zone string, withDisk, registrar bool) *machine {
	p.nextHost++
	m := &machine{name: name, zone: zone, ip: fmt.Sprintf("127.%d.1.%d", p.network, p.nextHost), cores: 0.4, registrar: registrar}
	if withDisk {
		m.disk, m.cores = filepath.Join(p.folder, name+"-disk"), 0.72
	}
	p.machines = append(p.machines, m)
	return m
}

// startSystem starts three zones, each with a machine that has a disk and one that has none, all at once.
func (p *platform) startSystem() {
	for _, zone := range []string{"bts-a", "brq-a", "vie-a"} {
		p.addMachine(zone+"-1", zone, true, true)
		p.addMachine(zone+"-2", zone, false, true)
	}
	for _, m := range p.machines {
		if m.disk != "" {
			p.seeds = append(p.seeds, p.control(m))
		}
	}
	for _, m := range p.machines {
		p.start(m, true)
	}
}

func (p *platform) machine(name string) *machine {
	i := slices.IndexFunc(p.machines, func(m *machine) bool { return m.name == name })
	return p.machines[i]
}

func (p *platform) control(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, p.ports.control) }
func (p *platform) front(m *machine) string   { return fmt.Sprintf("%s:%d", m.ip, p.ports.front) }

// settings renders deploy/node.jsonc for one process.
func (p *platform) settings(m *machine, role string, found bool) map[string]any {
	at := func(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }
	s := map[string]any{
		"role": role, "vm": "front-" + m.name, "data-centre": m.zone, "ip": m.ip, "peer-port": p.ports.peer, "collect-port": p.ports.collect,
		"cores": m.cores, "link-mbps": 1000.0, "seeds": p.seeds, "found": found, "lost-disks": 1,
		"retry-budget": map[string]any{"ratio": 0.2, "window-ms": 10_000, "slack": 60}, "stop-ms": graceS * 1000,
	}
	if role == "gateway" {
		s["front"], s["ready"], s["metrics"] = at(p.ports.front), at(p.ports.ready), at(p.ports.gatewayMetrics)
		return s
	}
	s["control"], s["metrics"] = at(p.ports.control), at(p.ports.registrarMetrics)
	if m.disk != "" {
		s["data-folder"] = m.disk
	}
	return s
}

// start starts the processes of a machine with the settings in effect.
func (p *platform) start(m *machine, found bool) {
	m.processes = nil
	roles := []string{"gateway"}
	if m.registrar {
		roles = append(roles, "registrar")
	}
	for _, role := range roles {
		if err := p.startProcess(m, role, found); err != nil {
			p.rec.printf("cannot start %s on %s: %v", role, m.name, err)
		}
	}
	p.rec.printf("machine %s starts at %s, disk %v, seeds %v", m.name, m.ip, m.disk != "", p.seeds)
}

func (p *platform) startProcess(m *machine, role string, found bool) error {
	data, err := json.Marshal(p.settings(m, role, found))
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	base := filepath.Join(p.folder, m.name+"-"+role)
	if err := os.WriteFile(base+".jsonc", data, 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	log, err := os.OpenFile(base+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer log.Close()
	cmd := exec.Command(program, role)
	cmd.Env = append(os.Environ(), "SAMPHIREPASS_NODE_FILE="+base+".jsonc")
	cmd.Stdout, cmd.Stderr = log, log
	// The process ends with this one, however this one ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", role, err)
	}
	proc := &process{cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(proc.exited)
	}()
	m.processes = append(m.processes, proc)
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	for _, proc := range m.processes {
		// It fails only if the process has ended.
		_ = proc.cmd.Process.Signal(s)
	}
}

// awaitExit waits until all processes of the machine have ended, and reports whether they have.
func (m *machine) awaitExit(timeout time.Duration) bool {
	deadline := time.After(timeout)
	for _, proc := range m.processes {
		select {
		case <-proc.exited:
		case <-deadline:
			return false
		}
	}
	return true
}

// kill ends the processes of a machine at once.
func (p *platform) kill(m *machine) {
	m.signal(syscall.SIGKILL)
	m.awaitExit(5 * time.Second)
	p.rec.printf("machine %s is killed", m.name)
}

// awaitReady returns once all machines report ready.
func (p *platform) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for _, m := range p.machines {
		for !m.gone && !p.isReady(ctx, m) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("machine %s is not ready", m.name)
			}
			time.Sleep(retryPause)
		}
	}
	p.rec.printf("all machines are ready")
	return nil
}

func (p *platform) isReady(ctx context.Context, m *machine) bool {
	status, _, err := p.call(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/samphirepass/ready", m.ip, p.ports.ready), nil)
	return err == nil && status == http.StatusOK
}

func (p *platform) call(ctx context.Context, method, url string, body []byte) (int, []byte, error) {
	return p.callWith(ctx, method, url, body, nil)
}

// registrars returns the machines that serve control and have not been removed.
func (p *platform) registrars() []*machine {
	return slices.DeleteFunc(slices.Clone(p.machines), func(m *machine) bool { return m.gone || !m.registrar })
}

var errNoAnswer = errors.New("no registrar gave a clear answer")

// putConfig sends a configuration to one registrar after the other until it is acknowledged, as an operator does.
func (p *platform) putConfig(ctx context.Context, version int, body []byte, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	p.rec.printf("operator sends configuration %d", version)
	for i := 0; time.Now().Before(deadline) && ctx.Err() == nil; i++ {
		registrars := p.registrars()
		m := registrars[i%len(registrars)]
		status, answer, err := p.call(ctx, http.MethodPut, "http://"+p.control(m)+"/samphirepass/config", body)
		if err == nil && status == http.StatusOK {
			p.rec.printf("configuration %d is acknowledged by %s", version, m.name)
			return nil
		}
		p.rec.printf("configuration %d at %s: status %d %s %v", version, m.name, status, shorten(answer), err)
		time.Sleep(retryPause)
	}
	return fmt.Errorf("configuration %d: %w within %v", version, errNoAnswer, timeout)
}

// getConfig reads the configuration from one registrar after the other until one answers, and returns its version.
func (p *platform) getConfig(ctx context.Context, timeout time.Duration) (int, error) {
	deadline := time.Now().Add(timeout)
	for i := 0; time.Now().Before(deadline) && ctx.Err() == nil; i++ {
		registrars := p.registrars()
		m := registrars[i%len(registrars)]
		status, answer, err := p.call(ctx, http.MethodGet, "http://"+p.control(m)+"/samphirepass/config", nil)
		var doc struct{ Version int }
		if err == nil && status == http.StatusOK && json.Unmarshal(answer, &doc) == nil {
			p.rec.printf("read back at %s: version %d", m.name, doc.Version)
			return doc.Version, nil
		}
		p.rec.printf("read back at %s: status %d %s %v", m.name, status, shorten(answer), err)
		time.Sleep(retryPause)
	}
	return 0, fmt.Errorf("read back: %w within %v", errNoAnswer, timeout)
}

func shorten(b []byte) string {
	const most = 120
	if len(b) > most {
		b = b[:most]
	}
	return string(b)
}

// callWith sends one request and returns the status and the body of the answer.
func (p *platform) callWith(ctx context.Context, method, url string, body []byte, header http.Header) (int, []byte, error) {
	req, err := newRequest(ctx, method, url, body)
	if err != nil {
		return 0, nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if host := header.Get("Host"); host != "" {
		req.Host = host
		req.Header.Del("Host")
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("call: %w", err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, nil, fmt.Errorf("read answer: %w", err)
	}
	return resp.StatusCode, answer, nil
}

// loseDisk ends the processes of a machine at once and empties its disk.
func (p *platform) loseDisk(m *machine) error {
	p.kill(m)
	if err := os.RemoveAll(m.disk); err != nil {
		return fmt.Errorf("empty the disk of %s: %w", m.name, err)
	}
	p.rec.printf("machine %s has lost its disk", m.name)
	return nil
}

// pause waits for d, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
