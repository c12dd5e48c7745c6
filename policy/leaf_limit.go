package policy

import "samphirepass"

const (
	// limitUse is the fraction of its even share of a leaf's limit that an entry uses. Demand is uneven, so that the entries together stay
	// below the limit nevertheless.
	limitUse = 1.2
	// limitBurstMs is the time whose share of requests may come at once.
	limitBurstMs samphirepass.Millis = 300
)

// LeafLimiter keeps the requests of one entry to a leaf below its share of the leaf's limit. Its users lock it. The zero value allows
// one burst.
type LeafLimiter struct {
	used float64
	at   samphirepass.Millis
}

// Wait returns the time until the next request is within the limit, 0 if it is now. perSecond is the limit, senders the number of
// entries that share it.
func (l *LeafLimiter) Wait(now samphirepass.Millis, perSecond float64, senders int) samphirepass.Millis {
	rate, burst := share(perSecond, senders)
	l.update(now, rate)
	return max(samphirepass.Millis((l.used+1-burst)/rate), 0)
}

// Take counts a request and reports whether it is within the limit.
func (l *LeafLimiter) Take(now samphirepass.Millis, perSecond float64, senders int) bool {
	if l.Wait(now, perSecond, senders) > 0 {
		return false
	}
	l.used++
	return true
}

// share returns the requests per millisecond of one entry, and how many may come at once.
func share(perSecond float64, senders int) (rate, burst float64) {
	rate = limitUse * perSecond / 1000 / float64(max(senders, 1))
	return rate, max(rate*float64(limitBurstMs), 1)
}

func (l *LeafLimiter) update(now samphirepass.Millis, rate float64) {
	l.used = max(l.used-float64(now-l.at)*rate, 0)
	l.at = now
}
