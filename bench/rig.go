package bench

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"samphirepass"
	"samphirepass/daemon"
	"samphirepass/logs"
	"samphirepass/operator"
	"samphirepass/policy"
	"samphirepass/settings"
	"samphirepass/standin"
)

const (
	// readyTimeoutMs bounds the start of all roles.
	readyTimeoutMs samphirepass.Millis   = 20_000
	pollMs         samphirepass.Millis   = 20
	firstSnapshot  samphirepass.Snapshot = 1
)

// RigOptions set up a Rig.
type RigOptions struct {
	Workload Workload
	Entries  int
	Policy   policy.Name
	Seed     uint64
	// ConfigureLeaf alters the stand-ins before they start; nil leaves them as the workload has them.
	ConfigureLeaf func(n int, o *standin.Options)
	// Relayed puts a relay before each leaf.
	Relayed bool
	Log     logs.Logger
}

// Rig is one control VM, some entries and the leaves of a workload, all in this process on loopback.
type Rig struct {
	// Addresses are the API addresses of the entries.
	Addresses []string
	Leaves    []*standin.Leaf
	// Relays stand before the leaves of the same index, if the rig is relayed.
	Relays  []*standin.Relay
	options RigOptions
	entries []*daemon.Entry
	folder  string
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// CallerOf returns the caller that the rig declares for a class.
func CallerOf(c samphirepass.Class) samphirepass.Caller {
	return samphirepass.Caller("caller-" + string(c))
}

// StartRig starts everything, declares the services and one caller a class, and waits until all leaves are known everywhere.
func StartRig(o RigOptions) (*Rig, error) {
	folder, err := os.MkdirTemp("", "samphirepass-")
	if err != nil {
		return nil, fmt.Errorf("make data folder: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Rig{options: o, folder: folder, cancel: cancel}
	if err := r.start(ctx); err != nil {
		r.Stop()
		return nil, err
	}
	return r, nil
}

// Stop ends everything and removes the data folder.
func (r *Rig) Stop() {
	r.cancel()
	r.done.Wait()
	for _, l := range r.Leaves {
		l.Stop()
	}
	for _, relay := range r.Relays {
		relay.Close()
	}
	_ = os.RemoveAll(r.folder)
}

// LeafRequests returns how many requests to leaves all entries have sent, and how many were hedges or retries.
func (r *Rig) LeafRequests() (all, extra int64) {
	for _, e := range r.entries {
		a, x := e.LeafRequests()
		all += a
		extra += x
	}
	return all, extra
}

// freeAddresses returns loopback addresses on which nothing listens.
func freeAddresses(n int) ([]string, error) {
	out := make([]string, n)
	for i := range out {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		defer l.Close()
		out[i] = l.Addr().String()
	}
	return out, nil
}

func (r *Rig) start(ctx context.Context) error {
	free, err := freeAddresses(2 + 2*r.options.Entries)
	if err != nil {
		return err
	}
	cfg := settings.File{
		Role: settings.RoleControl, VM: "control-1", DataCentre: r.options.Workload.DataCentres[0],
		API: free[0], Peer: free[1], PeerListen: free[1], DataFolder: r.folder, EntrySeats: r.options.Entries,
		Control: []settings.ControlMember{{VM: "control-1", Address: free[1]}}, Policy: r.options.Policy,
	}
	c, err := daemon.NewControl(cfg, r.options.Log)
	if err != nil {
		return fmt.Errorf("start control: %w", err)
	}
	r.goRun(ctx, c.Run)
	for i := range r.options.Entries {
		cfg.Role, cfg.VM = settings.RoleEntry, samphirepass.VM(fmt.Sprintf("entry-%d", i+1))
		cfg.DataCentre = r.options.Workload.DataCentres[i%len(r.options.Workload.DataCentres)]
		cfg.API, cfg.Peer, cfg.PeerListen = free[2+2*i], free[3+2*i], free[3+2*i]
		if err := r.startEntry(ctx, cfg); err != nil {
			return err
		}
	}
	if err := r.startLeaves(); err != nil {
		return err
	}
	return r.declare(ctx)
}

func (r *Rig) startEntry(ctx context.Context, cfg settings.File) error {
	e, err := daemon.NewEntry(cfg, r.options.Log)
	if err != nil {
		return fmt.Errorf("start entry: %w", err)
	}
	r.Addresses = append(r.Addresses, cfg.API)
	r.entries = append(r.entries, e)
	r.goRun(ctx, e.Run)
	return nil
}

func (r *Rig) goRun(ctx context.Context, run func(context.Context) error) {
	r.done.Add(1)
	go func() {
		defer r.done.Done()
		_ = run(ctx)
	}()
}

func (r *Rig) startLeaves() error {
	n := 0
	for _, fleet := range r.options.Workload.Fleets {
		for _, o := range fleet.Leaves(r.options.Workload, firstSnapshot, r.Addresses, r.options.Seed) {
			if r.options.ConfigureLeaf != nil {
				r.options.ConfigureLeaf(n, &o)
			}
			n++
			if _, err := r.StartLeaf(o); err != nil {
				return err
			}
		}
	}
	return nil
}

// StartLeaf starts a further stand-in, behind a relay if the rig is relayed.
func (r *Rig) StartLeaf(o standin.Options) (*standin.Leaf, error) {
	if r.options.Relayed {
		free, err := freeAddresses(2)
		if err != nil {
			return nil, err
		}
		relay, err := standin.NewRelay(free[1], free[0])
		if err != nil {
			return nil, fmt.Errorf("start relay: %w", err)
		}
		r.Relays = append(r.Relays, relay)
		o.Address, o.Advertise = free[0], free[1]
	}
	l, err := standin.Start(o)
	if err != nil {
		return nil, fmt.Errorf("start leaf: %w", err)
	}
	r.Leaves = append(r.Leaves, l)
	return l, nil
}

func (r *Rig) declare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeoutMs.Duration())
	defer cancel()
	for _, a := range r.Addresses {
		if err := poll(ctx, "entry "+a, func() bool { return ready(a) }); err != nil {
			return err
		}
	}
	client := operator.Client{Address: r.Addresses[0]}
	classes := r.options.Workload.Classes
	for _, c := range classes {
		if _, err := client.Apply(ctx, samphirepass.KindCaller, string(CallerOf(c)), samphirepass.CallerSpec{Class: c}); err != nil {
			return fmt.Errorf("apply caller: %w", err)
		}
	}
	for _, fleet := range r.options.Workload.Fleets {
		if _, err := client.Apply(ctx, samphirepass.KindService, string(fleet.Service), fleet.Spec(classes)); err != nil {
			return fmt.Errorf("apply service %s: %w", fleet.Service, err)
		}
	}
	for _, a := range r.Addresses {
		client := operator.Client{Address: a}
		err := poll(ctx, "leaves at "+a, func() bool {
			status, err := client.Status(ctx)
			return err == nil && len(status.Leaves) == len(r.Leaves)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func ready(entry string) bool {
	resp, err := http.Get("http://" + entry + "/healthz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func poll(ctx context.Context, what string, f func() bool) error {
	for !f() {
		select {
		case <-time.After(pollMs.Duration()):
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w", what, ctx.Err())
		}
	}
	return nil
}
