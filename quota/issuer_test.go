package quota_test

import (
	"math/rand"
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/quota"
)

const (
	windowMs  samphirepass.Millis = 5000
	account                       = samphirepass.LimitKey("account/a")
	noContact samphirepass.Millis = 1e9
)

func limitOf(perSecond, burst float64) samphirepass.FleetLimit {
	return samphirepass.FleetLimit{RateLimit: samphirepass.RateLimit{PerSecond: perSecond, Burst: burst}, WindowMs: windowMs, Overage: 0.1, Slack: 20}
}

// bound is the number of requests that may run in any window.
func bound(l samphirepass.FleetLimit) int {
	return int((l.PerSecond*float64(l.WindowMs)/1000+l.Burst)*(1+l.Overage) + l.Slack)
}

// fleet is a number of gateways and issuers whose messages are function calls; it has a clock of its own.
type fleet struct {
	now      samphirepass.Millis
	rnd      *rand.Rand
	limit    samphirepass.FleetLimit
	issuers  []*testIssuer
	gateways []*quota.Wallet
	// voters are the issuers that the log lists; an issuer learns of changes while it is connected.
	voters []string
	grants []samphirepass.Millis
	asks   int
}

// testIssuer is one registrar.
type testIssuer struct {
	address    string
	issuer     *quota.Issuer
	membership *quota.Membership
	down       bool
	// cut is set while it has no contact with the leader; it then keeps the voters that it knew.
	cut   bool
	known []string
}

func newFleet(seed int64, limit samphirepass.FleetLimit, issuers, gateways int) *fleet {
	f := &fleet{rnd: rand.New(rand.NewSource(seed)), limit: limit, now: 100_000}
	for i := range issuers {
		address := "10.0.0." + strconv.Itoa(i)
		f.voters = append(f.voters, address)
		f.issuers = append(f.issuers, &testIssuer{address: address, issuer: quota.NewIssuer(f.now), membership: quota.NewMembership(address)})
	}
	for i := range gateways {
		f.gateways = append(f.gateways, quota.NewWallet(samphirepass.VM("gateway-"+strconv.Itoa(i)), dataCentreOf(i)))
	}
	return f
}

func dataCentreOf(i int) samphirepass.DataCentre {
	return samphirepass.DataCentre("dc-" + strconv.Itoa(i%3))
}

func (f *fleet) issuerAddresses() []quota.IssuerAddress {
	addresses := make([]quota.IssuerAddress, len(f.issuers))
	for i, issuer := range f.issuers {
		addresses[i] = quota.IssuerAddress{Address: issuer.address, DataCentre: dataCentreOf(i)}
	}
	return addresses
}

// ask returns the answer of an issuer, or false if it does not answer.
func (f *fleet) ask(i *testIssuer, want int) (quota.Issue, bool) {
	f.asks++
	if i.down {
		return quota.Issue{}, false
	}
	contactAge := samphirepass.Millis(0)
	if i.cut {
		// A member that has lost its leader does not know the age of its last contact.
		contactAge = noContact
	} else {
		i.known = slices.Clone(f.voters)
	}
	if i.membership.Update(f.now, i.known, contactAge) {
		i.issuer.Reset(f.now)
	}
	part, ok := i.membership.Part(f.now)
	if !ok {
		return quota.Issue{}, false
	}
	return i.issuer.Issue(f.now, account, f.limit, part, want), true
}

// request sends one request of the account to a gateway and reports whether it was granted.
func (f *fleet) request(g *quota.Wallet) bool {
	g.Count(f.now, account)
	granted := g.Take(f.now, account)
	if !granted {
		candidates, _ := g.Candidates(f.now, account, f.issuerAddresses())
		for _, c := range candidates {
			issuer := f.issuers[slices.IndexFunc(f.issuers, func(i *testIssuer) bool { return i.address == c.Address })]
			want := g.Ask(account)
			issue, ok := f.ask(issuer, want)
			g.Answered(account, want)
			if !ok {
				g.Fail(f.now, c.Address)
				continue
			}
			g.Apply(f.now, f.now, account, c.Address, issue)
			if granted = g.Take(f.now, account); granted {
				break
			}
		}
	}
	if granted {
		f.grants = append(f.grants, f.now)
	}
	return granted
}

