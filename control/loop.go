package control

import (
	"context"
	"fmt"
	"sync"
	"time"

	"samphirepass"
	"samphirepass/disk"
	"samphirepass/ledger"
	"samphirepass/quorum"
)

// proposalResult is the outcome of a proposal.
type proposalResult struct {
	index  samphirepass.Revision
	result ledger.Result
	err    error
}

// proposal is a proposed entry that is not applied yet.
type proposal struct {
	term samphirepass.Term
	done chan proposalResult
}

// loop runs the quorum core and writes the disk of one node; its state is accessed by the loop goroutine only.
type loop struct {
	node  *Node
	core  *quorum.Core
	store *disk.Store
	// applied is the index of the last entry applied to the ledger.
	applied  samphirepass.Revision
	snapshot quorum.Snapshot

	// proposals are the unapplied proposals of this member by log index.
	proposals map[samphirepass.Revision]proposal
	// queuedReads are not yet passed to the core; pendingReads, keyed by readID, wait for its confirmation.
	queuedReads  []chan error
	pendingReads map[uint64][]chan error
	readID       uint64
	// confirmedReads wait until their index is applied.
	confirmedReads []confirmedRead
	ticks          int
	// loggedSilent holds the voters that were last logged as silent.
	loggedSilent []string
	// writingSnapshot is set while a snapshot is being written; snapshotErr ends the loop after a failed one.
	writingSnapshot bool
	snapshotErr     error
	// snapshotWrites waits for the goroutine that writes a snapshot.
	snapshotWrites sync.WaitGroup
}

// confirmedRead is a group of reads that the core confirmed together.
type confirmedRead struct {
	index samphirepass.Revision
	done  []chan error
}

func (l *loop) run(ctx context.Context) error {
	if err := l.node.ledger.Restore(l.snapshot.Data); err != nil {
		return fmt.Errorf("restore ledger from snapshot: %w", err)
	}
	t := time.NewTicker(TickMs.Duration())
	defer t.Stop()
	for {
		select {
		case f := <-l.node.events:
			f(l)
		case <-t.C:
			l.tick()
		case <-ctx.Done():
			return fmt.Errorf("control loop: %w", ctx.Err())
		}
		l.handleQueuedEvents()
		l.startReads()
		if err := l.processReady(); err != nil {
			return fmt.Errorf("control loop: %w", err)
		}
	}
}

// handleQueuedEvents runs the other queued events, so that one disk sync covers all of them.
func (l *loop) handleQueuedEvents() {
	for range maxEventsPerSync {
		select {
		case f := <-l.node.events:
			f(l)
		default:
			return
		}
	}
}

func (l *loop) tick() {
	l.core.Tick()
	l.ticks++
	l.node.publishCoreState(l.core)
	if l.core.Role() == quorum.RoleLeader {
		l.reconcileMembers()
	}
}

func (l *loop) propose(data []byte, p proposal) {
	index, term, err := l.core.Propose(data)
	if err != nil {
		p.done <- proposalResult{err: l.notLeader()}
		return
	}
	p.term = term
	l.proposals[index] = p
}

func (l *loop) notLeader() error {
	r := samphirepass.Refuse(samphirepass.CodeNotLeader, "member %s does not lead", l.node.opts.VM)
	r.Leader = l.core.Leader()
	leader, _ := l.core.Members().Find(r.Leader)
	r.LeaderAddress = leader.Address
	return r
}

// startReads passes all queued reads to the core under one id, so that one round of heartbeats confirms them all.
func (l *loop) startReads() {
	if len(l.queuedReads) == 0 {
		return
	}
	l.readID++
	if err := l.core.ReadIndex(l.readID); err != nil {
		completeAll(l.queuedReads, l.notLeader())
	} else {
		l.pendingReads[l.readID] = l.queuedReads
	}
	l.queuedReads = nil
}

func completeAll(reads []chan error, err error) {
	for _, done := range reads {
		done <- err
	}
}

// processReady does the pending work of the core until there is none left.
func (l *loop) processReady() error {
	for {
		r := l.core.Ready()
		if r.Empty() {
			return l.snapshotErr
		}
		if err := l.save(r); err != nil {
			return err
		}
		l.send(r.Messages)
		if err := l.apply(r.Committed); err != nil {
			return err
		}
		l.completeReads(r)
		l.core.Advance(r)
		l.maybeSnapshot()
	}
}

func (l *loop) save(r quorum.Ready) error {
	if err := l.store.Save(r.HardState, nil); err != nil {
		return fmt.Errorf("save term and vote: %w", err)
	}
	if r.Snapshot != nil {
		// A snapshot that this version would not keep whole does not reach the disk.
		if err := l.node.ledger.Restore(r.Snapshot.Data); err != nil {
			return fmt.Errorf("restore ledger from received snapshot: %w", err)
		}
		if err := l.store.SaveSnapshot(*r.Snapshot, nil); err != nil {
			return fmt.Errorf("save received snapshot: %w", err)
		}
		l.applied = r.Snapshot.Index
		l.node.notifyChanged()
	}
	if err := l.store.Save(nil, r.Entries); err != nil {
		return fmt.Errorf("save entries: %w", err)
	}
	return nil
}

