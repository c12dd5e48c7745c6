package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"samphirepass"
	"samphirepass/policy"
)

// clientConnections bounds the idle connections that the load keeps to an entry.
const clientConnections = 256

// Outcome is what one policy made of a case.
type Outcome struct {
	Case     CaseName    `json:"case"`
	Policy   policy.Name `json:"policy"`
	Seed     uint64      `json:"seed"`
	Coverage float64     `json:"coverage"`
	// FirstClassGoodput is the share of the first class's queries that were answered whole in time.
	FirstClassGoodput float64 `json:"first-class-goodput"`
	// FirstClassPartial and FirstClassRefused count its other queries.
	FirstClassPartial int `json:"first-class-partial"`
	FirstClassRefused int `json:"first-class-refused"`
	// MaxConnections is the largest number of connections that any leaf had at one time.
	MaxConnections int64 `json:"max-connections"`
	// OverLimit counts the connections beyond a leaf's limit.
	OverLimit int64 `json:"over-limit"`
	Figures
	wrong error
}

// Comparison sets a policy beside the baseline, both from one run.
type Comparison struct {
	Case                      CaseName             `json:"case"`
	Seed                      uint64               `json:"seed"`
	P50Ratio                  float64              `json:"p50-ratio"`
	P99Ratio                  float64              `json:"p99-ratio"`
	CoverageBaseline          float64              `json:"coverage-baseline"`
	Coverage                  float64              `json:"coverage"`
	ExtraLoadPercent          samphirepass.Percent `json:"extra-load-percent"`
	ExtraLoadPercentBaseline  samphirepass.Percent `json:"extra-load-baseline-percent"`
	FirstClassGoodputBaseline float64              `json:"first-class-goodput-baseline"`
	FirstClassGoodput         float64              `json:"first-class-goodput"`
	OverLimit                 int64                `json:"over-limit"`
	Wrong                     int                  `json:"wrong"`
}

// FindCase returns the case of a name.
func FindCase(name CaseName) (Case, error) {
	cases := Cases()
	i := slices.IndexFunc(cases, func(c Case) bool { return c.Name == name })
	if i < 0 {
		return Case{}, eris.Errorf("case: no case %q", name)
	}
	return cases[i], nil
}

// Compare runs the baseline and then a policy on the same case and arrivals.
func Compare(c Case, name policy.Name, seed uint64) (Comparison, []Outcome, error) {
	before, err := Run(c, policy.NameBaseline, seed)
	if err != nil {
		return Comparison{}, nil, err
	}
	after, err := Run(c, name, seed)
	if err != nil {
		return Comparison{}, nil, err
	}
	return Comparison{
		Case: c.Name, Seed: seed, P50Ratio: float64(after.P50Ms / before.P50Ms), P99Ratio: float64(after.P99Ms / before.P99Ms),
		CoverageBaseline: before.Coverage, Coverage: after.Coverage, ExtraLoadPercent: after.ExtraLoadPercent,
		ExtraLoadPercentBaseline: before.ExtraLoadPercent, FirstClassGoodputBaseline: before.FirstClassGoodput, FirstClassGoodput: after.FirstClassGoodput,
		OverLimit: before.OverLimit + after.OverLimit, Wrong: before.Wrong + after.Wrong,
	}, []Outcome{before, after}, nil
}

