package leaf_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/leaf"
	"samphirepass/standin"
)

// fixedShares gives every leaf the same connection limit.
type fixedShares int

func (f fixedShares) Share(samphirepass.Announcement) int { return int(f) }
func (f fixedShares) Version() uint64                     { return 1 }
func (fixedShares) Senders(samphirepass.Announcement) int { return 1 }

func startLeaf(t *testing.T, o standin.Options) *standin.Leaf {
	t.Helper()
	o.Leaf, o.Service, o.DataCentre = "a", "desk", "derby"
	o.Holdings = []samphirepass.Holding{holding(1, 1, 0)}
	l, err := standin.Start(o)
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	return l
}

func newAttempt(id string, key samphirepass.RunKey) samphirepass.Attempt {
	return samphirepass.Attempt{
		Request: samphirepass.RequestID(id), Service: "desk", Snapshot: 1, Key: key, ExpiresAtMs: samphirepass.SystemClock{}.Now() + 2000, Body: []byte(`{"n":1}`),
	}
}

func newSender(shares int) (*leaf.Sender, *leaf.Pool) {
	clock := samphirepass.SystemClock{}
	pool := leaf.NewPool(clock, fixedShares(shares))
	return leaf.NewSender(pool, leaf.Native{}, clock), pool
}

func kindOf(err error) samphirepass.FailureKind {
	var failure *samphirepass.AttemptError
	if errors.As(err, &failure) {
		return failure.Kind
	}
	return ""
}

// TestProofRunIsSentOnce guards against a run that is sent again by net/http or a redirect, also after a connection was reused.
func TestProofRunIsSentOnce(t *testing.T) {
	tests := map[string]struct {
		faults standin.Faults
		want   samphirepass.FailureKind
		runs   int
		notRun bool
	}{
		"answered":                  {runs: 1},
		"dropped after reading":     {faults: standin.Faults{DropAfterRead: true}, want: samphirepass.FailureLost, runs: 1},
		"redirected":                {faults: standin.Faults{Redirect: true}, want: samphirepass.FailureMismatch},
		"refused by the leaf":       {faults: standin.Faults{RefuseRuns: true}, want: samphirepass.FailureShed, notRun: true},
		"answer to another request": {faults: standin.Faults{WrongRequest: true}, want: samphirepass.FailureMismatch, runs: 1},
		"truncated answer":          {faults: standin.Faults{Truncated: true}, want: samphirepass.FailureMismatch, runs: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := startLeaf(t, standin.Options{})
			sender, _ := newSender(2)
			_, err := sender.Send(t.Context(), l.Announcement(), newAttempt("warm", ""))
			require.NoError(t, err)
			l.SetFaults(tt.faults)
			_, err = sender.Send(t.Context(), l.Announcement(), newAttempt("run", "key"))
			require.Equal(t, tt.want, kindOf(err))
			require.Equal(t, tt.runs, l.Counts().Runs["key"])
			var failure *samphirepass.AttemptError
			if errors.As(err, &failure) {
				require.Equal(t, tt.notRun, failure.NotRun())
			}
		})
	}
}

func TestProofNotSent(t *testing.T) {
	l := startLeaf(t, standin.Options{})
	a := l.Announcement()
	tests := map[string]func(t *testing.T) error{
		"no listener": func(t *testing.T) error {
			gone := a
			gone.Address = "127.0.0.1:1"
			sender, _ := newSender(1)
			_, err := sender.Send(t.Context(), gone, newAttempt("r", "key"))
			return err
		},
		"no connection within the limit": func(t *testing.T) error {
			sender, _ := newSender(0)
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
			defer cancel()
			_, err := sender.Send(ctx, a, newAttempt("r", "key"))
			return err
		},
	}
	for name, send := range tests {
		t.Run(name, func(t *testing.T) {
			err := send(t)
			require.Equal(t, samphirepass.FailureNotSent, kindOf(err))
			require.Zero(t, l.Counts().Runs["key"])
		})
	}
}

// TestProofShareIsNeverExceeded guards against more connections than the limit when far more attempts are in flight
// and many of them are cancelled.
func TestProofShareIsNeverExceeded(t *testing.T) {
	const limit = 4
	l := startLeaf(t, standin.Options{Connections: limit, WorkMs: 3, Slots: 8})
	sender, _ := newSender(limit)
	a := l.Announcement()
	done := make(chan struct{})
	for i := range 60 {
		go func() {
			defer func() { done <- struct{}{} }()
			for range 20 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i%9)*time.Millisecond)
				_, _ = sender.Send(ctx, a, newAttempt("r", ""))
				cancel()
			}
		}()
	}
	for range 60 {
		<-done
	}
	require.LessOrEqual(t, l.Counts().MaxConnections, int64(limit))
	require.Zero(t, l.Counts().OverLimit)
}

// TestProofSilentConnectionIsReplaced guards against reusing open connections that have all gone dead without notice.
func TestProofSilentConnectionIsReplaced(t *testing.T) {
	l := startLeaf(t, standin.Options{WorkMs: 2})
	relay, err := standin.NewRelay("127.0.0.1:0", l.Address())
	require.NoError(t, err)
	t.Cleanup(relay.Close)
	a := l.Announcement()
	a.Address = relay.Address()
	sender, _ := newSender(3)
	both := make(chan error, 2)
	for range 2 {
		go func() {
			_, err := sender.Send(context.Background(), a, newAttempt("warm", ""))
			both <- err
		}()
	}
	require.NoError(t, <-both)
	require.NoError(t, <-both)
	relay.SilenceOpen()
	_, err = sender.Send(t.Context(), a, newAttempt("first", ""))
	require.Equal(t, samphirepass.FailureSilent, kindOf(err))
	_, err = sender.Send(t.Context(), a, newAttempt("second", ""))
	require.NoError(t, err)
}

// TestProofSlowIsNotSilent guards against taking a late answer for a dead connection.
func TestProofSlowIsNotSilent(t *testing.T) {
	l := startLeaf(t, standin.Options{WorkMs: 2, StragglePercent: 30, StraggleMs: 300, Seed: 4})
	sender, _ := newSender(3)
	for range 12 {
		_, err := sender.Send(t.Context(), l.Announcement(), newAttempt("r", ""))
		require.NoError(t, err)
	}
}
