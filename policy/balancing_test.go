package policy_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/policy"
)

// busyComparison holds the results of the previous chooser and of the balanced one for 100 choosers with information 200 ms old.
var busyComparison = sync.OnceValue(func() (r struct{ before, after modelResult }) {
	c := busyLeaves(100, 200)
	c.durationMs = 15_000
	r.before, r.after = runModel(c, modelStrategies()["least-cost"], 1), runModel(c, modelStrategies()["balanced"], 1)
	return r
})

// TestBalancedHalvesExcess guards against 100 choosers that overload leaves in turn. Leaves of speeds 0.8 to 1.3 that slow down and pause
// get half of what they can take, and demand moves between the data centres.
func TestBalancedHalvesExcess(t *testing.T) {
	r := busyComparison()
	require.LessOrEqual(t, r.after.busiest-1, (r.before.busiest-1)/2)
}

// TestBalancedShortensWaits guards against requests that wait at a busy leaf, under the load of TestBalancedHalvesExcess.
func TestBalancedShortensWaits(t *testing.T) {
	r := busyComparison()
	require.LessOrEqual(t, r.after.waitP99, r.before.waitP99*2/3)
}

// TestBalancedIsNoWorse guards against choosers that overload leaves in turn, from few with much information to many with little, of any
// age, under the load of TestBalancedHalvesExcess. Of 1,000 requests, not one more may be refused.
func TestBalancedIsNoWorse(t *testing.T) {
	for _, tt := range []struct {
		choosers int
		ageMs    float64
	}{{1, 2000}, {10, 10}, {300, 10}, {300, 2000}} {
		t.Run(fmt.Sprintf("%d choosers, %g ms", tt.choosers, tt.ageMs), func(t *testing.T) {
			t.Parallel()
			c := busyLeaves(tt.choosers, tt.ageMs)
			c.durationMs = 12_000
			before, after := runModel(c, modelStrategies()["least-cost"], 1), runModel(c, modelStrategies()["balanced"], 1)
			require.LessOrEqual(t, after.busiest, before.busiest)
			require.LessOrEqual(t, after.refused, before.refused+0.001)
		})
	}
}

// TestSparseRequestsAreEven guards against the busiest of 10 leaves getting 1.54 times the mean number of requests: 26 requests a second of
// 100 choosers, over data centres with 3, 3, 2 and 2 leaves, of which each chooser has connections to all or to 4.
func TestSparseRequestsAreEven(t *testing.T) {
	for _, name := range []string{"balanced", "balanced-subset4"} {
		require.LessOrEqual(t, meanResult(unevenLeaves(100, 200), modelStrategies()[name], 3).sent, 1.25, name)
	}
}

// TestAlikeLeavesAreChosenAsBefore guards against a service of alike leaves that is switched to the new weights by chance.
func TestAlikeLeavesAreChosenAsBefore(t *testing.T) {
	for _, n := range []int{10, 100} {
		c := alikeLeaves(n, 200)
		c.durationMs = 8000
		auto := modelStrategies()["balanced-auto"]
		auto.reasons = map[policy.ChoiceReason]int{}
		runModel(c, auto, 1)
		require.Len(t, auto.reasons, 1)
		require.Positive(t, auto.reasons[policy.ReasonAlike])
	}
}

// leafAt returns a leaf in the own data centre that answered n times in the given time, the last time just now.
func leafAt(name samphirepass.Leaf, latency samphirepass.Millis, n int) samphirepass.Candidate {
	return samphirepass.Candidate{
		Leaf: name, Service: "listings", DataCentre: "derby", SameDataCentre: true, Slots: 2, MaxConnections: 10, LoadAgeMs: 1e9,
		UsualLatencyMs: latency, UsualErrorMs: latency / 50, Answers: n, MedianLatencyMs: latency,
	}
}

// shares returns the share of choices of each candidate.
func shares(c samphirepass.Chooser, candidates []samphirepass.Candidate) []float64 {
	const n = 4000
	share := make([]float64, len(candidates))
	for range n {
		share[c.Choose(candidates)] += 1.0 / n
	}
	return share
}

