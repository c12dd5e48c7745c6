package directory

import "samphirepass"

// sample is a number that a source reported, with the time of the report.
type sample struct {
	n  int
	at samphirepass.Millis
}

// slidingMax computes the largest of the numbers reported within countWindowMs. It holds the samples that are still or may become
// the largest, in descending order.
type slidingMax []sample

// add appends a number and drops the earlier ones that are not larger.
func (m *slidingMax) add(n int, now samphirepass.Millis) {
	for len(*m) > 0 && (*m)[len(*m)-1].n <= n {
		*m = (*m)[:len(*m)-1]
	}
	*m = append(*m, sample{n: n, at: now})
}

// largest returns the largest number reported within countWindowMs. Without a report in that time it returns the last reported
// number, or 0 before the first report. A source that has just started knows few entries: if only its latest number counted, each
// entry's share of a limit would grow, which it must not.
func (m *slidingMax) largest(now samphirepass.Millis) int {
	for len(*m) > 1 && now-(*m)[0].at > countWindowMs {
		*m = (*m)[1:]
	}
	if len(*m) == 0 {
		return 0
	}
	return (*m)[0].n
}
