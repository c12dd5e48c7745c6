package directory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
)

// TestProofSuspicionReachesAllEntries guards against a request that crashes leaves and that only the entry that sent it knows.
func TestProofSuspicionReachesAllEntries(t *testing.T) {
	sources := startSources(t, 3)
	first, second := startEntry(t, "e1", sources), startEntry(t, "e2", sources)
	for _, e := range []*testEntry{first, second} {
		eventually(t, 10*time.Second, e.UpToDate, "each entry follows a source")
	}
	f := samphirepass.ClientRequest{Host: "a.example"}.Fingerprint()
	crashes := []samphirepass.LeafCrash{{Leaf: "a", Incarnation: 1}, {Leaf: "b", Incarnation: 1}, {Leaf: "c", Incarnation: 2, Alone: true}}
	verdict := func(e *testEntry) samphirepass.Verdict {
		v, _ := e.quarantine.Verdict(f)
		return v
	}
	first.ReportSuspicion(first.quarantine.RecordCrashes(f, crashes))
	require.Equal(t, samphirepass.VerdictRefuse, verdict(first), "the entry that sent it refuses it at once")
	eventually(t, time.Second, func() bool { return verdict(second) == samphirepass.VerdictRefuse }, "the other entry refuses it, too")
	third := startEntry(t, "e3", sources)
	eventually(t, 10*time.Second, func() bool { return verdict(third) == samphirepass.VerdictRefuse }, "so does one that starts later")
	require.True(t, second.quarantine.RecordSurvival(f))
	second.ReportSuspicion(samphirepass.Suspicion{Fingerprint: f})
	for _, e := range []*testEntry{first, second, third} {
		eventually(t, time.Second, func() bool { return verdict(e) == samphirepass.VerdictSend }, "a leaf that survives clears it everywhere")
	}
}
