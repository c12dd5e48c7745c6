package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
)

const (
	// deadlyPath begins the paths of deadly requests.
	deadlyPath = "/booking/deadly"
	// deadlyRequests is the number of deadly requests that come one after the other, deadlyTime how long each comes again, deadlyEvery how
	// often: one of 34 requests is a share below 0.03.
	deadlyRequests = 2
	deadlyTime     = 20 * time.Second
	deadlyEvery    = 34
	// deadlyWork is how long a leaf works on the deadly request until it crashes; work on a booking takes up to 960 ms.
	deadlyWork      = 900 * time.Millisecond
	bookingDeadline = 6 * time.Second
	// slowLeaves is 0.4 of the leaves of the booking desk, which are slow for slowTime, slowFactor how many times as long their work takes.
	slowLeaves = 11
	slowFactor = 12
	slowTime   = 8 * time.Second
	// downTime is how long a crashed leaf is down.
	downTime = 3 * time.Second
	// contactWindow is ContactWindowMs, allowedRetries the number of retries that may reach leaves after that.
	contactWindow  = 4 * time.Second
	allowedRetries = 3
	bookingsPerS   = 45
)

// deadlyLog records what one deadly request does to leaves.
type deadlyLog struct {
	crashes []time.Time
	// late holds the client's requests that reached leaves later than contactWindow after the third crash.
	late map[string]bool
}

// deadlyLogs holds the logs of the deadly requests by their targets.
type deadlyLogs struct {
	mu   sync.Mutex
	logs map[string]*deadlyLog
}

// arrive records that a request reached a leaf, and reports whether it was late.
func (d *deadlyLogs) arrive(target, id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.logs[target]
	late := len(l.crashes) >= 3 && time.Since(l.crashes[2]) > contactWindow
	if late {
		l.late[id] = true
	}
	return late
}

// crash records that a leaf crashed under a request, and returns the number of its crashes.
func (d *deadlyLogs) crash(target string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.logs[target]
	l.crashes = append(l.crashes, time.Now())
	return len(l.crashes)
}

func isDeadly(target string) bool { return strings.HasPrefix(target, deadlyPath) }

// deadly sends requests that crash each leaf that runs them, again and again, while some leaves are slow, and counts how many of their
// retries still reach leaves.
func deadly(d *deployment, trouble bool) (bool, error) {
	logs := &deadlyLogs{logs: map[string]*deadlyLog{}}
	var targets []string
	for i := range deadlyRequests {
		targets = append(targets, fmt.Sprintf("%s-%d", deadlyPath, i+1))
		logs.logs[targets[i]] = &deadlyLog{late: map[string]bool{}}
	}
	onArrive := func(l *leafServer, r *http.Request) {
		if !isDeadly(r.RequestURI) {
			return
		}
		id := r.Header.Get("Samphirepass-Request-Id")
		late := logs.arrive(r.RequestURI, id)
		d.record.add("%s, request %s, reaches leaf %s with %s ms left, slowness %d, late %t", r.RequestURI, id, l.id, r.Header.Get("Samphirepass-Deadline-Ms"), l.slowness.Load(), late)
	}
	onRun := func(l *leafServer, r *http.Request, _ []byte) {
		if isDeadly(r.RequestURI) {
			d.record.add("leaf %s runs request %s", l.id, r.Header.Get("Samphirepass-Request-Id"))
		}
	}
	if err := d.begin(config(1, "safe", shardNames("register", 10)), onRun); err != nil {
		return false, err
	}
	for _, l := range d.bookingLeaves() {
		l.onArrive = onArrive
		d.makeDeadly(l, logs, trouble)
	}
	var wg sync.WaitGroup
	var ordinary, deadlyAnswers tally
	began := time.Now()
	until := began.Add(deadlyRequests * deadlyTime)
	nextSlow := time.Now()
	for i := 0; time.Now().Before(until); i++ {
		if trouble && !time.Now().Before(nextSlow) {
			d.slowDown()
			nextSlow = nextSlow.Add(slowTime)
		}
		target := "/booking/b"
		count := &ordinary
		if i%deadlyEvery == 0 {
			target, count = targets[min(int(time.Since(began)/deadlyTime), deadlyRequests-1)], &deadlyAnswers
		}
		m := d.machines[rand.IntN(len(d.machines))]
		id := uuid.NewString()
		wg.Go(func() {
			a, err := once(at(m, d.front), request{method: "GET", target: target, id: id, deadline: bookingDeadline})
			count.add(a, err)
			if isDeadly(target) {
				d.record.add("client: %s, request %s at %s: %d %v", target, id, m.ip, a.status, err)
			}
		})
		time.Sleep(time.Second / bookingsPerS)
	}
	wg.Wait()
	ordinary.log(d.record, "ordinary bookings")
	deadlyAnswers.log(d.record, "deadly requests")
	logs.mu.Lock()
	defer logs.mu.Unlock()
	held := true
	for _, target := range targets {
		l := logs.logs[target]
		held = held && len(l.late) <= allowedRetries
		d.record.say("%s: %d leaves crashed; %d retries reached leaves later than %v after the third crash, %d allowed", target, len(l.crashes), len(l.late), contactWindow, allowedRetries)
	}
	return held, nil
}

// makeDeadly makes a leaf crash under the deadly request, and come back as another one after a while. Without trouble the request only takes
// as long.
func (d *deployment) makeDeadly(l *leafServer, logs *deadlyLogs, trouble bool) {
	l.workOf = func(l *leafServer, r *http.Request) (time.Duration, bool) {
		if isDeadly(r.RequestURI) {
			return deadlyWork, trouble
		}
		return l.work, false
	}
	l.onCrash = func(l *leafServer, r *http.Request) {
		n := logs.crash(r.RequestURI)
		d.record.add("leaf %s crashed under request %s, crash %d", l.id, r.Header.Get("Samphirepass-Request-Id"), n)
		time.AfterFunc(downTime, func() {
			next := &leafServer{id: fmt.Sprintf("%s-%d", l.id, n), service: l.service, zone: l.zone, slots: l.slots, queue: l.queue, work: l.work, answerBytes: l.answerBytes, onArrive: l.onArrive, onRun: l.onRun}
			next.slowness.Store(l.slowness.Load())
			d.makeDeadly(next, logs, trouble)
			if d.ctx.Err() == nil {
				_ = d.addLeaf(next)
			}
		})
	}
}

// bookingLeaves returns the leaves of the booking desk that have not crashed.
func (d *deployment) bookingLeaves() []*leafServer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(d.leaves), func(l *leafServer) bool { return l.service != bookingService || l.closed() })
}

// slowDown makes some leaves slow that are drawn by lot, and the others fast.
func (d *deployment) slowDown() {
	leaves := d.bookingLeaves()
	rand.Shuffle(len(leaves), func(i, j int) { leaves[i], leaves[j] = leaves[j], leaves[i] })
	for i, l := range leaves {
		factor := int64(1)
		if i < slowLeaves {
			factor = slowFactor
		}
		l.slowness.Store(factor)
	}
}
