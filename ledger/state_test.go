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

// harness applies commands at consecutive indices.
type harness struct {
	*ledger.State
	index samphirepass.Revision
	now   samphirepass.Millis
}

func newFormed() *harness {
	h := &harness{State: ledger.New(), now: 1_000_000}
	h.apply(ledger.Command{FinishForming: &ledger.FinishForming{SeatCount: 2}})
	return h
}

func (h *harness) apply(c ledger.Command) ledger.Result {
	h.index++
	c.NowMs = h.now
	return h.Apply(h.index, c)
}

func (h *harness) change(id string, base samphirepass.Revision, remove bool) samphirepass.ChangeResult {
	c := samphirepass.Change{
		ID: samphirepass.ChangeID(id), Kind: samphirepass.KindCaller, Name: "x", Spec: json.RawMessage(`{}`), BaseRevision: base, Delete: remove,
	}
	return *h.apply(ledger.Command{Change: &c}).Change
}

func (h *harness) claim(token string, digest uint64, age samphirepass.Millis, retention samphirepass.Millis) ledger.ClaimResult {
	c := ledger.Claim{Service: "s", Key: "k", KeyMs: 1_000_000 - age, Digest: digest, Token: token, DeadlineMs: 500, RetentionMs: retention}
	return *h.apply(ledger.Command{Claim: &c}).Claim
}

func (h *harness) outcome(token string, state samphirepass.RunState) samphirepass.Code {
	return h.apply(ledger.Command{Outcome: &ledger.Outcome{Key: "k", Token: token, State: state}}).Code
}

func TestProofChanges(t *testing.T) {
	tests := map[string]func(t *testing.T, h *harness){
		"one of two changes with the same base revision wins": func(t *testing.T, h *harness) {
			first := h.change("a", 0, false)
			second := h.change("b", 0, false)
			require.True(t, first.Accepted)
			require.False(t, second.Accepted)
			require.Equal(t, samphirepass.CodeConflict, second.Code)
			require.Equal(t, first.Revision, second.Winner.Revision)
			require.EqualValues(t, "a", second.WinnerChange)
		},
		"a resend gets the first answer": func(t *testing.T, h *harness) {
			first := h.change("a", 0, false)
			second := h.change("b", first.Revision, false)
			require.Equal(t, first, h.change("a", 0, false))
			require.Equal(t, second, h.change("b", first.Revision, false))
			require.Equal(t, second.Revision, h.Revision())
		},
		"a resend of a refused change stays refused": func(t *testing.T, h *harness) {
			first := h.change("a", 0, false)
			refused := h.change("b", 0, false)
			h.change("c", first.Revision, true)
			require.Equal(t, refused, h.change("b", 0, false))
		},
		"a resend is recognised after a restore": func(t *testing.T, h *harness) {
			first := h.change("a", 0, false)
			data, err := h.Snapshot()
			require.NoError(t, err)
			require.NoError(t, h.Restore(data))
			require.Equal(t, first, h.change("a", 0, false))
		},
		"a deletion needs the current revision": func(t *testing.T, h *harness) {
			first := h.change("a", 0, false)
			require.Equal(t, samphirepass.CodeConflict, h.change("b", first.Revision+9, true).Code)
			require.True(t, h.change("c", first.Revision, true).Accepted)
			require.Empty(t, h.View().Resources)
		},
		"a change refused before the log is formed may be sent again": func(t *testing.T, _ *harness) {
			h := &harness{State: ledger.New()}
			require.Equal(t, samphirepass.CodeForming, h.change("a", 0, false).Code)
			h.apply(ledger.Command{FinishForming: &ledger.FinishForming{SeatCount: 1}})
			require.True(t, h.change("a", 0, false).Accepted)
		},
		"dropped events are reported, retained ones are complete": func(t *testing.T, h *harness) {
			at := h.Revision()
			base := samphirepass.Revision(0)
			for i := range 4200 {
				base = h.change(fmt.Sprint(i), base, false).Revision
			}
			_, ok := h.EventsSince(at)
			require.False(t, ok)
			events, ok := h.EventsSince(base - 4000)
			require.True(t, ok)
			require.Len(t, events, 4000)
		},
	}
	for name, check := range tests {
		t.Run(name, func(t *testing.T) { check(t, newFormed()) })
	}
}