// mostInWindow returns the largest number of grants in any window.
func (f *fleet) mostInWindow() int {
	most, first := 0, 0
	for i, at := range f.grants {
		for f.grants[first] <= at-f.limit.WindowMs {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// restart replaces the state of an issuer, as after a kill.
func (f *fleet) restart(i *testIssuer) {
	i.issuer, i.membership, i.down = quota.NewIssuer(f.now), quota.NewMembership(i.address), false
}

// TestProofQuotaHoldsInEachWindow guards against more requests of an account in a window than its quota allows: an account that sends many
// times its quota through all gateways at once, while issuers are killed, cut off from the leader, removed from the log and taken in again.
func TestProofQuotaHoldsInEachWindow(t *testing.T) {
	tests := map[string]struct {
		limit samphirepass.FleetLimit
		seeds int64
	}{
		"large account": {limitOf(43, 43), 40}, "small account": {limitOf(1.5, 1.5), 40}, "no burst": {limitOf(10, 0), 40}, "very large account": {limitOf(400, 400), 6},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			limit := tt.limit
			for seed := range tt.seeds {
				f := newFleet(seed, limit, 3+int(seed%4), 1+int(seed*seed)%90)
				perStep := 1 + int(limit.PerSecond*float64(2+f.rnd.Intn(8))/100)
				disturbedAt := f.now
				for range 3000 {
					f.now += 10
					for range perStep {
						f.request(f.gateways[f.rnd.Intn(len(f.gateways))])
					}
					if f.now-disturbedAt > 2000 && f.rnd.Intn(200) == 0 {
						f.disturb()
						disturbedAt = f.now
					}
				}
				require.LessOrEqual(t, f.mostInWindow(), bound(limit), "seed %d", seed)
			}
		})
	}
}

// disturb kills, restarts, cuts off, removes or takes in one issuer.
func (f *fleet) disturb() {
	i := f.issuers[f.rnd.Intn(len(f.issuers))]
	isVoter := slices.Contains(f.voters, i.address)
	switch f.rnd.Intn(4) {
	case 0:
		i.down = true
	case 1:
		f.restart(i)
	case 2:
		i.cut = !i.cut
	default:
		if isVoter && len(f.voters) > 2 {
			f.voters = slices.DeleteFunc(slices.Clone(f.voters), func(a string) bool { return a == i.address })
		} else if !isVoter {
			f.voters = append(slices.Clone(f.voters), i.address)
		}
	}
}

// TestProofIssuersOutliveTheLeader guards against refusals while a leader is elected, and against an issuer that was cut off for so long that
// others may issue its part.
func TestProofIssuersOutliveTheLeader(t *testing.T) {
	voters := []string{"a", "b", "c"}
	m := quota.NewMembership("a")
	m.Update(0, voters, noContact)
	_, ok := m.Part(0)
	require.False(t, ok, "nothing is issued before the first contact: this process may have been removed")
	m.Update(1000, voters, 50)
	m.Update(2000, voters, noContact)
	part, ok := m.Part(7500)
	require.True(t, ok)
	require.Equal(t, voters, part.Issuers)
	_, ok = m.Part(8100)
	require.False(t, ok)

	other := quota.NewMembership("b")
	other.Update(1000, voters, 0)
	other.Update(1100, []string{"b", "c"}, 0)
	other.Update(9500, []string{"b", "c"}, 0)
	part, _ = other.Part(9500)
	require.Len(t, part.Issuers, 3, "the part of a removed issuer is kept until it has surely stopped")
	other.Update(9700, []string{"b", "c"}, 0)
	part, _ = other.Part(9700)
	require.Len(t, part.Issuers, 2)
	m.LoseContact()
	m.Update(8000, voters, noContact)
	_, ok = m.Part(8000)
	require.False(t, ok, "a VM that was suspended does not know how long ago it had contact")
}

// TestProofKillOfAllKeepsQuota guards against buckets that are full again after all issuers were killed at once and started again.
func TestProofKillOfAllKeepsQuota(t *testing.T) {
	for name, limit := range map[string]samphirepass.FleetLimit{"large": limitOf(43, 43), "small": limitOf(1.5, 1.5)} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1, limit, 6, 84)
			served := 0
			for step := range 2000 {
				f.now += 10
				if step == 1000 {
					f.now += 500
					for _, i := range f.issuers {
						f.restart(i)
					}
				}
				for range 1 + int(limit.PerSecond/20) {
					if f.request(f.gateways[f.rnd.Intn(len(f.gateways))]) && step > 1000 && step < 1100 {
						served++
					}
				}
			}
			require.LessOrEqual(t, f.mostInWindow(), bound(limit))
			require.GreaterOrEqual(t, served, int(limit.PerSecond*0.8), "tokens flow as soon as the issuers are back")
		})
	}
}

