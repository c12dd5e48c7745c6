package directory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
)

func (s *fakeState) setEvacuations(e *samphirepass.Evacuations) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuations = e
	close(s.changed)
	s.changed = make(chan struct{})
}

// lastRevision returns the revision of the evacuations that the entry got last, 0 for none.
func (e *testEntry) lastRevision() samphirepass.Revision {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.evacuations) == 0 {
		return 0
	}
	return e.evacuations[len(e.evacuations)-1].Revision
}

// TestEvacuationsReachEntriesAtOnce guards against an order that waits for the end of a long poll, and against a routing document that is put
// in force before the evacuations of its source.
func TestEvacuationsReachEntriesAtOnce(t *testing.T) {
	sources := startSources(t, 2)
	e := startEntry(t, "e1", sources)
	for _, s := range sources {
		s.state.setEvacuations(nil)
		s.state.set(7, 0)
	}
	eventually(t, 10*time.Second, e.UpToDate, "the entry is connected to a source")
	time.Sleep(1500 * time.Millisecond)
	require.Zero(t, e.version(), "a source that may lack evacuations sends no routing document")
	for _, s := range sources {
		s.state.setEvacuations(&samphirepass.Evacuations{Revision: 5, DataCentres: []samphirepass.DataCentre{"derby"}})
	}
	eventually(t, 500*time.Millisecond, func() bool { return e.version() == 7 }, "both arrive at once")
	require.EqualValues(t, 5, e.lastRevision())
	for i, revision := range []samphirepass.Revision{9, 12, 15} {
		sources[i%2].state.setEvacuations(&samphirepass.Evacuations{Revision: revision})
		eventually(t, 500*time.Millisecond, func() bool { return e.lastRevision() == revision }, "an order arrives at once")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	require.Equal(t, []int{1}, e.evacuationsBefore)
	require.Equal(t, []samphirepass.DataCentre{"derby"}, e.evacuations[0].DataCentres)
	for i := 1; i < len(e.evacuations); i++ {
		require.Greater(t, e.evacuations[i].Revision, e.evacuations[i-1].Revision)
	}
}

// TestStartFindsSourceWithLeader guards against an entry that starts with the state of a source without contact to a leader while it can reach
// another one.
func TestStartFindsSourceWithLeader(t *testing.T) {
	sources := startSources(t, 2)
	sources[0].state.set(5, 60_000)
	sources[1].state.setEvacuations(&samphirepass.Evacuations{Revision: 5, DataCentres: []samphirepass.DataCentre{"derby"}})
	sources[1].state.set(5, 0)
	eventually(t, 10*time.Second, func() bool { return len(sources[0].follower.ControlAddresses()) == 1 }, "the sources know each other")
	e := startEntry(t, "e1", sources)
	eventually(t, 5*time.Second, func() bool { return e.version() == 5 }, "the entry gets a state")
	require.EqualValues(t, 5, e.lastRevision())
}

// TestStartWithoutLeader guards against an entry that serves nothing while all sources have lost the leader.
func TestStartWithoutLeader(t *testing.T) {
	sources := startSources(t, 1)
	sources[0].state.set(5, 60_000)
	e := startEntry(t, "e1", sources)
	eventually(t, 6*time.Second, func() bool { return e.version() == 5 }, "the entry takes what there is")
}
