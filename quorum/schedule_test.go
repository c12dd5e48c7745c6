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

// saved is what one disk holds.
type saved struct {
	id       samphirepass.DiskID
	hard     quorum.HardState
	snapshot quorum.Snapshot
	entries  []quorum.Entry
}

// member is one control VM of a schedule.
type member struct {
	vm      samphirepass.VM
	disk    *saved
	core    *quorum.Core
	applied []string
	// frozen counts the steps for which the process stands still.
	frozen int
}

// schedule runs members under random faults and checks safety at each step.
type schedule struct {
	t       require.TestingT
	rnd     *rand.Rand
	members []*member
	wire    []quorum.Message
	cut     map[[2]samphirepass.VM]bool
	// history is the one sequence of applied entries that every member must agree with.
	history []string
	acked   map[string]bool
	pending map[string]bool
	next    int
	disks   int
	leaders map[samphirepass.Term]samphirepass.VM
	wiped   samphirepass.VM
	readID  uint64
	// reads maps a read to the number of acknowledged writes when it was asked.
	reads map[uint64]int
	// noRejoin gives a wiped disk its old identity, as a system without disk ids would.
	noRejoin bool
}

func newSchedule(t require.TestingT, seed int64, n int) *schedule {
	s := &schedule{
		t: t, rnd: rand.New(rand.NewSource(seed)), cut: map[[2]samphirepass.VM]bool{}, acked: map[string]bool{},
		pending: map[string]bool{}, leaders: map[samphirepass.Term]samphirepass.VM{}, reads: map[uint64]int{},
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
		s.boot(m)
	}
	return s
}

func (s *schedule) newDisk() *saved {
	s.disks++
	return &saved{id: samphirepass.DiskID(fmt.Sprintf("disk-%d", s.disks))}
}

func (s *schedule) boot(m *member) {
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

// A snapshot holds the number of entries applied; their content is in the history.
func encodeApplied(applied []string) []byte {
	var out []byte
	for _, a := range applied {
		out = append(append(out, a...), 0)
	}
	return out
}

func decodeApplied(data []byte) []string {
	var out []string
	start := 0
	for i, b := range data {
		if b == 0 {
			out = append(out, string(data[start:i]))
			start = i + 1
		}
	}
	return out
}

// work does all that the core asks for; crash stops after the disk is written but before anything is sent.
func (s *schedule) work(m *member, crash bool) {
	for r := m.core.Ready(); !r.Empty(); r = m.core.Ready() {
		s.save(m, r)
		if crash {
			s.boot(m)
			return
		}
		s.wire = append(s.wire, r.Messages...)
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
		what := fmt.Sprintf("%d/%s/%s", e.Term, e.Kind, e.Data)
		m.applied = append(m.applied, what)
		if len(s.history) < len(m.applied) {
			s.history = append(s.history, what)
		}
		require.Equal(s.t, s.history[e.Index-1], what, "%s applied another entry at %d", m.vm, e.Index)
		if s.pending[string(e.Data)] && m.core.Role() == quorum.RoleLeader {
			s.acked[string(e.Data)] = true
		}
	}
}

// checkReads checks that a confirmed read sees every write acknowledged before it was asked.
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
	if have, ok := s.leaders[term]; ok {
		require.Equal(s.t, have, m.vm, "two leaders in term %d", term)
	}
	s.leaders[term] = m.vm
}

// any returns a member that is not frozen.
func (s *schedule) any() *member {
	for {
		m := s.members[s.rnd.Intn(len(s.members))]
		if m.frozen == 0 {
			return m
		}
	}
}

// isolate cuts one member off from all others.
func (s *schedule) isolate(m *member) {
	for _, other := range s.members {
		s.cut[[2]samphirepass.VM{m.vm, other.vm}] = true
		s.cut[[2]samphirepass.VM{other.vm, m.vm}] = true
	}
}

// freeze stops one process for a while, if none stands still already.
func (s *schedule) freeze() {
	for _, m := range s.members {
		if m.frozen > 0 {
			return
		}
	}
	s.any().frozen = 50 + s.rnd.Intn(400)
}

// thaw counts down and asks for a read just when a process wakes.
func (s *schedule) thaw() {
	for _, m := range s.members {
		if m.frozen == 0 {
			continue
		}
		m.frozen--
		if m.frozen == 0 {
			s.readAt(m)
		}
	}
}

// step does one random thing.
func (s *schedule) step() {
	s.thaw()
	switch n := s.rnd.Intn(1000); {
	case n < 400:
		m := s.any()
		m.core.Tick()
		s.work(m, false)
	case n < 900:
		s.deliver()
	case n < 940:
		s.propose()
	case n < 960:
		s.readAt(s.any())
	case n < 965:
		a, b := s.any(), s.any()
		s.cut[[2]samphirepass.VM{a.vm, b.vm}] = true
	case n < 972:
		s.isolate(s.any())
	case n < 980:
		s.cut = map[[2]samphirepass.VM]bool{}
	case n < 984:
		s.freeze()
	case n < 988:
		s.boot(s.any())
	case n < 991:
		s.compact(s.any())
	case n < 993:
		s.any().core.TransferLeadership("")
	case n < 997:
		s.wipe()
	default:
		m := s.any()
		m.core.Tick()
		s.work(m, true)
	}
	s.rejoin()
}

