package samphirepass

import "golang.org/x/sys/unix"

// Boot returns the time since the machine's start, in which the time that it was suspended counts.
func (c SystemClock) Boot() Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return c.Now()
	}
	return Millis(float64(t.Sec)*1e3 + float64(t.Nsec)/1e6)
}
