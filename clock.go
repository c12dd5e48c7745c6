package samphirepass

import "time"

// Millis is a time or a duration in milliseconds, with fractions.
type Millis float64

// Duration converts m to the standard library's duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// MillisOf converts a standard duration to milliseconds.
func MillisOf(d time.Duration) Millis {
	return Millis(float64(d) / float64(time.Millisecond))
}

// Clock tells the time in milliseconds and is safe for concurrent use.
type Clock interface {
	// Now returns milliseconds on a monotonic scale whose zero is arbitrary.
	Now() Millis
	// Wall returns milliseconds since the Unix epoch; the clock may step.
	Wall() Millis
}

// SystemClock reads the machine's clocks; its zero value is ready to use.
type SystemClock struct{}

var processStart = time.Now()

// Now returns milliseconds since the process started.
func (SystemClock) Now() Millis {
	return MillisOf(time.Since(processStart))
}

// Wall returns milliseconds since the Unix epoch.
func (SystemClock) Wall() Millis {
	return Millis(float64(time.Now().UnixMicro()) / 1000)
}

// BootClock tells a time that leases can be measured with. Unlike Clock.Now it goes on while the machine is suspended, and unlike Clock.Wall
// it never steps. It is safe for concurrent use.
type BootClock interface {
	// Boot returns milliseconds on a scale whose zero is arbitrary. Processes on one machine share it.
	Boot() Millis
}
