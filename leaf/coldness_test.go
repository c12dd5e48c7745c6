package leaf_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/cbor"
	"samphirepass/leaf"
)

// coldAnnouncement returns a heartbeat of leaf a with the given remaining warm-up time.
func coldAnnouncement(incarnation samphirepass.Incarnation, sequence uint64, left samphirepass.Millis) samphirepass.Announcement {
	a := newAnnouncement("a", incarnation, sequence, samphirepass.LeafServing)
	a.ColdMs = left
	return a
}

// coldLeft returns the remaining warm-up time of leaf a as a registry knows it.
func coldLeft(r *leaf.Registry, now samphirepass.Millis) samphirepass.Millis {
	for _, reg := range r.All() {
		if reg.Leaf == "a" {
			return reg.ColdLeftMs(now)
		}
	}
	return 0
}

// TestProofChangeOfColdnessIsSentOn has a leaf that is cold for another 10 s send its next heartbeats to a registrar. It guards against
// gateways that overload a leaf that is cold again, or leave out one that is warm early, and against sending every heartbeat to them.
func TestProofChangeOfColdnessIsSentOn(t *testing.T) {
	type heartbeat struct {
		after       samphirepass.Millis
		incarnation samphirepass.Incarnation
		sequence    uint64
		left        samphirepass.Millis
		age         samphirepass.Millis
	}
	tests := map[string]struct {
		heartbeats []heartbeat
		sent       int
		want       samphirepass.Millis
	}{
		"time passes":                        {[]heartbeat{{1200, 5, 2, 8800, 0}, {1200, 5, 3, 7600, 0}}, 0, 7600},
		"heartbeats come a little late":      {[]heartbeat{{1200, 5, 2, 8850, 0}, {1200, 5, 3, 7680, 0}}, 0, 7600},
		"warm early":                         {[]heartbeat{{1200, 5, 2, 0, 0}}, 1, 0},
		"warmer than it said":                {[]heartbeat{{1200, 5, 2, 2000, 0}}, 1, 2000},
		"cold again after a minute":          {[]heartbeat{{10_000, 5, 2, 0, 0}, {50_000, 5, 3, 30_000, 0}}, 1, 30_000},
		"cold again as the warm-up ends":     {[]heartbeat{{9500, 5, 2, 20_000, 0}}, 1, 20_000},
		"cold for longer":                    {[]heartbeat{{1200, 5, 2, 40_000, 0}}, 1, 40_000},
		"no traffic, so the time stands":     {[]heartbeat{{1200, 5, 2, 10_000, 0}, {1200, 5, 3, 10_000, 0}, {1200, 5, 4, 10_000, 0}}, 0, 6400},
		"no traffic until the end is near":   {[]heartbeat{{1200, 5, 2, 10_000, 0}, {4900, 5, 3, 10_000, 0}}, 1, 10_000},
		"a heartbeat out of order":           {[]heartbeat{{1200, 5, 4, 0, 0}, {100, 5, 3, 8000, 0}}, 1, 0},
		"a heartbeat of a previous start":    {[]heartbeat{{1200, 4, 9, 60_000, 0}}, 0, 8800},
		"a heartbeat that was on its way":    {[]heartbeat{{1200, 5, 2, 9800, 1000}}, 0, 8800},
		"started again":                      {[]heartbeat{{1200, 6, 1, 30_000, 0}}, 1, 30_000},
		"started again warm":                 {[]heartbeat{{1200, 6, 1, 0, 0}}, 1, 0},
		"warm and cold again within seconds": {[]heartbeat{{1200, 5, 2, 0, 0}, {1200, 5, 3, 30_000, 0}, {1200, 5, 4, 0, 0}}, 3, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			clock, gatewayClock := &manualClock{now: 5000}, &manualClock{now: 900_000}
			registrar, gateway := leaf.NewRegistry(clock), leaf.NewRegistry(gatewayClock)
			version := uint64(0)
			sent := 0
			follow := func() {
				changes, next := registrar.ChangesSince(version)
				version = next
				for _, change := range changes {
					sent++
					gateway.ApplyAged(change)
				}
			}
			registrar.Apply(coldAnnouncement(5, 1, 10_000), 0, true)
			follow()
			sent = 0
			for _, h := range tt.heartbeats {
				clock.now += h.after
				gatewayClock.now += h.after
				registrar.Apply(coldAnnouncement(h.incarnation, h.sequence, h.left), h.age, true)
				follow()
			}
			require.Equal(t, tt.sent, sent, "messages to the gateway")
			require.InDelta(t, float64(tt.want), float64(coldLeft(gateway, gatewayClock.now)), 1)
			require.LessOrEqual(t, coldLeft(gateway, gatewayClock.now)-coldLeft(registrar, clock.now), samphirepass.Millis(500))

			late := leaf.NewRegistry(gatewayClock)
			changes, _ := registrar.ChangesSince(0)
			for _, change := range changes {
				late.ApplyAged(change)
			}
			require.Equal(t, coldLeft(registrar, clock.now), coldLeft(late, gatewayClock.now), "a gateway that has just started")
		})
	}
}

