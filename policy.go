package samphirepass

// Candidate is what an entry knows of one leaf when it chooses where to send an attempt.
type Candidate struct {
	Leaf           Leaf
	SameDataCentre bool
	// InFlight counts this entry's own attempts on the leaf.
	InFlight int
	Slots    int
	// MeanLatencyMs is a moving mean of the leaf's answers, 0 before the first.
	MeanLatencyMs Millis
	// Load is the fraction of its slots that the leaf itself last reported as taken or queued for.
	Load float64
	// LoadAgeMs is the age of Load.
	LoadAgeMs Millis
	// SinceDiscoveryMs is the time since the leaf's incarnation was first heard of.
	SinceDiscoveryMs Millis
	// ConsecutiveFailures counts the failed attempts since the last good one.
	// An attempt that lost to a later one counts as failed.
	ConsecutiveFailures int
	// SinceFailureMs is the time since the last failed attempt.
	SinceFailureMs Millis
	// OldestInFlightMs is the age of the most overdue attempt of this entry that the leaf has not answered, 0 if there is none.
	// Where that attempt is of a slower kind than the one to send, its age is scaled down to it.
	OldestInFlightMs Millis
	// MedianLatencyMs is the median of the leaf's last few answers, each scaled to the kind of attempt to send, 0 before the first:
	// a pause now and then does not sway it, and neither does a mix of quick and slow kinds.
	MedianLatencyMs Millis
	// FailureRate is the share of the leaf's lately finished attempts that failed, which fades with time.
	FailureRate float64
	// LatencyAgeMs is the time since LatencyMs last changed.
	LatencyAgeMs Millis
	// ColdMs is how much longer the leaf stays slow after its start, by its own word.
	ColdMs Millis
	// OpenConnections counts the connections to the leaf that stand now.
	OpenConnections int
	// MaxConnections is the number of connections that this entry may hold to the leaf.
	MaxConnections int
}

// Chooser picks one of several leaves that hold the same shard and is safe for concurrent use.
type Chooser interface {
	// Choose returns an index into candidates, which is not empty.
	Choose(candidates []Candidate) int
}

// Hedger decides when a shard counts as late and is safe for concurrent use.
type Hedger interface {
	// Observe records the time of one whole leaf request.
	Observe(latency Millis)
	// MedianLatency returns the median time of a leaf request, 0 while too few are known.
	MedianLatency() Millis
	// Delay returns the time after which a second attempt is worth its load, and whether one is wanted at all.
	Delay() (Millis, bool)
}

// Budget bounds extra leaf requests and is safe for concurrent use.
type Budget interface {
	// RecordPrimary records n first attempts.
	RecordPrimary(n int)
	// TakeRetry asks for one extra attempt in place of a lost one.
	TakeRetry() bool
	// TakeHedge asks for one extra attempt beside one that is late.
	TakeHedge() bool
	// TakeRefusedRetry asks for one in place of an attempt that a leaf refused without working on it.
	TakeRefusedRetry() bool
	// RecordShed records a first attempt that a leaf refused.
	RecordShed()
	// RecordOverload closes the budget for a while, but for attempts in place of refused ones.
	RecordOverload()
}

// AdmissionRequest asks for admission of one request.
type AdmissionRequest struct {
	Caller Caller
	// Rank is the place of the class in the operators' order, 0 first.
	Rank       int
	DeadlineMs Millis
	// Capacity is the number of requests that the leaves can work on at once for this entry, 0 if it is not known.
	Capacity float64
}

// Outcome tells a limiter how an admitted request ended.
type Outcome struct {
	// LatencyMs is the time of the whole request, 0 if it says nothing about the leaves.
	LatencyMs Millis
	// HalfAnsweredMs is the time after which half of the shards had answered, which stragglers do not sway.
	HalfAnsweredMs Millis
	// Shed is set where the answer lacks shards because leaves refused work or the deadline passed.
	Shed bool
}

// Permit lets one request run; it is used by one goroutine.
type Permit interface {
	// SetRemaining tells which part of the request's leaf requests is still under way, from 1 down to 0.
	SetRemaining(part float64)
	// Release gives the permit back.
	Release(o Outcome)
}

// Admitter decides which requests run now, wait or are refused; it is safe for concurrent use.
type Admitter interface {
	// Admit blocks until the request may run or done is closed; its error is a refusal.
	Admit(done <-chan struct{}, t AdmissionRequest) (Permit, error)
	// Congested reports whether requests wait for admission.
	Congested() bool
}
