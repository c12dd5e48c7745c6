package policy_test

import (
	"fmt"
	"math/rand"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/policy"
)

func fingerprint(n int) samphirepass.Fingerprint {
	return samphirepass.ClientRequest{Host: "a.example", Forwarded: samphirepass.ForwardedRequest{Target: fmt.Sprint("/", n)}}.Fingerprint()
}

func crash(leaf string, alone bool) samphirepass.LeafCrash {
	return samphirepass.LeafCrash{Leaf: samphirepass.Leaf(leaf), Incarnation: 1, Alone: alone}
}

// TestQuarantineVerdict checks what a request may do after leaves have crashed under it.
func TestQuarantineVerdict(t *testing.T) {
	const minute = 60_000
	tests := map[string]struct {
		crashes []samphirepass.LeafCrash
		// survivedAt is when a leaf survived the request, 0 for never. The crashes are at 1 ms.
		survivedAt, at samphirepass.Millis
		want           samphirepass.Verdict
	}{
		"no crash":                         {nil, 0, 2, samphirepass.VerdictSend},
		"one leaf":                         {[]samphirepass.LeafCrash{crash("a", false)}, 0, 2, samphirepass.VerdictProbe},
		"one leaf alone":                   {[]samphirepass.LeafCrash{crash("a", true)}, 0, 2, samphirepass.VerdictProbe},
		"many at once, none alone":         {[]samphirepass.LeafCrash{crash("a", false), crash("b", false), crash("c", false), crash("d", false)}, 0, 2, samphirepass.VerdictProbe},
		"three, one alone":                 {[]samphirepass.LeafCrash{crash("a", false), crash("b", false), crash("c", true)}, 0, 2, samphirepass.VerdictRefuse},
		"the same leaf":                    {[]samphirepass.LeafCrash{crash("a", true), crash("a", true), crash("a", true)}, 0, 2, samphirepass.VerdictProbe},
		"another leaf has survived since":  {[]samphirepass.LeafCrash{crash("a", false), crash("b", false), crash("c", true)}, 2, 3, samphirepass.VerdictSend},
		"a leaf had survived before":       {[]samphirepass.LeafCrash{crash("a", false), crash("b", false), crash("c", true)}, 0.5, 3, samphirepass.VerdictRefuse},
		"three, after eleven minutes":      {[]samphirepass.LeafCrash{crash("a", false), crash("b", false), crash("c", true)}, 0, 11 * minute, samphirepass.VerdictProbe},
		"three, after more than an hour":   {[]samphirepass.LeafCrash{crash("a", false), crash("b", false), crash("c", true)}, 0, 61 * minute, samphirepass.VerdictSend},
		"the one alone after eight others": {[]samphirepass.LeafCrash{crash("1", false), crash("2", false), crash("3", false), crash("4", false), crash("5", false), crash("6", false), crash("7", false), crash("8", false), crash("9", true)}, 0, 2, samphirepass.VerdictRefuse},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			clock := &manualClock{}
			q := policy.NewQuarantine(clock)
			require.True(t, q.Empty())
			clock.now = 1
			if len(tt.crashes) > 0 {
				q.RecordCrashes(fingerprint(1), tt.crashes)
			}
			if tt.survivedAt > 0 {
				clock.now = max(tt.survivedAt, 1)
				q.Merge(samphirepass.Suspicion{Fingerprint: fingerprint(1), SurvivedAgeMs: clock.now - tt.survivedAt})
			}
			clock.now = tt.at
			verdict, retryAfter := q.Verdict(fingerprint(1))
			require.Equal(t, tt.want, verdict)
			require.Equal(t, tt.want == samphirepass.VerdictRefuse, retryAfter > 0)
			verdict, _ = q.Verdict(fingerprint(2))
			require.Equal(t, samphirepass.VerdictSend, verdict, "other requests")
		})
	}
}