// TestColdnessAgeIsItsOwn guards against a warm-up that seems to start anew with each heartbeat that is relayed without its announcement:
// a gateway that starts later would leave out a warm leaf.
func TestColdnessAgeIsItsOwn(t *testing.T) {
	clock := &manualClock{now: 5000}
	r := leaf.NewRegistry(clock)
	r.Apply(coldAnnouncement(5, 1, 10_000), 0, false)
	clock.now += 8000
	r.ApplyHeartbeat(leaf.Heartbeat{Leaf: "a", Incarnation: 5, Sequence: 7})
	known, _ := r.Newest("a")
	require.Zero(t, known.AgeMs)
	data, err := cbor.Marshal(known)
	require.NoError(t, err)
	var received leaf.AgedAnnouncement
	require.NoError(t, cbor.Unmarshal(data, &received))
	gateway := leaf.NewRegistry(clock)
	gateway.ApplyAged(received)
	require.Equal(t, samphirepass.Millis(2000), coldLeft(gateway, clock.now))

	received.ColdLeftMs = nil
	older := leaf.NewRegistry(clock)
	older.ApplyAged(received)
	require.Equal(t, samphirepass.Millis(10_000), coldLeft(older, clock.now), "an earlier version does not state it")
}

// TestMissedColdnessIsSentAgain has a leaf turn cold at one registrar and warm at another one while the link between them is cut, so that
// the second one sees no change. It guards against a gateway that learned of the first state only and leaves out a warm leaf, or overloads
// a cold one in the opposite case, until the next change.
func TestMissedColdnessIsSentAgain(t *testing.T) {
	for name, lefts := range map[string][3]samphirepass.Millis{"warm again": {0, 60_000, 0}, "cold again": {60_000, 0, 58_000}} {
		t.Run(name, func(t *testing.T) {
			clock := &manualClock{now: 5000}
			first, second, gateway := leaf.NewRegistry(clock), leaf.NewRegistry(clock), leaf.NewRegistry(clock)
			versions := map[[2]*leaf.Registry]uint64{}
			follow := func(to, from *leaf.Registry) {
				key := [2]*leaf.Registry{to, from}
				changes, version := from.ChangesSince(versions[key])
				versions[key] = version
				for _, change := range changes {
					to.ApplyAged(change)
				}
			}
			first.Apply(coldAnnouncement(5, 1, lefts[0]), 0, true)
			second.Apply(coldAnnouncement(5, 1, lefts[0]), 0, false)
			follow(gateway, first)
			follow(gateway, second)
			clock.now += 1000
			first.Apply(coldAnnouncement(5, 2, lefts[1]), 0, true)
			clock.now += 1000
			second.Apply(coldAnnouncement(5, 3, lefts[2]), 0, true)
			follow(gateway, second)
			follow(gateway, first)
			require.Equal(t, max(lefts[1]-1000, 0), coldLeft(gateway, clock.now), "what it can know")
			follow(second, first)
			follow(gateway, second)
			require.Equal(t, lefts[2], coldLeft(gateway, clock.now))
		})
	}
}

// coldProcess is a registrar or gateway of the model, with a clock of its own.
type coldProcess struct {
	clock    *manualClock
	registry *leaf.Registry
	// versions holds the version that it has of each source.
	versions map[*coldProcess]uint64
	epoch    map[*coldProcess]int
	starts   int
}

