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
	"samphirepass/cbor"
	"samphirepass/disk"
	"samphirepass/ledger"
	"samphirepass/peer"
	"samphirepass/quorum"
)

const (
	// TickMs is the length of one tick of the quorum core.
	TickMs samphirepass.Millis = 50
	// maxEventsPerSync is the number of events taken in before the disk is synced again.
	maxEventsPerSync = 512
	// DefaultSnapshotEntries is the length of the log at which a snapshot is taken.
	DefaultSnapshotEntries = 1000
	// eventQueueLength is the number of messages that may wait for the loop.
	eventQueueLength = 4096
	// firstElectionTicks spreads the first elections of members that start together over 300 ms.
	firstElectionTicks = 6
	// unknownLeaderAgeMs stands for the age of a leader that was never heard of.
	unknownLeaderAgeMs samphirepass.Millis = 1e9
)

// errDiskRolledBack tells that the other members saw this disk in a later state than it is in.
var errDiskRolledBack = eris.New("control: the disk is older than what the others saw of it")

// Options set up a Node.
type Options struct {
	VM      samphirepass.VM
	Address string
	// Members are the first members of a new log, this one included.
	Members []quorum.Member
	// Seeds are the peer addresses of some of the processes of control, where no list of members is given:
	// members then join and leave by themselves.
	Seeds []string
	// AllowBootstrap lets the seeds found a new log; without it an empty disk waits for members that hold one.
	AllowBootstrap bool
	// Voters is the number of voters that a new log waits for, and that silent members are not removed below.
	Voters int
	// Seats is the number of entry VMs that a new log provides for.
	Seats int
	Files samphirepass.DataFolder
	Clock samphirepass.Clock
	Peers *peer.Pool
	// SnapshotEntries is the length of the log at which a snapshot is taken; 0 means DefaultSnapshotEntries.
	SnapshotEntries int
	// Log takes one line for each notable event; nil drops them.
	Log func(format string, args ...any)
}

// Node is one control member; Serve runs it, and its handlers are safe for concurrent use.
type Node struct {
	o       Options
	ledger  *ledger.State
	events  chan func(*loop)
	stopped chan struct{}
	ready   chan struct{}

	mu       sync.Mutex
	identity disk.Identity
	started  bool
	// loadedLog is set where the disk held a log at the start.
	loadedLog      bool
	diskStates     map[samphirepass.DiskID]diskState
	hellos         map[samphirepass.VM]lastHello
	appliedByEntry map[samphirepass.VM]samphirepass.Revision
	changed        chan struct{}
	// members is the latest membership that the loop has seen.
	members quorum.Members
	// processVMs are the peer addresses of other processes of control that this one has learned of.
	processVMs map[string]samphirepass.VM
	// loggedState is the role, term and leader that were logged last.
	loggedState string
	// leaderAge is the time since a leader was last heard of, leader the last known one.
	leaderAge samphirepass.Millis
	leader    quorum.Member

	seatMu sync.Mutex
}

// lastHello is the last hello of one VM.
type lastHello struct {
	helloRequest
	at samphirepass.Millis
}

// NewNode returns a node that has not started.
func NewNode(o Options) *Node {
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = DefaultSnapshotEntries
	}
	if o.Log == nil {
		o.Log = func(string, ...any) {}
	}
	return &Node{
		o: o, ledger: ledger.New(), events: make(chan func(*loop), eventQueueLength), stopped: make(chan struct{}),
		ready: make(chan struct{}), diskStates: map[samphirepass.DiskID]diskState{}, hellos: map[samphirepass.VM]lastHello{},
		appliedByEntry: map[samphirepass.VM]samphirepass.Revision{}, changed: make(chan struct{}),
		processVMs: map[string]samphirepass.VM{}, leaderAge: unknownLeaderAgeMs,
	}
}

// Serve runs the node until ctx ends or the disk fails; after a disk fault the process must stop.
func (n *Node) Serve(ctx context.Context) error {
	store, loaded, err := disk.Open(n.o.Files, newDiskID())
	if err != nil {
		close(n.stopped)
		return fmt.Errorf("open data folder: %w", err)
	}
	defer store.Close()
	n.o.Log("Disk %s opened, time %d.", loaded.Disk, loaded.Boot)
	l, err := n.join(ctx, store, loaded)
	if err != nil {
		close(n.stopped)
		return fmt.Errorf("join members: %w", err)
	}
	go n.sendHellos(ctx)
	err = l.run(ctx)
	close(n.stopped)
	// Nothing may touch the data folder once the member has ended.
	l.snapshotWrites.Wait()
	return err
}