// TestQuarantinesAgree has three processes learn of crashes and survivals and exchange what they know in random order.
func TestQuarantinesAgree(t *testing.T) {
	for seed := range int64(200) {
		rnd := rand.New(rand.NewSource(seed))
		clock := &manualClock{now: 1}
		processes := []*policy.Quarantine{policy.NewQuarantine(clock), policy.NewQuarantine(clock), policy.NewQuarantine(clock)}
		known := make([][3]uint64, 3)
		exchange := func(from, to int) {
			changes, version := processes[from].ChangesSince(known[to][from])
			known[to][from] = version
			for _, s := range changes {
				processes[to].Merge(s)
			}
		}
		crashes := 0
		for step := range 60 {
			clock.now += samphirepass.Millis(rnd.Intn(50))
			p := rnd.Intn(3)
			switch rnd.Intn(4) {
			case 0:
				if crashes++; crashes <= 8 {
					processes[p].RecordCrashes(fingerprint(rnd.Intn(3)), []samphirepass.LeafCrash{crash(fmt.Sprint(step), rnd.Intn(2) == 0)})
				}
			case 1:
				if rnd.Intn(10) == 0 {
					processes[p].RecordSurvival(fingerprint(rnd.Intn(3)))
				}
			default:
				exchange(p, rnd.Intn(3))
			}
		}
		for range 3 {
			for from := range 3 {
				for to := range 3 {
					exchange(from, to)
				}
			}
		}
		for i := range 3 {
			want, _ := processes[0].Verdict(fingerprint(i))
			for _, q := range processes {
				got, _ := q.Verdict(fingerprint(i))
				require.Equal(t, want, got, "seed %d", seed)
				before, version := q.ChangesSince(0)
				for _, s := range before {
					require.False(t, q.Merge(s), "what is known is not new")
				}
				_, after := q.ChangesSince(0)
				require.Equal(t, version, after)
			}
		}
	}
}

// TestQuarantineIsBounded guards against memory that grows with the number of different requests or of crashes.
func TestQuarantineIsBounded(t *testing.T) {
	clock := &manualClock{now: 1}
	q := policy.NewQuarantine(clock)
	for i := range 5000 {
		clock.now++
		q.RecordCrashes(fingerprint(i), []samphirepass.LeafCrash{crash("a", true), crash("b", false), crash(fmt.Sprint(i), false)})
		q.RecordSurvival(fingerprint(-i - 1))
	}
	changes, _ := q.ChangesSince(0)
	require.Len(t, changes, 1024)
	verdict, _ := q.Verdict(fingerprint(4999))
	require.Equal(t, samphirepass.VerdictRefuse, verdict, "the latest are kept")
	for i := range 100 {
		q.RecordCrashes(fingerprint(4999), []samphirepass.LeafCrash{crash(fmt.Sprint("x", i), false)})
	}
	changes, _ = q.ChangesSince(0)
	for _, s := range changes {
		require.LessOrEqual(t, len(s.Crashes), 8)
	}
}

// TestFingerprint checks which requests are the same to a leaf.
func TestFingerprint(t *testing.T) {
	base := samphirepass.ClientRequest{
		ID: "1", Host: "a.example", DeadlineMs: 100, Forwarded: samphirepass.ForwardedRequest{
			Method: "POST", Target: "/a?b", Body: []byte("x"), Header: http.Header{"Authorization": {"c"}, "User-Agent": {"u"}},
		},
	}
	tests := map[string]struct {
		change func(*samphirepass.ClientRequest)
		same   bool
	}{
		"another id and deadline": {func(r *samphirepass.ClientRequest) { r.ID, r.DeadlineMs = "2", 200 }, true},
		"the host in capitals":    {func(r *samphirepass.ClientRequest) { r.Host = "A.example" }, true},
		"another host":            {func(r *samphirepass.ClientRequest) { r.Host = "b.example" }, false},
		"another caller":          {func(r *samphirepass.ClientRequest) { r.Forwarded.Header = http.Header{"Authorization": {"d"}} }, false},
		"another session": {func(r *samphirepass.ClientRequest) {
			r.Forwarded.Header = http.Header{"Authorization": {"c"}, "Cookie": {"s"}}
		}, false},
		"another program of the caller":  {func(r *samphirepass.ClientRequest) { r.Forwarded.Header = http.Header{"Authorization": {"c"}} }, true},
		"another method":                 {func(r *samphirepass.ClientRequest) { r.Forwarded.Method = "PUT" }, false},
		"another path":                   {func(r *samphirepass.ClientRequest) { r.Forwarded.Target = "/b?b" }, false},
		"another query":                  {func(r *samphirepass.ClientRequest) { r.Forwarded.Target = "/a?c" }, false},
		"another body":                   {func(r *samphirepass.ClientRequest) { r.Forwarded.Body = []byte("y") }, false},
		"bytes moved between two fields": {func(r *samphirepass.ClientRequest) { r.Forwarded.Target, r.Forwarded.Body = "/a?", []byte("bx") }, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := base
			tt.change(&r)
			require.Equal(t, tt.same, r.Fingerprint() == base.Fingerprint())
		})
	}
}
