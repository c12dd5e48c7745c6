package entry_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/blackboard"
	"samphirepass/entry"
	"samphirepass/leaf"
	"samphirepass/lease"
	"samphirepass/ledger"
	"samphirepass/peer"
)

// startEntry serves the exchange requests of an entry with the given configuration and returns its address.
func startEntry(t *testing.T, cfg blackboard.Config) string {
	t.Helper()
	board := &blackboard.Board{}
	board.Config.Set(cfg)
	clock := samphirepass.SystemClock{}
	syncer := entry.NewPeerSyncer(entry.Options{VM: "b", Board: board, Lease: &lease.Lease{}, Clock: clock}, leaf.NewRegistry(clock))
	h := peer.NewHandlers()
	syncer.Register(h)
	ws := peer.NewServer(h)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: ws}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() {
		_ = server.Close()
		ws.Close()
	})
	return l.Addr().String()
}

// TestProofExchangeRenewsLease checks when an exchange with another entry renews the lease of an entry that cannot reach
// control: with itself and one of the other two it has a majority of three. An entry without a configuration must not
// count, since it may have lost a change that was acknowledged.
func TestProofExchangeRenewsLease(t *testing.T) {
	tests := map[string]struct {
		other blackboard.Config
		want  bool
	}{
		"same revision":                    {other: blackboard.Config{Revision: 5}, want: true},
		"older revision":                   {other: blackboard.Config{Revision: 3}, want: true},
		"newer revision, which is applied": {other: blackboard.Config{Revision: 9, EventsAfter: 9}, want: true},
		"just started, no configuration":   {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			seats := []ledger.Seat{{VM: "a"}, {VM: "b", Number: 1, Address: startEntry(t, tt.other)}, {VM: "c", Number: 2, Address: "127.0.0.1:1"}}
			tt.other.Seats = seats
			board, entryLease := &blackboard.Board{}, &lease.Lease{}
			board.Config.Set(blackboard.Config{Revision: 5, Seats: seats})
			entryLease.RecordControl(-10 * lease.DurationMs)
			clock := samphirepass.SystemClock{}
			peers := &peer.Pool{}
			defer peers.Close()
			syncer := entry.NewPeerSyncer(entry.Options{VM: "a", Board: board, Lease: entryLease, Peers: peers, Clock: clock}, leaf.NewRegistry(clock))
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_ = syncer.Serve(ctx)
			require.Equal(t, tt.want, entryLease.Valid(clock.Now(), "a", []samphirepass.VM{"a", "b", "c"}))
			require.GreaterOrEqual(t, board.Config.Value().Revision, tt.other.Revision)
		})
	}
}
