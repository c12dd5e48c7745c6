package ledger_test

import (
	"encoding/hex"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/ledger"
)

func (h *harness) order(dc samphirepass.DataCentre, evacuate bool, base samphirepass.Revision) samphirepass.Code {
	return h.apply(ledger.Command{Evacuation: &ledger.EvacuationOrder{DataCentre: dc, Evacuate: evacuate, Base: base}}).Code
}

// TestProofEvacuationOrders guards against an order that is lost, repeated with an effect, or applied after a later one.
func TestProofEvacuationOrders(t *testing.T) {
	tests := map[string]func(t *testing.T, h *harness){
		"an order and its revocation": func(t *testing.T, h *harness) {
			require.Empty(t, h.order("derby", true, 0))
			require.Equal(t, samphirepass.Evacuations{Revision: h.index, DataCentres: []samphirepass.DataCentre{"derby"}}, h.Evacuations())
			require.Empty(t, h.order("derby", false, h.EvacuationOrderedAt("derby")))
			require.Equal(t, samphirepass.Evacuations{Revision: h.index}, h.Evacuations())
		},
		"a repeated order has no further effect": func(t *testing.T, h *harness) {
			require.Empty(t, h.order("derby", true, 0))
			first := h.Evacuations()
			require.Empty(t, h.order("derby", true, 0))
			require.Empty(t, h.order("derby", true, h.EvacuationOrderedAt("derby")))
			require.Equal(t, first, h.Evacuations())
		},
		"data centres are independent": func(t *testing.T, h *harness) {
			require.Empty(t, h.order("trent", true, 0))
			require.Empty(t, h.order("derby", true, 0))
			require.Empty(t, h.order("soar", true, 0))
			require.Empty(t, h.order("trent", false, h.EvacuationOrderedAt("trent")))
			require.Equal(t, []samphirepass.DataCentre{"derby", "soar"}, h.Evacuations().DataCentres)
		},
		"a delayed copy of an order does not undo its revocation": func(t *testing.T, h *harness) {
			require.Empty(t, h.order("derby", true, 0))
			require.Empty(t, h.order("derby", false, h.EvacuationOrderedAt("derby")))
			require.Equal(t, samphirepass.CodeConflict, h.order("derby", true, 0))
			require.Empty(t, h.Evacuations().DataCentres)
		},
		"a delayed order that was never acknowledged does not undo a revocation that changed nothing": func(t *testing.T, h *harness) {
			require.Empty(t, h.order("derby", false, 0))
			require.Equal(t, samphirepass.CodeConflict, h.order("derby", true, 0))
			require.Empty(t, h.Evacuations().DataCentres)
		},
		"a revocation of nothing changes no revision": func(t *testing.T, h *harness) {
			require.Empty(t, h.order("derby", false, 0))
			require.Zero(t, h.Evacuations())
		},
		"an order is refused before the log is formed": func(t *testing.T, _ *harness) {
			h := &harness{State: ledger.New()}
			require.Equal(t, samphirepass.CodeForming, h.order("derby", true, 0))
			require.Zero(t, h.Evacuations())
		},
		"a snapshot holds orders": func(t *testing.T, h *harness) {
			require.Empty(t, h.order("derby", true, 0))
			want := h.Evacuations()
			data, err := h.Snapshot()
			require.NoError(t, err)
			restored := &harness{State: ledger.New(), index: h.index}
			require.NoError(t, restored.Restore(data))
			require.Equal(t, want, restored.Evacuations())
			require.Empty(t, restored.order("derby", false, h.EvacuationOrderedAt("derby")))
			require.Equal(t, samphirepass.CodeConflict, restored.order("derby", true, 0))
		},
		"a copy of the state keeps what it held": func(t *testing.T, h *harness) {
			copied := h.Copy()
			require.Empty(t, h.order("derby", true, 0))
			data, err := copied.Encode()
			require.NoError(t, err)
			require.NoError(t, h.Restore(data))
			require.Empty(t, h.Evacuations().DataCentres)
		},
	}
	for name, check := range tests {
		t.Run(name, func(t *testing.T) { check(t, newFormed()) })
	}
}

// TestProofOlderSnapshotIsRead guards against a data folder of a version without evacuations that is not read after an upgrade. The snapshot
// was written by the code of commit e0b9ed2.
func TestProofOlderSnapshotIsRead(t *testing.T) {
	data, err := hex.DecodeString("8ffb412e848000000000f5020202a0a0f600f6a0a081840061616060a08207427b7d")
	require.NoError(t, err)
	h := &harness{State: ledger.New(), index: 10}
	require.NoError(t, h.Restore(data))
	require.EqualValues(t, 7, h.Routing().Version)
	require.Len(t, h.View().Seats, 1)
	require.Zero(t, h.Evacuations())
	require.Empty(t, h.order("derby", true, 0))
	require.Equal(t, []samphirepass.DataCentre{"derby"}, h.Evacuations().DataCentres)
}

// TestProofAcknowledgedOrderStands guards against messages of abandoned calls that change what a later call has acknowledged. An operator
// toggles a data centre; each call reads the last order and then sends its command, copies of which arrive in any order, late or never.
func TestProofAcknowledgedOrderStands(t *testing.T) {
	for seed := range int64(300) {
		rnd := rand.New(rand.NewSource(seed))
		h := newFormed()
		var inFlight []ledger.EvacuationOrder
		deliver := func() (ledger.EvacuationOrder, samphirepass.Code) {
			i := rnd.Intn(len(inFlight))
			o := inFlight[i]
			if rnd.Intn(2) == 0 {
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
			}
			return o, h.order(o.DataCentre, o.Evacuate, o.Base)
		}
		for range 30 {
			evacuate := rnd.Intn(2) == 0
			acknowledged := false
			for range 4 {
				call := ledger.EvacuationOrder{DataCentre: "derby", Evacuate: evacuate, Base: h.EvacuationOrderedAt("derby")}
				inFlight = append(inFlight, call)
				for range rnd.Intn(4) {
					if len(inFlight) == 0 {
						break
					}
					if o, code := deliver(); o == call && code == "" {
						acknowledged = true
					}
				}
				if acknowledged {
					break
				}
			}
			if !acknowledged {
				continue
			}
			for range rnd.Intn(6) {
				if len(inFlight) > 0 {
					deliver()
				}
				require.Equal(t, evacuate, len(h.Evacuations().DataCentres) == 1, "seed %d", seed)
			}
		}
	}
}
