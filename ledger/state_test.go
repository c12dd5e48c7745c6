package ledger_test

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/ledger"
)

// machine applies commands at rising indices.
type machine struct {
	*ledger.State
	index samphirepass.Revision
	now   samphirepass.Millis
}

func formed() *machine {
	m := &machine{State: ledger.New(), now: 1_000_000}
	m.do(ledger.Command{FinishForming: &ledger.FinishForming{SeatCount: 2}})
	return m
}

func (m *machine) do(c ledger.Command) ledger.Result {
	m.index++
	c.NowMs = m.now
	return m.Apply(m.index, c)
}

func (m *machine) change(id string, base samphirepass.Revision, remove bool) samphirepass.ChangeResult {
	c := samphirepass.Change{
		ID: samphirepass.ChangeID(id), Kind: samphirepass.KindCaller, Name: "x", Spec: json.RawMessage(`{}`), BaseRevision: base, Delete: remove,
	}
	return *m.do(ledger.Command{Change: &c}).Change
}

func (m *machine) claim(token string, digest uint64, age samphirepass.Millis, retention samphirepass.Millis) ledger.ClaimResult {
	c := ledger.Claim{Service: "s", Key: "k", KeyMs: 1_000_000 - age, Digest: digest, Token: token, DeadlineMs: 500, RetentionMs: retention}
	return *m.do(ledger.Command{Claim: &c}).Claim
}

func (m *machine) outcome(token string, state samphirepass.RunState) samphirepass.Code {
	return m.do(ledger.Command{Outcome: &ledger.Outcome{Key: "k", Token: token, State: state}}).Code
}

func TestProofChanges(t *testing.T) {
	tests := map[string]func(t *testing.T, m *machine){
		"equal revisions have one winner": func(t *testing.T, m *machine) {
			first := m.change("a", 0, false)
			second := m.change("b", 0, false)
			require.True(t, first.Accepted)
			require.False(t, second.Accepted)
			require.Equal(t, samphirepass.CodeConflict, second.Code)
			require.Equal(t, first.Revision, second.Winner.Revision)
			require.EqualValues(t, "a", second.WinnerChange)
		},
		"a resend has the first answer": func(t *testing.T, m *machine) {
			first := m.change("a", 0, false)
			second := m.change("b", first.Revision, false)
			require.Equal(t, first, m.change("a", 0, false))
			require.Equal(t, second, m.change("b", first.Revision, false))
			require.Equal(t, second.Revision, m.Revision())
		},
		"a resend of a loser still loses": func(t *testing.T, m *machine) {
			first := m.change("a", 0, false)
			lost := m.change("b", 0, false)
			m.change("c", first.Revision, true)
			require.Equal(t, lost, m.change("b", 0, false))
		},
		"a resend is known after a snapshot": func(t *testing.T, m *machine) {
			first := m.change("a", 0, false)
			data, err := m.Snapshot()
			require.NoError(t, err)
			require.NoError(t, m.Restore(data))
			require.Equal(t, first, m.change("a", 0, false))
		},
		"a deletion names its revision": func(t *testing.T, m *machine) {
			first := m.change("a", 0, false)
			require.Equal(t, samphirepass.CodeConflict, m.change("b", first.Revision+9, true).Code)
			require.True(t, m.change("c", first.Revision, true).Accepted)
			require.Empty(t, m.View().Resources)
		},
		"a change before the log is formed is refused and may come again": func(t *testing.T, _ *machine) {
			m := &machine{State: ledger.New()}
			require.Equal(t, samphirepass.CodeForming, m.change("a", 0, false).Code)
			m.do(ledger.Command{FinishForming: &ledger.FinishForming{SeatCount: 1}})
			require.True(t, m.change("a", 0, false).Accepted)
		},
		"events miss nothing, or say so": func(t *testing.T, m *machine) {
			at := m.Revision()
			base := samphirepass.Revision(0)
			for i := range 4200 {
				base = m.change(fmt.Sprint(i), base, false).Revision
			}
			_, ok := m.EventsSince(at)
			require.False(t, ok)
			events, ok := m.EventsSince(base - 4000)
			require.True(t, ok)
			require.Len(t, events, 4000)
		},
	}
	for name, check := range tests {
		t.Run(name, func(t *testing.T) { check(t, formed()) })
	}
}

