package control

import (
	"samphirepass"
	"samphirepass/cbor"
	"samphirepass/ledger"
	"samphirepass/quorum"
)

// membershipCheckTicks is the number of ticks between two checks of the membership by the leader.
const membershipCheckTicks = 2

// maxLearnerLagEntries is the number of entries that a learner may lack when it becomes a voter.
const maxLearnerLagEntries = 8

// reconcileMembers is run by the leader: it admits joining disks, promotes learners that have caught up to voters and
// finishes the forming of a new log. It proposes one membership change at a time.
func (l *loop) reconcileMembers() {
	if l.ticks%membershipCheckTicks != 0 {
		return
	}
	members := l.core.Members()
	if l.node.dynamicMembership() && l.reconcileDynamic(members) {
		return
	}
	for _, m := range members {
		next, ok := l.nextJoinStep(m)
		if !ok {
			continue
		}
		if err := l.core.ProposeMembers(members.With(next)); err == nil {
			l.node.opts.Log("Leader proposes member %s with disk %s, voter %v.", next.VM, next.Disk, next.Voter)
		}
		return
	}
	if l.recordLevels(members) {
		return
	}
	l.maybeFinishForming(members)
}

// nextJoinStep returns m changed by the next step of its joining, and whether there is such a step: a new disk replaces
// the disk of a learner or of a silent voter and becomes a learner, and a learner that has caught up becomes a voter.
func (l *loop) nextJoinStep(m quorum.Member) (quorum.Member, bool) {
	if m.VM == l.node.opts.VM {
		return m, false
	}
	hello, fresh := l.node.lastHelloOf(m.VM)
	if fresh && hello.Disk != m.Disk {
		if m.Voter && l.core.Active(m.VM) {
			return m, false
		}
		return quorum.Member{VM: m.VM, Address: hello.Address, Disk: hello.Disk, Level: hello.Level}, true
	}
	if m.Voter || !l.caughtUp(m) {
		return m, false
	}
	m.Voter = true
	return m, true
}

// keepsUp reports whether a member answers and holds all but maxLearnerLagEntries of the log.
func (l *loop) keepsUp(m quorum.Member) bool {
	answers := l.silentMs(m) < silentVoterTimeoutMs
	return m.Disk != "" && l.core.MatchIndex(m.VM)+maxLearnerLagEntries >= l.core.LastIndex() && answers
}

// caughtUp reports whether a member keeps up and holds all committed entries.
func (l *loop) caughtUp(m quorum.Member) bool {
	return l.keepsUp(m) && l.core.MatchIndex(m.VM) >= l.core.CommitIndex()
}

// lastHelloOf returns the last hello of vm and whether it came within helloExpiryMs.
func (n *Node) lastHelloOf(vm samphirepass.VM) (lastHello, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	hello, ok := n.hellos[vm]
	return hello, ok && n.opts.Clock.Now()-hello.at < helloExpiryMs
}

// maybeFinishForming proposes the command that finishes the forming of a new log, once all members are voters and there are
// at least Options.Voters of them.
func (l *loop) maybeFinishForming(members quorum.Members) {
	if l.node.ledger.Formed() || members.VoterCount() < max(len(members), l.node.opts.Voters) {
		return
	}
	data, err := cbor.Marshal(ledger.Command{NowMs: l.node.opts.Clock.Wall(), FinishForming: &ledger.FinishForming{SeatCount: l.node.opts.Seats}})
	if err != nil {
		return
	}
	if _, _, err := l.core.Propose(data); err == nil {
		l.node.opts.Log("All members are voters; leader proposes to finish forming the log.")
	}
}