// TestProofDemandWithinQuotaIsServed guards against refusals of requests within a quota: the requests of an account are spread over all gateways
// and come at random times, also while an issuer is away.
func TestProofDemandWithinQuotaIsServed(t *testing.T) {
	tests := map[string]struct {
		limit    samphirepass.FleetLimit
		gateways int
		down     int
	}{
		"large account, 84 gateways":  {limitOf(43, 43), 84, 0},
		"small account, 84 gateways":  {limitOf(1.5, 1.5), 84, 0},
		"small account, 300 gateways": {limitOf(1.5, 1.5), 300, 0},
		"large account, 1 gateway":    {limitOf(43, 43), 1, 0},
		"an issuer is away":           {limitOf(43, 43), 84, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(7, tt.limit, 6, tt.gateways)
			for i := range tt.down {
				f.issuers[i].down = true
			}
			requests, refused := 0, 0
			// The deployment's quotas are 1.6 times what accounts usually send.
			usual := tt.limit.PerSecond / 1.6
			for end := f.now + samphirepass.Millis(30_000/usual*1000); f.now < end; {
				f.now += samphirepass.Millis(f.rnd.ExpFloat64() / usual * 1000)
				requests++
				if !f.request(f.gateways[f.rnd.Intn(len(f.gateways))]) {
					refused++
				}
			}
			require.LessOrEqual(t, refused*1000, requests, "%d of %d refused", refused, requests)
			require.LessOrEqual(t, f.mostInWindow(), bound(tt.limit))
			t.Logf("%d of %d refused, %.2f asks a request", refused, requests, float64(f.asks)/float64(requests))
		})
	}
}

// TestLowRateIsIssuedByFew guards against a limit of a few requests a second of which no issuer ever has a whole token, and against one that
// all issuers issue in full: that of a cold leaf, in a window of a second.
func TestLowRateIsIssuedByFew(t *testing.T) {
	limit := samphirepass.FleetLimit{RateLimit: samphirepass.RateLimit{PerSecond: 2, Burst: 1}, WindowMs: 1000, Overage: 0.5, Slack: 1}
	f := newFleet(3, limit, 6, 30)
	for range 6000 {
		f.now += 10
		f.request(f.gateways[f.rnd.Intn(len(f.gateways))])
	}
	require.LessOrEqual(t, f.mostInWindow(), bound(limit))
	require.Greater(t, len(f.grants), 100, "about 2 a second for 60 s")
}

// TestLoweredLimitBindsAtOnce guards against tokens that were stored under a higher limit.
func TestLoweredLimitBindsAtOnce(t *testing.T) {
	i := quota.NewIssuer(0)
	part := quota.Part{Self: "a", Issuers: []string{"a"}}
	require.Equal(t, 64, i.Issue(60_000, account, limitOf(400, 400), part, 64).Granted)
	low := limitOf(1, 1)
	granted := 0
	for range 100 {
		granted += i.Issue(60_000, account, low, part, 64).Granted
	}
	require.LessOrEqual(t, granted, bound(low))
}

// TestProofReturnedTokensExpire guards against tokens that outlive their time because requests that waited for long return them: quotas were
// exceeded by a third when admitted requests were refused by busy leaves after 2 s.
func TestProofReturnedTokensExpire(t *testing.T) {
	limit := limitOf(43, 43)
	f := newFleet(11, limit, 6, 84)
	type waiting struct {
		g              *quota.Wallet
		until, expires samphirepass.Millis
	}
	var queue []waiting
	for step := range 1200 {
		f.now += 10
		for len(queue) > 0 && queue[0].until <= f.now {
			queue[0].g.Return(f.now, account, queue[0].expires)
			queue = queue[1:]
		}
		for range 4 {
			g := f.gateways[f.rnd.Intn(len(f.gateways))]
			if f.request(g) && step < 400 {
				f.grants = f.grants[:len(f.grants)-1]
				queue = append(queue, waiting{g, f.now + 2000, g.ExpiresAt(f.now, account)})
			}
		}
	}
	require.LessOrEqual(t, f.mostInWindow(), bound(limit))
}

// TestRefusedClientsSpread guards against refused clients that are told to come back at a time when there is still no token.
func TestRefusedClientsSpread(t *testing.T) {
	w := quota.NewWallet("vm", "dc")
	issuers := []quota.IssuerAddress{{Address: "a", DataCentre: "dc"}, {Address: "b", DataCentre: "other"}}
	candidates, _ := w.Candidates(0, account, issuers)
	require.Equal(t, []string{"a", "b"}, []string{candidates[0].Address, candidates[1].Address}, "the own data centre comes first")
	w.Apply(0, 0, account, "a", quota.Issue{RetryMs: 700})
	w.Apply(0, 0, account, "b", quota.Issue{RetryMs: 300})
	candidates, wait := w.Candidates(100, account, issuers)
	require.Empty(t, candidates)
	require.Equal(t, samphirepass.Millis(200), wait)
	w.Fail(400, "b")
	candidates, _ = w.Candidates(800, account, issuers)
	require.Equal(t, "a", candidates[0].Address, "an issuer that failed is asked last")
	w.Apply(800, 790, account, "a", quota.Issue{Granted: 2, TTLMs: 1000})
	require.True(t, w.Take(1700, account))
	require.False(t, w.Take(1800, account), "tokens end a second after they were asked for")
}

// BenchmarkTake measures a request that finds a token.
func BenchmarkTake(b *testing.B) {
	w := quota.NewWallet("vm", "dc")
	w.Apply(0, 0, account, "a", quota.Issue{Granted: 1, TTLMs: 1000})
	for range b.N {
		w.Count(1, account)
		w.Take(1, account)
		w.Return(1, account, 1000)
	}
}
