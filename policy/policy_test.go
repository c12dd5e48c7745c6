package policy_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/policy"
)

// manualClock is a clock that only the test advances.
type manualClock struct{ now samphirepass.Millis }

func (m *manualClock) Now() samphirepass.Millis  { return m.now }
func (m *manualClock) Wall() samphirepass.Millis { return m.now }

func candidate(change func(*samphirepass.Candidate)) samphirepass.Candidate {
	c := samphirepass.Candidate{SameDataCentre: true, Slots: 3, MeanLatencyMs: 10, LoadAgeMs: 1e9, SinceDiscoveryMs: 1e9, MaxConnections: 3, SinceFailureMs: 1e9}
	change(&c)
	return c
}

// TestScoreOrder checks which of two leaves has the lower score, that is the better one.
func TestScoreOrder(t *testing.T) {
	plain := func(*samphirepass.Candidate) {}
	tests := map[string]struct {
		better, worse func(*samphirepass.Candidate)
	}{
		"the idle leaf":                               {plain, func(c *samphirepass.Candidate) { c.InFlight = 2 }},
		"the fast leaf":                               {plain, func(c *samphirepass.Candidate) { c.MeanLatencyMs = 30 }},
		"the leaf in the own data centre":             {plain, func(c *samphirepass.Candidate) { c.SameDataCentre = false }},
		"a remote idle leaf before a local full leaf": {func(c *samphirepass.Candidate) { c.SameDataCentre = false }, func(c *samphirepass.Candidate) { c.InFlight = 3 }},
		"a warm leaf before a new one":                {plain, func(c *samphirepass.Candidate) { c.SinceDiscoveryMs, c.MeanLatencyMs = 0, 0 }},
		"the leaf that reported less load":            {plain, func(c *samphirepass.Candidate) { c.Load, c.LoadAgeMs = 1, 5 }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Less(t, policy.Score(candidate(tt.better), 10), policy.Score(candidate(tt.worse), 10))
		})
	}
}

// TestProofEjectionKeepsMajority draws random states of a shard's leaves; more than half of them must stay usable.
func TestProofEjectionKeepsMajority(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 5000 {
		cs := make([]samphirepass.Candidate, 1+rnd.IntN(7))
		for i := range cs {
			cs[i] = candidate(func(c *samphirepass.Candidate) {
				c.ConsecutiveFailures = rnd.IntN(12)
				c.SinceFailureMs = samphirepass.Millis(rnd.IntN(9000))
			})
		}
		usable := policy.Usable(cs)
		require.GreaterOrEqual(t, len(usable), len(cs)-(len(cs)-1)/2)
		require.Subset(t, indices(len(cs)), usable)
		for i, c := range cs {
			if !policy.Ejected(c) {
				require.Contains(t, usable, i)
			}
		}
	}
}

