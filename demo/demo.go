package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"samphirepass"
	"samphirepass/bench"
	"samphirepass/logs"
	"samphirepass/policy"
)

const (
	entryCount = 2
	// workers is the number of queries in flight.
	workers = 8
)

// Demo is a running system with the services and leaves of bench.Federation.
type Demo struct {
	rig      *bench.Rig
	workload bench.Workload
}

// Start starts one control VM, two entries and the leaves of all services of bench.Federation.
func Start(log logs.Logger) (*Demo, error) {
	w := bench.Federation()
	rig, err := bench.StartRig(bench.RigOptions{Workload: w, Entries: entryCount, Policy: policy.NameMeasured, Seed: 1, Log: log})
	if err != nil {
		return nil, fmt.Errorf("start roles: %w", err)
	}
	return &Demo{rig: rig, workload: w}, nil
}

// EntryAddresses returns the API addresses of the entries.
func (d *Demo) EntryAddresses() []string { return d.rig.Addresses }

// Stop stops all roles and removes the data folder.
func (d *Demo) Stop() { d.rig.Stop() }

// SendQueries sends n queries, distributed over all services and entries, and verifies every answer. It returns an error if an
// answer is wrong.
func (d *Demo) SendQueries(ctx context.Context, n int) (bench.Totals, error) {
	recorder := bench.NewRecorder()
	httpClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
	var next atomic.Int64
	var wg sync.WaitGroup
	for range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := int(next.Add(1)) - 1; i < n && ctx.Err() == nil; i = int(next.Add(1)) - 1 {
				d.send(ctx, httpClient, recorder, i)
			}
		}()
	}
	wg.Wait()
	totals := recorder.Totals()
	totals.ExtraLoadPercent = bench.ExtraLoad(d.rig.LeafRequests())
	if refusal := recorder.FirstRefusal(); refusal != nil {
		fmt.Fprintln(os.Stderr, "first refusal:", refusal)
	}
	if wrong := recorder.FirstWrong(); wrong != nil {
		return totals, eris.Wrap(wrong, "wrong answer")
	}
	return totals, nil
}

// send sends query i and records its outcome in recorder.
func (d *Demo) send(ctx context.Context, httpClient *http.Client, recorder *bench.Recorder, i int) {
	fleets := d.workload.Fleets
	service := fleets[i%len(fleets)].Service
	client := bench.Client{Address: d.rig.Addresses[i/len(fleets)%entryCount], HTTP: httpClient}
	query := json.RawMessage(fmt.Sprintf(`{"member":%d}`, i))
	class := d.workload.Classes[0]
	clock := samphirepass.SystemClock{}
	start := clock.Now()
	answer, err := client.Query(ctx, service, samphirepass.Query{Caller: bench.CallerOf(class), Query: query})
	var wrong error
	if err == nil {
		wrong = bench.Check(query, answer)
	}
	recorder.Add(clock.Now()-start, answer, err, wrong)
}
