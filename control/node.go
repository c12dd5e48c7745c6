package control

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"samphirepass"
	"samphirepass/buildinfo"
	"samphirepass/cbor"
	"samphirepass/disk"
	"samphirepass/ledger"
	"samphirepass/peer"
	"samphirepass/quorum"
)

const (
	// TickMs is the length of one tick of the quorum core.
	TickMs samphirepass.Millis = 50
	// maxEventsPerSync is the number of further events that the loop handles before it syncs the disk.
	maxEventsPerSync = 512
	// DefaultSnapshotEntries is the default number of log entries at which a snapshot is taken.
	DefaultSnapshotEntries = 1000
	// eventQueueLength is the number of events that may wait for the loop; Raft messages beyond it are dropped.
	eventQueueLength = 4096
	// firstElectionTicksMax spreads the first elections of members that start together over 300 ms.
	firstElectionTicksMax = 6
	// unknownLeaderAgeMs is reported as the time since the leader was last heard from while none is known.
	unknownLeaderAgeMs samphirepass.Millis = 1e9
)

// errDiskRolledBack means that the other members have seen this disk in a later state than it is in now.
var errDiskRolledBack = eris.New("control: the disk holds an older state than other members have seen")

// Options configure a Node.
type Options struct {
	VM      samphirepass.VM
	Address string
	// Members are the initial members of a new log, including this one.
	Members []quorum.Member
	// Seeds are the peer addresses of some control processes, used instead of Members for dynamic membership:
	// processes join when they send hellos and are removed when they stay silent.
	Seeds []string
	// KnownProcesses returns the peer addresses of further control processes, as far as this process has discovered them by other means than
	// hellos; it may be nil.
	KnownProcesses func() []string
	// AllowBootstrap lets the seeds bootstrap a new log; otherwise an empty disk waits for members that hold one.
	AllowBootstrap bool
	// Voters is the number of voters that a new log waits for. With dynamic membership, a silent or
	// leaving voter is removed only if this number of voters remains without it.
	Voters int
	// Seats is the number of seats for entry VMs in a new log.
	Seats int
	Files samphirepass.DataFolder
	Clock samphirepass.Clock
	Peers *peer.Pool
	// SnapshotEntries is the number of log entries at which a snapshot is taken; 0 means DefaultSnapshotEntries.
	SnapshotEntries int
	// Level is the highest that this member reads; 0 means ledger.ReadLevel.
	Level samphirepass.Level
	// Log receives one line for each notable event; nil discards them.
	Log func(format string, args ...any)
}

// Node is one control member; Serve runs it, and its handlers are safe for concurrent use.
type Node struct {
	opts   Options
	ledger *ledger.State
	// events are functions that the loop runs one after another.
	events chan func(*loop)
	// stopped is closed once the loop has ended, ready once the handshake is done.
	stopped chan struct{}
	ready   chan struct{}

	mu       sync.Mutex
	identity disk.Identity
	started  bool
	// leaving is set once this member asks to be removed.
	leaving bool
	// loadedLog is set if the disk held a log at the start.
	loadedLog bool
	// diskStates holds the most advanced state seen of each disk.
	diskStates map[samphirepass.DiskID]diskState
	// hellos holds the last hello of each VM.
	hellos map[samphirepass.VM]lastHello
	// heardLevels holds the level that each VM named in its last message; a build before there were levels names 0.
	heardLevels map[samphirepass.VM]samphirepass.Level
	// loggedLevel is the level of the log that was logged last.
	loggedLevel samphirepass.Level
	// loggedTooLow is why a process was not admitted when it was logged last.
	loggedTooLow string
	// appliedByEntry is the revision that each entry last reported as in force.
	appliedByEntry map[samphirepass.VM]samphirepass.Revision
	// changed is closed and replaced when the ledger or appliedByEntry changes.
	changed chan struct{}
	// members is the membership of the core at the last tick.
	members quorum.Members
	// processVMs maps the peer addresses of other control processes, learned from replies to hellos, to their VMs.
	processVMs map[string]samphirepass.VM
	// loggedState describes the role, term and leader that were logged last.
	loggedState string
	// loggedMembers describes the membership that was logged last.
	loggedMembers string
	// loggedHellos describes the answers to hellos that were logged last.
	loggedHellos string
	// leaderAge is the time since leader, the current leader, was last heard from; leader is zero if none is known.
	leaderAge samphirepass.Millis
	leader    quorum.Member
	// caughtUp is set once this member has applied all that was committed before it started. currentAt is when it last lacked nothing that
	// was committed.
	caughtUp  bool
	currentAt samphirepass.Millis

	// seatMu serializes ensureSeat, since seats change one at a time.
	seatMu sync.Mutex
}

