package quorum_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/quorum"
)

// diskState is the content of one disk.
type diskState struct {
	id       samphirepass.DiskID
	hard     quorum.HardState
	snapshot quorum.Snapshot
	entries  []quorum.Entry
}

// member is one simulated control VM.
type member struct {
	vm      samphirepass.VM
	disk    *diskState
	core    *quorum.Core
	applied []string
	// pausedSteps is the number of steps for which the process remains paused.
	pausedSteps int
}

// schedule is a simulation of members under random faults, which checks safety at each step.
type schedule struct {
	t        require.TestingT
	rnd      *rand.Rand
	members  []*member
	inFlight []quorum.Message
	// blocked holds the pairs of sender and receiver between which messages are dropped.
	blocked map[[2]samphirepass.VM]bool
	// history is the sequence of applied entries; those of each member must be a prefix of it.
	history []string
	// acked holds the writes that a leader has applied, proposed all that were proposed.
	acked    map[string]bool
	proposed map[string]bool
	// nextWrite is the number of the next write, diskCount the number of disks created so far.
	nextWrite int
	diskCount int
	// leaders holds the leader of each term.
	leaders map[samphirepass.Term]samphirepass.VM
	// wiped is the VM whose replaced disk is being readmitted; it is empty if there is none.
	wiped  samphirepass.VM
	readID uint64
	// reads maps a read to the index of the last write that was acknowledged when the read was requested.
	reads map[uint64]int
	// reuseDiskID gives an empty disk the id of the one that it replaces, as a system without disk ids would.
	reuseDiskID bool
}

func newSchedule(t require.TestingT, seed int64, n int) *schedule {
	s := &schedule{
		t: t, rnd: rand.New(rand.NewSource(seed)), blocked: map[[2]samphirepass.VM]bool{}, acked: map[string]bool{},
		proposed: map[string]bool{}, leaders: map[samphirepass.Term]samphirepass.VM{}, reads: map[uint64]int{},
	}
	var all quorum.Members
	for i := range n {
		m := &member{vm: samphirepass.VM(fmt.Sprintf("c%d", i)), disk: s.newDisk()}
		s.members = append(s.members, m)
		all = all.With(quorum.Member{VM: m.vm, Disk: m.disk.id, Voter: true})
	}
	for _, m := range s.members {
		m.disk.hard.Term = 1
		m.disk.entries = []quorum.Entry{{Index: 1, Term: 1, Kind: quorum.EntryMembers, Members: all}}
		s.start(m)
	}
	return s
}

func (s *schedule) newDisk() *diskState {
	s.diskCount++
	return &diskState{id: samphirepass.DiskID(fmt.Sprintf("disk-%d", s.diskCount))}
}

// start creates the core of m from its disk, as a restart does.
func (s *schedule) start(m *member) {
	d := m.disk
	m.core = quorum.New(quorum.Options{
		VM: m.vm, Disk: d.id, Rand: rand.New(rand.NewSource(s.rnd.Int63())),
		HardState: d.hard, Snapshot: d.snapshot, Entries: slices.Clone(d.entries),
	})
	m.applied = s.history[:0:0]
	if d.snapshot.Index > 0 {
		m.applied = decodeApplied(d.snapshot.Data)
	}
}

// encodeApplied returns the data of a snapshot: the applied entries, each followed by a zero byte.
func encodeApplied(applied []string) []byte {
	var data []byte
	for _, record := range applied {
		data = append(append(data, record...), 0)
	}
	return data
}

func decodeApplied(data []byte) []string {
	var applied []string
	start := 0
	for i, b := range data {
		if b == 0 {
			applied = append(applied, string(data[start:i]))
			start = i + 1
		}
	}
	return applied
}

// processReady does all pending work of the core; with crash, the process restarts after the disk is written but before anything is sent.
func (s *schedule) processReady(m *member, crash bool) {
	for r := m.core.Ready(); !r.Empty(); r = m.core.Ready() {
		s.save(m, r)
		if crash {
			s.start(m)
			return
		}
		s.inFlight = append(s.inFlight, r.Messages...)
		s.apply(m, r.Committed)
		s.checkReads(m, r)
		m.core.Advance(r)
	}
	s.checkLeader(m)
}

func (s *schedule) save(m *member, r quorum.Ready) {
	if r.HardState != nil {
		m.disk.hard = *r.HardState
	}
	if r.Snapshot != nil {
		m.disk.snapshot, m.disk.entries = *r.Snapshot, nil
		m.applied = decodeApplied(r.Snapshot.Data)
	}
	for _, e := range r.Entries {
		keep := e.Index - m.disk.snapshot.Index - 1
		m.disk.entries = append(slices.Clone(m.disk.entries[:keep]), e)
	}
}

func (s *schedule) apply(m *member, entries []quorum.Entry) {
	for _, e := range entries {
		require.EqualValues(s.t, len(m.applied)+1, e.Index, "%s applies out of order", m.vm)
		record := fmt.Sprintf("%d/%s/%s", e.Term, e.Kind, e.Data)
		m.applied = append(m.applied, record)
		if len(s.history) < len(m.applied) {
			s.history = append(s.history, record)
		}
		require.Equal(s.t, s.history[e.Index-1], record, "%s applied another entry at %d", m.vm, e.Index)
		if s.proposed[string(e.Data)] && m.core.Role() == quorum.RoleLeader {
			s.acked[string(e.Data)] = true
		}
	}
}

