package control_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/control"
	"samphirepass/disk"
	"samphirepass/ledger"
	"samphirepass/peer"
	"samphirepass/quorum"
	"samphirepass/standin"
)

// testMember is one control member in this process, which other members reach through a relay.
type testMember struct {
	opts   control.Options
	port   *heldPort
	ip     netip.Addr
	relay  *standin.Relay
	cancel context.CancelFunc
	server *http.Server
	peers  *peer.Server
	done   chan struct{}
}

func startMembers(t testing.TB, n int) []*testMember {
	t.Helper()
	var members []quorum.Member
	var started []*testMember
	for i := range n {
		m := &testMember{port: holdPort(t), ip: netip.AddrFrom4([4]byte{127, 0, 4, byte(i + 1)})}
		relay, err := standin.NewRelay("127.0.0.1:0", m.port.address())
		require.NoError(t, err)
		m.relay = relay
		folder, err := disk.OpenFolder(t.TempDir())
		require.NoError(t, err)
		vm := samphirepass.VM(fmt.Sprintf("control-%d", i))
		members = append(members, quorum.Member{VM: vm, Address: relay.Address()})
		m.opts = control.Options{VM: vm, Address: relay.Address(), Seats: 1, Files: folder, Clock: samphirepass.SystemClock{}, SnapshotEntries: 20}
		started = append(started, m)
	}
	for _, m := range started {
		m.opts.Members = members
		m.start(t)
	}
	t.Cleanup(func() {
		for _, m := range started {
			m.stop()
			m.relay.Close()
		}
	})
	return started
}

func (m *testMember) start(t testing.TB) {
	t.Helper()
	m.opts.Peers = &peer.Pool{LocalAddr: m.ip}
	node := control.NewNode(m.opts)
	handlers := peer.NewHandlers()
	node.Register(handlers)
	m.peers = peer.NewServer(handlers)
	m.server = &http.Server{Handler: m.peers}
	l := m.port.listen()
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.done = make(chan struct{})
	go func() { _ = m.server.Serve(l) }()
	go func() {
		defer close(m.done)
		_ = node.Serve(ctx)
	}()
}

func (m *testMember) stop() {
	m.cancel()
	<-m.done
	_ = m.server.Close()
	m.peers.Close()
	m.opts.Peers.Close()
}

const (
	operationPause = 5 * time.Millisecond
	resendTimeout  = 10 * time.Second
	readTimeout    = 40 * time.Millisecond
)

// operation is a change or read of the single resource; values are unique, so a value identifies a revision.
type operation struct {
	read        bool
	base, value string
}

// observation is the result of an operation; it is unknown if no reply arrived.
type observation struct {
	unknown, accepted bool
	value             string
}

// model is a register that accepts a change only if it holds the base value of the change. A refused change returns the
// current value.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(string), input.(operation), output.(observation)
		switch {
		case in.read && (out.unknown || out.value == s):
			return []any{s}
		case in.read:
			return nil
		case out.unknown && s == in.base:
			return []any{s, in.value}
		case out.unknown:
			return []any{s}
		case out.accepted && s == in.base:
			return []any{in.value}
		case !out.accepted && s != in.base && s == out.value:
			return []any{s}
		}
		return nil
	},
}

// history records operations from several clients.
type history struct {
	mu     sync.Mutex
	events []porcupine.Operation
}

func (h *history) record(client int, in operation, call time.Time, out observation) {
	end := time.Now().UnixNano()
	if out.unknown {
		// The operation may still take effect at any later time.
		end = time.Now().Add(time.Hour).UnixNano()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, porcupine.Operation{ClientId: client, Input: in, Call: call.UnixNano(), Output: out, Return: end})
}