func (p *coldProcess) restart() {
	p.starts++
	p.registry = leaf.NewRegistry(p.clock)
	p.versions, p.epoch = map[*coldProcess]uint64{}, map[*coldProcess]int{}
}

// coldMessage is a message of the model on its way.
type coldMessage struct {
	at      samphirepass.Millis
	deliver func()
}

// coldModel is one leaf, three registrars that follow each other, and four gateways that follow two of them each.
type coldModel struct {
	now        samphirepass.Millis
	rng        *rand.Rand
	registrars []*coldProcess
	gateways   []*coldProcess
	cut        map[[2]*coldProcess]bool
	queue      []coldMessage

	incarnation samphirepass.Incarnation
	sequence    uint64
	// coldUntil is the true end of the warm-up, standing is set while it does not pass.
	coldUntil       samphirepass.Millis
	nextHeartbeatAt samphirepass.Millis
	// sent counts the announcements that were sent to gateways, heartbeats those of the leaf.
	sent, heartbeats int
	// calm ends late messages.
	calm bool
}

func newColdModel(seed uint64) *coldModel {
	m := &coldModel{rng: rand.New(rand.NewPCG(seed, 1)), now: 1, incarnation: 1, cut: map[[2]*coldProcess]bool{}}
	for range 7 {
		p := &coldProcess{clock: &manualClock{now: samphirepass.Millis(m.rng.IntN(1e6))}}
		p.restart()
		if len(m.registrars) < 3 {
			m.registrars = append(m.registrars, p)
		} else {
			m.gateways = append(m.gateways, p)
		}
	}
	return m
}

func (m *coldModel) after(delay samphirepass.Millis, deliver func()) {
	m.queue = append(m.queue, coldMessage{at: m.now + delay, deliver: deliver})
}

// heartbeat sends a heartbeat of the leaf to one of the registrars. Some come seconds late.
func (m *coldModel) heartbeat() {
	m.heartbeats++
	m.sequence++
	a := coldAnnouncement(m.incarnation, m.sequence, max(m.coldUntil-m.now, 0))
	delay := samphirepass.Millis(m.rng.IntN(50))
	if !m.calm && m.rng.IntN(8) == 0 {
		delay = samphirepass.Millis(m.rng.IntN(3000))
	}
	to := m.registrars[m.rng.IntN(len(m.registrars))]
	m.after(delay, func() { to.registry.Apply(a, 0, true) })
	m.nextHeartbeatAt = m.now + 1200
}

// follow lets a process poll a source once.
func (m *coldModel) follow(p, source *coldProcess) {
	if m.cut[[2]*coldProcess{p, source}] || m.cut[[2]*coldProcess{source, p}] {
		return
	}
	if p.epoch[source] != source.starts {
		p.versions[source], p.epoch[source] = 0, source.starts
	}
	changes, version := source.registry.ChangesSince(p.versions[source])
	p.versions[source] = version
	if p.clock != m.registrars[0].clock && p.clock != m.registrars[1].clock && p.clock != m.registrars[2].clock {
		m.sent += len(changes)
	}
	starts := p.starts
	heartbeats := source.registry.Heartbeats()
	m.after(samphirepass.Millis(m.rng.IntN(80)), func() {
		if p.starts != starts {
			return
		}
		for _, change := range changes {
			p.registry.ApplyAged(change)
		}
		for _, h := range heartbeats {
			p.registry.ApplyHeartbeat(h)
		}
	})
}

// step advances the model by 50 ms.
func (m *coldModel) step() {
	m.now += 50
	for _, p := range append(append([]*coldProcess{}, m.registrars...), m.gateways...) {
		p.clock.now += 50
	}
	if m.now >= m.nextHeartbeatAt {
		m.heartbeat()
	}
	due := m.queue
	m.queue = nil
	m.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, message := range due {
		if message.at <= m.now {
			message.deliver()
		} else {
			m.queue = append(m.queue, message)
		}
	}
	for i, p := range m.registrars {
		for j, source := range m.registrars {
			if i != j {
				m.follow(p, source)
			}
		}
	}
	for i, p := range m.gateways {
		m.follow(p, m.registrars[i%3])
		m.follow(p, m.registrars[(i+1)%3])
	}
}

