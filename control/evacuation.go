package control

import (
	"context"
	"time"

	"samphirepass"
	"samphirepass/ledger"
)

const (
	// currentTTLMs is the time without contact with a leader after which a member asks what it has missed. It is shorter than the time after
	// which its followers count it as stale.
	currentTTLMs samphirepass.Millis = 1000
	// currentIntervalMs is the interval between updates of the last contact.
	currentIntervalMs samphirepass.Millis = 100
	// catchUpIntervalMs is the interval between tries to catch up: after a restart of all processes gateways wait for it.
	catchUpIntervalMs samphirepass.Millis = 20
	// catchUpTimeoutMs bounds one try.
	catchUpTimeoutMs samphirepass.Millis = 400
)

func (n *Node) handleSetEvacuation(ctx context.Context, req setEvacuationRequest) (setEvacuationReply, error) {
	_, result, err := n.Propose(ctx, ledger.Command{Evacuation: &req.Order})
	switch {
	case err != nil:
		return setEvacuationReply{}, err
	case result.Code == samphirepass.CodeConflict:
		return setEvacuationReply{}, samphirepass.Refuse(result.Code, "another order for data centre %q was applied after this one arrived", req.Order.DataCentre)
	case result.Code != "":
		return setEvacuationReply{}, samphirepass.Refuse(result.Code, "the log waits for its first members")
	}
	return setEvacuationReply{Evacuations: n.ledger.Evacuations()}, nil
}

func (n *Node) handleReadState(ctx context.Context, req readStateRequest) (readStateReply, error) {
	if err := n.ReadBarrier(ctx); err != nil {
		return readStateReply{}, err
	}
	return readStateReply{
		RoutingVersion: n.ledger.Routing().Version, EvacuationsRevision: n.ledger.Evacuations().Revision, OrderedAt: n.ledger.EvacuationOrderedAt(req.DataCentre),
	}, nil
}

// AppliedEvacuations returns the evacuations that this member has applied, which may lag behind the newest, or nil until it has applied
// all that was committed before it started.
func (n *Node) AppliedEvacuations() *samphirepass.Evacuations {
	n.mu.Lock()
	caughtUp := n.caughtUp
	n.mu.Unlock()
	if !caughtUp {
		return nil
	}
	e := n.ledger.Evacuations()
	return &e
}

// SinceCurrent returns an upper bound of the time since which something may have been committed that this member has not applied, apart
// from what is on its way, or a very large one if it has never caught up with the log. The bound grows while the member has no contact with
// a leader, and also while the process is frozen.
func (n *Node) SinceCurrent() samphirepass.Millis {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.caughtUp {
		return unknownLeaderAgeMs
	}
	return n.opts.Clock.Now() - n.currentAt
}

// watchCurrent keeps caughtUp and currentAt up to date. After it has started, or has had no contact with a leader for currentTTLMs, a member
// asks the leader what is committed, since a first message of the leader does not say what it missed.
func (n *Node) watchCurrent(ctx context.Context) {
	var c catchUp
	for {
		interval, changed := currentIntervalMs, (<-chan struct{})(nil)
		if !n.extendCurrent() {
			interval, changed = catchUpIntervalMs, n.Changed()
			n.tryCatchUp(ctx, &c)
		}
		select {
		case <-time.After(interval.Duration()):
		case <-changed:
		case <-n.stopped:
			return
		case <-ctx.Done():
			return
		}
	}
}

// extendCurrent updates currentAt by the last contact with the leader, and reports whether the member need not catch up.
func (n *Node) extendCurrent() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Clock.Now()
	if !n.caughtUp || now-n.currentAt > currentTTLMs {
		return false
	}
	n.currentAt = max(n.currentAt, now-n.leaderAge)
	return true
}

// catchUp is what the leader has said is committed, in reply to a request sent at askedAt; nil if it has not been asked.
type catchUp struct {
	committed *readStateReply
	askedAt   samphirepass.Millis
}

// tryCatchUp asks the leader what is committed, unless it has said so within currentTTLMs, and updates caughtUp and currentAt if the ledger
// holds that.
func (n *Node) tryCatchUp(ctx context.Context, c *catchUp) {
	if now := n.opts.Clock.Now(); c.committed == nil || now-c.askedAt > currentTTLMs {
		*c = catchUp{askedAt: now, committed: n.readLeaderState(ctx)}
	}
	if c.committed == nil || n.ledger.Routing().Version < c.committed.RoutingVersion || n.ledger.Evacuations().Revision < c.committed.EvacuationsRevision {
		return
	}
	n.mu.Lock()
	n.caughtUp, n.currentAt = true, c.askedAt
	n.mu.Unlock()
	n.notifyChanged()
	n.opts.Log("Caught up with the log: routing %d, evacuations of revision %d.", c.committed.RoutingVersion, c.committed.EvacuationsRevision)
	*c = catchUp{}
}

// readLeaderState returns what the leader has applied, confirmed by a majority, or nil if there is no leader that can tell.
func (n *Node) readLeaderState(ctx context.Context) *readStateReply {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeoutMs.Duration())
	defer cancel()
	reply, err := n.handleReadState(ctx, readStateRequest{})
	if err == nil {
		return &reply
	}
	// The refusal of a member that does not lead names the leader as soon as that is known.
	notLeader := samphirepass.AsRefusal(err)
	if notLeader == nil || notLeader.LeaderAddress == "" || notLeader.Leader == n.opts.VM {
		return nil
	}
	leader := n.opts.Peers.Get(notLeader.LeaderAddress)
	err = leader.Call(ctx, kindReadState, readStateRequest{}, &reply)
	if r := samphirepass.AsRefusal(err); r != nil && r.Code == samphirepass.CodeNotFound {
		// The leader runs a version that stores no evacuations.
		var routing getRoutingReply
		err = leader.Call(ctx, kindGetRouting, getRoutingRequest{}, &routing)
		reply.RoutingVersion = routing.Document.Version
	}
	if err != nil {
		return nil
	}
	return &reply
}

// SetEvacuation commits an order to evacuate a data centre or to revoke that, and returns the evacuations once the order is durable on a
// majority. It first reads the last order for the data centre: if one of its messages is delayed beyond a later order, it has no effect.
func (c *Client) SetEvacuation(ctx context.Context, dc samphirepass.DataCentre, evacuate bool) (samphirepass.Evacuations, error) {
	var state readStateReply
	if err := c.callWithTryTimeout(ctx, routingTryTimeoutMs, kindReadState, readStateRequest{DataCentre: dc}, &state); err != nil {
		return samphirepass.Evacuations{}, err
	}
	req := setEvacuationRequest{Order: ledger.EvacuationOrder{DataCentre: dc, Evacuate: evacuate, Base: state.OrderedAt}}
	var reply setEvacuationReply
	err := c.callWithTryTimeout(ctx, routingTryTimeoutMs, kindSetEvacuation, req, &reply)
	return reply.Evacuations, err
}
