package collector

import (
	"samphirepass"
	"samphirepass/leaf"
)

const kindCollect = "collect"

// collectReply is what a collector made of a request over shards.
type collectReply struct {
	// Merged is nil where too few shards answered.
	Merged *samphirepass.MergedAnswer
	// The other fields are those of leaf.Delivered.
	Answered, Known, Least int
	Extra, Attempts        int
	MaybeRun               bool
	LastLeaf               samphirepass.Leaf
	LastError              string
	// Poor are the shards of the request that are better asked elsewhere for a while.
	Poor []int
}

// collectRequest is a request over shards with what its route says of it, so that the entry that took it decides by which routing it is answered.
type collectRequest struct {
	Delivery leaf.Delivery
}
