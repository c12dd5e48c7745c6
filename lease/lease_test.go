package lease_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/lease"
)

// TestProofFirstConfirmationMayBeOld has a clock that is still near its zero.
func TestProofFirstConfirmationMayBeOld(t *testing.T) {
	var l lease.Lease
	l.RecordControl(-5000)
	require.False(t, l.Valid(1000, "a", []samphirepass.VM{"a", "b", "c"}))
	l.RecordControl(900)
	l.RecordControl(-5000)
	require.True(t, l.Valid(1000, "a", []samphirepass.VM{"a", "b", "c"}))
}

func TestProofLease(t *testing.T) {
	const now, fresh, old = 100_000, 99_000, 97_000
	seats := []samphirepass.VM{"a", "b", "c", "d", "e"}
	tests := map[string]struct {
		control samphirepass.Millis
		peers   map[samphirepass.VM]samphirepass.Millis
		seated  []samphirepass.VM
		want    bool
	}{
		"never heard of control":               {peers: map[samphirepass.VM]samphirepass.Millis{"b": fresh, "c": fresh}, seated: seats},
		"control confirmed lately":             {control: fresh, seated: seats, want: true},
		"cut off from everything":              {control: old, seated: seats},
		"a majority of entries, with itself":   {control: old, peers: map[samphirepass.VM]samphirepass.Millis{"b": fresh, "c": fresh}, seated: seats, want: true},
		"a minority of entries":                {control: old, peers: map[samphirepass.VM]samphirepass.Millis{"b": fresh}, seated: seats},
		"an old exchange does not count":       {control: old, peers: map[samphirepass.VM]samphirepass.Millis{"b": fresh, "c": old}, seated: seats},
		"an entry without a seat does not":     {control: old, peers: map[samphirepass.VM]samphirepass.Millis{"b": fresh, "x": fresh}, seated: seats},
		"without a seat of its own":            {control: old, peers: map[samphirepass.VM]samphirepass.Millis{"b": fresh, "c": fresh}, seated: seats[1:]},
		"half of an even number is not enough": {control: old, peers: map[samphirepass.VM]samphirepass.Millis{"b": fresh}, seated: seats[:4]},
		"alone":                                {control: old, seated: seats[:1], want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var l lease.Lease
			if tt.control > 0 {
				l.RecordControl(tt.control)
			}
			for vm, at := range tt.peers {
				l.RecordPeer(vm, at)
			}
			require.Equal(t, tt.want, l.Valid(now, "a", tt.seated))
		})
	}
}
