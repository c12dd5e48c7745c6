package blackboard_test

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass/blackboard"
)

func TestObservable(t *testing.T) {
	var o blackboard.Observable[int]
	value, version := o.Get()
	require.Zero(t, value)
	changed := o.Changed(version)
	o.Update(func(int) (int, bool) { return 9, false })
	select {
	case <-changed:
		t.Fatal("an update without a new value closes the channel")
	default:
	}
	o.Set(1)
	<-changed
	<-o.Changed(version)
	require.Equal(t, 1, o.Value())
}

func TestObservableUpdatesAreNotLost(t *testing.T) {
	var o blackboard.Observable[int]
	var wg sync.WaitGroup
	for range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 100 {
				o.Update(func(n int) (int, bool) { return n + 1, true })
			}
		}()
	}
	wg.Wait()
	value, version := o.Get()
	require.Equal(t, 800, value)
	require.EqualValues(t, 800, version)
}
