package control

import (
	"samphirepass"
	"samphirepass/cbor"
	"samphirepass/ledger"
	"samphirepass/quorum"
)

// membershipCheckTicks is the number of ticks between two looks at the membership.
const membershipCheckTicks = 2

// maxLearnerLagEntries is the number of entries that a learner may lack when it gets its vote.
const maxLearnerLagEntries = 8

// reconcileMembers does the leader's standing duties: it takes in joining disks, gives votes and ends the forming of a new log.
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
			l.node.o.Log("Member %s with disk %s: voter %v.", next.VM, next.Disk, next.Voter)
		}
		return
	}
	l.maybeForm(members)
}

// nextJoinStep returns the next step of one member's joining, if there is one.
func (l *loop) nextJoinStep(m quorum.Member) (quorum.Member, bool) {
	if m.VM == l.node.o.VM {
		return m, false
	}
	g, fresh := l.node.lastHelloOf(m.VM)
	if fresh && g.Disk != m.Disk {
		if m.Voter && l.core.Active(m.VM) {
			return m, false
		}
		return quorum.Member{VM: m.VM, Address: g.Address, Disk: g.Disk}, true
	}
	if m.Voter || !l.caughtUp(m) {
		return m, false
	}
	m.Voter = true
	return m, true
}

// caughtUp reports whether a member that answers holds all that is committed and nearly all of the log.
func (l *loop) caughtUp(m quorum.Member) bool {
	match := l.core.MatchIndex(m.VM)
	return m.Disk != "" && match+maxLearnerLagEntries >= l.core.LastIndex() && match >= l.core.CommitIndex() && l.core.Active(m.VM)
}

func (n *Node) lastHelloOf(vm samphirepass.VM) (lastHello, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	g, ok := n.hellos[vm]
	return g, ok && n.o.Clock.Now()-g.at < helloExpiryMs
}

func (l *loop) maybeForm(members quorum.Members) {
	if l.node.ledger.Formed() || members.VoterCount() < max(len(members), l.node.o.Voters) {
		return
	}
	data, err := cbor.Marshal(ledger.Command{NowMs: l.node.o.Clock.Wall(), FinishForming: &ledger.FinishForming{SeatCount: l.node.o.Seats}})
	if err != nil {
		return
	}
	if _, _, err := l.core.Propose(data); err == nil {
		l.node.o.Log("All members vote; the log is formed.")
	}
}