func (s *schedule) deliver() {
	if len(s.wire) == 0 {
		return
	}
	i := s.rnd.Intn(min(len(s.wire), 8))
	m := s.wire[i]
	if s.rnd.Intn(20) > 0 {
		s.wire = slices.Delete(s.wire, i, i+1)
	}
	if s.rnd.Intn(20) == 0 || s.cut[[2]samphirepass.VM{m.From, m.To}] {
		return
	}
	for _, to := range s.members {
		if to.vm == m.To && to.frozen == 0 {
			to.core.Step(m)
			s.work(to, false)
		}
	}
}

func (s *schedule) propose() {
	m := s.any()
	data := fmt.Sprintf("w%d", s.next)
	if _, _, err := m.core.Propose([]byte(data)); err == nil {
		s.next++
		s.pending[data] = true
		s.work(m, false)
	}
}

// readAt asks one member for a confirmed read.
func (s *schedule) readAt(m *member) {
	s.readID++
	last := 0
	for i, what := range s.history {
		var term int
		var data string
		if _, err := fmt.Sscanf(what, "%d/data/%s", &term, &data); err == nil && s.acked[data] {
			last = i + 1
		}
	}
	s.reads[s.readID] = last
	if m.core.ReadIndex(s.readID) == nil {
		s.work(m, false)
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

// wipe gives one VM an empty disk, if no other one is being repaired and all voters could spare it.
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
	m := s.any()
	id := m.disk.id
	m.disk = s.newDisk()
	if s.noRejoin {
		m.disk.id = id
		s.boot(m)
		return
	}
	s.wiped = m.vm
	s.boot(m)
}

// rejoin lets a leader take in the wiped disk and give it its vote, as the control member does.
func (s *schedule) rejoin() {
	if s.wiped == "" {
		return
	}
	var m *member
	for _, one := range s.members {
		if one.vm == s.wiped {
			m = one
		}
	}
	for _, l := range s.members {
		have, _ := l.core.Members().Find(m.vm)
		switch {
		case l == m || l.frozen > 0 || l.core.Role() != quorum.RoleLeader:
		case have.Disk != m.disk.id:
			_ = l.core.ProposeMembers(l.core.Members().With(quorum.Member{VM: m.vm, Disk: m.disk.id}))
		case !have.Voter && l.core.MatchIndex(m.vm) >= l.core.CommitIndex() && l.core.MatchIndex(m.vm) > 0:
			_ = l.core.ProposeMembers(l.core.Members().With(quorum.Member{VM: m.vm, Disk: m.disk.id, Voter: true}))
		case have.Voter && m.core.CommitIndex() >= l.core.CommitIndex():
			s.wiped = ""
		}
		s.work(l, false)
	}
}

// checkAcked checks that every acknowledged write is in the agreed history.
func (s *schedule) checkAcked() {
	have := map[string]bool{}
	for _, what := range s.history {
		have[what] = true
	}
	for data := range s.acked {
		found := false
		for what := range have {
			var term int
			var got string
			if _, err := fmt.Sscanf(what, "%d/data/%s", &term, &got); err == nil && got == data {
				found = true
			}
		}
		require.True(s.t, found, "acknowledged write %s is lost", data)
	}
}

// settle heals everything and lets the members work, so that a schedule that cannot go on shows.
func (s *schedule) settle(t *testing.T) {
	s.cut = map[[2]samphirepass.VM]bool{}
	for _, m := range s.members {
		m.frozen = 0
	}
	before := s.next
	for range 4000 {
		m := s.any()
		m.core.Tick()
		s.work(m, false)
		for range 4 {
			s.deliver()
		}
		s.rejoin()
		if s.next == before {
			s.propose()
		}
	}
	require.Greater(t, s.next, before, "no leader after all faults ended")
}

const (
	scheduleCount = 2000
	scheduleSteps = 1500
)

// TestProofSchedules runs the core under loss, delay, duplication, partition, crash and lost disks.
func TestProofSchedules(t *testing.T) {
	t.Parallel()
	acked, terms := 0, 0
	for seed := range scheduleCount {
		s := newSchedule(t, int64(seed), 3+2*(seed%2))
		for range scheduleSteps {
			s.step()
		}
		if seed%10 == 0 {
			s.settle(t)
		}
		s.checkAcked()
		acked += len(s.acked)
		terms += len(s.leaders)
	}
	// The schedules are worth nothing if they do not get anywhere.
	require.Greater(t, acked, scheduleCount)
	require.Greater(t, terms, scheduleCount)
	t.Logf("%d acknowledged writes in %d terms", acked, terms)
}

// violation takes the place of a test where a schedule is meant to break a promise.
type violation struct{}

// Errorf drops the message.
func (violation) Errorf(string, ...any) {}

// FailNow ends the schedule.
func (v violation) FailNow() { panic(v) }

// violated reports whether a schedule broke a promise.
func violated(seed int64, prepare func(*schedule)) (broken bool) {
	defer func() {
		if r := recover(); r != nil {
			broken = true
		}
	}()
	s := newSchedule(violation{}, seed, 3)
	prepare(s)
	for range 2 * scheduleSteps {
		s.step()
	}
	s.checkAcked()
	return false
}

// TestProofSchedulesNeedDiskIDs shows that a wiped disk under its old identity undoes acknowledged writes.
func TestProofSchedulesNeedDiskIDs(t *testing.T) {
	t.Parallel()
	broken := 0
	for seed := range int64(200) {
		if violated(seed, func(s *schedule) { s.noRejoin = true }) {
			broken++
		}
	}
	require.Positive(t, broken)
	t.Logf("%d of 200 schedules broke a promise", broken)
}
