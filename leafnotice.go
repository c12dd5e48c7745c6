package samphirepass

// LeafNotice is what a leaf says of itself in an answer, whatever the request was.
type LeafNotice struct {
	// Leaving is set if the leaf takes no new requests any more.
	Leaving bool
	// LimitPerSecond is the number of requests a second that the leaf takes from all VMs together, 0 if it names none.
	LimitPerSecond float64
	// RetryAfterMs is how long the leaf wants no requests of this VM, 0 if it does not say.
	RetryAfterMs Millis
}

// LeafLimit is the limit that a leaf named last.
type LeafLimit struct {
	// PerSecond is the number of requests a second that the leaf takes from all VMs together, 0 if it has no limit.
	PerSecond float64
	// AgeMs is the time since the answer that named it.
	AgeMs Millis
}