func TestProofClaims(t *testing.T) {
	const day = samphirepass.DefaultRunRetentionMs
	tests := map[string]func(t *testing.T, h *harness){
		"a key is granted once": func(t *testing.T, h *harness) {
			require.True(t, h.claim("a", 1, 0, day).Granted)
			second := h.claim("b", 1, 0, day)
			require.False(t, second.Granted)
			require.Equal(t, samphirepass.RunRunning, second.Record.State)
		},
		"a resent claim of the same request is granted again": func(t *testing.T, h *harness) {
			require.True(t, h.claim("a", 1, 0, day).Granted)
			require.True(t, h.claim("a", 1, 0, day).Granted)
		},
		"a claim with another digest is refused": func(t *testing.T, h *harness) {
			h.claim("a", 1, 0, day)
			require.Equal(t, samphirepass.CodeKeyMismatch, h.claim("b", 2, 0, day).Code)
		},
		"a recorded outcome does not change": func(t *testing.T, h *harness) {
			h.claim("a", 1, 0, day)
			require.Empty(t, h.outcome("a", samphirepass.RunDone))
			require.Empty(t, h.outcome("a", samphirepass.RunDone))
			require.Equal(t, samphirepass.CodeConflict, h.outcome("a", samphirepass.RunNotRun))
			require.Equal(t, samphirepass.RunDone, h.claim("b", 1, 0, day).Record.State)
			require.False(t, h.claim("a", 1, 0, day).Granted)
		},
		"a key that was not run can be claimed again once": func(t *testing.T, h *harness) {
			h.claim("a", 1, 0, day)
			require.Empty(t, h.outcome("a", samphirepass.RunNotRun))
			require.True(t, h.claim("b", 1, 0, day).Granted)
			require.False(t, h.claim("c", 1, 0, day).Granted)
			require.Equal(t, samphirepass.CodeConflict, h.outcome("a", samphirepass.RunDone))
		},
		"a claim without an outcome becomes unknown after its deadline": func(t *testing.T, h *harness) {
			h.claim("a", 1, 0, day)
			h.now += 501
			require.Equal(t, samphirepass.RunUnknown, h.claim("b", 1, 0, day).Record.State)
			r, ok := h.RunRecord("k", h.now)
			require.True(t, ok)
			require.Equal(t, samphirepass.RunUnknown, r.State)
		},
		"a late outcome replaces unknown": func(t *testing.T, h *harness) {
			h.claim("a", 1, 0, day)
			require.Empty(t, h.outcome("a", samphirepass.RunUnknown))
			require.Empty(t, h.outcome("a", samphirepass.RunDone))
		},
		"a key beyond its retention is refused": func(t *testing.T, h *harness) {
			require.Equal(t, samphirepass.CodeKeyExpired, h.claim("a", 1, day+1, day).Code)
		},
		"a key with a time in the future is refused": func(t *testing.T, h *harness) {
			require.Equal(t, samphirepass.CodeInvalid, h.claim("a", 1, -120_000, day).Code)
		},
		"a purged key stays refused when the retention grows": func(t *testing.T, h *harness) {
			h.claim("a", 1, 0, 1000)
			require.Empty(t, h.outcome("a", samphirepass.RunDone))
			h.now += 2000
			require.Equal(t, samphirepass.CodeKeyExpired, h.claim("b", 1, 0, day).Code)
			_, ok := h.RunRecord("k", h.now)
			require.False(t, ok)
		},
		"a restored record is purged and its key stays refused": func(t *testing.T, h *harness) {
			h.claim("a", 1, 0, 1000)
			data, err := h.Snapshot()
			require.NoError(t, err)
			require.NoError(t, h.Restore(data))
			h.now += 2000
			require.Equal(t, samphirepass.CodeKeyExpired, h.claim("b", 1, 0, day).Code)
		},
	}
	for name, check := range tests {
		t.Run(name, func(t *testing.T) { check(t, newFormed()) })
	}
}

func TestProofSeats(t *testing.T) {
	h := newFormed()
	take := func(vm samphirepass.VM) samphirepass.Code {
		return h.apply(ledger.Command{Seat: &ledger.SeatChange{VM: vm}}).Code
	}
	release := func(vm samphirepass.VM) samphirepass.Code {
		return h.apply(ledger.Command{Seat: &ledger.SeatChange{VM: vm, Release: true}}).Code
	}
	require.Empty(t, take("a"))
	require.Empty(t, take("b"))
	require.Empty(t, take("a"))
	require.Equal(t, samphirepass.CodeUnavailable, take("c"))
	require.Empty(t, release("a"))
	require.Equal(t, samphirepass.CodeNotFound, release("a"))
	require.Empty(t, take("c"))
	seats := h.View().Seats
	require.Len(t, seats, 2)
	require.EqualValues(t, "c", seats[0].VM)
	require.Equal(t, 0, seats[0].Number)
}

// TestProofMembersAgree guards against state that a snapshot does not carry: it applies the same random commands to two states,
// one of which is restored from snapshots of the other in between.
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
		dataA, err := a.Snapshot()
		require.NoError(t, err)
		dataB, err := b.Snapshot()
		require.NoError(t, err)
		require.Equal(t, dataA, dataB)
	}
}

func randomCommand(rnd *rand.Rand, now samphirepass.Millis) ledger.Command {
	c := ledger.Command{NowMs: now}
	token := fmt.Sprint(rnd.Intn(3))
	key := samphirepass.RunKey(fmt.Sprint(rnd.Intn(5)))
	switch rnd.Intn(6) {
	case 5:
		c.Evacuation = &ledger.EvacuationOrder{
			DataCentre: samphirepass.DataCentre(fmt.Sprint(rnd.Intn(3))), Evacuate: rnd.Intn(2) == 0, Base: samphirepass.Revision(rnd.Intn(2) * rnd.Intn(400)),
		}
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
	h := newFormed()
	h.change("a", 0, false)
	h.claim("a", 1, 0, 1000)
	data, err := h.Snapshot()
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
