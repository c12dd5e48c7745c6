package scenario_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/bench"
	"samphirepass/caller"
	"samphirepass/disk"
	"samphirepass/operator"
	"samphirepass/quorum"
	"samphirepass/standin"
)

// idleDuration is the time over which the cost of an idle system is measured.
const idleDuration = 6 * time.Second

// clockTick is the unit of CPU times in /proc, in seconds.
const clockTick = 0.01

// cpuSeconds returns the CPU time that the process has used, from /proc.
func (p *process) cpuSeconds(b *testing.B) float64 {
	b.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	require.NoError(b, err)
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	var user, system float64
	_, err = fmt.Sscan(fields[11]+" "+fields[12], &user, &system)
	require.NoError(b, err)
	return (user + system) * clockTick
}

// residentKB returns the resident memory of the process, from /proc.
func (p *process) residentKB(b *testing.B) float64 {
	b.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(b, err)
	_, after, _ := strings.Cut(string(data), "VmRSS:")
	var kb float64
	_, err = fmt.Sscan(after, &kb)
	require.NoError(b, err)
	return kb
}

func startSystem(b *testing.B, controls, entries int) *system {
	b.Helper()
	s := newSystem(b.TempDir(), nil)
	b.Cleanup(s.close)
	require.NoError(b, cmdSystem(s, []string{fmt.Sprint(controls), fmt.Sprint(entries)}))
	return s
}

func runCommand(b *testing.B, f func(*system, []string) error, s *system, args ...string) {
	b.Helper()
	require.NoError(b, f(s, args))
}

// reportMetrics reports the metrics of a benchmark that measures once instead of in a loop, and suppresses its ns/op.
func reportMetrics(b *testing.B, metrics map[string]float64) {
	b.Helper()
	b.ReportMetric(0, "ns/op")
	for unit, v := range metrics {
		b.ReportMetric(v, unit)
	}
}

// BenchmarkYardstickHTTP measures a round trip of net/http on loopback, as a reference for the latencies.
func BenchmarkYardstickHTTP(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }))
	defer server.Close()
	for b.Loop() {
		resp, err := http.Get(server.URL)
		require.NoError(b, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}

// BenchmarkYardstickSync measures a write of 4 KiB with fsync, as a reference for the latencies.
func BenchmarkYardstickSync(b *testing.B) {
	f, err := os.Create(filepath.Join(b.TempDir(), "f"))
	require.NoError(b, err)
	defer f.Close()
	block := make([]byte, 4096)
	for b.Loop() {
		_, err := f.Write(block)
		require.NoError(b, err)
		require.NoError(b, f.Sync())
	}
}

// BenchmarkSlopeFanOut measures an entry's CPU time per leaf request and per query and its memory, by fan-out.
func BenchmarkSlopeFanOut(b *testing.B) {
	for _, fanOut := range []int{3, 30, 300} {
		b.Run(fmt.Sprint(fanOut), func(b *testing.B) {
			s := startSystem(b, 1, 1)
			runCommand(b, cmdLeaves, s, "desk", fmt.Sprint(fanOut), "1", "work=1", "slots=8")
			runCommand(b, cmdDeclareService, s, "entry-1", "desk", "budget=0")
			runCommand(b, cmdAwait, s, "leaves", "entry-1", "desk", fmt.Sprint(fanOut))
			time.Sleep(2 * time.Second)
			p := s.processes["entry-1"]
			queries := 18_000 / fanOut
			before := p.cpuSeconds(b)
			sendQueries(b, s, queries)
			used := p.cpuSeconds(b) - before
			reportMetrics(b, map[string]float64{
				"cpu-µs/leaf-request": used * 1e6 / float64(queries*fanOut), "cpu-µs/query": used * 1e6 / float64(queries), "rss-MB": p.residentKB(b) / 1024,
			})
		})
	}
}

func sendQueries(b *testing.B, s *system, n int) {
	b.Helper()
	const workers = 4
	var wg sync.WaitGroup
	for w := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := bench.Client{Address: s.processes["entry-1"].settings.API, HTTP: &http.Client{Transport: &http.Transport{}}}
			for i := w; i < n; i += workers {
				if _, err := client.Query(context.Background(), "desk", samphirepass.Query{Caller: defaultCaller, Query: json.RawMessage(`{}`)}); err != nil {
					b.Error(err)
				}
			}
		}()
	}
	wg.Wait()
}

