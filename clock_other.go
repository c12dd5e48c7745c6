//go:build !linux

package samphirepass

// Boot returns the monotonic time, which does not advance while the machine is suspended: this system has no clock for leases.
func (c SystemClock) Boot() Millis { return c.Now() }