func seededChooser(dataCentres int) policy.BalancedChooser {
	return policy.BalancedChooser{DataCentres: dataCentres, Random: rand.New(rand.NewPCG(1, 1)).Float64}
}

// TestFasterLeafGetsMore guards against equal shares for leaves of unequal speeds.
func TestFasterLeafGetsMore(t *testing.T) {
	share := shares(seededChooser(0), []samphirepass.Candidate{leafAt("slow", 75, 100), leafAt("middle", 60, 100), leafAt("fast", 46, 100)})
	for i, speed := range []float64{0.8, 1, 1.3} {
		require.InDelta(t, speed/3.1, share[i], 0.05)
	}
}

// TestSlowPhase guards against a leaf that is slow for 0.6 s and keeps its share, or gets none after that: it answers ten requests a
// second, 2.5 times as slowly from 10,000 ms to 10,600 ms.
func TestSlowPhase(t *testing.T) {
	var slow, other policy.LeafSpeed
	share := func(now samphirepass.Millis) float64 {
		a, b := leafAt("slow", 60, 1), leafAt("other", 60, 1)
		slow.Describe(now, 60, &a)
		other.Describe(now, 60, &b)
		return shares(seededChooser(0), []samphirepass.Candidate{a, b})[0]
	}
	for now := samphirepass.Millis(0); now <= 11_600; now += 100 {
		latency := 1.0
		if now >= 10_000 && now < 10_600 {
			latency = 2.5
		}
		slow.Add(now, latency)
		other.Add(now, 1)
		switch now {
		case 9_900:
			require.InDelta(t, 0.5, share(now), 0.1)
		case 10_300:
			require.Less(t, share(now), 0.25, "three slow answers")
		case 11_600:
			require.Greater(t, share(now), 0.35, "a second after the end")
		}
	}
}

// TestPrecedence checks the order in which all that keeps a leaf from answering counts, each against leaves with the next.
func TestPrecedence(t *testing.T) {
	ready := leafAt("leaf", 20, 100)
	remote := with(ready, func(c *samphirepass.Candidate) { c.SameDataCentre, c.DataCentre = false, "lincoln" })
	busy := with(ready, func(c *samphirepass.Candidate) { c.InFlight = 10 })
	cold := with(ready, func(c *samphirepass.Candidate) { c.ColdMs = 1000 })
	stalled := with(ready, func(c *samphirepass.Candidate) { c.InFlight, c.OldestInFlightMs = 1, 80 })
	ejected := with(ready, func(c *samphirepass.Candidate) { c.ConsecutiveFailures = 3 })
	tests := map[string]struct {
		better, worse samphirepass.Candidate
		reason        policy.ChoiceReason
	}{
		"own data centre first":                    {ready, remote, policy.ReasonLocal},
		"ready elsewhere before busy":              {remote, busy, policy.ReasonElsewhere},
		"busy before cold":                         {busy, cold, policy.ReasonLocal},
		"cold before stalled":                      {cold, stalled, policy.ReasonLocal},
		"stalled before ejected":                   {stalled, ejected, policy.ReasonLocal},
		"cold elsewhere before stalled":            {with(remote, func(c *samphirepass.Candidate) { c.ColdMs = 1000 }), stalled, policy.ReasonElsewhere},
		"slow, own data centre, before far slower": {ready, with(remote, func(c *samphirepass.Candidate) { c.UsualLatencyMs = 90 }), policy.ReasonLocal},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for range 50 {
				i, reason := seededChooser(0).Decide([]samphirepass.Candidate{tt.worse, tt.better})
				require.Equal(t, 1, i)
				require.Equal(t, tt.reason, reason)
			}
		})
	}
}