// join shakes hands with the other members until it is safe to take part, and returns the loop to run.
func (n *Node) join(ctx context.Context, store *disk.Store, loaded disk.Loaded) (*loop, error) {
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

// replaceDisk gives an old disk a new identity, so that it joins as an empty one.
func (n *Node) replaceDisk(store *disk.Store) (*loop, error) {
	id, err := store.Reformat(newDiskID())
	if err != nil {
		return nil, fmt.Errorf("replace old disk: %w", err)
	}
	n.o.Log("Disk is older than the members saw it; rejoining as disk %s.", id.Disk)
	n.setIdentity(id, false)
	return n.newLoop(store, disk.Loaded{Identity: id}), nil
}

func (n *Node) setIdentity(id disk.Identity, loadedLog bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.identity = id
	n.loadedLog = loadedLog
}

// publishCoreState keeps what others ask of the core between two ticks.
func (n *Node) publishCoreState(c *quorum.Core) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if belief := fmt.Sprintf("%s in term %d, leader %q", c.Role(), c.Term(), c.Leader()); belief != n.loggedState {
		n.loggedState = belief
		n.o.Log("Member is %s; commit %d, last %d, %d voters.", belief, c.CommitIndex(), c.LastIndex(), c.Members().VoterCount())
	}
	n.members = c.Members()
	n.leaderAge = unknownLeaderAgeMs
	n.leader = quorum.Member{}
	if m, ok := n.members.Find(c.Leader()); ok {
		n.leader = m
		n.leaderAge = samphirepass.Millis(c.TicksSinceLeader()) * TickMs
	}
}

// Leader returns the member that leads and the time since it was last heard of; the age is huge if none is known.
func (n *Node) Leader() (quorum.Member, samphirepass.Millis) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leader, n.leaderAge
}

// Members returns the membership that this member knows.
func (n *Node) Members() quorum.Members {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members
}

// Changed returns a channel that is closed at the next change of the replicated state.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

func (n *Node) newLoop(store *disk.Store, loaded disk.Loaded) *loop {
	first := 0
	if n.dynamicMembership() {
		first = firstElectionTicks
	}
	core := quorum.New(quorum.Options{
		FirstElectionTicksMax: first, VM: n.o.VM, Disk: loaded.Disk, Rand: rand.New(rand.NewSource(time.Now().UnixNano())),
		HardState: loaded.Hard, Snapshot: loaded.Snapshot, Entries: loaded.Entries,
	})
	return &loop{
		node: n, core: core, store: store, applied: loaded.Snapshot.Index, snapshot: loaded.Snapshot,
		proposals: map[samphirepass.Revision]proposal{}, pendingReads: map[uint64][]chan error{},
	}
}

// initialMembers is the membership of a new log: this VM votes, the others are awaited.
func (n *Node) initialMembers() quorum.Members {
	if n.dynamicMembership() {
		return quorum.Members{{VM: n.o.VM, Address: n.o.Address, Disk: n.identity.Disk, Voter: true}}
	}
	var out quorum.Members
	for _, m := range n.o.Members {
		if m.VM == n.o.VM {
			m.Disk, m.Voter = n.identity.Disk, true
		}
		out = out.With(m)
	}
	return out
}

// enqueue runs f on the loop; it fails once the node has stopped.
func (n *Node) enqueue(ctx context.Context, f func(*loop)) error {
	// The queue may have room after the loop has ended, so the end is looked for first.
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

// Propose commits one command and returns its result; a refusal with NotRun promises that it will not commit.
func (n *Node) Propose(ctx context.Context, cmd ledger.Command) (samphirepass.Revision, ledger.Result, error) {
	if err := n.awaitStart(ctx); err != nil {
		return 0, ledger.Result{}, err
	}
	cmd.NowMs = n.o.Clock.Wall()
	data, err := cbor.Marshal(cmd)
	if err != nil {
		return 0, ledger.Result{}, fmt.Errorf("encode command: %w", err)
	}
	p := proposal{done: make(chan proposalResult, 1)}
	if err := n.enqueue(ctx, func(l *loop) { l.propose(data, p) }); err != nil {
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

// ReadBarrier returns once the ledger holds everything that was committed when it was called.
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

// Status describes the member.
func (n *Node) Status(ctx context.Context) (Status, error) {
	n.mu.Lock()
	s := Status{VM: n.o.VM, Disk: n.identity.Disk, Formed: n.ledger.Formed(), Seats: n.ledger.View().Seats}
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

// TransferLeadership passes the leadership on, if this member has it, and returns once it has gone or ctx ends.
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