// BenchmarkSlopeConnections measures an idle entry's memory and CPU use by the number of connections to leaves.
func BenchmarkSlopeConnections(b *testing.B) {
	for _, leaves := range []int{25, 100, 400} {
		b.Run(fmt.Sprint(4*leaves), func(b *testing.B) {
			s := startSystem(b, 1, 1)
			runCommand(b, cmdLeaves, s, "desk", fmt.Sprint(leaves), "1")
			runCommand(b, cmdDeclareService, s, "entry-1", "desk")
			runCommand(b, cmdAwait, s, "leaves", "entry-1", "desk", fmt.Sprint(leaves))
			time.Sleep(2 * time.Second)
			p := s.processes["entry-1"]
			before := p.cpuSeconds(b)
			time.Sleep(idleDuration)
			reportMetrics(b, map[string]float64{"rss-MB": p.residentKB(b) / 1024, "core-%": 100 * (p.cpuSeconds(b) - before) / idleDuration.Seconds()})
		})
	}
}

// BenchmarkSlopeAnnouncements measures the cost of receiving an announcement a second from each leaf and of forwarding them
// to the other entry, by the number of leaves.
func BenchmarkSlopeAnnouncements(b *testing.B) {
	for _, leaves := range []int{100, 300, 900} {
		b.Run(fmt.Sprint(leaves), func(b *testing.B) {
			s := startSystem(b, 1, 2)
			stop := startAnnouncing(b, s, leaves)
			defer stop()
			time.Sleep(2 * time.Second)
			p, q := s.processes["entry-1"], s.processes["entry-2"]
			cpu, peerBytes := p.cpuSeconds(b), p.relay.BytesRead()+q.relay.BytesRead()
			time.Sleep(idleDuration)
			reportMetrics(b, map[string]float64{
				"core-%":    100 * (p.cpuSeconds(b) - cpu) / idleDuration.Seconds(),
				"peer-KB/s": float64(p.relay.BytesRead()+q.relay.BytesRead()-peerBytes) / 1024 / idleDuration.Seconds(), "rss-MB": p.residentKB(b) / 1024,
			})
		})
	}
}

// startAnnouncing sends an announcement a second for each of a number of leaves. They are in state starting, so that the
// entries do not connect to them.
func startAnnouncing(b *testing.B, s *system, leaves int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	apis := s.entryAPIs()
	var wg sync.WaitGroup
	for i := range leaves {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := uint64(1); ctx.Err() == nil; n++ {
				a := samphirepass.Announcement{
					Leaf: samphirepass.Leaf(fmt.Sprintf("leaf-%d", i)), Service: "desk", Address: "127.0.0.1:9", DataCentre: "derby",
					Incarnation: 1, Sequence: n, State: samphirepass.LeafStarting, Slots: 3, Connections: 30,
					Holdings: []samphirepass.Holding{{Snapshot: 1, Shards: leaves, Shard: samphirepass.Shard(i)}},
				}
				if err := standin.Announce(ctx, apis[(i+int(n))%len(apis)], a); err != nil && ctx.Err() == nil {
					b.Error(err)
				}
				select {
				case <-time.After(time.Second):
				case <-ctx.Done():
				}
			}
		}()
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// BenchmarkSlopeEntries measures the idle cost of the control leader and of an entry, and the latency of a change until it
// is in force, by the number of entries.
func BenchmarkSlopeEntries(b *testing.B) {
	for _, entries := range []int{2, 10, 40} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			s := startSystem(b, 3, entries)
			leader, err := s.resolve("leader")
			require.NoError(b, err)
			time.Sleep(time.Second)
			p, e := s.processes[leader], s.processes["entry-1"]
			leaderCPU, entryCPU, leaderBytes, entryBytes := p.cpuSeconds(b), e.cpuSeconds(b), p.relay.BytesRead(), e.relay.BytesRead()
			time.Sleep(idleDuration)
			m := map[string]float64{
				"leader-core-%": 100 * (p.cpuSeconds(b) - leaderCPU) / idleDuration.Seconds(), "leader-KB/s": float64(p.relay.BytesRead()-leaderBytes) / 1024 / idleDuration.Seconds(),
				"entry-core-%": 100 * (e.cpuSeconds(b) - entryCPU) / idleDuration.Seconds(), "entry-KB/s": float64(e.relay.BytesRead()-entryBytes) / 1024 / idleDuration.Seconds(),
				"leader-rss-MB": p.residentKB(b) / 1024, "entry-rss-MB": e.residentKB(b) / 1024,
			}
			m["ack-ms/change"], m["in-force-ms/change"] = meanChangeMs(b, s, entries)
			reportMetrics(b, m)
		})
	}
}