func indices(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// TestProofNoHerding guards against all entries choosing the same leaf because it looks idle to each of them.
func TestProofNoHerding(t *testing.T) {
	counts := map[int]int{}
	for range 10_000 {
		cs := []samphirepass.Candidate{
			candidate(func(c *samphirepass.Candidate) { c.InFlight = 1 }),
			candidate(func(c *samphirepass.Candidate) { c.InFlight = 1 }),
			candidate(func(*samphirepass.Candidate) {}),
		}
		counts[policy.PowerOfTwoChooser{}.Choose(cs)]++
	}
	require.InDelta(t, 6667, counts[2], 300, "the idle leaf is in two of three draws")
}

// TestProofBudget checks how many extra attempts a budget of 5 % grants at most.
func TestProofBudget(t *testing.T) {
	const percent = 5
	tests := map[string]struct {
		act  func(clock *manualClock, b *policy.TokenBudget) int
		most int
	}{
		"at most the percentage": {act: func(_ *manualClock, b *policy.TokenBudget) int {
			return spend(b, 100, 100)
		}, most: 100 * 100 * percent / 100},
		"unused budget is saved up to the burst size": {act: func(_ *manualClock, b *policy.TokenBudget) int {
			spend(b, 1000, 0)
			return spend(b, 1, 100)
		}, most: 21},
		"hedges leave a reserve for retries": {act: func(_ *manualClock, b *policy.TokenBudget) int {
			spend(b, 1000, 0)
			hedges, n := 0, 0
			for hedges < 1000 && b.TakeHedge() {
				hedges++
			}
			for n < 1000 && b.TakeRetry() {
				n++
			}
			// Unlimited hedges leave no budget for retries, however many of these are granted.
			if hedges == 1000 {
				return hedges
			}
			return n
		}, most: 8},
		"closed while overloaded": {act: func(_ *manualClock, b *policy.TokenBudget) int {
			b.RecordPrimary(1000)
			b.RecordOverload()
			return spend(b, 10, 100)
		}},
		"open again after the overload pause": {act: func(clock *manualClock, b *policy.TokenBudget) int {
			b.RecordOverload()
			clock.now += 1001
			return spend(b, 10, 100)
		}, most: 50},
		"closed to all where many attempts are refused": {act: func(_ *manualClock, b *policy.TokenBudget) int {
			b.RecordPrimary(100)
			n := 0
			for range 100 {
				b.RecordShed()
				if b.TakeRefusedRetry() {
					n++
				}
			}
			return n
		}, most: 26},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			clock := &manualClock{now: 1e6}
			got := tt.act(clock, policy.NewTokenBudget(percent, clock))
			require.LessOrEqual(t, got, tt.most)
			if tt.most > 0 {
				require.Positive(t, got)
			}
		})
	}
	require.Zero(t, spend(policy.NewTokenBudget(0, &manualClock{}), 100, 100))
}

// spend records rounds of 100 first attempts, tries to take tries retries after each and returns how many were granted.
func spend(b *policy.TokenBudget, rounds, tries int) int {
	n := 0
	for range rounds {
		b.RecordPrimary(100)
		for range tries {
			if b.TakeRetry() {
				n++
			}
		}
	}
	return n
}

func TestQuantileHedgerDelay(t *testing.T) {
	tests := map[string]struct {
		stragglers int
		lowest     samphirepass.Millis
		highest    samphirepass.Millis
	}{
		"none":                        {0, 10, 12},
		"1 in 100":                    {1, 10, 12},
		"more than may count as late": {6, 10, 33},
		"too few observations":        {-1, 0, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q := policy.NewQuantileHedger(5)
			for i := range 1000 {
				if tt.stragglers < 0 && i > 20 {
					break
				}
				latency := samphirepass.Millis(10) + samphirepass.Millis(i%10)/10
				if i%100 < tt.stragglers {
					latency = 100
				}
				q.Observe(latency)
			}
			delay, ok := q.Delay()
			require.Equal(t, tt.highest > 0, ok)
			require.GreaterOrEqual(t, delay, tt.lowest)
			require.LessOrEqual(t, delay, tt.highest)
		})
	}
}

func admissionRequest(caller string, rank int, deadline samphirepass.Millis) samphirepass.AdmissionRequest {
	return samphirepass.AdmissionRequest{Caller: samphirepass.Caller(caller), Rank: rank, DeadlineMs: deadline, Capacity: 2}
}

// fill admits requests until the next one would be queued.
func fill(t *testing.T, l *policy.Limiter) []samphirepass.Permit {
	t.Helper()
	var permits []samphirepass.Permit
	for range 3 {
		p, err := l.Admit(nil, admissionRequest("busy", 0, 1e6))
		require.NoError(t, err)
		permits = append(permits, p)
	}
	return permits
}

