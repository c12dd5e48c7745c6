package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
)

// The services of the split route; the other route goes to deskService.
const (
	firstPart  = "check-api"
	secondPart = "support-desk"
)

// namedConfig returns a configuration with a split route and, on another host, the route to deskService.
func namedConfig(version int, splitName, deskName string) []byte {
	route := func(name, host, prefix string) map[string]any {
		return map[string]any{
			"Name": name, "Host": host, "PathPrefix": prefix, "Type": "safe", "TimeoutMs": 8000, "TargetLatencyMs": 500, "Priority": 2, "MaxAttempts": 2,
		}
	}
	split, desk := route(splitName, "report.example", "/sync/"), route(deskName, routeHost, "/sync/")
	split["Split"] = []map[string]any{{"Service": firstPart, "Weight": 1}, {"Service": secondPart, "Weight": 1}}
	desk["Service"] = deskService
	var services []map[string]any
	for _, s := range []string{firstPart, secondPart, deskService} {
		services = append(services, map[string]any{"Name": s, "HealthPath": "/health", "MaxConnections": 38, "Protocol": "h1", "Tls": false})
	}
	data, _ := json.Marshal(map[string]any{
		"Version": version, "Routes": []map[string]any{split, desk}, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	return data
}

// playNames changes the configuration to one in which a route has the name of a split route on another host.
func playNames(ctx context.Context, p *platform, trouble bool) error {
	leaves, err := p.startServing(ctx)
	defer func() { endAll(leaves) }()
	if err != nil {
		return err
	}
	for i, service := range []string{firstPart, secondPart} {
		l, err := p.addLeaf(fmt.Sprintf("i-%d", 10+i), service, "brq-a")
		if err != nil {
			return err
		}
		leaves = append(leaves, l)
	}
	pause(ctx, contactWindow)
	deskName := "sync"
	if trouble {
		deskName = "report"
	}
	if err := p.putConfig(ctx, 2, namedConfig(2, "report", deskName), ackBound); err != nil {
		return err
	}
	// The version is due everywhere.
	pause(ctx, configApply+time.Second)
	sent := time.Now()
	for n := range 10 {
		for _, m := range p.machines {
			p.request(ctx, m, fmt.Sprintf("desk-%d-%s", n, m.name))
		}
	}
	foreign := 0
	for _, l := range leaves {
		if l.service != deskService {
			foreign += len(l.since(sent))
		}
	}
	if foreign == 0 {
		return nil
	}
	return fmt.Errorf("ROUTE: %d requests to %s, which all configurations send to %s, were run by %s or %s: %w",
		foreign, routeHost, deskService, firstPart, secondPart, errBroken)
}
