package main

import (
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
)

// plainTargets are request targets of unreserved characters, oddTargets such as clients also send: without an encoding of their own.
var (
	plainTargets = []string{"/booking/a/b", "/booking/a.b-c_d~e", "/booking/a%7Cb", "/booking/a;v=1,2", "/booking/a?q=b%7Cc"}
	oddTargets   = []string{"/booking/a|b", "/booking/a^b", "/booking/{a}", "/booking/a\"b\"", "/booking/stra\xc3\x9fe"}
)

// runSeen is a request as a leaf ran it.
type runSeen struct {
	method, target, leaf string
}

// paths checks that leaves run requests with the target that their client sent.
func paths(d *deployment, trouble bool) (bool, error) {
	var mu sync.Mutex
	seen := map[string][]runSeen{}
	onRun := func(l *leafServer, r *http.Request, _ []byte) {
		mu.Lock()
		defer mu.Unlock()
		id := r.Header.Get("Samphirepass-Request-Id")
		seen[id] = append(seen[id], runSeen{r.Method, r.RequestURI, l.id})
	}
	if err := d.begin(config(1, "unsafe", shardNames("register", 10)), onRun); err != nil {
		return false, err
	}
	targets := plainTargets
	if trouble {
		targets = append(targets, oddTargets...)
	}
	held := true
	for _, target := range targets {
		for _, m := range d.machines[:4] {
			id := uuid.NewString()
			got, err := once(at(m, d.front), request{method: "POST", target: target, id: id, deadline: 4 * time.Second, body: []byte("body")})
			if err != nil {
				d.record.add("client: POST %q to %s: %v", target, m.ip, err)
				continue
			}
			mu.Lock()
			runs := seen[id]
			mu.Unlock()
			d.record.add("client: POST %q to %s: %d; runs: %q", target, m.ip, got.status, runs)
			for _, r := range runs {
				if r.target != target {
					held = false
					d.record.say("UNASKED: leaf %s ran %s %q, the client sent POST %q", r.leaf, r.method, r.target, target)
				}
			}
		}
	}
	return held, nil
}
