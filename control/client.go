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

// retryDelayMs is the delay between a failed try and the next one.
const retryDelayMs samphirepass.Millis = 50

// Client sends requests to the member that leads; it is safe for concurrent use.
type Client struct {
	peers *peer.Pool

	mu sync.Mutex
	// members are the configured members and those learned from replies since.
	members []quorum.Member
	// targetIndex is the index in members of the target of the next request.
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

// mergeMembers adds unknown members and updates the VM and address of known ones.
func (c *Client) mergeMembers(members quorum.Members) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range members {
		i := slices.IndexFunc(c.members, func(known quorum.Member) bool { return known.VM == m.VM || known.Address == m.Address })
		if i < 0 {
			c.members = append(c.members, m)
		} else {
			c.members[i].VM, c.members[i].Address = m.VM, m.Address
		}
	}
}

// switchTarget moves from one target to the hinted leader or, if the hint names no other member, to the next member.
// It does nothing if another call has moved the target already.
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

// call retries an idempotent request until a leader answers it or ctx ends.
// If ctx ends after a try that may have taken effect, the error has CodeOutcomeUnknown, otherwise CodeUnavailable.
func (c *Client) call(ctx context.Context, kind string, req, reply any) error {
	return c.callWithTryTimeout(ctx, 0, kind, req, reply)
}

// callWithTryTimeout is like call and bounds each try by tryTimeoutMs, unless it is 0.
func (c *Client) callWithTryTimeout(ctx context.Context, tryTimeoutMs samphirepass.Millis, kind string, req, reply any) error {
	maybeExecuted := false
	for {
		to := c.target()
		err := c.try(ctx, tryTimeoutMs, to.Address, kind, req, reply)
		if err == nil {
			return nil
		}
		r := samphirepass.AsRefusal(err)
		retryable := r == nil || r.Code == samphirepass.CodeNotLeader || r.Code == samphirepass.CodeStopping || r.Code == samphirepass.CodeOutcomeUnknown
		if !retryable {
			return fmt.Errorf("call control: %w", err)
		}
		maybeExecuted = maybeExecuted || r == nil || !r.NotRun
		hint := samphirepass.VM("")
		if r != nil && r.Leader != "" && r.LeaderAddress != "" {
			hint = r.Leader
			c.mergeMembers(quorum.Members{{VM: r.Leader, Address: r.LeaderAddress}})
		}
		c.switchTarget(to, hint)
		select {
		case <-time.After(retryDelayMs.Duration()):
		case <-ctx.Done():
			return c.unansweredError(kind, maybeExecuted, err)
		}
	}
}

func (c *Client) try(ctx context.Context, tryTimeoutMs samphirepass.Millis, address, kind string, req, reply any) error {
	if tryTimeoutMs > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, tryTimeoutMs.Duration())
		defer cancel()
	}
	return c.peers.Get(address).Call(ctx, kind, req, reply)
}

func (c *Client) unansweredError(kind string, maybeExecuted bool, err error) error {
	if maybeExecuted {
		return samphirepass.RefuseUnknown("control did not answer %s in time: %v", kind, err)
	}
	return samphirepass.Refuse(samphirepass.CodeUnavailable, "control has no leader to take %s: %v", kind, err)
}

// Propose commits one command. It may send the command more than once; a repeated command has no further effect.
func (c *Client) Propose(ctx context.Context, cmd ledger.Command) (ledger.Result, error) {
	var result ledger.Result
	err := c.call(ctx, kindPropose, proposeRequest{Command: cmd}, &result)
	return result, err
}

// Read returns a linearizable read of the named resource; an empty name asks for all resources of the kind.
func (c *Client) Read(ctx context.Context, kind samphirepass.Kind, name string) (ReadReply, error) {
	var reply ReadReply
	err := c.call(ctx, kindRead, readRequest{Kind: kind, Name: name}, &reply)
	return reply, err
}

// Run returns a linearizable read of the run record of a key.
func (c *Client) Run(ctx context.Context, key samphirepass.RunKey) (RunReply, error) {
	var reply RunReply
	err := c.call(ctx, kindRun, runRequest{Key: key}, &reply)
	return reply, err
}

// Sync returns the configuration after req.AppliedRevision, confirmed by a majority.
func (c *Client) Sync(ctx context.Context, req SyncRequest) (SyncReply, error) {
	var reply SyncReply
	err := c.call(ctx, kindSync, req, &reply)
	c.mergeMembers(reply.Members)
	return reply, err
}

// AddMember adds a control VM to the membership; it becomes a voter once it has caught up with the log.
func (c *Client) AddMember(ctx context.Context, vm samphirepass.VM, address string) (Status, error) {
	var reply Status
	err := c.call(ctx, kindMembers, membersRequest{Add: quorum.Member{VM: vm, Address: address}}, &reply)
	return reply, err
}

// RemoveMember removes a control VM from the membership.
func (c *Client) RemoveMember(ctx context.Context, vm samphirepass.VM) (Status, error) {
	var reply Status
	err := c.call(ctx, kindMembers, membersRequest{Remove: vm}, &reply)
	return reply, err
}

// Statuses returns the status of each member as the member itself sees it; members that do not answer are left out.
func (c *Client) Statuses(ctx context.Context) []Status {
	c.mu.Lock()
	members := slices.Clone(c.members)
	c.mu.Unlock()
	statuses := make([]Status, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = c.peers.Get(m.Address).Call(ctx, kindStatus, statusRequest{}, &statuses[i])
		}()
	}
	wg.Wait()
	var answered []Status
	for _, s := range statuses {
		if s.VM != "" {
			answered = append(answered, s)
		}
	}
	return answered
}
