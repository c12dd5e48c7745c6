package capacity_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass/capacity"
)

func TestCapacityPageContainsTables(t *testing.T) {
	slopes, err := capacity.Slopes()
	require.NoError(t, err)
	page, err := os.ReadFile("../docs/CAPACITY.md")
	require.NoError(t, err)
	require.Contains(t, string(page), capacity.Table(capacity.Rows(slopes)), "docs/CAPACITY.md is out of date: run go run ./cmd/capacity")
	require.Contains(t, string(page), capacity.SlopeTable(slopes, capacity.SlopeOrder()), "docs/CAPACITY.md is out of date: run go run ./cmd/capacity")
}

func TestHeadroom(t *testing.T) {
	tests := map[string]struct {
		row  capacity.Row
		want string
	}{
		"short": {capacity.Row{Projected: 30, Budget: 10}, "short by 3 times"},
		"room":  {capacity.Row{Projected: 10, Budget: 1000}, "room of 100 times"},
		"none":  {capacity.Row{Projected: 10}, "no budget stated"},
		"noise": {capacity.Row{Projected: -1, Budget: 10}, "not above the noise"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, tt.row.Headroom()) })
	}
}
