package policy_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/policy"
)

// leafModel is a number of gateways, each with connections of its own to ten leaves of two slots, which serve 144 requests a second and
// queue further ones in the order of coming. A request that is not answered within a second is not served.
type leafModel struct {
	gateways, connections int
	newOrder              func(servers int) order
	// gated puts a ShareGate into each gateway.
	gated bool

	gates  []*policy.ShareGate
	random *rand.Rand
	out    fairResult
	// waiting and used hold the attempts that wait for a connection and the connections in use, by gateway and leaf.
	waiting [][]order
	used    [][]int
	// atLeaf holds the requests that a leaf has queued, busy its slots in use.
	atLeaf  [][]arrival
	busy    []int
	running []leafCompletion
}

// leafCompletion is the end of a request at a leaf.
type leafCompletion struct {
	at      samphirepass.Millis
	leaf    int
	request arrival
}

const (
	modelLeaves     = 10
	modelSlots      = 2
	modelDeadlineMs = 1000
)

// run plays the arrivals, which are in order of time, and counts those that come during floods.
func (m *leafModel) run(seed uint64, arrivals []arrival) fairResult {
	m.random = rand.New(rand.NewPCG(seed, 3))
	m.out = fairResult{offered: map[int]float64{}, served: map[int]float64{}}
	m.waiting, m.used = make([][]order, m.gateways), make([][]int, m.gateways)
	m.atLeaf, m.busy, m.running = make([][]arrival, modelLeaves), make([]int, modelLeaves), nil
	m.gates = nil
	for g := range m.gateways {
		m.gates = append(m.gates, policy.NewShareGate())
		m.used[g] = make([]int, modelLeaves)
		for range modelLeaves {
			m.waiting[g] = append(m.waiting[g], m.newOrder(m.connections))
		}
	}
	for _, a := range arrivals {
		for len(m.running) > 0 && m.running[0].at <= a.at {
			c := m.running[0]
			m.running = m.running[1:]
			m.complete(c)
		}
		m.arrive(a)
	}
	return m.out
}

// arrive sends a request to one of the leaves with the fewest requests of its gateway, or lets it wait for the connection.
func (m *leafModel) arrive(a arrival) {
	if inFlood(a) {
		m.out.offered[a.account]++
	}
	if m.gated && !m.gates[a.queue].Admit(a.at, accountName(a.account), a.rank) {
		return
	}
	best := -1
	for _, l := range m.random.Perm(modelLeaves) {
		if best < 0 || m.used[a.queue][l] < m.used[a.queue][best] {
			best = l
		}
	}
	if m.used[a.queue][best] == m.connections {
		m.waiting[a.queue][best].push(a.at, a, a.at+modelDeadlineMs)
		return
	}
	m.waiting[a.queue][best].serve(a.at, a)
	m.send(a.at, best, a)
}

func (m *leafModel) send(now samphirepass.Millis, l int, a arrival) {
	m.used[a.queue][l]++
	if m.busy[l] < modelSlots {
		m.start(now, l, a)
	} else {
		m.atLeaf[l] = append(m.atLeaf[l], a)
	}
}

func (m *leafModel) start(now samphirepass.Millis, l int, a arrival) {
	m.busy[l]++
	took := samphirepass.Millis(m.random.ExpFloat64() * modelLeaves * modelSlots * 1000 / 144)
	c := leafCompletion{at: now + took, leaf: l, request: a}
	i, _ := slices.BinarySearchFunc(m.running, c, func(x, y leafCompletion) int { return cmp.Compare(x.at, y.at) })
	m.running = slices.Insert(m.running, i, c)
}

func (m *leafModel) complete(c leafCompletion) {
	m.busy[c.leaf]--
	if inFlood(c.request) && c.at <= c.request.at+modelDeadlineMs {
		m.out.served[c.request.account]++
	}
	for len(m.atLeaf[c.leaf]) > 0 && m.busy[c.leaf] < modelSlots {
		next := m.atLeaf[c.leaf][0]
		m.atLeaf[c.leaf] = m.atLeaf[c.leaf][1:]
		if c.at <= next.at+modelDeadlineMs {
			m.start(c.at, c.leaf, next)
		} else {
			m.answered(c.at, c.leaf, next)
		}
	}
	m.answered(c.at, c.leaf, c.request)
}

// answered hands the connection of a request to the next one of its gateway.
func (m *leafModel) answered(now samphirepass.Millis, l int, a arrival) {
	m.used[a.queue][l]--
	m.gates[a.queue].Observe(now, float64(m.busy[l]+len(m.atLeaf[l]))/modelSlots)
	m.waiting[a.queue][l].observeHold(now - a.at)
	if next, ok := m.waiting[a.queue][l].pop(now); ok {
		m.send(now, l, next)
	}
}

