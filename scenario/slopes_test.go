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

// idleFor is the time over which standing costs are measured.
const idleFor = 6 * time.Second

// clockTick is the unit of processor times in /proc, in seconds.
const clockTick = 0.01

// cpuSeconds returns the processor time that a process has used.
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

// residentKB returns the memory of a process.
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

func measured(b *testing.B, controls, entries int) *system {
	b.Helper()
	s := newSystem(b.TempDir(), nil)
	b.Cleanup(s.close)
	require.NoError(b, cmdSystem(s, []string{fmt.Sprint(controls), fmt.Sprint(entries)}))
	return s
}

func do(b *testing.B, f func(*system, []string) error, s *system, args ...string) {
	b.Helper()
	require.NoError(b, f(s, args))
}

// report sets the only metrics of a benchmark that does not count rounds.
func report(b *testing.B, metrics map[string]float64) {
	b.Helper()
	b.ReportMetric(0, "ns/op")
	for unit, v := range metrics {
		b.ReportMetric(v, unit)
	}
}

// BenchmarkYardstickHTTP is a plain round trip of net/http on loopback.
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

// BenchmarkYardstickSync is a write of 4 KiB made to last.
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

// BenchmarkSlopeFanOut gives an entry's processor time and memory for each leaf request.
func BenchmarkSlopeFanOut(b *testing.B) {
	for _, fanOut := range []int{3, 30, 300} {
		b.Run(fmt.Sprint(fanOut), func(b *testing.B) {
			s := measured(b, 1, 1)
			do(b, cmdLeaves, s, "desk", fmt.Sprint(fanOut), "1", "work=1", "slots=8")
			do(b, cmdDeclare, s, "entry-1", "desk", "budget=0")
			do(b, cmdAwait, s, "leaves", "entry-1", "desk", fmt.Sprint(fanOut))
			time.Sleep(2 * time.Second)
			p := s.processes["entry-1"]
			queries := 18_000 / fanOut
			before := p.cpuSeconds(b)
			sendQueries(b, s, queries)
			used := p.cpuSeconds(b) - before
			report(b, map[string]float64{
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
				if _, err := client.Query(context.Background(), "desk", samphirepass.Query{Caller: marshal, Query: json.RawMessage(`{}`)}); err != nil {
					b.Error(err)
				}
			}
		}()
	}
	wg.Wait()
}

// BenchmarkSlopeConnections gives an entry's memory and standing processor time for each connection to a leaf.
func BenchmarkSlopeConnections(b *testing.B) {
	for _, leaves := range []int{25, 100, 400} {
		b.Run(fmt.Sprint(4*leaves), func(b *testing.B) {
			s := measured(b, 1, 1)
			do(b, cmdLeaves, s, "desk", fmt.Sprint(leaves), "1")
			do(b, cmdDeclare, s, "entry-1", "desk")
			do(b, cmdAwait, s, "leaves", "entry-1", "desk", fmt.Sprint(leaves))
			time.Sleep(2 * time.Second)
			p := s.processes["entry-1"]
			before := p.cpuSeconds(b)
			time.Sleep(idleFor)
			report(b, map[string]float64{"rss-MB": p.residentKB(b) / 1024, "core-%": 100 * (p.cpuSeconds(b) - before) / idleFor.Seconds()})
		})
	}
}

// BenchmarkSlopeAnnouncements gives an entry's cost of announcements that come once a second, and of passing them on.
func BenchmarkSlopeAnnouncements(b *testing.B) {
	for _, leaves := range []int{100, 300, 900} {
		b.Run(fmt.Sprint(leaves), func(b *testing.B) {
			s := measured(b, 1, 2)
			stop := announce(b, s, leaves)
			defer stop()
			time.Sleep(2 * time.Second)
			p, q := s.processes["entry-1"], s.processes["entry-2"]
			cpu, sent := p.cpuSeconds(b), p.relay.BytesRead()+q.relay.BytesRead()
			time.Sleep(idleFor)
			report(b, map[string]float64{
				"core-%":    100 * (p.cpuSeconds(b) - cpu) / idleFor.Seconds(),
				"peer-KB/s": float64(p.relay.BytesRead()+q.relay.BytesRead()-sent) / 1024 / idleFor.Seconds(), "rss-MB": p.residentKB(b) / 1024,
			})
		})
	}
}

// announce sends announcements of leaves that are still starting, so that nobody connects to them.
func announce(b *testing.B, s *system, leaves int) (stop func()) {
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

// BenchmarkSlopeEntries gives the standing cost of control for each entry, and how long a change takes to be in force.
func BenchmarkSlopeEntries(b *testing.B) {
	for _, entries := range []int{2, 10, 40} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			s := measured(b, 3, entries)
			leader, err := s.resolve("leader")
			require.NoError(b, err)
			time.Sleep(time.Second)
			p, e := s.processes[leader], s.processes["entry-1"]
			cpu, entryCPU, in, entryIn := p.cpuSeconds(b), e.cpuSeconds(b), p.relay.BytesRead(), e.relay.BytesRead()
			time.Sleep(idleFor)
			m := map[string]float64{
				"leader-core-%": 100 * (p.cpuSeconds(b) - cpu) / idleFor.Seconds(), "leader-KB/s": float64(p.relay.BytesRead()-in) / 1024 / idleFor.Seconds(),
				"entry-core-%": 100 * (e.cpuSeconds(b) - entryCPU) / idleFor.Seconds(), "entry-KB/s": float64(e.relay.BytesRead()-entryIn) / 1024 / idleFor.Seconds(),
				"leader-rss-MB": p.residentKB(b) / 1024, "entry-rss-MB": e.residentKB(b) / 1024,
			}
			m["ack-ms/change"], m["in-force-ms/change"] = timeChanges(b, s, entries)
			report(b, m)
		})
	}
}