// operate reads and changes the resource until ctx ends and records the operations.
func operate(ctx context.Context, client int, members []quorum.Member, h *history) {
	peers := &peer.Pool{}
	defer peers.Close()
	c := control.NewClient(members, peers)
	for n := 0; ctx.Err() == nil; n++ {
		// Reads go to every member in turn, leader or not, since a member that does not lead must not answer.
		reader := control.NewClient(members[n%len(members):][:1], peers)
		call := time.Now()
		tryCtx, cancel := context.WithTimeout(context.Background(), readTimeout)
		reply, err := reader.Read(tryCtx, samphirepass.KindCaller, "x")
		cancel()
		value, revision := "", samphirepass.Revision(0)
		if err != nil {
			// A read without a reply does not constrain the order.
			continue
		}
		if len(reply.Resources) > 0 {
			value, revision = decodeValue(reply.Resources[0].Spec), reply.Resources[0].Revision
		}
		h.record(client, operation{read: true}, call, observation{value: value})
		change(c, client, n, value, revision, h)
		time.Sleep(operationPause)
	}
}

func decodeValue(spec json.RawMessage) string {
	var s string
	_ = json.Unmarshal(spec, &s)
	return s
}

func change(c *control.Client, client, n int, base string, revision samphirepass.Revision, h *history) {
	value := fmt.Sprintf("%d-%d", client, n)
	spec, _ := json.Marshal(value)
	cmd := ledger.Command{Change: &samphirepass.Change{
		ID: samphirepass.ChangeID(value), Kind: samphirepass.KindCaller, Name: "x", Spec: spec, BaseRevision: revision,
	}}
	call := time.Now()
	out := observation{unknown: true}
	// A change without a reply is resent under the same id until one arrives, which is the reply to the first execution.
	for time.Since(call) < resendTimeout {
		tryCtx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
		result, err := c.Propose(tryCtx, cmd)
		cancel()
		if err != nil {
			continue
		}
		out = observation{accepted: result.Change.Accepted, value: decodeValue(result.Change.Winner.Spec)}
		break
	}
	h.record(client, operation{base: base, value: value}, call, out)
}

// isolate sets the links between one member and the others; clients can still reach it.
func isolate(members []*testMember, m *testMember, l standin.Link) {
	for _, other := range members {
		if other != m {
			m.relay.Set(other.ip, l)
			other.relay.Set(m.ip, l)
		}
	}
}

// nemesis restarts, cuts off or silences a random member at a time until ctx ends, and ends each fault.
func nemesis(ctx context.Context, t *testing.T, members []*testMember, seed int64) {
	rnd := rand.New(rand.NewSource(seed))
	for ctx.Err() == nil {
		m := members[rnd.Intn(len(members))]
		switch rnd.Intn(3) {
		case 0:
			m.stop()
			time.Sleep(300 * time.Millisecond)
			m.start(t)
		case 1:
			isolate(members, m, standin.LinkCut)
			time.Sleep(2 * time.Second)
			isolate(members, m, standin.LinkPass)
		default:
			isolate(members, m, standin.LinkSilent)
			time.Sleep(2 * time.Second)
			isolate(members, m, standin.LinkPass)
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// awaitFormed returns once the log is formed, so that a change is accepted.
func awaitFormed(t testing.TB, members []quorum.Member) {
	t.Helper()
	peers := &peer.Pool{}
	defer peers.Close()
	c := control.NewClient(members, peers)
	cmd := ledger.Command{Change: &samphirepass.Change{ID: "first", Kind: samphirepass.KindService, Name: "first", Spec: json.RawMessage(`""`)}}
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		result, err := c.Propose(ctx, cmd)
		return err == nil && result.Change.Accepted
	}, 20*time.Second, 20*time.Millisecond)
}

// TestProofLinearizable records concurrent reads and changes under faults and checks that the history is linearizable.
func TestProofLinearizable(t *testing.T) {
	const clients = 4
	for _, seed := range []int64{1, 2} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			members := startMembers(t, 3)
			awaitFormed(t, members[0].opts.Members)
			h := &history{}
			ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
			defer cancel()
			var wg sync.WaitGroup
			for client := range clients {
				wg.Add(1)
				go func() {
					defer wg.Done()
					operate(ctx, client, members[0].opts.Members, h)
				}()
			}
			nemesis(ctx, t, members, seed)
			wg.Wait()
			accepted := 0
			for _, e := range h.events {
				if e.Output.(observation).accepted {
					accepted++
				}
			}
			t.Logf("%d operations, %d changes accepted", len(h.events), accepted)
			require.Positive(t, accepted)
			require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(model.ToModel(), h.events, time.Minute))
		})
	}
}
