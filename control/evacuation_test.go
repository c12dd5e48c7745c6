package control_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
)

// setEvacuation retries until the order is acknowledged.
func setEvacuation(t *testing.T, dc samphirepass.DataCentre, evacuate bool, addresses []string) samphirepass.Evacuations {
	t.Helper()
	c := newClient(t, addresses)
	var e samphirepass.Evacuations
	retry(t, func(ctx context.Context) error {
		var err error
		e, err = c.SetEvacuation(ctx, dc, evacuate)
		return err
	})
	return e
}

// TestProofRestartedMemberWithholdsEvacuations guards against a member that passes on what it holds after a restart before it knows whether
// an acknowledged order is missing: a gateway that starts would send requests to the evacuated data centre.
func TestProofRestartedMemberWithholdsEvacuations(t *testing.T) {
	ports, seeds := holdPorts(t, 3)
	var members []*dynamicMember
	for i, p := range ports {
		members = append(members, startDynamicMember(t, fmt.Sprintf("vm-%d", i), p, "", seeds, true))
	}
	putRouting(t, 7, seeds)
	require.Equal(t, []samphirepass.DataCentre{"derby"}, setEvacuation(t, "derby", true, seeds).DataCentres)
	require.Equal(t, []samphirepass.DataCentre{"derby", "trent"}, setEvacuation(t, "trent", true, seeds).DataCentres)
	want := setEvacuation(t, "derby", false, seeds)
	require.Equal(t, []samphirepass.DataCentre{"trent"}, want.DataCentres)
	require.Equal(t, want, setEvacuation(t, "derby", false, seeds), "a repeated order changes nothing")
	for _, m := range members {
		require.Eventually(t, func() bool {
			e := m.node.AppliedEvacuations()
			return e != nil && e.Revision == want.Revision && m.node.SinceCurrent() < 1000
		}, 5*time.Second, 10*time.Millisecond)
	}

	for _, m := range members {
		m.stop()
	}
	start := func(i int) {
		members[i] = startDynamicMember(t, fmt.Sprintf("vm-%d", i), ports[i], members[i].folder, seeds, false)
	}
	start(0)
	for range 50 {
		require.Nil(t, members[0].node.AppliedEvacuations(), "without a majority it does not know what was committed")
		require.Greater(t, members[0].node.SinceCurrent(), samphirepass.Millis(1e6))
		time.Sleep(10 * time.Millisecond)
	}
	start(1)
	for _, m := range members[:2] {
		var first *samphirepass.Evacuations
		require.Eventually(t, func() bool {
			first = m.node.AppliedEvacuations()
			return first != nil
		}, 20*time.Second, time.Millisecond)
		require.Equal(t, want, *first, "the first evacuations that it passes on hold all acknowledged orders")
		require.EqualValues(t, 7, m.node.AppliedRouting().Version)
	}

	// A member without contact says so, also right after the contact is back.
	members[1].stop()
	require.Eventually(t, func() bool { return members[0].node.SinceCurrent() > 2000 }, 10*time.Second, 10*time.Millisecond)
	require.NotNil(t, members[0].node.AppliedEvacuations(), "what it knew is still better than nothing")
	start(1)
	require.Eventually(t, func() bool { return members[0].node.SinceCurrent() < 1000 }, 20*time.Second, 10*time.Millisecond)
}