// disturb changes the leaf, the network or the processes.
func (m *coldModel) disturb() {
	all := append(append([]*coldProcess{}, m.registrars...), m.gateways...)
	switch m.rng.IntN(8) {
	case 0:
		m.coldUntil = m.now + samphirepass.Millis(m.rng.IntN(60_000))
	case 1:
		m.coldUntil = 0
	case 2:
		m.coldUntil += samphirepass.Millis(m.rng.IntN(10_000))
	case 3:
		m.incarnation, m.sequence = m.incarnation+1, 0
		m.coldUntil = m.now + samphirepass.Millis(m.rng.IntN(40_000))
		m.nextHeartbeatAt = m.now + samphirepass.Millis(m.rng.IntN(1000))
	case 4, 5:
		m.cut[[2]*coldProcess{all[m.rng.IntN(len(all))], m.registrars[m.rng.IntN(3)]}] = true
	case 6:
		clear(m.cut)
	case 7:
		all[m.rng.IntN(len(all))].restart()
	}
}

// TestColdnessUnderRandomOrders has a leaf turn cold and warm, start again and state longer warm-ups, while heartbeats are late and out of
// order, registrars and gateways restart and links are cut. Once the links are back, each gateway knows the leaf's state. It guards against
// a cold leaf that some gateways overload, and a warm one that they leave out, after such a disturbance.
func TestColdnessUnderRandomOrders(t *testing.T) {
	for seed := range uint64(40) {
		m := newColdModel(seed)
		for range 20 {
			m.calm = false
			for range 10 + m.rng.IntN(10) {
				for range m.rng.IntN(20) {
					m.step()
				}
				m.disturb()
			}
			clear(m.cut)
			// The last late heartbeats arrive after 3 s, and the next one in time 1.2 s later.
			m.calm = true
			for range 120 {
				m.step()
			}
			left := m.coldUntil - m.now
			for i, g := range m.gateways {
				known := coldLeft(g.registry, g.clock.now)
				what := fmt.Sprintf("seed %d: gateway %d knows %.0f ms, the leaf has %.0f ms left", seed, i, known, left)
				switch {
				case left > 200:
					require.Positive(t, known, what)
				case left < -1000:
					require.Zero(t, known, what)
				}
			}
		}
	}
}

// TestCalmColdLeafIsNotSentOn counts what gateways are sent of a cold leaf that has no traffic, and thus stays cold: its heartbeats come every
// 1.2 s, and each message goes to hundreds of gateways.
func TestCalmColdLeafIsNotSentOn(t *testing.T) {
	m := newColdModel(1)
	m.calm = true
	for range 120 * 20 {
		m.coldUntil = m.now + 30_000
		m.step()
	}
	perGateway := float64(m.sent) / float64(len(m.gateways))
	require.Less(t, perGateway, float64(m.heartbeats)/3, "messages for %d heartbeats", m.heartbeats)
	for _, g := range m.gateways {
		require.Greater(t, coldLeft(g.registry, g.clock.now), samphirepass.Millis(10_000))
	}
}

