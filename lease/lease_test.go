package lease_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/lease"
)

// TestProofFirstConfirmationMayBeOld guards against taking an unset send time of 0 for a confirmation: shortly after the zero
// of the clock, an old first confirmation would then count as recent.
func TestProofFirstConfirmationMayBeOld(t *testing.T) {
	var l lease.Lease
	l.RecordControl(-5000)
	require.False(t, l.Valid(1000, "a", []samphirepass.VM{"a", "b", "c"}))
	l.RecordControl(900)
	l.RecordControl(-5000)
	require.True(t, l.Valid(1000, "a", []samphirepass.VM{"a", "b", "c"}))
}

func TestProofLease(t *testing.T) {
	const now, recent, expired = 100_000, 99_000, 97_000
	seats := []samphirepass.VM{"a", "b", "c", "d", "e"}
	tests := map[string]struct {
		control samphirepass.Millis
		peers   map[samphirepass.VM]samphirepass.Millis
		seated  []samphirepass.VM
		want    bool
	}{
		"never heard from control":                {peers: map[samphirepass.VM]samphirepass.Millis{"b": recent, "c": recent}, seated: seats},
		"control confirmed recently":              {control: recent, seated: seats, want: true},
		"no recent confirmation at all":           {control: expired, seated: seats},
		"a majority of entries, including itself": {control: expired, peers: map[samphirepass.VM]samphirepass.Millis{"b": recent, "c": recent}, seated: seats, want: true},
		"a minority of entries":                   {control: expired, peers: map[samphirepass.VM]samphirepass.Millis{"b": recent}, seated: seats},
		"an expired exchange is not counted":      {control: expired, peers: map[samphirepass.VM]samphirepass.Millis{"b": recent, "c": expired}, seated: seats},
		"an entry without a seat is not counted":  {control: expired, peers: map[samphirepass.VM]samphirepass.Millis{"b": recent, "x": recent}, seated: seats},
		"self has no seat":                        {control: expired, peers: map[samphirepass.VM]samphirepass.Millis{"b": recent, "c": recent}, seated: seats[1:]},
		"exactly half is not a majority":          {control: expired, peers: map[samphirepass.VM]samphirepass.Millis{"b": recent}, seated: seats[:4]},
		"the only seated entry":                   {control: expired, seated: seats[:1], want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var l lease.Lease
			if tt.control > 0 {
				l.RecordControl(tt.control)
			}
			for vm, sent := range tt.peers {
				l.RecordPeer(vm, sent)
			}
			require.Equal(t, tt.want, l.Valid(now, "a", tt.seated))
		})
	}
}
