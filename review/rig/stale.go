package main

import (
	"net/netip"
	"sync"
	"time"

	"github.com/google/uuid"

	"samphirepass/standin"
)

const (
	// calmTime is the time between the first configuration and the cut: traffic starts 10 s after the machines do.
	calmTime = 10 * time.Second
	// cutTime is how long single machines are cut off, the longest on the site's pages.
	cutTime = 10 * time.Second
	// changeDelay is the time from the cut to the change of the configuration.
	changeDelay = time.Second
	// configApply is ConfigApplyMs.
	configApply = 3 * time.Second
	askInterval = 200 * time.Millisecond
)

// stale cuts three machines without disks off from all counted machines, changes the configuration, and asks the gateways of the other
// machines, which are in touch, for the new route.
func stale(d *deployment, trouble bool) (bool, error) {
	if err := d.addRelays(); err != nil {
		return false, err
	}
	first := config(1, "safe", shardNames("check", 10))
	if err := d.begin(first, nil); err != nil {
		return false, err
	}
	time.Sleep(calmTime - settleTime)
	var cut, calm []*machine
	for _, m := range d.machines {
		if m.registrar && !m.disk {
			cut = append(cut, m)
		} else {
			calm = append(calm, m)
		}
	}
	cutAt := time.Now()
	if trouble {
		d.setCut(cut, standin.LinkSilent)
		d.record.say("cut off from the machines with disks: %s, %s, %s", cut[0].ip, cut[1].ip, cut[2].ip)
	}
	time.Sleep(changeDelay)
	second := config(2, "safe", shardNames("check", 10))
	routes := second["Routes"].([]map[string]any)
	second["Routes"] = append(routes, map[string]any{"Name": "added", "Host": host, "PathPrefix": "/added/", "Type": "safe", "TimeoutMs": 2000, "TargetLatencyMs": 500, "Priority": 2, "Service": bookingService, "MaxAttempts": 2})
	if err := d.put(second); err != nil {
		return false, err
	}
	time.Sleep(configApply + askInterval)
	var mu sync.Mutex
	var wg sync.WaitGroup
	refusals := 0
	for _, m := range calm {
		wg.Go(func() {
			for time.Since(cutAt) < cutTime-askInterval {
				a, err := once(at(m, d.front), request{method: "GET", target: "/added/x", id: uuid.NewString(), deadline: 2 * time.Second})
				d.record.add("client: GET /added/x at %s (%s): %d %v", m.ip, m.zone, a.status, err)
				if a.status == 404 {
					mu.Lock()
					refusals++
					mu.Unlock()
				}
				time.Sleep(askInterval)
			}
		})
	}
	wg.Wait()
	if trouble {
		d.setCut(cut, standin.LinkPass)
	}
	d.record.say("%d requests were refused with 404 by gateways in touch, sent later than %v after the acknowledgement", refusals, configApply)
	return refusals == 0, nil
}

// setCut sets the links between some machines and all machines with disks, in both directions.
func (d *deployment) setCut(machines []*machine, link standin.Link) {
	for _, m := range machines {
		for _, core := range d.machines {
			if !core.disk {
				continue
			}
			// The gateways of the machines connect from their ip, the registrars from their listenIP.
			for _, from := range []string{core.ip, core.listenIP} {
				m.relay.Set(netip.MustParseAddr(from), link)
			}
			for _, from := range []string{m.ip, m.listenIP} {
				core.relay.Set(netip.MustParseAddr(from), link)
			}
		}
	}
}