// TestSpillover guards against requests that stay in a data centre whose leaves are slower than others, or leave it for little gain.
func TestSpillover(t *testing.T) {
	local := leafAt("near", 60, 100)
	remote := with(local, func(c *samphirepass.Candidate) { c.Leaf, c.SameDataCentre, c.DataCentre = "far", false, "lincoln" })
	remote.UsualLatencyMs = 70
	tests := map[string]struct {
		latency, recentAnswers float64
		lowest, highest        float64
	}{
		"as usual":                   {60, 20, 0, 0},
		"a little slower":            {80, 20, 0, 0},
		"twice as slow":              {150, 20, 0.3, 0.9},
		"five times as slow":         {300, 20, 0.9, 1},
		"one slow answer, long past": {300, 0.1, 0, 0.1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			near := local
			near.RecentLatencyMs, near.RecentAnswers = samphirepass.Millis(tt.latency), tt.recentAnswers
			far := shares(seededChooser(0), []samphirepass.Candidate{near, remote})[1]
			require.GreaterOrEqual(t, far, tt.lowest)
			require.LessOrEqual(t, far, tt.highest)
		})
	}
}

// TestBalancedReportedLoad guards against a load that is used although it is old.
func TestBalancedReportedLoad(t *testing.T) {
	loaded := with(leafAt("loaded", 60, 100), func(c *samphirepass.Candidate) { c.Load, c.LoadAgeMs = 3, 50 })
	require.Less(t, shares(seededChooser(0), []samphirepass.Candidate{loaded, leafAt("idle", 60, 100)})[0], 0.1)
	loaded.LoadAgeMs = 1000
	require.InDelta(t, 0.5, shares(seededChooser(0), []samphirepass.Candidate{loaded, leafAt("idle", 60, 100)})[0], 0.05)
}

// TestImplausibleInputs guards against a choice that panics or never uses a leaf because a leaf reports an implausible load, a process was suspended,
// or nothing is known yet: any combination of such inputs yields one of the candidates.
func TestImplausibleInputs(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	clock := &stepClock{}
	b := policy.NewBalancer(policy.BalancerOptions{Always: true, DataCentres: 3, Clock: clock, Random: rnd.Float64})
	pick := func(values ...float64) float64 { return values[rnd.IntN(len(values))] }
	millis := func() samphirepass.Millis { return samphirepass.Millis(pick(0, 0, 1, 60, 1e9)) }
	for range 20_000 {
		clock.now += samphirepass.Millis(pick(0, 1, 100, 3_600_000))
		candidates := make([]samphirepass.Candidate, 1+rnd.IntN(20))
		for i := range candidates {
			candidates[i] = samphirepass.Candidate{
				Service: "listings", DataCentre: samphirepass.DataCentre(fmt.Sprint(rnd.IntN(3))), SameDataCentre: rnd.IntN(2) == 0,
				Slots: rnd.IntN(3), InFlight: rnd.IntN(3), MaxConnections: rnd.IntN(3), Load: pick(0, 1, -1, math.NaN(), math.Inf(1), 1e300), LoadAgeMs: millis() - 1,
				MedianLatencyMs: millis(), UsualLatencyMs: millis(), UsualErrorMs: millis(), RecentLatencyMs: millis(), RecentAnswers: pick(0, 1, 1e6),
				Answers: rnd.IntN(30), OldestInFlightMs: millis(), ColdMs: millis(), FailureRate: rnd.Float64(), RefusalRate: rnd.Float64(),
				ConsecutiveFailures: rnd.IntN(6), SinceFailureMs: millis(), BusyShare: rnd.Float64(),
			}
		}
		i, reason := b.Decide(candidates)
		require.GreaterOrEqual(t, i, 0)
		require.Less(t, i, len(candidates))
		require.NotEmpty(t, reason)
	}
	share := shares(seededChooser(0), []samphirepass.Candidate{
		with(leafAt("implausible", 60, 100), func(c *samphirepass.Candidate) { c.Load, c.LoadAgeMs = math.NaN(), 10 }), leafAt("other", 60, 100),
	})
	require.InDelta(t, 0.5, share[0], 0.05)
}