// meanChangeMs returns the mean times in milliseconds until a change is acknowledged and until it is in force at every entry.
func meanChangeMs(b *testing.B, s *system, entries int) (ackMs, inForceMs float64) {
	b.Helper()
	const changes = 20
	revisions := make(chan samphirepass.Revision, entries*changes)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	list, err := s.operatorClient("entry-1").List(ctx, samphirepass.KindCaller)
	require.NoError(b, err)
	for i := range entries {
		go func() {
			_ = s.operatorClient(fmt.Sprintf("entry-%d", i+1)).Watch(ctx, samphirepass.KindCaller, list.Revision, func(l operator.WatchLine) bool {
				if l.Event != nil {
					revisions <- l.Event.Revision
				}
				return true
			})
		}()
	}
	time.Sleep(500 * time.Millisecond)
	for i := range changes {
		start := time.Now()
		spec, _ := json.Marshal(samphirepass.CallerSpec{Class: "flight-line"})
		body := operator.PutBody{ChangeID: samphirepass.ChangeID(uuid.NewString()), Spec: spec}
		_, err := s.operatorClient("entry-1").Put(ctx, samphirepass.KindCaller, fmt.Sprintf("caller-%d", i), body)
		require.NoError(b, err)
		ackMs += time.Since(start).Seconds() * 1000 / changes
		for range entries {
			<-revisions
		}
		inForceMs += time.Since(start).Seconds() * 1000 / changes
	}
	return ackMs, inForceMs
}

// BenchmarkSlopeWatches measures an entry's CPU time per change and its memory, by the number of watches.
func BenchmarkSlopeWatches(b *testing.B) {
	for _, watches := range []int{10, 100, 400} {
		b.Run(fmt.Sprint(watches), func(b *testing.B) {
			s := startSystem(b, 1, 1)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			list, err := s.operatorClient("entry-1").List(ctx, samphirepass.KindCaller)
			require.NoError(b, err)
			for range watches {
				go func() {
					_ = s.operatorClient("entry-1").Watch(ctx, samphirepass.KindCaller, list.Revision, func(operator.WatchLine) bool { return true })
				}()
			}
			time.Sleep(time.Second)
			p := s.processes["entry-1"]
			before := p.cpuSeconds(b)
			runCommand(b, cmdChangeCallers, s, "entry-1", "100")
			reportMetrics(b, map[string]float64{"cpu-µs/change": (p.cpuSeconds(b) - before) * 1e6 / 100, "rss-MB": p.residentKB(b) / 1024})
		})
	}
}