// lastHello is the last hello of a VM and the time on Options.Clock at which it arrived.
type lastHello struct {
	helloRequest
	at samphirepass.Millis
}

// NewNode returns a node that has not started.
func NewNode(opts Options) *Node {
	if opts.SnapshotEntries == 0 {
		opts.SnapshotEntries = DefaultSnapshotEntries
	}
	if opts.Level == 0 {
		opts.Level = ledger.ReadLevel
	}
	if opts.Log == nil {
		opts.Log = func(string, ...any) {}
	}
	return &Node{
		opts: opts, ledger: ledger.NewAt(opts.Level), events: make(chan func(*loop), eventQueueLength), stopped: make(chan struct{}),
		ready: make(chan struct{}), diskStates: map[samphirepass.DiskID]diskState{}, hellos: map[samphirepass.VM]lastHello{},
		heardLevels:    map[samphirepass.VM]samphirepass.Level{},
		appliedByEntry: map[samphirepass.VM]samphirepass.Revision{}, changed: make(chan struct{}),
		processVMs: map[string]samphirepass.VM{}, leaderAge: unknownLeaderAgeMs,
	}
}

// Serve runs the node until ctx ends or an error occurs; after a disk error the process must exit.
func (n *Node) Serve(ctx context.Context) error {
	store, loaded, err := disk.Open(n.opts.Files, newDiskID())
	if err != nil {
		close(n.stopped)
		return fmt.Errorf("open data folder: %w", err)
	}
	defer store.Close()
	n.opts.Log("Opened disk %s, boot %d.", loaded.Disk, loaded.Boot)
	l, err := n.join(ctx, store, loaded)
	if err != nil {
		close(n.stopped)
		return fmt.Errorf("join control members: %w", err)
	}
	go n.sendHellos(ctx)
	if n.dynamicMembership() {
		go n.watchCurrent(ctx)
	}
	err = l.run(ctx)
	close(n.stopped)
	// Nothing may write to the data folder after Serve has returned.
	l.snapshotWrites.Wait()
	return err
}

// join performs the handshake with the other members and returns the loop to run.
func (n *Node) join(ctx context.Context, store *disk.Store, loaded disk.RecoveredState) (*loop, error) {
	n.setIdentity(loaded.Identity, len(loaded.Entries) > 0 || loaded.Snapshot.Index > 0)
	l := n.newLoop(store, loaded)
	bootstrap, err := n.handshake(ctx, l.core)
	if eris.Is(err, errDiskRolledBack) {
		l, err = n.replaceDisk(store)
	}
	if err != nil {
		return nil, err
	}
	if bootstrap {
		l.core.Bootstrap(n.initialMembers())
	}
	n.mu.Lock()
	n.started = true
	n.mu.Unlock()
	close(n.ready)
	return l, nil
}

func newDiskID() samphirepass.DiskID {
	return samphirepass.DiskID(uuid.NewString())
}

// replaceDisk reformats a rolled-back disk under a new identity, so that it joins as an empty one.
func (n *Node) replaceDisk(store *disk.Store) (*loop, error) {
	id, err := store.Reformat(newDiskID())
	if err != nil {
		return nil, fmt.Errorf("reformat rolled-back disk: %w", err)
	}
	n.opts.Log("Disk holds an older state than other members have seen; reformatted it, rejoining as disk %s.", id.Disk)
	n.setIdentity(id, false)
	return n.newLoop(store, disk.RecoveredState{Identity: id}), nil
}

func (n *Node) setIdentity(id disk.Identity, loadedLog bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.identity = id
	n.loadedLog = loadedLog
}