// TestProofAdmissionOrder releases one permit while several requests are queued and checks which request is admitted.
func TestProofAdmissionOrder(t *testing.T) {
	tests := map[string]struct {
		waiting []samphirepass.AdmissionRequest
		first   string
	}{
		"the most important class before earlier requests": {
			[]samphirepass.AdmissionRequest{admissionRequest("late", 2, 1e6), admissionRequest("mid", 1, 1e6), admissionRequest("first", 0, 1e6)}, "first",
		},
		"within a class the caller with the fewest in flight": {
			[]samphirepass.AdmissionRequest{admissionRequest("busy", 0, 1e6), admissionRequest("quiet", 0, 1e6)}, "quiet",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := policy.NewLimiter(&manualClock{now: 1})
			running := fill(t, l)
			granted := make(chan string, len(tt.waiting))
			for i, request := range tt.waiting {
				go func() {
					if _, err := l.Admit(nil, request); err == nil {
						granted <- string(request.Caller)
					}
				}()
				require.Eventually(t, func() bool { return l.QueueLength() == i+1 }, 5e9, 1e6)
			}
			running[0].Release(samphirepass.Outcome{})
			require.Equal(t, tt.first, <-granted)
		})
	}
}

// TestProofAdmissionRefusals checks the code of a refusal and that the refused request leaves the queue.
func TestProofAdmissionRefusals(t *testing.T) {
	closed := make(chan struct{})
	close(closed)
	tests := map[string]struct {
		done     <-chan struct{}
		deadline samphirepass.Millis
		code     samphirepass.Code
	}{
		"no capacity within the deadline": {deadline: 50, code: samphirepass.CodeOverloaded},
		"the deadline passes":             {done: closed, deadline: 1e6, code: samphirepass.CodeDeadline},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			clock := &manualClock{now: 1}
			l := policy.NewLimiter(clock)
			for range 20 {
				p, err := l.Admit(nil, admissionRequest("a", 0, 1e6))
				require.NoError(t, err)
				clock.now += 40
				p.Release(samphirepass.Outcome{LatencyMs: 40, HalfAnsweredMs: 40})
			}
			for i := range 4 {
				if _, err := l.Admit(closed, admissionRequest("a", 0, 1e6)); err != nil {
					require.Positive(t, i)
				}
			}
			_, err := l.Admit(tt.done, admissionRequest("a", 0, tt.deadline))
			require.Equal(t, tt.code, samphirepass.AsRefusal(err).Code)
			require.True(t, samphirepass.AsRefusal(err).NotRun)
			require.Zero(t, l.QueueLength())
		})
	}
}

// TestProofLimitFollowsCapacity simulates leaves under more than five times the load that they can serve. The requests in flight
// must stay near the capacity and most of the capacity must yield answers in time.
func TestProofLimitFollowsCapacity(t *testing.T) {
	for _, capacity := range []int{1, 3, 30} {
		t.Run(fmt.Sprint(capacity), func(t *testing.T) {
			clock := &manualClock{now: 1}
			l := policy.NewLimiter(clock)
			type job struct {
				permit samphirepass.Permit
				end    samphirepass.Millis
				began  samphirepass.Millis
			}
			var jobs []job
			done := make(chan struct{})
			close(done)
			inTime, maxInFlight := 0, 0
			for step := range 4000 {
				clock.now++
				unfinished := jobs[:0]
				for _, j := range jobs {
					if j.end > clock.now {
						unfinished = append(unfinished, j)
						continue
					}
					took := clock.now - j.began
					j.permit.Release(samphirepass.Outcome{LatencyMs: took, HalfAnsweredMs: took, Shed: took > 100})
					if step > 1000 && took <= 100 {
						inTime++
					}
				}
				jobs = unfinished
				for range 5*capacity/10 + 1 {
					r := admissionRequest("a", 0, 100)
					r.Capacity = float64(capacity)
					p, err := l.Admit(done, r)
					if err != nil {
						break
					}
					// A request takes ten steps, and longer in proportion once there are more requests than the capacity.
					slowdown := max(1, float64(len(jobs)+1)/float64(capacity))
					jobs = append(jobs, job{permit: p, began: clock.now, end: clock.now + samphirepass.Millis(10*slowdown)})
				}
				maxInFlight = max(maxInFlight, len(jobs))
			}
			require.LessOrEqual(t, maxInFlight, 2*capacity+1)
			require.GreaterOrEqual(t, inTime, 3000*capacity/10*8/10, "goodput collapsed")
		})
	}
}