// checkReads checks that a confirmed read sees every write acknowledged before it was requested.
func (s *schedule) checkReads(m *member, r quorum.Ready) {
	for _, read := range r.Reads {
		require.GreaterOrEqual(s.t, int(read.Index), s.reads[read.ID], "%s confirmed a stale read", m.vm)
	}
}

func (s *schedule) checkLeader(m *member) {
	if m.core.Role() != quorum.RoleLeader {
		return
	}
	term := m.core.Term()
	if leader, ok := s.leaders[term]; ok {
		require.Equal(s.t, leader, m.vm, "two leaders in term %d", term)
	}
	s.leaders[term] = m.vm
}

// randomRunning returns a random member that is not paused.
func (s *schedule) randomRunning() *member {
	for {
		m := s.members[s.rnd.Intn(len(s.members))]
		if m.pausedSteps == 0 {
			return m
		}
	}
}

// isolate blocks all messages between one member and the others.
func (s *schedule) isolate(m *member) {
	for _, other := range s.members {
		s.blocked[[2]samphirepass.VM{m.vm, other.vm}] = true
		s.blocked[[2]samphirepass.VM{other.vm, m.vm}] = true
	}
}

// pause pauses one process for a random number of steps, unless one is paused already.
func (s *schedule) pause() {
	for _, m := range s.members {
		if m.pausedSteps > 0 {
			return
		}
	}
	s.randomRunning().pausedSteps = 50 + s.rnd.Intn(400)
}

// resume counts down the pauses and requests a read from a process as soon as it resumes: a former leader must not confirm it.
func (s *schedule) resume() {
	for _, m := range s.members {
		if m.pausedSteps == 0 {
			continue
		}
		m.pausedSteps--
		if m.pausedSteps == 0 {
			s.readAt(m)
		}
	}
}

// step performs one random action.
func (s *schedule) step() {
	s.resume()
	switch n := s.rnd.Intn(1000); {
	case n < 400:
		m := s.randomRunning()
		m.core.Tick()
		s.processReady(m, false)
	case n < 900:
		s.deliver()
	case n < 940:
		s.propose()
	case n < 960:
		s.readAt(s.randomRunning())
	case n < 965:
		a, b := s.randomRunning(), s.randomRunning()
		s.blocked[[2]samphirepass.VM{a.vm, b.vm}] = true
	case n < 972:
		s.isolate(s.randomRunning())
	case n < 980:
		s.blocked = map[[2]samphirepass.VM]bool{}
	case n < 984:
		s.pause()
	case n < 988:
		s.start(s.randomRunning())
	case n < 991:
		s.compact(s.randomRunning())
	case n < 993:
		s.randomRunning().core.TransferLeadership("")
	case n < 997:
		s.wipe()
	default:
		m := s.randomRunning()
		m.core.Tick()
		s.processReady(m, true)
	}
	s.rejoin()
}

