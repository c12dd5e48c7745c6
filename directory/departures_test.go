package directory_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/directory"
	"samphirepass/disk"
	"samphirepass/leaf"
	"samphirepass/standin"
)

const (
	// departureCopies is the number of disks on which departures are stored.
	departureCopies = 2
	// departureTimeout is the time that a leaf waits for an acknowledgement.
	departureTimeout = time.Second
	// ackTimeout is the time within which a leaf that asks again gets one.
	ackTimeout = 5 * time.Second
)

// serveCache caches the leaves that the source knows in its folder until the test ends.
func (s *testSource) serveCache(t *testing.T) {
	folder, err := disk.OpenFolder(s.folder)
	require.NoError(t, err)
	cache := directory.NewDiskCache(folder, s.registry, s.source, t.Logf)
	cache.Load()
	s.departures.UseCache(cache)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = cache.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// storedState returns the state of a leaf's incarnation on the disk of the source, empty if it is not there.
func (s *testSource) storedState(t *testing.T, name samphirepass.Leaf, incarnation samphirepass.Incarnation) samphirepass.LeafState {
	folder, err := disk.OpenFolder(s.folder)
	require.NoError(t, err)
	r := leaf.NewRegistry(clock)
	directory.NewDiskCache(folder, r, sourceWithoutFollowers(r), t.Logf).Load()
	known, _ := r.Newest(name)
	if known.Announcement.Incarnation != incarnation {
		return ""
	}
	return known.Announcement.State
}

// startSourcesWithDisks starts n sources with disks, which know each other.
func startSourcesWithDisks(t *testing.T, n int) []*testSource {
	t.Helper()
	var sources []*testSource
	for i := range n {
		sources = append(sources, startSource(t, i, addresses(sources), t.TempDir()))
	}
	for _, s := range sources {
		eventually(t, 10*time.Second, func() bool { return s.follower.HeardFromDisks() == n-1 }, "the sources hear from each other")
	}
	return sources
}

func addresses(sources []*testSource) []string {
	var out []string
	for _, s := range sources {
		out = append(out, s.relay.Address())
	}
	return out
}

// keepFunc is KeepGone or Keep.
type keepFunc func(context.Context, samphirepass.Leaf) ([]string, error)

// keep calls f with the time that a leaf waits.
func keep(t *testing.T, f keepFunc, name samphirepass.Leaf) error {
	ctx, cancel := context.WithTimeout(t.Context(), departureTimeout)
	defer cancel()
	_, err := f(ctx, name)
	return err
}

// keepAgain calls f until it succeeds, as a leaf does, and returns the last error after ackTimeout.
func keepAgain(t *testing.T, f keepFunc, name samphirepass.Leaf) error {
	var err error
	for began := time.Now(); time.Since(began) < ackTimeout; {
		if err = keep(t, f, name); err == nil {
			return nil
		}
	}
	return err
}

// TestProofDepartureIsStoredOnEnoughDisks guards against a departure that is acknowledged while fewer disks have it than may be lost and one
// more, or that names another incarnation of the leaf than the one that leaves.
func TestProofDepartureIsStoredOnEnoughDisks(t *testing.T) {
	type scenario struct {
		// disk is set if the process that takes the departure has one.
		disk bool
		// known is the incarnation of the leaf that this process knows when the departure comes, 0 if none, with the state that it knows.
		known samphirepass.Incarnation
		state samphirepass.LeafState
	}
	tests := map[string]scenario{
		"known":                              {disk: true, known: 2, state: samphirepass.LeafServing},
		"known, no disk":                     {known: 2, state: samphirepass.LeafServing},
		"just started":                       {disk: true},
		"just started, no disk":              {},
		"an earlier start is known":          {disk: true, known: 1, state: samphirepass.LeafServing},
		"an earlier start is known as gone":  {disk: true, known: 1, state: samphirepass.LeafDraining},
		"an earlier start is known, no disk": {known: 1, state: samphirepass.LeafServing},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			others := startSourcesWithDisks(t, 3)
			announceTo(others[0].registry, "a", 2, samphirepass.LeafServing)
			for _, s := range others {
				eventually(t, 5*time.Second, func() bool { return len(s.registry.Serving("desk")) == 1 }, "all others know the leaf")
			}
			folder := ""
			if test.disk {
				folder = t.TempDir()
			}
			taker := startSource(t, 3, addresses(others), folder)
			if test.known > 0 {
				announceTo(taker.registry, "a", test.known, test.state)
			}
			require.NoError(t, keepAgain(t, taker.departures.KeepGone, "a"))
			copies := 0
			for _, s := range append(others, taker) {
				if s.folder != "" && s.storedState(t, "a", 2) == samphirepass.LeafGone {
					copies++
				}
			}
			require.GreaterOrEqual(t, copies, departureCopies)
			for _, s := range append(others, taker) {
				eventually(t, 2*time.Second, func() bool { return len(s.registry.All()) == 1 && len(s.registry.Serving("desk")) == 0 }, "it is gone everywhere")
			}
			announceTo(others[1].registry, "a", 3, samphirepass.LeafServing)
			for _, s := range append(others, taker) {
				eventually(t, 2*time.Second, func() bool { return len(s.registry.Serving("desk")) == 1 }, "the next start of the leaf is served")
			}
		})
	}
}