// meanShare returns how often the other accounts are served during floods of the largest one, relative to the same requests without floods.
func (m *leafModel) meanShare(seed uint64) (mean, worst float64) {
	usual := usualLoad(seed, m.gateways)
	without := m.run(seed, usual)
	with := m.run(seed, sorted(append(slices.Clone(usual), floodLoad(seed, 0, m.gateways)...)))
	others := len(usualRates()) - 1
	worst = math.Inf(1)
	for i := 1; i <= others; i++ {
		share := with.share(i) / without.share(i)
		mean += share / float64(others)
		worst = min(worst, share)
	}
	return mean, worst
}

// TestProofOrderAtFewSenders covers three senders, as collectors are, with one connection each to leaves of two slots, and floods of the
// largest account as above. It guards against an order that has no effect although attempts wait at the senders. With 84 gateways of one
// connection each, requests wait at the leaves instead, where the order of coming decides; that is only logged.
func TestProofOrderAtFewSenders(t *testing.T) {
	for _, gateways := range []int{3, 10, 84} {
		fair := &leafModel{gateways: gateways, connections: 1, newOrder: newFairOrder}
		fifo := &leafModel{gateways: gateways, connections: 1, newOrder: newFIFOOrder}
		fairMean, fairWorst := fair.meanShare(1)
		fifoMean, fifoWorst := fifo.meanShare(1)
		t.Logf("%d senders: others %.3f, at least %.3f; first come, first served %.3f, at least %.3f", gateways, fairMean, fairWorst, fifoMean, fifoWorst)
		if gateways == 3 {
			require.GreaterOrEqual(t, fairMean, 0.85)
			require.Less(t, fifoMean, 0.4)
		}
	}
}

// TestProofGateSparesOthersAcrossGateways covers the same floods at 10 and 84 gateways, where requests wait at the leaves. It guards against
// accounts that are displaced there, and against refusing much of the usual load, which is five sixths of the capacity.
func TestProofGateSparesOthersAcrossGateways(t *testing.T) {
	tests := map[string]struct {
		gateways    int
		mean, usual float64
	}{
		"10 gateways": {gateways: 10, mean: 0.95, usual: 0.98},
		"84 gateways": {gateways: 84, mean: 0.9, usual: 0.9},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			gated := &leafModel{gateways: tt.gateways, connections: 1, newOrder: newFairOrder, gated: true}
			mean, worst := gated.meanShare(1)
			usual := gated.run(1, usualLoad(1, tt.gateways)).shareOfAll()
			t.Logf("others %.3f, at least %.3f; usual load %.3f", mean, worst, usual)
			require.GreaterOrEqual(t, mean, tt.mean)
			require.GreaterOrEqual(t, usual, tt.usual)
			fifo := &leafModel{gateways: tt.gateways, connections: 1, newOrder: newFIFOOrder}
			mean, _ = fifo.meanShare(1)
			require.Less(t, mean, 0.5, "first come, first served")
		})
	}
}

// TestShareGate guards against a gate that bounds accounts without overload, bounds a high rank before a low one, or does not open again.
func TestShareGate(t *testing.T) {
	g := policy.NewShareGate()
	now := samphirepass.Millis(1000)
	// play sends 20 requests a second of each rank for some seconds, with a load for each answer, and returns how many of each were admitted.
	play := func(seconds int, load float64) (admitted [3]int) {
		for range seconds * 20 {
			now += 50
			g.Observe(now, load)
			for rank := range admitted {
				if g.Admit(now, accountName(rank), rank) {
					admitted[rank]++
				}
			}
		}
		return admitted
	}
	require.Equal(t, [3]int{200, 200, 200}, play(10, 1.5), "no overload")
	overloaded := play(3, 4)
	require.Equal(t, 60, overloaded[0])
	require.Equal(t, 60, overloaded[1])
	require.Less(t, overloaded[2], 30, "the lowest rank first")
	overloaded = play(20, 4)
	require.Less(t, overloaded[2], 10)
	require.Less(t, overloaded[0], 400, "then the others")
	play(60, 0.5)
	require.Equal(t, [3]int{200, 200, 200}, play(10, 0.5), "the gate opens again")
}

// BenchmarkShareGate measures the decision on a request and the observation of its answer, with 82 accounts.
func BenchmarkShareGate(b *testing.B) {
	g := policy.NewShareGate()
	now := samphirepass.Millis(1)
	for i := 0; b.Loop(); i++ {
		now += 0.5
		g.Admit(now, names82[i%82], i%3)
		g.Observe(now, float64(i%5))
	}
}

var names82 = func() (names [82]samphirepass.AccountName) {
	for i := range names {
		names[i] = accountName(i)
	}
	return names
}()
