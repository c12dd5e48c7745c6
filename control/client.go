package control

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"samphirepass"
	"samphirepass/ledger"
	"samphirepass/peer"
	"samphirepass/quorum"
)

// retryPauseMs is the pause after all members were asked in vain.
const retryPauseMs samphirepass.Millis = 50

// Client sends requests to whichever member leads; it is safe for concurrent use.
type Client struct {
	peers *peer.Pool

	mu sync.Mutex
	// members are those that settings name and those that were learned of since.
	members     []quorum.Member
	targetIndex int
}

// NewClient returns a client of the given members.
func NewClient(members []quorum.Member, peers *peer.Pool) *Client {
	return &Client{members: slices.Clone(members), peers: peers}
}

func (c *Client) target() quorum.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members[c.targetIndex%len(c.members)]
}

// addMembers adds members that were not known, and moves those that have another address now.
func (c *Client) addMembers(members quorum.Members) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range members {
		i := slices.IndexFunc(c.members, func(have quorum.Member) bool { return have.VM == m.VM || have.Address == m.Address })
		if i < 0 {
			c.members = append(c.members, m)
		} else {
			c.members[i].VM, c.members[i].Address = m.VM, m.Address
		}
	}
}

// switchTarget moves on from one target to the hinted leader, or to the next member.
func (c *Client) switchTarget(from quorum.Member, leader samphirepass.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.members[c.targetIndex%len(c.members)].Address != from.Address {
		return
	}
	for i, m := range c.members {
		if leader != "" && m.VM == leader && m.VM != from.VM {
			c.targetIndex = i
			return
		}
	}
	c.targetIndex = (c.targetIndex + 1) % len(c.members)
}

// call repeats an idempotent request until a leader answers it or ctx ends.
// If any try may have been carried out without an answer, the last error says so.
func (c *Client) call(ctx context.Context, kind string, req, reply any) error {
	return c.callWithTryTimeout(ctx, 0, kind, req, reply)
}

// callWithTryTimeout is like call and bounds each try, if tryMs is not 0.
func (c *Client) callWithTryTimeout(ctx context.Context, tryMs samphirepass.Millis, kind string, req, reply any) error {
	maybeDone := false
	for {
		to := c.target()
		err := c.try(ctx, tryMs, to.Address, kind, req, reply)
		if err == nil {
			return nil
		}
		r := samphirepass.AsRefusal(err)
		elsewhere := r == nil || r.Code == samphirepass.CodeNotLeader || r.Code == samphirepass.CodeStopping || r.Code == samphirepass.CodeOutcomeUnknown
		if !elsewhere {
			return fmt.Errorf("ask control: %w", err)
		}
		maybeDone = maybeDone || r == nil || !r.NotRun
		hint := samphirepass.VM("")
		if r != nil && r.Leader != "" && r.LeaderAddress != "" {
			hint = r.Leader
			c.addMembers(quorum.Members{{VM: r.Leader, Address: r.LeaderAddress}})
		}
		c.switchTarget(to, hint)
		select {
		case <-time.After(retryPauseMs.Duration()):
		case <-ctx.Done():
			return c.unansweredError(kind, maybeDone, err)
		}
	}
}

func (c *Client) try(ctx context.Context, tryMs samphirepass.Millis, address, kind string, req, reply any) error {
	if tryMs > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, tryMs.Duration())
		defer cancel()
	}
	return c.peers.Get(address).Call(ctx, kind, req, reply)
}

func (c *Client) unansweredError(kind string, maybeDone bool, err error) error {
	if maybeDone {
		return samphirepass.RefuseUnknown("control did not answer %s in time: %v", kind, err)
	}
	return samphirepass.Refuse(samphirepass.CodeUnavailable, "control has no leader to take %s: %v", kind, err)
}

// Propose commits one command; commands are made so that a repeated one has no further effect.
func (c *Client) Propose(ctx context.Context, cmd ledger.Command) (ledger.Result, error) {
	var result ledger.Result
	err := c.call(ctx, kindPropose, proposeRequest{Command: cmd}, &result)
	return result, err
}

// Read returns resources at a confirmed revision; an empty name asks for all of the kind.
func (c *Client) Read(ctx context.Context, kind samphirepass.Kind, name string) (ReadReply, error) {
	var reply ReadReply
	err := c.call(ctx, kindRead, readRequest{Kind: kind, Name: name}, &reply)
	return reply, err
}

// Run returns the record of a key at a confirmed revision.
func (c *Client) Run(ctx context.Context, key samphirepass.RunKey) (RunReply, error) {
	var reply RunReply
	err := c.call(ctx, kindRun, runRequest{Key: key}, &reply)
	return reply, err
}

// Sync returns the configuration after req.Have, confirmed by a majority.
func (c *Client) Sync(ctx context.Context, req SyncRequest) (SyncReply, error) {
	var reply SyncReply
	err := c.call(ctx, kindSync, req, &reply)
	c.addMembers(reply.Members)
	return reply, err
}

// AddMember names a further control VM, which gets its vote once it has caught up.
func (c *Client) AddMember(ctx context.Context, vm samphirepass.VM, address string) (Status, error) {
	var reply Status
	err := c.call(ctx, kindMembers, membersRequest{Add: quorum.Member{VM: vm, Address: address}}, &reply)
	return reply, err
}

// RemoveMember takes a control VM out of the membership.
func (c *Client) RemoveMember(ctx context.Context, vm samphirepass.VM) (Status, error) {
	var reply Status
	err := c.call(ctx, kindMembers, membersRequest{Remove: vm}, &reply)
	return reply, err
}

// Statuses asks every member for its own view; members that do not answer are left out.
func (c *Client) Statuses(ctx context.Context) []Status {
	c.mu.Lock()
	members := slices.Clone(c.members)
	c.mu.Unlock()
	out := make([]Status, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = c.peers.Get(m.Address).Call(ctx, kindStatus, statusRequest{}, &out[i])
		}()
	}
	wg.Wait()
	var answered []Status
	for _, s := range out {
		if s.VM != "" {
			answered = append(answered, s)
		}
	}
	return answered
}