func (l *loop) send(messages []quorum.Message) {
	members := l.core.Members()
	for _, m := range messages {
		to, ok := members.Find(m.To)
		if !ok {
			to = l.node.findProcess(m.To)
		}
		if to.Address != "" {
			l.node.opts.Peers.Get(to.Address).Notify(kindRaft, m)
		}
	}
}

func (l *loop) apply(entries []quorum.Entry) error {
	for _, e := range entries {
		var result ledger.Result
		if e.Kind == quorum.EntryData {
			cmd, err := ledger.DecodeCommand(e.Data)
			if later := ledger.CheckLevel(cmd.Level, l.node.opts.Level); later != nil {
				err = later
			}
			if err != nil {
				return fmt.Errorf("apply entry %d: %w", e.Index, err)
			}
			result = l.node.ledger.Apply(e.Index, cmd)
		}
		l.applied = e.Index
		l.completeProposal(e, result)
	}
	if len(entries) > 0 {
		l.node.notifyChanged()
	}
	return nil
}

// completeProposal replies to the proposal at the entry's index. If the entry has another term, a new leader has
// replaced the proposed one.
func (l *loop) completeProposal(e quorum.Entry, result ledger.Result) {
	p, ok := l.proposals[e.Index]
	if !ok {
		return
	}
	delete(l.proposals, e.Index)
	if p.term != e.Term {
		p.done <- proposalResult{err: l.notLeader()}
		return
	}
	p.done <- proposalResult{index: e.Index, result: result}
}

func (l *loop) completeReads(r quorum.Ready) {
	for _, id := range r.AbortedReads {
		completeAll(l.pendingReads[id], l.notLeader())
		delete(l.pendingReads, id)
	}
	for _, read := range r.Reads {
		l.confirmedReads = append(l.confirmedReads, confirmedRead{index: read.Index, done: l.pendingReads[read.ID]})
		delete(l.pendingReads, read.ID)
	}
	remaining := l.confirmedReads[:0]
	for _, c := range l.confirmedReads {
		if c.index > l.applied {
			remaining = append(remaining, c)
			continue
		}
		completeAll(c.done, nil)
	}
	l.confirmedReads = remaining
}

// snapshotRecordsPerEntry is the number of records that a snapshot may write for each entry that it removes from the log.
const snapshotRecordsPerEntry = 4

// snapshotLogBytes is the size of the log at which a snapshot is taken. Together with the previous snapshot, a log
// of this size takes far less than a disk of 64 MB.
const snapshotLogBytes = 8 << 20

// maybeSnapshot starts a snapshot once the log has grown in proportion to the state, so that the cost per entry stays
// constant, or has reached snapshotLogBytes. The snapshot is encoded and written in another goroutine, because the loop
// must not block for longer than an election timeout.
func (l *loop) maybeSnapshot() {
	minEntries := max(l.node.opts.SnapshotEntries, l.node.ledger.RecordCount()/snapshotRecordsPerEntry)
	if l.writingSnapshot || l.applied <= l.snapshot.Index || (l.core.LogLength() < minEntries && l.core.LogBytes() < snapshotLogBytes) {
		return
	}
	l.writingSnapshot = true
	l.snapshotWrites.Add(1)
	snapshot, state := l.core.SnapshotAt(l.applied), l.node.ledger.Copy()
	go func() {
		defer l.snapshotWrites.Done()
		err := l.writeSnapshot(&snapshot, state)
		// This fails only if the node has stopped in the meantime; it then does not need the snapshot.
		_ = l.node.enqueue(context.Background(), func(l *loop) { l.finishSnapshot(snapshot, err) })
	}()
}

func (l *loop) writeSnapshot(snapshot *quorum.Snapshot, state ledger.StateCopy) error {
	data, err := state.Encode()
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	snapshot.Data = data
	if err := l.store.WriteSnapshot(*snapshot); err != nil {
		return fmt.Errorf("write snapshot: %w", err)
	}
	return nil
}

// finishSnapshot compacts the log to a snapshot that has been written, unless a newer one was received from the leader
// in the meantime.
func (l *loop) finishSnapshot(snapshot quorum.Snapshot, err error) {
	l.writingSnapshot = false
	if err != nil {
		l.snapshotErr = err
		return
	}
	if !l.core.Compact(snapshot) {
		return
	}
	l.snapshot = snapshot
	if err := l.store.Compact(snapshot, l.core.StableEntries()); err != nil {
		l.snapshotErr = fmt.Errorf("compact log to snapshot: %w", err)
	}
}
