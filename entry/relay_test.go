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

// neighbour serves the exchange of an entry with the given configuration.
func neighbour(t *testing.T, cfg blackboard.Config) string {
	t.Helper()
	board := &blackboard.Board{}
	board.Config.Set(cfg)
	clock := samphirepass.SystemClock{}
	relay := entry.NewPeerSyncer(entry.Options{VM: "b", Board: board, Lease: &lease.Lease{}, Clock: clock}, leaf.NewRegistry(clock))
	h := peer.NewHandlers()
	relay.Register(h)
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

// TestProofExchangeCounts has an entry that control no longer reaches exchange with one other of three.
func TestProofExchangeCounts(t *testing.T) {
	tests := map[string]struct {
		other blackboard.Config
		want  bool
	}{
		"one that has as much":                        {other: blackboard.Config{Revision: 5}, want: true},
		"one that is behind":                          {other: blackboard.Config{Revision: 3}, want: true},
		"one that has more, which is taken over":      {other: blackboard.Config{Revision: 9, EventsAfter: 9}, want: true},
		"one that has just started and knows nothing": {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			seats := []ledger.Seat{{VM: "a"}, {VM: "b", Number: 1, Address: neighbour(t, tt.other)}, {VM: "c", Number: 2, Address: "127.0.0.1:1"}}
			tt.other.Seats = seats
			board, held := &blackboard.Board{}, &lease.Lease{}
			board.Config.Set(blackboard.Config{Revision: 5, Seats: seats})
			held.RecordControl(-10 * lease.DurationMs)
			clock := samphirepass.SystemClock{}
			peers := &peer.Pool{}
			defer peers.Close()
			relay := entry.NewPeerSyncer(entry.Options{VM: "a", Board: board, Lease: held, Peers: peers, Clock: clock}, leaf.NewRegistry(clock))
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_ = relay.Serve(ctx)
			require.Equal(t, tt.want, held.Valid(clock.Now(), "a", []samphirepass.VM{"a", "b", "c"}))
			require.GreaterOrEqual(t, board.Config.Value().Revision, tt.other.Revision)
		})
	}
}