// deliver processes one of the 8 oldest messages in flight, which may be lost or delivered again later.
func (s *schedule) deliver() {
	if len(s.inFlight) == 0 {
		return
	}
	i := s.rnd.Intn(min(len(s.inFlight), 8))
	m := s.inFlight[i]
	if s.rnd.Intn(20) > 0 {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
	if s.rnd.Intn(20) == 0 || s.blocked[[2]samphirepass.VM{m.From, m.To}] {
		return
	}
	for _, to := range s.members {
		if to.vm == m.To && to.pausedSteps == 0 {
			to.core.Step(m)
			s.processReady(to, false)
		}
	}
}

func (s *schedule) propose() {
	m := s.randomRunning()
	data := fmt.Sprintf("w%d", s.nextWrite)
	if _, _, err := m.core.Propose([]byte(data)); err == nil {
		s.nextWrite++
		s.proposed[data] = true
		s.processReady(m, false)
	}
}

// readAt requests a linearizable read from one member.
func (s *schedule) readAt(m *member) {
	s.readID++
	last := 0
	for i, record := range s.history {
		var term int
		var data string
		if _, err := fmt.Sscanf(record, "%d/data/%s", &term, &data); err == nil && s.acked[data] {
			last = i + 1
		}
	}
	s.reads[s.readID] = last
	if m.core.ReadIndex(s.readID) == nil {
		s.processReady(m, false)
	}
}

func (s *schedule) compact(m *member) {
	index := samphirepass.Revision(len(m.applied))
	if index <= m.disk.snapshot.Index {
		return
	}
	snapshot := m.core.SnapshotAt(index)
	snapshot.Data = encodeApplied(m.applied)
	m.core.Compact(snapshot)
	m.disk.entries = slices.Clone(m.disk.entries[index-m.disk.snapshot.Index:])
	m.disk.snapshot = snapshot
}

// wipe replaces the disk of one VM by an empty one, provided that all members vote with their current disks and no disk
// that was wiped earlier is still being readmitted.
func (s *schedule) wipe() {
	for _, m := range s.members {
		voter, _ := m.core.Members().Find(m.vm)
		if !voter.Voter || voter.Disk != m.disk.id {
			return
		}
	}
	if s.wiped != "" {
		return
	}
	m := s.randomRunning()
	id := m.disk.id
	m.disk = s.newDisk()
	if s.reuseDiskID {
		m.disk.id = id
		s.start(m)
		return
	}
	s.wiped = m.vm
	s.start(m)
}

// rejoin has a leader readmit the VM with the wiped disk as a learner and later as a voter, as package control does.
func (s *schedule) rejoin() {
	if s.wiped == "" {
		return
	}
	var m *member
	for _, candidate := range s.members {
		if candidate.vm == s.wiped {
			m = candidate
		}
	}
	for _, leader := range s.members {
		listed, _ := leader.core.Members().Find(m.vm)
		switch {
		case leader == m || leader.pausedSteps > 0 || leader.core.Role() != quorum.RoleLeader:
		case listed.Disk != m.disk.id:
			_ = leader.core.ProposeMembers(leader.core.Members().With(quorum.Member{VM: m.vm, Disk: m.disk.id}))
		case !listed.Voter && leader.core.MatchIndex(m.vm) >= leader.core.CommitIndex() && leader.core.MatchIndex(m.vm) > 0:
			_ = leader.core.ProposeMembers(leader.core.Members().With(quorum.Member{VM: m.vm, Disk: m.disk.id, Voter: true}))
		case listed.Voter && m.core.CommitIndex() >= leader.core.CommitIndex():
			s.wiped = ""
		}
		s.processReady(leader, false)
	}
}

// checkAcked checks that every acknowledged write is in the agreed history.
func (s *schedule) checkAcked() {
	records := map[string]bool{}
	for _, record := range s.history {
		records[record] = true
	}
	for data := range s.acked {
		found := false
		for record := range records {
			var term int
			var recorded string
			if _, err := fmt.Sscanf(record, "%d/data/%s", &term, &recorded); err == nil && recorded == data {
				found = true
			}
		}
		require.True(s.t, found, "acknowledged write %s is lost", data)
	}
}

// checkLiveness ends all faults and checks that the members then elect a leader that accepts a proposal.
func (s *schedule) checkLiveness(t *testing.T) {
	s.blocked = map[[2]samphirepass.VM]bool{}
	for _, m := range s.members {
		m.pausedSteps = 0
	}
	before := s.nextWrite
	for range 4000 {
		m := s.randomRunning()
		m.core.Tick()
		s.processReady(m, false)
		for range 4 {
			s.deliver()
		}
		s.rejoin()
		if s.nextWrite == before {
			s.propose()
		}
	}
	require.Greater(t, s.nextWrite, before, "no leader after all faults ended")
}

const (
	scheduleCount = 2000
	scheduleSteps = 1500
)

// TestProofSchedules guards against violations of safety under message loss, delay and duplication, partitions, pauses, crashes
// and lost disks.
func TestProofSchedules(t *testing.T) {
	t.Parallel()
	acked, terms := 0, 0
	for seed := range scheduleCount {
		s := newSchedule(t, int64(seed), 3+2*(seed%2))
		for range scheduleSteps {
			s.step()
		}
		if seed%10 == 0 {
			s.checkLiveness(t)
		}
		s.checkAcked()
		acked += len(s.acked)
		terms += len(s.leaders)
	}
	// Schedules without progress would check nothing.
	require.Greater(t, acked, scheduleCount)
	require.Greater(t, terms, scheduleCount)
	t.Logf("%d acknowledged writes in %d terms", acked, terms)
}

// panicT stands in for a testing.T where a schedule is expected to violate safety; a failed check panics.
type panicT struct{}

// Errorf drops the message.
func (panicT) Errorf(string, ...any) {}

// FailNow ends the schedule with a panic, which violatesSafety recovers.
func (t panicT) FailNow() { panic(t) }

// violatesSafety runs the schedule of seed, changed by prepare, and reports whether it violates safety.
func violatesSafety(seed int64, prepare func(*schedule)) (violated bool) {
	defer func() {
		if r := recover(); r != nil {
			violated = true
		}
	}()
	s := newSchedule(panicT{}, seed, 3)
	prepare(s)
	for range 2 * scheduleSteps {
		s.step()
	}
	s.checkAcked()
	return false
}

// TestProofSchedulesNeedDiskIDs checks that the schedules detect the fault that disk ids prevent: a member that returns with
// an empty disk under its old id votes as if it had lost nothing, and acknowledged writes are lost.
func TestProofSchedulesNeedDiskIDs(t *testing.T) {
	t.Parallel()
	violations := 0
	for seed := range int64(200) {
		if violatesSafety(seed, func(s *schedule) { s.reuseDiskID = true }) {
			violations++
		}
	}
	require.Positive(t, violations)
	t.Logf("%d of 200 schedules violated safety", violations)
}
