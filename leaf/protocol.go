package leaf

// The paths that a leaf serves, as described in docs/protocol.md.
const (
	PathQuery = "/v1/query"
	PathRun   = "/v1/run"
	PathLoad  = "/v1/load"
)

// The headers of requests to a leaf and of its answers.
const (
	HeaderRequest  = "Samphirepass-Request"
	HeaderService  = "Samphirepass-Service"
	HeaderSnapshot = "Samphirepass-Snapshot"
	HeaderShard    = "Samphirepass-Shard"
	HeaderDeadline = "Samphirepass-Deadline-Ms"
	HeaderKey      = "Samphirepass-Key"
	HeaderPartial  = "Samphirepass-Partial"
	HeaderDigest   = "Samphirepass-Digest"
	HeaderLoad     = "Samphirepass-Load"
	HeaderWorked   = "Samphirepass-Worked-Ms"
	HeaderNotRun   = "Samphirepass-Not-Run"
	HeaderNotHeld  = "Samphirepass-Not-Held"
)