// TestBalancerSwitches guards against a service that is switched by chance, at the first difference, or to and fro.
func TestBalancerSwitches(t *testing.T) {
	alike := []samphirepass.Candidate{leafAt("a", 60, 100), leafAt("b", 62, 100)}
	uneven := []samphirepass.Candidate{leafAt("a", 60, 100), leafAt("b", 90, 100)}
	uncertain := with(uneven[1], func(c *samphirepass.Candidate) { c.UsualErrorMs = 30 })
	few := with(uneven[1], func(c *samphirepass.Candidate) { c.Answers = 3 })
	far := with(uneven[1], func(c *samphirepass.Candidate) { c.SameDataCentre, c.DataCentre = false, "lincoln" })
	occupied := with(alike[0], func(c *samphirepass.Candidate) { c.BusyShare = 0.2 })
	remote := with(alike[0], func(c *samphirepass.Candidate) { c.SameDataCentre, c.DataCentre = false, "lincoln" })
	short := []samphirepass.Candidate{occupied, remote, remote}
	tests := map[string]struct {
		phases [][]samphirepass.Candidate
		want   []bool
		cause  policy.BalancingCause
	}{
		"alike":                       {[][]samphirepass.Candidate{alike}, []bool{false}, ""},
		"speeds differ":               {[][]samphirepass.Candidate{alike, uneven}, []bool{false, true}, policy.CauseSpeeds},
		"uncertain":                   {[][]samphirepass.Candidate{{uneven[0], uncertain}}, []bool{false}, ""},
		"few answers":                 {[][]samphirepass.Candidate{{uneven[0], few}}, []bool{false}, ""},
		"far for the distance":        {[][]samphirepass.Candidate{{uneven[0], far}}, []bool{false}, ""},
		"occupied and short of slots": {[][]samphirepass.Candidate{short}, []bool{true}, policy.CauseShortage},
		"occupied, even slots":        {[][]samphirepass.Candidate{{occupied, remote}}, []bool{false}, ""},
		"alike again":                 {[][]samphirepass.Candidate{uneven, alike}, []bool{true, false}, policy.CauseAlike},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			clock := &stepClock{}
			var last policy.BalancingSwitch
			switches := 0
			b := policy.NewBalancer(policy.BalancerOptions{DataCentres: 2, Clock: clock, OnSwitch: func(s policy.BalancingSwitch) {
				last = s
				switches++
			}})
			for i, candidates := range tt.phases {
				for range 400 {
					clock.now += 100
					b.Choose(candidates)
				}
				_, reason := b.Decide(candidates)
				require.Equal(t, tt.want[i], reason != policy.ReasonAlike)
			}
			require.Equal(t, tt.cause, last.Cause)
			require.LessOrEqual(t, switches, len(tt.phases))
		})
	}
}

// TestBalancerHysteresis guards against a service that is switched to and fro while its leaves differ now and then.
func TestBalancerHysteresis(t *testing.T) {
	clock, switches := &stepClock{}, 0
	b := policy.NewBalancer(policy.BalancerOptions{Clock: clock, OnSwitch: func(policy.BalancingSwitch) { switches++ }})
	for i := range 6000 {
		clock.now += 100
		latency := samphirepass.Millis(60)
		if i/200%2 == 0 {
			latency = 90
		}
		b.Choose([]samphirepass.Candidate{leafAt("a", 60, 100), leafAt("b", latency, 100)})
	}
	require.Equal(t, 1, switches)
}

// stepClock is a clock that the test sets.
type stepClock struct {
	samphirepass.Clock
	now samphirepass.Millis
}

func (c *stepClock) Now() samphirepass.Millis { return c.now }

// BenchmarkChoose measures a choice among 10 leaves; the balanced one may take 2 µs.
func BenchmarkChoose(b *testing.B) {
	var candidates []samphirepass.Candidate
	for i := range 10 {
		c := leafAt(samphirepass.Leaf(fmt.Sprint(i)), 50+samphirepass.Millis(i), 100)
		c.SameDataCentre, c.RecentLatencyMs, c.RecentAnswers = i < 3, 60, 2
		candidates = append(candidates, c)
	}
	choosers := map[string]samphirepass.Chooser{
		"least-cost": policy.LeastCostChooser{},
		"balanced":   policy.BalancedChooser{DataCentres: 4},
		"on":         policy.NewBalancer(policy.BalancerOptions{Always: true, DataCentres: 4, Clock: samphirepass.SystemClock{}}),
		"auto":       policy.NewBalancer(policy.BalancerOptions{DataCentres: 4, Clock: samphirepass.SystemClock{}}),
	}
	for name, c := range choosers {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c.Choose(candidates)
			}
		})
	}
}
