package blackboard

import "sync"

// Observable is a versioned value whose changes can be waited for. Its zero value holds the zero value of T at version 0. It is
// safe for concurrent use.
type Observable[T any] struct {
	mu      sync.RWMutex
	value   T
	version uint64
	// changed is closed at the next change; it is nil while nothing waits for one.
	changed chan struct{}
}

// Get returns the value and its version.
func (o *Observable[T]) Get() (T, uint64) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.value, o.version
}

// Value returns the value without its version.
func (o *Observable[T]) Value() T {
	v, _ := o.Get()
	return v
}

// Set replaces the value.
func (o *Observable[T]) Set(v T) {
	o.Update(func(T) (T, bool) { return v, true })
}

// Update calls f with the value and replaces the value by f's first result if the second is true. It holds the lock meanwhile,
// so f must not call methods of o.
func (o *Observable[T]) Update(f func(T) (T, bool)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	next, ok := f(o.value)
	if !ok {
		return
	}
	o.value = next
	o.version++
	if o.changed != nil {
		close(o.changed)
		o.changed = nil
	}
}

// Changed returns a channel that is closed once the version is greater than the given one.
func (o *Observable[T]) Changed(version uint64) <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.version > version {
		done := make(chan struct{})
		close(done)
		return done
	}
	if o.changed == nil {
		o.changed = make(chan struct{})
	}
	return o.changed
}
