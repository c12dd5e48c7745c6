package collector

import (
	"samphirepass"
	"samphirepass/leaf"
)

const kindCollect = "collect"

// collectReply is the result of a scatter-gather request at a collector.
type collectReply struct {
	// Merged is nil if fewer than RequiredShards answered.
	Merged *samphirepass.MergedAnswer
	// The remaining fields are those of leaf.DeliveryResult; Known is its KnownShards.
	Answered, Known, RequiredShards int
	Extra, Attempts                 int
	MaybeRun                        bool
	LastLeaf                        samphirepass.Leaf
	LastError                       string
	// DegradedShards are the indices of the shards that are better collected in another data centre for a while.
	DegradedShards []int
	Skipped        int
}

// collectRequest is a scatter-gather request together with its route, so that the routing of the entry that received the request
// applies, not that of the collector.
type collectRequest struct {
	Delivery leaf.Delivery
}
