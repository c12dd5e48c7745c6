package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// The service of the only route, and its host.
const (
	deskService = "registry-feed"
	routeHost   = "check.example"
)

// config returns a configuration with one route to one service. Versions differ in a route that nobody uses.
func config(version int) []byte {
	data, _ := json.Marshal(map[string]any{
		"Version": version,
		"Routes": []map[string]any{
			{"Name": "sync", "Host": routeHost, "PathPrefix": "/sync/", "Type": "safe", "TimeoutMs": 8000, "TargetLatencyMs": 500, "Priority": 2, "Service": deskService, "MaxAttempts": 2},
			{"Name": "idle", "Host": routeHost, "PathPrefix": fmt.Sprintf("/idle%d/", version), "Type": "safe", "TimeoutMs": 8000, "TargetLatencyMs": 500, "Priority": 2, "Service": deskService, "MaxAttempts": 2},
		},
		"Services": []map[string]any{{"Name": deskService, "HealthPath": "/health", "MaxConnections": 38, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	return data
}

// request sends one client request to a machine and reports whether it was served.
func (p *platform) request(ctx context.Context, m *machine, id string) bool {
	header := http.Header{"Host": {routeHost}, "Samphirepass-Request-Id": {id}, "Samphirepass-Deadline-Ms": {"1000"}}
	status, _, err := p.callWith(ctx, http.MethodGet, "http://"+p.front(m)+"/sync/"+id, nil, header)
	p.rec.printf("client's request %s to %s: status %d %v", id, m.name, status, err)
	return err == nil && status == http.StatusOK
}

// startServing starts the system with three leaves and waits until every machine has served a request.
func (p *platform) startServing(ctx context.Context) ([]*leaf, error) {
	p.startSystem()
	var leaves []*leaf
	for i, zone := range []string{"bts-a", "brq-a", "vie-a"} {
		l, err := p.addLeaf(fmt.Sprintf("i-%d", i+1), deskService, zone)
		if err != nil {
			return nil, err
		}
		leaves = append(leaves, l)
	}
	if err := p.putConfig(ctx, 1, config(1), readyTimeout); err != nil {
		return leaves, err
	}
	if err := p.awaitReady(ctx); err != nil {
		return leaves, err
	}
	for _, m := range p.machines {
		served := false
		for try := range 20 {
			if served = p.request(ctx, m, fmt.Sprintf("warm-%s-%d", m.name, try)); served {
				break
			}
			pause(ctx, 100*time.Millisecond)
		}
		if !served {
			return leaves, fmt.Errorf("machine %s does not serve", m.name)
		}
	}
	return leaves, nil
}

func endAll(leaves []*leaf) {
	for _, l := range leaves {
		l.end()
	}
}

// playDeparture kills a machine without a disk right after it has acknowledged that a leaf leaves.
func playDeparture(ctx context.Context, p *platform, trouble bool) error {
	leaves, err := p.startServing(ctx)
	defer endAll(leaves)
	if err != nil {
		return err
	}
	pause(ctx, contactWindow+2*time.Second)
	leaver, taker := leaves[2], p.machine("vie-a-2")
	if !leaver.depart(ctx, p.control(taker)) {
		return fmt.Errorf("machine %s did not acknowledge the DELETE", taker.name)
	}
	acked := time.Now()
	p.rec.printf("machine %s acknowledges that leaf %s is gone", taker.name, leaver.id)
	if trouble {
		p.kill(taker)
		pause(ctx, 500*time.Millisecond)
		p.start(taker, false)
	}
	pause(ctx, time.Until(acked.Add(drainBound+200*time.Millisecond)))
	for n := range 30 {
		for _, m := range p.machines {
			if m != taker {
				p.request(ctx, m, fmt.Sprintf("late-%d-%s", n, m.name))
			}
		}
		if time.Since(acked) > drainBound+2*time.Second {
			break
		}
	}
	late := leaver.since(acked.Add(drainBound))
	if len(late) == 0 {
		return nil
	}
	return fmt.Errorf("DRAIN: %d requests reached leaf %s later than %v after the acknowledgement, the first %v after it: %w",
		len(late), leaver.id, drainBound, late[0].at.Sub(acked).Round(time.Millisecond), errBroken)
}

// replace removes a machine with a disk for good and starts an empty one at another address a second later.
func (p *platform) replace(ctx context.Context, m *machine, name string) {
	p.kill(m)
	m.gone = true
	pause(ctx, time.Second)
	p.start(p.addMachine(name, m.zone, true, true), false)
}

// readNewest reads the configuration back; the answer must come and be version want at least.
func (p *platform) readNewest(ctx context.Context, want int) error {
	got, err := p.getConfig(ctx, readBackTime)
	switch {
	case err != nil:
		return fmt.Errorf("CONFIG: version %d was acknowledged, and no configuration comes: %w: %w", want, err, errBroken)
	case got < want:
		return fmt.Errorf("CONFIG: version %d was acknowledged, and version %d is read back: %w", want, got, errBroken)
	}
	return nil
}

// playSeeds replaces two machines with disks, one after the other, after the seeds have become registrars without disks.
func playSeeds(ctx context.Context, p *platform, trouble bool) error {
	leaves, err := p.startServing(ctx)
	defer endAll(leaves)
	if err != nil {
		return err
	}
	pause(ctx, contactWindow)
	p.seeds = nil
	for _, m := range p.machines {
		if m.disk == "" {
			p.seeds = append(p.seeds, p.control(m))
		}
	}
	p.rec.printf("the settings name other seeds: %v", p.seeds)
	for _, m := range p.machines {
		m.signal(syscall.SIGHUP)
	}
	version := 1
	for _, zone := range []string{"bts-a", "brq-a"} {
		if trouble {
			p.replace(ctx, p.machine(zone+"-1"), zone+"-3")
		}
		// The successor has CatchUpS after its start, and a margin.
		pause(ctx, catchUp+3*time.Second)
		version++
		if err := p.putConfig(ctx, version, config(version), ackBound); err != nil {
			p.rec.printf("%v", err)
			version--
			break
		}
	}
	return p.readNewest(ctx, version)
}

// playPlanned replaces a machine with a disk by a new one that is started first, and takes the disk of another machine right after the old
// one is gone.
func playPlanned(ctx context.Context, p *platform, trouble bool) error {
	leaves, err := p.startServing(ctx)
	defer endAll(leaves)
	if err != nil {
		return err
	}
	pause(ctx, contactWindow)
	old := p.machine("bts-a-1")
	p.start(p.addMachine("bts-a-3", "bts-a", true, true), false)
	// The successor has CatchUpS after its start, and a margin.
	pause(ctx, catchUp+time.Second)
	p.rec.printf("machine %s gets SIGTERM", old.name)
	old.signal(syscall.SIGTERM)
	if !old.awaitExit(graceS * time.Second) {
		old.signal(syscall.SIGKILL)
		old.awaitExit(time.Second)
	}
	old.gone = true
	p.rec.printf("machine %s has stopped and is removed", old.name)
	if err := p.putConfig(ctx, 2, config(2), ackBound); err != nil {
		return err
	}
	pause(ctx, 500*time.Millisecond)
	lost := p.machine("brq-a-1")
	if trouble {
		if err := p.loseDisk(lost); err != nil {
			return err
		}
		pause(ctx, time.Second)
		p.start(lost, false)
	}
	pause(ctx, catchUp)
	return p.readNewest(ctx, 2)
}
