package collector

import (
	"github.com/rotisserie/eris"

	"samphirepass"
	"samphirepass/gateway"
	"samphirepass/leaf"
)

const (
	kindCollect     = "collect"
	kindCollectRest = "collect-rest"
	kindRelease     = "collect-release"
	// kindCollectLimited is kindCollect for collectors that make further attempts on a shard only with the token of the request. Older
	// ones refuse it.
	kindCollectLimited = "collect-limited"
	// kindFurther asks the entry for that token.
	kindFurther = "collect-further"
)

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
	// Unfinished identifies the delivery if the collector still waits for leaves, for a collectRestRequest; otherwise it is 0.
	Unfinished uint64
	// RetryAfterMs is that of leaf.DeliveryResult.
	RetryAfterMs samphirepass.Millis
	// Crashes and Survived are those of leaf.DeliveryResult.
	Crashes  []samphirepass.LeafCrash
	Survived bool
	// NoPath and Unreached are those of leaf.DeliveryResult.
	NoPath, Unreached bool
	// crowded is Crowded of leaf.DeliveryResult; the collector then refuses the request.
	crowded bool
}

// refusal returns the refusal of a delivery without a usable answer as too many are in flight at the collector, or as it reaches no leaf of some
// shards any more, or nil. Those of others may still be reached if the path is narrow.
func (r collectReply) refusal(narrow bool) error {
	if r.crowded {
		return samphirepass.Refuse(samphirepass.CodeOverloaded, "too many requests are in flight at the collector")
	}
	if r.Merged != nil || (!r.NoPath && !(narrow && r.Unreached)) {
		return nil
	}
	refusal := samphirepass.RefuseUnknown("the collector reaches no leaf of some shards any more")
	refusal.Code, refusal.NotRun = samphirepass.CodeNoPath, !r.MaybeRun
	if narrow {
		refusal.Code = samphirepass.CodeUnavailable
	}
	return refusal
}

// collectRestRequest asks for the complete result of a delivery of which the answers so far were returned, or releases it.
type collectRestRequest struct {
	Unfinished uint64
}

// newCollectReply returns the reply for the result of a delivery.
func newCollectReply(d leaf.Delivery, result leaf.DeliveryResult) collectReply {
	reply := collectReply{
		Answered: result.Answered, Known: result.KnownShards, RequiredShards: result.RequiredShards, Extra: result.Extra, Attempts: result.Attempts,
		MaybeRun: result.MaybeRun, LastLeaf: result.LastLeaf, DegradedShards: result.DegradedShards, Skipped: result.Skipped,
		RetryAfterMs: result.RetryAfterMs, Crashes: result.Crashes, Survived: result.Survived, NoPath: result.NoPath, Unreached: result.Unreached,
		crowded: result.Crowded,
	}
	if result.LastErr != nil {
		reply.LastError = result.LastErr.Error()
	}
	if result.Answered > 0 && result.Answered >= result.RequiredShards {
		reply.Merged = gateway.MergeReplies(d, result)
	}
	return reply
}

// result returns the result of the delivery.
func (r collectReply) result() leaf.DeliveryResult {
	result := leaf.DeliveryResult{
		Merged: r.Merged, Answered: r.Answered, KnownShards: r.Known, RequiredShards: r.RequiredShards, Extra: r.Extra,
		Attempts: r.Attempts, MaybeRun: r.MaybeRun, LastLeaf: r.LastLeaf, DegradedShards: r.DegradedShards, Skipped: r.Skipped,
		RetryAfterMs: r.RetryAfterMs, Crashes: r.Crashes, Survived: r.Survived, NoPath: r.NoPath, Unreached: r.Unreached,
	}
	if r.LastError != "" {
		result.LastErr = eris.New(r.LastError)
	}
	return result
}

// collectRequest is a scatter-gather request together with its route, so that the routing of the entry that received the request
// applies, not that of the collector.
type collectRequest struct {
	Delivery leaf.Delivery
	// KnownShards is the number of shards of which the entry knows a leaf.
	KnownShards int
	// Evacuations are those in force at the entry: a collector that is partitioned from the registrars may not know them.
	Evacuations samphirepass.Evacuations
	// Token is the number of the token for attempts beyond the first on each shard, 0 if there is none and they may not be made.
	Token uint64
}

// furtherRequest asks for a token.
type furtherRequest struct {
	Token uint64
}

// furtherReply says whether the token is granted.
type furtherReply struct {
	Granted bool
}
