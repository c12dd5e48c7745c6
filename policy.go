package samphirepass

// Candidate describes a leaf to which an attempt may be sent, as seen by one entry.
type Candidate struct {
	Leaf           Leaf
	SameDataCentre bool
	// InFlight is the number of this entry's attempts in flight on the leaf.
	InFlight int
	Slots    int
	// MeanLatencyMs is the moving average of the leaf's latency, 0 before the first answer.
	MeanLatencyMs Millis
	// Load is the number of running and queued requests that the leaf last reported, as a fraction of its slots.
	Load float64
	// LoadAgeMs is the age of Load.
	LoadAgeMs Millis
	// SinceDiscoveryMs is the time since the first announcement of the leaf's incarnation.
	SinceDiscoveryMs Millis
	// ConsecutiveFailures is the number of failed attempts since the last successful one.
	// An attempt that was superseded counts as failed.
	ConsecutiveFailures int
	// SinceFailureMs is the time since the last failed attempt.
	SinceFailureMs Millis
	// OldestInFlightMs is the age of the most overdue of this entry's attempts in flight on the leaf, 0 if there is none.
	// The age of an attempt with another expected latency is scaled to that of the attempt to send.
	OldestInFlightMs Millis
	// MedianLatencyMs is the median latency of the leaf's last few answers, scaled to the expected latency of the attempt to send;
	// 0 before the first answer. Occasional pauses and a mix of fast and slow kinds of requests do not distort it.
	MedianLatencyMs Millis
	// FailureRate is the moving average of the share of finished attempts that failed; it decays with time.
	FailureRate float64
	// RefusalRate is the same for the share of attempts that the leaf refused.
	RefusalRate float64
	// LatencyAgeMs is the time since the last observation of the leaf's latency, 0 if there is none.
	LatencyAgeMs Millis
	// ColdMs is the remaining warm-up time, as stated by the leaf.
	ColdMs Millis
	// OpenConnections is the number of connections that this entry has to the leaf.
	OpenConnections int
	// MaxConnections is the number of connections that this entry may open to the leaf.
	MaxConnections int
	// LoadReported is set if the leaf itself reported Load, with Pace, which is 1 as usual, above 1 if work takes longer, and 0 if not stated.
	LoadReported bool
	Pace         float64
	// Service is the service that the leaf serves, DataCentre the data centre that it is in.
	Service    Service
	DataCentre DataCentre
	// UsualLatencyMs is the mean latency of the leaf's answers over the last 40 or so half seconds with answers, UsualErrorMs its standard
	// error, both scaled like MedianLatencyMs; 0 before the first answer.
	UsualLatencyMs, UsualErrorMs Millis
	// Answers is the number of half seconds with answers of the leaf to this entry.
	Answers int
	// RecentLatencyMs is the mean latency of the last 0.3 s or so, RecentAnswers the number of answers in it, each reduced by its age.
	RecentLatencyMs Millis
	RecentAnswers   float64
	// BusyShare is the share of the last 20 or so answers of the leaf that reported all its slots occupied.
	BusyShare float64
}

// Chooser picks one of several leaves that hold the same shard and is safe for concurrent use.
type Chooser interface {
	// Choose returns an index into candidates, which is not empty.
	Choose(candidates []Candidate) int
}

// Hedger decides when an unanswered shard gets a second attempt and is safe for concurrent use.
type Hedger interface {
	// Observe records the latency of one leaf request.
	Observe(latency Millis)
	// MedianLatency returns the median latency of a leaf request, 0 while there are too few observations.
	MedianLatency() Millis
	// Delay returns the time after which a second attempt is sent, and whether one is wanted at all.
	Delay() (Millis, bool)
}

// Budget limits extra attempts, which are hedges and retries, and is safe for concurrent use.
type Budget interface {
	// RecordPrimary records n first attempts.
	RecordPrimary(n int)
	// TakeRetry reports whether a retry of a failed attempt is granted.
	TakeRetry() bool
	// TakeHedge reports whether a hedge of a late attempt is granted.
	TakeHedge() bool
	// TakeRefusedRetry reports whether a retry is granted after a refusal by a leaf that did no work.
	TakeRefusedRetry() bool
	// RecordShed records an attempt that a leaf refused.
	RecordShed()
	// RecordOverload records that the service is overloaded, after which fewer extra attempts are granted for a while.
	RecordOverload()
}

// AdmissionRequest describes a request to be admitted.
type AdmissionRequest struct {
	Caller Caller
	// Rank is the rank of the caller's class, 0 being the most important.
	Rank       int
	DeadlineMs Millis
	// Capacity is the number of requests that the leaves can process concurrently for this entry, 0 if unknown.
	Capacity float64
}

// Outcome describes how an admitted request ended.
type Outcome struct {
	// LatencyMs is the latency of the whole request, 0 if it says nothing about the leaves.
	LatencyMs Millis
	// HalfAnsweredMs is the time after which half of the shards had answered, which stragglers do not distort.
	HalfAnsweredMs Millis
	// Shed is set if shards are missing because leaves refused work or the deadline passed.
	Shed bool
}

// Permit is held by an admitted request while it runs; it is used by one goroutine.
type Permit interface {
	// SetRemaining reports the fraction of the request's shards that are not answered yet, from 1 down to 0.
	SetRemaining(fraction float64)
	// Release ends the request.
	Release(o Outcome)
}

// Admitter decides whether requests run at once, wait or are refused; it is safe for concurrent use.
type Admitter interface {
	// Admit blocks until the request may run or done is closed; its error is a refusal.
	Admit(done <-chan struct{}, r AdmissionRequest) (Permit, error)
	// Congested reports whether requests wait for admission.
	Congested() bool
}
