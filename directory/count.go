package directory

import "samphirepass"

// count is a number of entries that a source told.
type count struct {
	n  int
	at samphirepass.Millis
}

// counts are the numbers that sources told lately, falling.
type counts []count

// add keeps a number in place of the earlier ones that are not larger.
func (c *counts) add(n int, now samphirepass.Millis) {
	for len(*c) > 0 && (*c)[len(*c)-1].n <= n {
		*c = (*c)[:len(*c)-1]
	}
	*c = append(*c, count{n: n, at: now})
}

// largest returns the largest number within countMs, 0 if there is none.
// A source that has just started knows few entries, and shares of a limit must not grow from that.
func (c *counts) largest(now samphirepass.Millis) int {
	for len(*c) > 1 && now-(*c)[0].at > countMs {
		*c = (*c)[1:]
	}
	if len(*c) == 0 {
		return 0
	}
	return (*c)[0].n
}
