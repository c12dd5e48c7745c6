package relay

import (
	"github.com/rotisserie/eris"

	"samphirepass"
	"samphirepass/gateway"
	"samphirepass/leaf"
)

const kindRelay = "relay"

// relayRequest is a request together with its route, so that the routing of the gateway that received it from the client applies.
type relayRequest struct {
	Delivery leaf.Delivery
	// Evacuations are those in force at the gateway that received the request.
	Evacuations samphirepass.Evacuations
}

// relayReply is the result of a delivery; its fields are those of leaf.DeliveryResult.
type relayReply struct {
	// Reply is the answer of the leaf, nil if there is none or the request went to several shards; Merged is the answer of these.
	Reply  *samphirepass.Reply
	Merged *samphirepass.MergedAnswer
	// Failure is the answer of a leaf that ran the request and reported a failure.
	Failure                         *samphirepass.Reply
	Answered, Known, RequiredShards int
	Extra, Attempts                 int
	MaybeRun, NoPath, Shed          bool
	LastLeaf                        samphirepass.Leaf
	LastError                       string
	RetryAfterMs                    samphirepass.Millis
	Crashes                         []samphirepass.LeafCrash
	Survived                        bool
	Unreached                       bool
}

func newRelayReply(d leaf.Delivery, result leaf.DeliveryResult) relayReply {
	reply := relayReply{
		Merged: result.Merged, Failure: result.Failure, Answered: result.Answered, Known: result.KnownShards, RequiredShards: result.RequiredShards,
		Extra: result.Extra, Attempts: result.Attempts, MaybeRun: result.MaybeRun, NoPath: result.NoPath, Shed: result.Shed,
		LastLeaf: result.LastLeaf, RetryAfterMs: result.RetryAfterMs, Crashes: result.Crashes, Survived: result.Survived, Unreached: result.Unreached,
	}
	if result.LastErr != nil {
		reply.LastError = result.LastErr.Error()
	}
	if result.Answered == 0 || result.Answered < result.RequiredShards {
		return reply
	}
	switch {
	case !d.Route.IsScatterGather():
		reply.Reply = result.Replies[0]
	case reply.Merged == nil:
		reply.Merged = gateway.MergeReplies(d, result)
	}
	return reply
}

func (r relayReply) result() leaf.DeliveryResult {
	result := leaf.DeliveryResult{
		Merged: r.Merged, Failure: r.Failure, Answered: r.Answered, KnownShards: r.Known, RequiredShards: r.RequiredShards,
		Extra: r.Extra, Attempts: r.Attempts, MaybeRun: r.MaybeRun, NoPath: r.NoPath, Shed: r.Shed,
		LastLeaf: r.LastLeaf, RetryAfterMs: r.RetryAfterMs, Crashes: r.Crashes, Survived: r.Survived, Unreached: r.Unreached,
	}
	if r.Reply != nil {
		result.Replies = []*samphirepass.Reply{r.Reply}
	}
	if r.LastError != "" {
		result.LastErr = eris.New(r.LastError)
	}
	return result
}