// TestProofLoneProcessRefusesDepartures guards against a process that takes the silence of others for their absence: without enough disks
// that store it, a departure is refused.
func TestProofLoneProcessRefusesDepartures(t *testing.T) {
	others := startSourcesWithDisks(t, 3)
	announceTo(others[0].registry, "a", 2, samphirepass.LeafServing)
	taker := startSource(t, 3, addresses(others), t.TempDir())
	eventually(t, 5*time.Second, func() bool { return len(taker.registry.Serving("desk")) == 1 }, "the taker knows the leaf")
	for _, s := range others {
		s.relay.SetDefault(standin.LinkCut)
	}
	for began := time.Now(); time.Since(began) < 4*time.Second; {
		require.ErrorIs(t, keep(t, taker.departures.KeepGone, "a"), context.DeadlineExceeded)
	}
	for _, s := range others {
		s.relay.SetDefault(standin.LinkPass)
	}
	eventually(t, 5*time.Second, func() bool { return keep(t, taker.departures.KeepGone, "a") == nil }, "it is acknowledged once others can be reached")

	alone := startSource(t, 4, nil, t.TempDir())
	require.ErrorIs(t, keep(t, alone.departures.KeepGone, "a"), context.DeadlineExceeded)
}

// TestProofDepartureOfUnknownLeafIsRefused guards against a departure that is acknowledged without a record, as no process that can be
// reached knows the leaf: one that is cut off does, and so do those that follow it.
func TestProofDepartureOfUnknownLeafIsRefused(t *testing.T) {
	sources := startSourcesWithDisks(t, 4)
	aside := sources[0]
	aside.relay.SetDefault(standin.LinkSilent)
	announceTo(aside.registry, "a", 1, samphirepass.LeafServing)
	for _, s := range sources[1:] {
		require.ErrorIs(t, keep(t, s.departures.KeepGone, "a"), directory.ErrLeafUnknown)
	}
	require.NoError(t, keepAgain(t, aside.departures.KeepGone, "a"), "it can reach the others and knows the leaf")
	require.Empty(t, aside.registry.Serving("desk"))
	require.NoError(t, keepAgain(t, sources[1].departures.KeepGone, "a"))
}

// TestProofLateDepartureSparesNextStart guards against a departure of an earlier start that takes the requests from the next one.
func TestProofLateDepartureSparesNextStart(t *testing.T) {
	sources := startSourcesWithDisks(t, 3)
	announceTo(sources[0].registry, "a", 1, samphirepass.LeafServing)
	announceTo(sources[1].registry, "a", 2, samphirepass.LeafServing)
	announceTo(sources[0].registry, "a", 1, samphirepass.LeafDraining)
	require.NoError(t, keepAgain(t, sources[0].departures.Keep, "a"))
	for _, s := range sources {
		eventually(t, 2*time.Second, func() bool {
			serving := s.registry.Serving("desk")
			return len(serving) == 1 && serving[0].Incarnation == 2
		}, "the next start is served")
	}
}

// TestDeparturesOfManyLeavesAreStoredTogether has many leaves leave at once; each must get its acknowledgement in time.
func TestDeparturesOfManyLeavesAreStoredTogether(t *testing.T) {
	const leaves = 300
	sources := startSourcesWithDisks(t, 3)
	name := func(i int) string { return "leaf-" + string(rune('a'+i%26)) + string(rune('a'+i/26)) }
	for i := range leaves {
		announceTo(sources[0].registry, name(i), 1, samphirepass.LeafServing)
	}
	errs := make(chan error, leaves)
	for i := range leaves {
		go func() { errs <- keepAgain(t, sources[i%len(sources)].departures.KeepGone, samphirepass.Leaf(name(i))) }()
	}
	for range leaves {
		require.NoError(t, <-errs)
	}
	for _, s := range sources {
		eventually(t, 2*time.Second, func() bool { return len(s.registry.Serving("desk")) == 0 }, "all are gone")
	}
}
