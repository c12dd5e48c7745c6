package blackboard

import "sync"

// Observable is one value with a version; its zero value holds a zero value at version 0, and it is safe for concurrent use.
type Observable[T any] struct {
	mu      sync.RWMutex
	value   T
	version uint64
	changed chan struct{}
}

// Get returns the value and its version.
func (c *Observable[T]) Get() (T, uint64) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.value, c.version
}

// Value returns the value.
func (c *Observable[T]) Value() T {
	v, _ := c.Get()
	return v
}

// Set replaces the value.
func (c *Observable[T]) Set(v T) {
	c.Update(func(T) (T, bool) { return v, true })
}

// Update replaces the value by what f returns, if f says so; f must not call the cell.
func (c *Observable[T]) Update(f func(T) (T, bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next, ok := f(c.value)
	if !ok {
		return
	}
	c.value = next
	c.version++
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// Changed returns a channel that is closed once the version is above the given one.
func (c *Observable[T]) Changed(version uint64) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version > version {
		done := make(chan struct{})
		close(done)
		return done
	}
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}