// publishCoreState copies the state of the core that callers on other goroutines read, and logs a change of role,
// term, leader or membership.
func (n *Node) publishCoreState(c *quorum.Core) {
	n.mu.Lock()
	defer n.mu.Unlock()
	state := fmt.Sprintf("%s in term %d, leader %q", c.Role(), c.Term(), c.Leader())
	members := describeMembers(c.Members())
	if state != n.loggedState || members != n.loggedMembers {
		n.loggedState, n.loggedMembers = state, members
		n.opts.Log("Member is %s; commit index %d, last index %d, %s.", state, c.CommitIndex(), c.LastIndex(), members)
	}
	n.members = c.Members()
	n.logLevelLocked()
	n.leaderAge = unknownLeaderAgeMs
	n.leader = quorum.Member{}
	if m, ok := n.members.Find(c.Leader()); ok {
		n.leader = m
		n.leaderAge = samphirepass.Millis(c.TicksSinceLeader()) * TickMs
	}
}

// describeMembers names the voters and the learners of a membership.
func describeMembers(members quorum.Members) string {
	var voters, learners []string
	for _, m := range members {
		if m.Voter {
			voters = append(voters, string(m.VM))
		} else {
			learners = append(learners, string(m.VM))
		}
	}
	return fmt.Sprintf("%d voters %q, learners %q", len(voters), voters, learners)
}

// Leader returns the current leader and the time since it was last heard from; without a known leader it returns
// a zero member and a very large age.
func (n *Node) Leader() (quorum.Member, samphirepass.Millis) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leader, n.leaderAge
}

// Members returns the latest membership known to this member.
func (n *Node) Members() quorum.Members {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members
}

// Changed returns a channel that is closed at the next change of the replicated state or report of an entry's revision.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

func (n *Node) newLoop(store *disk.Store, loaded disk.RecoveredState) *loop {
	electionTicks := 0
	if n.dynamicMembership() {
		electionTicks = firstElectionTicksMax
	}
	core := quorum.New(quorum.Options{
		FirstElectionTicksMax: electionTicks, VM: n.opts.VM, Disk: loaded.Disk, Level: n.opts.Level, Rand: rand.New(rand.NewSource(time.Now().UnixNano())),
		HardState: loaded.HardState, Snapshot: loaded.Snapshot, Entries: loaded.Entries,
	})
	return &loop{
		node: n, core: core, store: store, applied: loaded.Snapshot.Index, snapshot: loaded.Snapshot,
		proposals: map[samphirepass.Revision]proposal{}, pendingReads: map[uint64][]chan error{},
	}
}

// initialMembers returns the membership of a new log: this member is the only voter until others join.
func (n *Node) initialMembers() quorum.Members {
	if n.dynamicMembership() {
		return quorum.Members{{VM: n.opts.VM, Address: n.opts.Address, Disk: n.identity.Disk, Voter: true, Level: n.opts.Level}}
	}
	var members quorum.Members
	for _, m := range n.opts.Members {
		if m.VM == n.opts.VM {
			m.Disk, m.Voter, m.Level = n.identity.Disk, true, n.opts.Level
		}
		members = members.With(m)
	}
	return members
}

// enqueue queues f for the loop, which may still stop before it runs f; it fails once the node has stopped.
func (n *Node) enqueue(ctx context.Context, f func(*loop)) error {
	// Check first whether the loop has ended: the queue may still have room then, and the second select could choose it.
	select {
	case <-n.stopped:
		return samphirepass.Refuse(samphirepass.CodeStopping, "control member has stopped")
	default:
	}
	select {
	case n.events <- f:
		return nil
	case <-n.stopped:
		return samphirepass.Refuse(samphirepass.CodeStopping, "control member has stopped")
	case <-ctx.Done():
		return fmt.Errorf("wait for control loop: %w", ctx.Err())
	}
}