// TestWarmUpLimits checks which limits the leader of the log leases: those of cold leaves of services that declare one, and for a moment
// after the warm-up, for gateways that learn of its end later.
func TestWarmUpLimits(t *testing.T) {
	warmUps := map[samphirepass.Service]samphirepass.WarmUp{"desk": {DurationMs: 10_000, PerSecond: 30}}
	cold := samphirepass.WarmUpLimitKey("a", 5)
	tests := map[string]struct {
		warmUps map[samphirepass.Service]samphirepass.WarmUp
		change  func(r *leaf.Registry, clock *manualClock)
		want    map[samphirepass.LimitKey]samphirepass.RateLimit
	}{
		"cold":                        {warmUps, func(*leaf.Registry, *manualClock) {}, map[samphirepass.LimitKey]samphirepass.RateLimit{cold: {PerSecond: 30, Burst: 2}}},
		"no limit declared":           {nil, func(*leaf.Registry, *manualClock) {}, map[samphirepass.LimitKey]samphirepass.RateLimit{}},
		"a limit of 0":                {map[samphirepass.Service]samphirepass.WarmUp{"desk": {DurationMs: 10_000}}, func(*leaf.Registry, *manualClock) {}, map[samphirepass.LimitKey]samphirepass.RateLimit{}},
		"a limit below 1":             {map[samphirepass.Service]samphirepass.WarmUp{"desk": {PerSecond: 0.5}}, func(*leaf.Registry, *manualClock) {}, map[samphirepass.LimitKey]samphirepass.RateLimit{cold: {PerSecond: 0.5, Burst: 1}}},
		"just warm":                   {warmUps, func(_ *leaf.Registry, c *manualClock) { c.now += 12_000 }, map[samphirepass.LimitKey]samphirepass.RateLimit{cold: {PerSecond: 30, Burst: 2}}},
		"warm":                        {warmUps, func(_ *leaf.Registry, c *manualClock) { c.now += 14_000 }, map[samphirepass.LimitKey]samphirepass.RateLimit{}},
		"warm early, a moment ago":    {warmUps, func(r *leaf.Registry, _ *manualClock) { r.Apply(coldAnnouncement(5, 2, 0), 0, true) }, map[samphirepass.LimitKey]samphirepass.RateLimit{cold: {PerSecond: 30, Burst: 2}}},
		"warm early, some time ago":   {warmUps, func(r *leaf.Registry, c *manualClock) { r.Apply(coldAnnouncement(5, 2, 0), 0, true); c.now += 3100 }, map[samphirepass.LimitKey]samphirepass.RateLimit{}},
		"started again":               {warmUps, func(r *leaf.Registry, _ *manualClock) { r.Apply(coldAnnouncement(6, 1, 9000), 0, true) }, map[samphirepass.LimitKey]samphirepass.RateLimit{samphirepass.WarmUpLimitKey("a", 6): {PerSecond: 30, Burst: 2}}},
		"gone":                        {warmUps, func(r *leaf.Registry, _ *manualClock) { r.MarkGone("a") }, map[samphirepass.LimitKey]samphirepass.RateLimit{}},
		"a heartbeat does not change": {warmUps, func(r *leaf.Registry, c *manualClock) { c.now += 1200; r.Apply(coldAnnouncement(5, 2, 8800), 0, true) }, map[samphirepass.LimitKey]samphirepass.RateLimit{cold: {PerSecond: 30, Burst: 2}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			clock := &manualClock{now: 5000}
			r := leaf.NewRegistry(clock)
			r.Apply(coldAnnouncement(5, 1, 10_000), 0, true)
			r.Apply(newAnnouncement("b", 1, 1, samphirepass.LeafServing), 0, true)
			tt.change(r, clock)
			require.Equal(t, tt.want, r.WarmUpLimits(tt.warmUps))
			for _, key := range []samphirepass.LimitKey{cold, samphirepass.WarmUpLimitKey("a", 6), samphirepass.WarmUpLimitKey("b", 1), "account/a", "warm-up/x/a", "warm-up/5"} {
				limit, ok := r.WarmUpLimit(key, tt.warmUps)
				want, wanted := tt.want[key]
				require.Equal(t, wanted, ok, key)
				require.Equal(t, want, limit, key)
			}
		})
	}
}

// TestColdnessOnAnyClock guards against a leaf that counts as cold, or never does, on a clock whose times are below 0.
func TestColdnessOnAnyClock(t *testing.T) {
	for _, now := range []samphirepass.Millis{-1e12, -5000, 0, 1e12} {
		clock := &manualClock{now: now}
		r := leaf.NewRegistry(clock)
		version := r.Version()
		for sequence, left := range []samphirepass.Millis{0, 9000, 0, 9000} {
			_, changed := r.Apply(coldAnnouncement(1, uint64(sequence)+1, left), 0, true)
			require.True(t, changed)
			require.Greater(t, r.Version(), version)
			version = r.Version()
			require.Equal(t, left, coldLeft(r, clock.now))
			known, _ := r.Newest("a")
			require.Equal(t, left, *known.ColdLeftMs)
		}
	}
}
