package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"samphirepass"
	"samphirepass/bench"
	"samphirepass/daemon"
	"samphirepass/logs"
	"samphirepass/operator"
	"samphirepass/settings"
	"samphirepass/standin"
)

const (
	entries = 2
	// workers is the number of requests in flight.
	workers = 8
	// readyTimeoutMs bounds the start of all roles.
	readyTimeoutMs samphirepass.Millis   = 20_000
	pollMs         samphirepass.Millis   = 50
	snapshot       samphirepass.Snapshot = 1
	callerName                           = "marshal"
)

// Demo is a running system.
type Demo struct {
	// Entries are the API addresses of the entries.
	Entries  []string
	workload bench.Workload
	leaves   []*standin.Leaf
	folder   string
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// Start runs one control VM, two entries and the leaves of every service of the Federation.
func Start(log logs.Logger) (*Demo, error) {
	folder, err := os.MkdirTemp("", "samphirepass-demo-")
	if err != nil {
		return nil, fmt.Errorf("make data folder: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Demo{workload: bench.Federation(), folder: folder, cancel: cancel}
	if err := d.start(ctx, log); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func addresses(n int) ([]string, error) {
	out := make([]string, n)
	for i := range out {
		a, err := freeAddress()
		if err != nil {
			return nil, err
		}
		out[i] = a
	}
	return out, nil
}

func (d *Demo) start(ctx context.Context, log logs.Logger) error {
	free, err := addresses(2 + 2*entries)
	if err != nil {
		return err
	}
	cfg := settings.File{
		Role: settings.RoleControl, VM: "control-1", DataCentre: d.workload.DataCentres[0], API: free[0], Peer: free[1], PeerListen: free[1],
		Control: []settings.ControlMember{{VM: "control-1", Address: free[1]}}, DataFolder: d.folder, EntrySeats: entries,
		Policy: settings.PolicyMeasured,
	}
	c, err := daemon.NewControl(cfg, log)
	if err != nil {
		return fmt.Errorf("start control: %w", err)
	}
	d.goRun(ctx, c.Run)
	for i := range entries {
		cfg.Role, cfg.VM = settings.RoleEntry, samphirepass.VM(fmt.Sprintf("entry-%d", i+1))
		cfg.API, cfg.Peer, cfg.PeerListen = free[2+2*i], free[3+2*i], free[3+2*i]
		e, err := daemon.NewEntry(cfg, log)
		if err != nil {
			return fmt.Errorf("start entry: %w", err)
		}
		d.Entries = append(d.Entries, cfg.API)
		d.goRun(ctx, e.Run)
	}
	for _, fleet := range d.workload.Fleets {
		for _, o := range fleet.Leaves(d.workload, snapshot, d.Entries, 1) {
			l, err := standin.Start(o)
			if err != nil {
				return fmt.Errorf("start leaf: %w", err)
			}
			d.leaves = append(d.leaves, l)
		}
	}
	return d.declare(ctx)
}

func (d *Demo) goRun(ctx context.Context, run func(context.Context) error) {
	d.done.Add(1)
	go func() {
		defer d.done.Done()
		_ = run(ctx)
	}()
}

// declare applies the services and a caller, and waits until every entry has whole snapshots of all of them.
func (d *Demo) declare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeoutMs.Duration())
	defer cancel()
	for _, e := range d.Entries {
		if err := awaitReady(ctx, e); err != nil {
			return err
		}
	}
	client := operator.Client{Address: d.Entries[0]}
	if _, err := client.Apply(ctx, samphirepass.KindCaller, callerName, samphirepass.CallerSpec{Class: d.workload.Classes[0]}); err != nil {
		return fmt.Errorf("apply caller: %w", err)
	}
	for _, fleet := range d.workload.Fleets {
		if _, err := client.Apply(ctx, samphirepass.KindService, string(fleet.Service), fleet.Spec(d.workload.Classes)); err != nil {
			return fmt.Errorf("apply service %s: %w", fleet.Service, err)
		}
	}
	return d.awaitLeaves(ctx)
}

func awaitReady(ctx context.Context, entry string) error {
	for {
		resp, err := http.Get("http://" + entry + "/healthz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-time.After(pollMs.Duration()):
		case <-ctx.Done():
			return fmt.Errorf("wait for entry %s: %w", entry, ctx.Err())
		}
	}
}

func (d *Demo) awaitLeaves(ctx context.Context) error {
	for _, e := range d.Entries {
		for {
			status, err := operator.Client{Address: e}.Status(ctx)
			if err == nil && len(status.Leaves) == len(d.leaves) {
				break
			}
			select {
			case <-time.After(pollMs.Duration()):
			case <-ctx.Done():
				return fmt.Errorf("wait for leaves: %w", ctx.Err())
			}
		}
	}
	return nil
}

// Load sends n queries over all services and entries and checks every answer.
func (d *Demo) Load(ctx context.Context, n int) (bench.Figures, error) {
	tally := bench.NewTally()
	clock := samphirepass.SystemClock{}
	http := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
	var next atomic.Int64
	var wg sync.WaitGroup
	for range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				service := d.workload.Fleets[i%len(d.workload.Fleets)].Service
				c := bench.Client{Address: d.Entries[i/len(d.workload.Fleets)%entries], HTTP: http}
				query := json.RawMessage(fmt.Sprintf(`{"member":%d}`, i))
				began := clock.Now()
				a, err := c.Query(ctx, service, samphirepass.Query{Caller: callerName, Query: query})
				var wrong error
				if err == nil {
					wrong = bench.Check(query, a)
				}
				tally.Add(clock.Now()-began, a, err, wrong)
			}
		}()
	}
	wg.Wait()
	f := tally.Figures()
	first, all := d.leafRequests(tally)
	if first > 0 {
		f.ExtraLoadPercent = samphirepass.Percent(100 * (all - first) / first)
	}
	if refusal := tally.FirstRefusal(); refusal != nil {
		fmt.Fprintln(os.Stderr, "first refusal:", refusal)
	}
	if wrong := tally.FirstWrong(); wrong != nil {
		return f, eris.Wrap(wrong, "wrong answer")
	}
	return f, nil
}

// leafRequests returns the least number of leaf requests that the load needed, and how many the leaves served.
func (d *Demo) leafRequests(t *bench.Tally) (first, all float64) {
	f := t.Figures()
	per := 0
	for _, fleet := range d.workload.Fleets {
		per += fleet.Shards
	}
	first = float64(f.Requests) * float64(per) / float64(len(d.workload.Fleets))
	for _, l := range d.leaves {
		c := l.Counts()
		all += float64(c.Queries + c.Shed)
	}
	return first, max(all, first)
}

// Stop ends everything and removes the data folder.
func (d *Demo) Stop() {
	d.cancel()
	d.done.Wait()
	for _, l := range d.leaves {
		l.Stop()
	}
	_ = os.RemoveAll(d.folder)
}