// Run runs one case under one policy; a wrong answer is an error.
func Run(c Case, name policy.Name, seed uint64) (Outcome, error) {
	rig, err := StartRig(RigOptions{
		Workload: c.Workload, Entries: caseEntries, Policy: name, Seed: seed, ConfigureLeaf: c.ConfigureLeaf, Relayed: c.Relayed,
	})
	if err != nil {
		return Outcome{}, fmt.Errorf("start rig: %w", err)
	}
	defer rig.Stop()
	all, first := NewTally(), NewTally()
	warmUp(c, rig, seed)
	before, extraBefore := rig.LeafRequests()
	arrive(c, rig, seed, all, first)
	after, extraAfter := rig.LeafRequests()
	out := Outcome{Case: c.Name, Policy: name, Seed: seed, Coverage: all.Coverage(), Figures: all.Figures(), wrong: all.FirstWrong()}
	out.ExtraLoadPercent = ExtraLoad(after-before, extraAfter-extraBefore)
	f := first.Figures()
	out.FirstClassGoodput = float64(f.Whole) / float64(max(f.Requests, 1))
	out.FirstClassPartial, out.FirstClassRefused = f.Partial, f.Refused
	for _, l := range rig.Leaves {
		counts := l.Counts()
		out.MaxConnections = max(out.MaxConnections, counts.MaxConnections)
		out.OverLimit += counts.OverLimit
	}
	if out.wrong != nil {
		return out, eris.Wrap(out.wrong, "wrong answer")
	}
	return out, nil
}

const (
	warmUpQueries                       = 200
	warmUpEvery     samphirepass.Millis = 10
	warmUpSeedShift                     = 7919
)

// warmUp sends some queries before the case, for connections and quantiles to stand.
func warmUp(c Case, rig *Rig, seed uint64) {
	l := &arrivals{c: c, rig: rig, all: NewTally(), first: NewTally(), http: newHTTP()}
	defer l.http.CloseIdleConnections()
	for n := range warmUpQueries {
		l.start(n, uint64(n)+seed*warmUpSeedShift, c.Load[0].Class, time.Now())
		time.Sleep(warmUpEvery.Duration())
	}
	l.wg.Wait()
}

func newHTTP() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clientConnections}}
}

// arrivals is an open-loop load: a query starts at its drawn time, whatever became of those before it.
type arrivals struct {
	c          Case
	rig        *Rig
	all, first *Tally
	http       *http.Client
	wg         sync.WaitGroup
}

func arrive(c Case, rig *Rig, seed uint64, all, first *Tally) {
	l := &arrivals{c: c, rig: rig, all: all, first: first, http: newHTTP()}
	defer l.http.CloseIdleConnections()
	began := time.Now()
	for _, e := range c.Events {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			time.Sleep(time.Until(began.Add(e.AtMs.Duration())))
			e.Do(rig)
		}()
	}
	for i, o := range c.Load {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			l.class(o, rand.New(rand.NewPCG(seed, uint64(i))), began)
		}()
	}
	l.wg.Wait()
}

// class starts the queries of one class at exponentially spaced times.
func (l *arrivals) class(o ClassLoad, rnd *rand.Rand, began time.Time) {
	at := samphirepass.Millis(0)
	for n := 0; ; n++ {
		at += samphirepass.Millis(rnd.ExpFloat64() * 1000 / o.QueriesPerSecond)
		if at > l.c.DurationMs {
			return
		}
		due := began.Add(at.Duration())
		time.Sleep(time.Until(due))
		l.start(n, rnd.Uint64(), o.Class, due)
	}
}

func (l *arrivals) start(n int, id uint64, class samphirepass.Class, due time.Time) {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		l.send(n, id, class, due)
	}()
}

func (l *arrivals) send(n int, id uint64, class samphirepass.Class, due time.Time) {
	fleet := l.c.Workload.Fleets[0]
	query := json.RawMessage(fmt.Sprintf(`{"class":%q,"id":%d}`, class, id))
	c := Client{Address: l.rig.Addresses[n%len(l.rig.Addresses)], HTTP: l.http}
	ctx, cancel := context.WithTimeout(context.Background(), 2*fleet.DeadlineMs.Duration())
	defer cancel()
	a, err := c.Query(ctx, fleet.Service, samphirepass.Query{Caller: CallerOf(class), Query: query})
	took := samphirepass.MillisOf(time.Since(due))
	var wrong error
	if err == nil {
		wrong = Check(query, a)
	}
	l.all.Add(took, a, err, wrong)
	if class == l.c.Load[0].Class {
		l.first.Add(took, a, err, wrong)
	}
}
