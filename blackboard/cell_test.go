package blackboard_test

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass/blackboard"
)

func TestCell(t *testing.T) {
	var c blackboard.Observable[int]
	value, version := c.Get()
	require.Zero(t, value)
	changed := c.Changed(version)
	c.Update(func(int) (int, bool) { return 9, false })
	select {
	case <-changed:
		t.Fatal("a refused update wakes watchers")
	default:
	}
	c.Set(1)
	<-changed
	<-c.Changed(version)
	require.Equal(t, 1, c.Value())
}

func TestCellUpdatesAreNotLost(t *testing.T) {
	var c blackboard.Observable[int]
	var wg sync.WaitGroup
	for range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 100 {
				c.Update(func(n int) (int, bool) { return n + 1, true })
			}
		}()
	}
	wg.Wait()
	value, version := c.Get()
	require.Equal(t, 800, value)
	require.EqualValues(t, 800, version)
}