func TestProofClaims(t *testing.T) {
	const day = samphirepass.DefaultRunRetentionMs
	tests := map[string]func(t *testing.T, m *machine){
		"a key is granted once": func(t *testing.T, m *machine) {
			require.True(t, m.claim("a", 1, 0, day).Granted)
			second := m.claim("b", 1, 0, day)
			require.False(t, second.Granted)
			require.Equal(t, samphirepass.RunRunning, second.Record.State)
		},
		"a resent claim of the same request is granted again": func(t *testing.T, m *machine) {
			require.True(t, m.claim("a", 1, 0, day).Granted)
			require.True(t, m.claim("a", 1, 0, day).Granted)
		},
		"another body is refused": func(t *testing.T, m *machine) {
			m.claim("a", 1, 0, day)
			require.Equal(t, samphirepass.CodeKeyMismatch, m.claim("b", 2, 0, day).Code)
		},
		"an outcome stays": func(t *testing.T, m *machine) {
			m.claim("a", 1, 0, day)
			require.Empty(t, m.outcome("a", samphirepass.RunDone))
			require.Empty(t, m.outcome("a", samphirepass.RunDone))
			require.Equal(t, samphirepass.CodeConflict, m.outcome("a", samphirepass.RunNotRun))
			require.Equal(t, samphirepass.RunDone, m.claim("b", 1, 0, day).Record.State)
			require.False(t, m.claim("a", 1, 0, day).Granted)
		},
		"a key that was not run may be claimed again, by one": func(t *testing.T, m *machine) {
			m.claim("a", 1, 0, day)
			require.Empty(t, m.outcome("a", samphirepass.RunNotRun))
			require.True(t, m.claim("b", 1, 0, day).Granted)
			require.False(t, m.claim("c", 1, 0, day).Granted)
			require.Equal(t, samphirepass.CodeConflict, m.outcome("a", samphirepass.RunDone))
		},
		"a claim without an outcome becomes unknown": func(t *testing.T, m *machine) {
			m.claim("a", 1, 0, day)
			m.now += 501
			require.Equal(t, samphirepass.RunUnknown, m.claim("b", 1, 0, day).Record.State)
			r, ok := m.RunRecord("k", m.now)
			require.True(t, ok)
			require.Equal(t, samphirepass.RunUnknown, r.State)
		},
		"a late outcome replaces unknown": func(t *testing.T, m *machine) {
			m.claim("a", 1, 0, day)
			require.Empty(t, m.outcome("a", samphirepass.RunUnknown))
			require.Empty(t, m.outcome("a", samphirepass.RunDone))
		},
		"a key beyond its retention is refused": func(t *testing.T, m *machine) {
			require.Equal(t, samphirepass.CodeKeyExpired, m.claim("a", 1, day+1, day).Code)
		},
		"a key from the future is refused": func(t *testing.T, m *machine) {
			require.Equal(t, samphirepass.CodeInvalid, m.claim("a", 1, -120_000, day).Code)
		},
		"a purged key stays refused when the retention grows": func(t *testing.T, m *machine) {
			m.claim("a", 1, 0, 1000)
			require.Empty(t, m.outcome("a", samphirepass.RunDone))
			m.now += 2000
			require.Equal(t, samphirepass.CodeKeyExpired, m.claim("b", 1, 0, day).Code)
			_, ok := m.RunRecord("k", m.now)
			require.False(t, ok)
		},
		"a purge survives a snapshot": func(t *testing.T, m *machine) {
			m.claim("a", 1, 0, 1000)
			data, err := m.Snapshot()
			require.NoError(t, err)
			require.NoError(t, m.Restore(data))
			m.now += 2000
			require.Equal(t, samphirepass.CodeKeyExpired, m.claim("b", 1, 0, day).Code)
		},
	}
	for name, check := range tests {
		t.Run(name, func(t *testing.T) { check(t, formed()) })
	}
}

