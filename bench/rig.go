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
	// readyTimeoutMs bounds the time until every entry is ready and knows all leaves.
	readyTimeoutMs samphirepass.Millis   = 20_000
	pollMs         samphirepass.Millis   = 20
	firstSnapshot  samphirepass.Snapshot = 1
)

// RigOptions are the options of StartRig.
type RigOptions struct {
	Workload Workload
	Entries  int
	Policy   policy.Name
	Seed     uint64
	// ConfigureLeaf changes the options of leaf n before it starts; nil leaves them as the workload defines them.
	ConfigureLeaf func(n int, o *standin.Options)
	// Relayed puts a relay, which can interrupt connections, in front of each leaf.
	Relayed bool
	Log     logs.Logger
}

// Rig runs one control VM, some entries and the emulated leaves of a workload in this process, on loopback addresses.
type Rig struct {
	// Addresses are the API addresses of the entries.
	Addresses []string
	Leaves    []*standin.Leaf
	// Relays are the relays in front of the leaves of the same index, if RigOptions.Relayed is set.
	Relays     []*standin.Relay
	options    RigOptions
	entries    []*daemon.Entry
	dataFolder string
	cancel     context.CancelFunc
	wg         sync.WaitGroup
}

// CallerOf returns the caller that StartRig creates for a class.
func CallerOf(c samphirepass.Class) samphirepass.Caller {
	return samphirepass.Caller("caller-" + string(c))
}

// StartRig starts control, the entries and the leaves, creates the services and one caller per class, and waits until every
// entry knows all leaves.
func StartRig(o RigOptions) (*Rig, error) {
	dataFolder, err := os.MkdirTemp("", "samphirepass-")
	if err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Rig{options: o, dataFolder: dataFolder, cancel: cancel}
	if err := r.start(ctx); err != nil {
		r.Stop()
		return nil, err
	}
	return r, nil
}

// Stop stops all processes and removes the data folder.
func (r *Rig) Stop() {
	r.cancel()
	r.wg.Wait()
	for _, l := range r.Leaves {
		l.Stop()
	}
	for _, relay := range r.Relays {
		relay.Close()
	}
	_ = os.RemoveAll(r.dataFolder)
}

// LeafRequests returns the number of requests that all entries have sent to leaves, and of hedges and retries among them.
func (r *Rig) LeafRequests() (all, extra int64) {
	for _, e := range r.entries {
		entryAll, entryExtra := e.LeafRequests()
		all += entryAll
		extra += entryExtra
	}
	return all, extra
}

// freeAddresses returns n different loopback addresses with free ports.
func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, n)
	for i := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		// The ports stay in use until all are found, so that none is found twice.
		defer l.Close()
		addresses[i] = l.Addr().String()
	}
	return addresses, nil
}

func (r *Rig) start(ctx context.Context) error {
	free, err := freeAddresses(2 + 2*r.options.Entries)
	if err != nil {
		return err
	}
	cfg := settings.File{
		Role: settings.RoleControl, VM: "control-1", DataCentre: r.options.Workload.DataCentres[0],
		API: free[0], Peer: free[1], PeerListen: free[1], DataFolder: r.dataFolder, EntrySeats: r.options.Entries,
		Control: []settings.ControlMember{{VM: "control-1", Address: free[1]}}, Policy: r.options.Policy,
	}
	c, err := daemon.NewControl(cfg, r.options.Log)
	if err != nil {
		return fmt.Errorf("start control: %w", err)
	}
	r.runInBackground(ctx, c.Run)
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
	return r.applyResources(ctx)
}

func (r *Rig) startEntry(ctx context.Context, cfg settings.File) error {
	e, err := daemon.NewEntry(cfg, r.options.Log)
	if err != nil {
		return fmt.Errorf("start entry: %w", err)
	}
	r.Addresses = append(r.Addresses, cfg.API)
	r.entries = append(r.entries, e)
	r.runInBackground(ctx, e.Run)
	return nil
}

func (r *Rig) runInBackground(ctx context.Context, run func(context.Context) error) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		_ = run(ctx)
	}()
}

func (r *Rig) startLeaves() error {
	n := 0
	for _, fleet := range r.options.Workload.Fleets {
		for _, o := range fleet.LeafOptions(r.options.Workload, firstSnapshot, r.Addresses, r.options.Seed) {
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

// StartLeaf starts one more emulated leaf, behind a relay if RigOptions.Relayed is set.
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

// applyResources creates the callers and services once the entries are ready, and waits until every entry knows all leaves.
func (r *Rig) applyResources(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeoutMs.Duration())
	defer cancel()
	for _, a := range r.Addresses {
		if err := waitUntil(ctx, "readiness of entry "+a, func() bool { return isReady(a) }); err != nil {
			return err
		}
	}
	client := operator.Client{Address: r.Addresses[0]}
	classes := r.options.Workload.Classes
	for _, c := range classes {
		if _, err := client.Apply(ctx, samphirepass.KindCaller, string(CallerOf(c)), samphirepass.CallerSpec{Class: c}); err != nil {
			return fmt.Errorf("apply caller %s: %w", CallerOf(c), err)
		}
	}
	for _, fleet := range r.options.Workload.Fleets {
		if _, err := client.Apply(ctx, samphirepass.KindService, string(fleet.Service), fleet.Spec(classes)); err != nil {
			return fmt.Errorf("apply service %s: %w", fleet.Service, err)
		}
	}
	for _, a := range r.Addresses {
		client := operator.Client{Address: a}
		err := waitUntil(ctx, "all leaves at entry "+a, func() bool {
			status, err := client.Status(ctx)
			return err == nil && len(status.Leaves) == len(r.Leaves)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func isReady(entry string) bool {
	resp, err := http.Get("http://" + entry + "/healthz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func waitUntil(ctx context.Context, condition string, isTrue func() bool) error {
	for !isTrue() {
		select {
		case <-time.After(pollMs.Duration()):
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w", condition, ctx.Err())
		}
	}
	return nil
}