// BenchmarkSlopeClaims measures a run, which needs a claim, against a query: the ratio of their latencies and the control
// leader's CPU time per run, by the number of concurrent workers.
func BenchmarkSlopeClaims(b *testing.B) {
	for _, workers := range []int{1, 4, 16} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			s := startSystem(b, 3, 1)
			runCommand(b, cmdLeaves, s, "desk", "1", "3", "work=1", "slots=16")
			runCommand(b, cmdDeclareService, s, "entry-1", "desk")
			runCommand(b, cmdAwait, s, "leaves", "entry-1", "desk", "3")
			time.Sleep(time.Second)
			leader, err := s.resolve("leader")
			require.NoError(b, err)
			p := s.processes[leader]
			const requestsPerWorker = 100
			query := meanRequestMs(workers, requestsPerWorker, func(c bench.Client) error {
				_, err := c.Query(context.Background(), "desk", samphirepass.Query{Caller: defaultCaller, Query: json.RawMessage(`{}`)})
				return err
			}, b, s)
			before := p.cpuSeconds(b)
			run := meanRequestMs(workers, requestsPerWorker, func(c bench.Client) error {
				r := samphirepass.Run{Caller: defaultCaller, Key: samphirepass.RunKey(uuid.Must(uuid.NewV7()).String()), Route: "r", Body: json.RawMessage(`{}`)}
				return c.Run(context.Background(), "desk", r, &caller.RunAnswer{})
			}, b, s)
			reportMetrics(b, map[string]float64{
				"run-over-query": run / query, "run-ms": run, "leader-cpu-µs/run": (p.cpuSeconds(b) - before) * 1e6 / float64(workers*requestsPerWorker),
			})
		})
	}
}

// meanRequestMs sends requests from concurrent workers and returns the mean latency of a request in milliseconds.
func meanRequestMs(workers, requestsPerWorker int, f func(bench.Client) error, b *testing.B, s *system) float64 {
	b.Helper()
	start := time.Now()
	var wg sync.WaitGroup
	for range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := bench.Client{Address: s.processes["entry-1"].settings.API, HTTP: &http.Client{Transport: &http.Transport{}}}
			for range requestsPerWorker {
				if err := f(c); err != nil {
					b.Error(err)
				}
			}
		}()
	}
	wg.Wait()
	return time.Since(start).Seconds() * 1000 / float64(requestsPerWorker)
}

// BenchmarkSlopeRecovery measures opening a data folder by the number of changes, with and without snapshots.
func BenchmarkSlopeRecovery(b *testing.B) {
	for _, changes := range []int{300, 3000, 30_000} {
		for name, snapshotEvery := range map[string]int{"log": changes + 1, "snapshot": 1000} {
			b.Run(fmt.Sprintf("%s/%d", name, changes), func(b *testing.B) {
				folder, err := disk.OpenFolder(b.TempDir())
				require.NoError(b, err)
				writeChanges(b, folder, changes, snapshotEvery)
				for b.Loop() {
					store, recovered, err := disk.Open(folder, "disk")
					require.NoError(b, err)
					require.NotZero(b, len(recovered.Entries)+int(recovered.Snapshot.Index))
					require.NoError(b, store.Close())
				}
			})
		}
	}
}

func writeChanges(b *testing.B, folder *disk.Folder, changes, snapshotEvery int) {
	b.Helper()
	store, _, err := disk.Open(folder, "disk")
	require.NoError(b, err)
	const batch = 100
	data := bytes.Repeat([]byte("x"), 300)
	for i := 1; i <= changes; i += batch {
		var entries []quorum.Entry
		for j := i; j < i+batch && j <= changes; j++ {
			entries = append(entries, quorum.Entry{Index: samphirepass.Revision(j), Term: 1, Kind: quorum.EntryData, Data: data})
		}
		require.NoError(b, store.Save(nil, entries))
		if last := i + batch - 1; last%snapshotEvery == 0 {
			require.NoError(b, store.SaveSnapshot(quorum.Snapshot{Index: samphirepass.Revision(last), Term: 1, Data: bytes.Repeat(data, 100)}, nil))
		}
	}
	require.NoError(b, store.Close())
}