func TestProofSeats(t *testing.T) {
	m := formed()
	take := func(vm samphirepass.VM) samphirepass.Code {
		return m.do(ledger.Command{Seat: &ledger.SeatChange{VM: vm}}).Code
	}
	leave := func(vm samphirepass.VM) samphirepass.Code {
		return m.do(ledger.Command{Seat: &ledger.SeatChange{VM: vm, Release: true}}).Code
	}
	require.Empty(t, take("a"))
	require.Empty(t, take("b"))
	require.Empty(t, take("a"))
	require.Equal(t, samphirepass.CodeUnavailable, take("c"))
	require.Empty(t, leave("a"))
	require.Equal(t, samphirepass.CodeNotFound, leave("a"))
	require.Empty(t, take("c"))
	seats := m.View().Seats
	require.Len(t, seats, 2)
	require.EqualValues(t, "c", seats[0].VM)
	require.Equal(t, 0, seats[0].Number)
}

// TestProofMembersAgree applies one random sequence to a state and to one that was restored from a snapshot midway.
func TestProofMembersAgree(t *testing.T) {
	for seed := range int64(50) {
		rnd := rand.New(rand.NewSource(seed))
		a, b := ledger.New(), ledger.New()
		now := samphirepass.Millis(1_000_000)
		for i := samphirepass.Revision(1); i <= 400; i++ {
			now += samphirepass.Millis(rnd.Intn(200))
			c := randomCommand(rnd, now)
			require.Equal(t, a.Apply(i, c), b.Apply(i, c), "seed %d index %d", seed, i)
			if rnd.Intn(50) == 0 {
				data, err := a.Snapshot()
				require.NoError(t, err)
				require.NoError(t, b.Restore(data))
			}
		}
		one, err := a.Snapshot()
		require.NoError(t, err)
		two, err := b.Snapshot()
		require.NoError(t, err)
		require.Equal(t, one, two)
	}
}

func randomCommand(rnd *rand.Rand, now samphirepass.Millis) ledger.Command {
	c := ledger.Command{NowMs: now}
	token := fmt.Sprint(rnd.Intn(3))
	key := samphirepass.RunKey(fmt.Sprint(rnd.Intn(5)))
	switch rnd.Intn(5) {
	case 0:
		c.FinishForming = &ledger.FinishForming{SeatCount: 3}
	case 1:
		c.Change = &samphirepass.Change{
			ID: samphirepass.ChangeID(fmt.Sprint(rnd.Intn(40))), Kind: samphirepass.KindService, Name: fmt.Sprint(rnd.Intn(3)),
			BaseRevision: samphirepass.Revision(rnd.Intn(30)), Delete: rnd.Intn(3) == 0,
		}
	case 2:
		c.Claim = &ledger.Claim{Service: "s", Key: key, KeyMs: now - samphirepass.Millis(rnd.Intn(3000)), Token: token, RetentionMs: 2000, DeadlineMs: 100}
	case 3:
		states := []samphirepass.RunState{samphirepass.RunDone, samphirepass.RunNotRun, samphirepass.RunUnknown}
		c.Outcome = &ledger.Outcome{Key: key, Token: token, State: states[rnd.Intn(3)]}
	default:
		c.Seat = &ledger.SeatChange{VM: samphirepass.VM(fmt.Sprint(rnd.Intn(5))), Release: rnd.Intn(2) == 0}
	}
	return c
}

func FuzzRestore(f *testing.F) {
	m := formed()
	m.change("a", 0, false)
	m.claim("a", 1, 0, 1000)
	data, err := m.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		s := ledger.New()
		if s.Restore(data) != nil {
			return
		}
		_, err := s.Snapshot()
		require.NoError(t, err)
	})
}