// Propose commits one command and returns its log index and result; an error that is a Refusal with NotRun set
// guarantees that the command will not be committed.
func (n *Node) Propose(ctx context.Context, cmd ledger.Command) (samphirepass.Revision, ledger.Result, error) {
	if !cmd.IsKnown() {
		// A later version may have sent it; it would be acknowledged and applied as nothing.
		return 0, ledger.Result{}, samphirepass.Refuse(samphirepass.CodeUnavailable, "member %s does not know this kind of command", n.opts.VM)
	}
	return n.proposeAt(ctx, cmd.MinLevel(), cmd)
}

// proposeAt is Propose for a command that builds of the given level and above apply.
func (n *Node) proposeAt(ctx context.Context, level samphirepass.Level, cmd ledger.Command) (samphirepass.Revision, ledger.Result, error) {
	if err := n.awaitStart(ctx); err != nil {
		return 0, ledger.Result{}, err
	}
	cmd.NowMs, cmd.Level = n.opts.Clock.Wall(), level
	data, err := cbor.Marshal(cmd)
	if err != nil {
		return 0, ledger.Result{}, fmt.Errorf("encode command: %w", err)
	}
	p := proposal{done: make(chan proposalResult, 1)}
	if err := n.enqueue(ctx, func(l *loop) { l.proposeAt(level, data, p) }); err != nil {
		return 0, ledger.Result{}, err
	}
	select {
	case r := <-p.done:
		return r.index, r.result, r.err
	case <-n.stopped:
		return 0, ledger.Result{}, samphirepass.RefuseUnknown("control member stopped before the command committed")
	case <-ctx.Done():
		return 0, ledger.Result{}, samphirepass.RefuseUnknown("no majority synced the command in time")
	}
}

// ReadBarrier returns once the ledger has applied everything that was committed when it was called,
// so that a later read of the ledger is linearizable. It fails on a member that does not lead.
func (n *Node) ReadBarrier(ctx context.Context) error {
	if err := n.awaitStart(ctx); err != nil {
		return err
	}
	done := make(chan error, 1)
	if err := n.enqueue(ctx, func(l *loop) { l.queuedReads = append(l.queuedReads, done) }); err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-n.stopped:
		return samphirepass.Refuse(samphirepass.CodeStopping, "control member has stopped")
	case <-ctx.Done():
		return samphirepass.Refuse(samphirepass.CodeUnavailable, "no majority confirmed the read in time")
	}
}

func (n *Node) awaitStart(ctx context.Context) error {
	select {
	case <-n.ready:
		return nil
	case <-n.stopped:
		return samphirepass.Refuse(samphirepass.CodeStopping, "control member has stopped")
	case <-ctx.Done():
		return samphirepass.Refuse(samphirepass.CodeNotLeader, "control member has not met a majority yet")
	}
}

// Status returns the state of the member; until the handshake is done it lacks the state of the log.
func (n *Node) Status(ctx context.Context) (Status, error) {
	n.mu.Lock()
	s := Status{VM: n.opts.VM, Disk: n.identity.Disk, Formed: n.ledger.Formed(), Seats: n.ledger.View().Seats, Level: n.opts.Level, Version: buildinfo.Version(), Build: buildinfo.ID()}
	started := n.started
	n.mu.Unlock()
	if !started {
		return s, nil
	}
	done := make(chan struct{})
	err := n.enqueue(ctx, func(l *loop) {
		defer close(done)
		c := l.core
		s.Role, s.Term, s.Leader = c.Role(), c.Term(), c.Leader()
		s.Commit, s.Last, s.Members = c.CommitIndex(), c.LastIndex(), c.Members()
		s.LogLevel = n.withHeardLevels(s.Members).Lowest().Level
	})
	if err != nil {
		return s, err
	}
	select {
	case <-done:
	case <-n.stopped:
	}
	return s, nil
}

// TransferLeadership hands the leadership to another voter, if this member leads, and returns once it no longer leads
// or ctx ends. It does nothing if this is the only voter.
func (n *Node) TransferLeadership(ctx context.Context) {
	t := time.NewTicker(TickMs.Duration())
	defer t.Stop()
	for {
		s, err := n.Status(ctx)
		if err != nil || s.Role != quorum.RoleLeader || s.Members.VoterCount() < 2 {
			return
		}
		if err := n.enqueue(ctx, func(l *loop) { l.core.TransferLeadership("") }); err != nil {
			return
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}