// timeChanges returns the mean time until a change is acknowledged, and until the last entry has it in force.
func timeChanges(b *testing.B, s *system, entries int) (ack, inForce float64) {
	b.Helper()
	const changes = 20
	seen := make(chan samphirepass.Revision, entries*changes)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	list, err := s.operator("entry-1").List(ctx, samphirepass.KindCaller)
	require.NoError(b, err)
	for i := range entries {
		go func() {
			_ = s.operator(fmt.Sprintf("entry-%d", i+1)).Watch(ctx, samphirepass.KindCaller, list.Revision, func(l operator.WatchLine) bool {
				if l.Event != nil {
					seen <- l.Event.Revision
				}
				return true
			})
		}()
	}
	time.Sleep(500 * time.Millisecond)
	for i := range changes {
		began := time.Now()
		spec, _ := json.Marshal(samphirepass.CallerSpec{Class: "flight-line"})
		body := operator.PutBody{ChangeID: samphirepass.ChangeID(uuid.NewString()), Spec: spec}
		_, err := s.operator("entry-1").Put(ctx, samphirepass.KindCaller, fmt.Sprintf("caller-%d", i), body)
		require.NoError(b, err)
		ack += time.Since(began).Seconds() * 1000 / changes
		for range entries {
			<-seen
		}
		inForce += time.Since(began).Seconds() * 1000 / changes
	}
	return ack, inForce
}

// BenchmarkSlopeWatches gives an entry's cost for each watch.
func BenchmarkSlopeWatches(b *testing.B) {
	for _, watches := range []int{10, 100, 400} {
		b.Run(fmt.Sprint(watches), func(b *testing.B) {
			s := measured(b, 1, 1)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			list, err := s.operator("entry-1").List(ctx, samphirepass.KindCaller)
			require.NoError(b, err)
			for range watches {
				go func() {
					_ = s.operator("entry-1").Watch(ctx, samphirepass.KindCaller, list.Revision, func(operator.WatchLine) bool { return true })
				}()
			}
			time.Sleep(time.Second)
			p := s.processes["entry-1"]
			before := p.cpuSeconds(b)
			do(b, cmdChange, s, "entry-1", "100")
			report(b, map[string]float64{"cpu-µs/change": (p.cpuSeconds(b) - before) * 1e6 / 100, "rss-MB": p.residentKB(b) / 1024})
		})
	}
}

// BenchmarkSlopeClaims gives what a claim costs over a plain query, in time and in the leader's processor time.
func BenchmarkSlopeClaims(b *testing.B) {
	for _, workers := range []int{1, 4, 16} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			s := measured(b, 3, 1)
			do(b, cmdLeaves, s, "desk", "1", "3", "work=1", "slots=16")
			do(b, cmdDeclare, s, "entry-1", "desk")
			do(b, cmdAwait, s, "leaves", "entry-1", "desk", "3")
			time.Sleep(time.Second)
			leader, err := s.resolve("leader")
			require.NoError(b, err)
			p := s.processes[leader]
			const each = 100
			query := perRequest(workers, each, func(c bench.Client) error {
				_, err := c.Query(context.Background(), "desk", samphirepass.Query{Caller: marshal, Query: json.RawMessage(`{}`)})
				return err
			}, b, s)
			before := p.cpuSeconds(b)
			run := perRequest(workers, each, func(c bench.Client) error {
				r := samphirepass.Run{Caller: marshal, Key: samphirepass.RunKey(uuid.Must(uuid.NewV7()).String()), Route: "r", Body: json.RawMessage(`{}`)}
				return c.Run(context.Background(), "desk", r, &caller.RunAnswer{})
			}, b, s)
			report(b, map[string]float64{
				"run-over-query": run / query, "run-ms": run, "leader-cpu-µs/run": (p.cpuSeconds(b) - before) * 1e6 / float64(workers*each),
			})
		})
	}
}

// perRequest returns the mean time of a request in milliseconds.
func perRequest(workers, each int, f func(bench.Client) error, b *testing.B, s *system) float64 {
	b.Helper()
	began := time.Now()
	var wg sync.WaitGroup
	for range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := bench.Client{Address: s.processes["entry-1"].settings.API, HTTP: &http.Client{Transport: &http.Transport{}}}
			for range each {
				if err := f(c); err != nil {
					b.Error(err)
				}
			}
		}()
	}
	wg.Wait()
	return time.Since(began).Seconds() * 1000 / float64(each)
}

// BenchmarkSlopeRecovery gives the time to read a data folder back by the number of changes, with and without a snapshot.
func BenchmarkSlopeRecovery(b *testing.B) {
	for _, changes := range []int{300, 3000, 30_000} {
		for name, every := range map[string]int{"log": changes + 1, "snapshot": 1000} {
			b.Run(fmt.Sprintf("%s/%d", name, changes), func(b *testing.B) {
				folder, err := disk.OpenFolder(b.TempDir())
				require.NoError(b, err)
				writeChanges(b, folder, changes, every)
				for b.Loop() {
					store, loaded, err := disk.Open(folder, "disk")
					require.NoError(b, err)
					require.NotZero(b, len(loaded.Entries)+int(loaded.Snapshot.Index))
					require.NoError(b, store.Close())
				}
			})
		}
	}
}

func writeChanges(b *testing.B, folder *disk.Folder, changes, every int) {
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
		if last := i + batch - 1; last%every == 0 {
			require.NoError(b, store.SaveSnapshot(quorum.Snapshot{Index: samphirepass.Revision(last), Term: 1, Data: bytes.Repeat(data, 100)}, nil))
		}
	}
	require.NoError(b, store.Close())
}
