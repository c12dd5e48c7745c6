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

// maxIdleConnsPerEntry is the maximum number of idle connections that the load generator keeps to an entry.
const maxIdleConnsPerEntry = 256

// Outcome is the result of one run of a case under one policy.
type Outcome struct {
	Case   CaseName    `json:"case"`
	Policy policy.Name `json:"policy"`
	Seed   uint64      `json:"seed"`
	// Coverage is the mean share of shards that were answered per query; a refused query counts as 0.
	Coverage float64 `json:"coverage"`
	// FirstClassGoodput is the share of the first class's queries that were answered whole before the client timed out.
	FirstClassGoodput float64 `json:"first-class-goodput"`
	// FirstClassPartial and FirstClassRefused count the queries of the first class that were answered partially and refused.
	FirstClassPartial int `json:"first-class-partial"`
	FirstClassRefused int `json:"first-class-refused"`
	// MaxConnections is the largest number of connections that any leaf had open at the same time.
	MaxConnections int64 `json:"max-connections"`
	// OverLimit is the number of connections that leaves closed because they exceeded their limit.
	OverLimit int64 `json:"over-limit"`
	Totals
	firstWrong error
}

// Comparison compares a policy with the baseline on the same case and seed. Ratios are those of the policy to the baseline;
// OverLimit and Wrong are the sums of both.
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

// FindCase returns the case with a name.
func FindCase(name CaseName) (Case, error) {
	cases := Cases()
	i := slices.IndexFunc(cases, func(c Case) bool { return c.Name == name })
	if i < 0 {
		return Case{}, eris.Errorf("unknown case %q", name)
	}
	return cases[i], nil
}

// Compare runs a case under the baseline and then under a policy, with the same arrivals. It also returns the two outcomes, that
// of the baseline first.
func Compare(c Case, name policy.Name, seed uint64) (Comparison, []Outcome, error) {
	baseline, err := Run(c, policy.NameBaseline, seed)
	if err != nil {
		return Comparison{}, nil, err
	}
	candidate, err := Run(c, name, seed)
	if err != nil {
		return Comparison{}, nil, err
	}
	return Comparison{
		Case: c.Name, Seed: seed, P50Ratio: float64(candidate.P50Ms / baseline.P50Ms), P99Ratio: float64(candidate.P99Ms / baseline.P99Ms),
		CoverageBaseline: baseline.Coverage, Coverage: candidate.Coverage, ExtraLoadPercent: candidate.ExtraLoadPercent,
		ExtraLoadPercentBaseline: baseline.ExtraLoadPercent, FirstClassGoodputBaseline: baseline.FirstClassGoodput, FirstClassGoodput: candidate.FirstClassGoodput,
		OverLimit: baseline.OverLimit + candidate.OverLimit, Wrong: baseline.Wrong + candidate.Wrong,
	}, []Outcome{baseline, candidate}, nil
}

// Run runs one case under one policy. It returns an error if any answer was wrong.
func Run(c Case, name policy.Name, seed uint64) (Outcome, error) {
	rig, err := StartRig(RigOptions{
		Workload: c.Workload, Entries: caseEntries, Policy: name, Seed: seed, ConfigureLeaf: c.ConfigureLeaf, Relayed: c.Relayed,
	})
	if err != nil {
		return Outcome{}, fmt.Errorf("start rig: %w", err)
	}
	defer rig.Stop()
	all, firstClass := NewRecorder(), NewRecorder()
	warmUp(c, rig, seed)
	requestsBefore, extraBefore := rig.LeafRequests()
	generateLoad(c, rig, seed, all, firstClass)
	requestsAfter, extraAfter := rig.LeafRequests()
	outcome := Outcome{Case: c.Name, Policy: name, Seed: seed, Coverage: all.Coverage(), Totals: all.Totals(), firstWrong: all.FirstWrong()}
	outcome.ExtraLoadPercent = ExtraLoad(requestsAfter-requestsBefore, extraAfter-extraBefore)
	firstTotals := firstClass.Totals()
	outcome.FirstClassGoodput = float64(firstTotals.Whole) / float64(max(firstTotals.Requests, 1))
	outcome.FirstClassPartial, outcome.FirstClassRefused = firstTotals.Partial, firstTotals.Refused
	for _, l := range rig.Leaves {
		counts := l.Counts()
		outcome.MaxConnections = max(outcome.MaxConnections, counts.MaxConnections)
		outcome.OverLimit += counts.OverLimit
	}
	if outcome.firstWrong != nil {
		return outcome, eris.Wrap(outcome.firstWrong, "wrong answer")
	}
	return outcome, nil
}

const (
	warmUpQueries                        = 200
	warmUpIntervalMs samphirepass.Millis = 10
	// warmUpIDStride separates the query IDs of different seeds.
	warmUpIDStride = 7919
)

// warmUp sends some queries before the load, so that connections are open and latency quantiles are known.
func warmUp(c Case, rig *Rig, seed uint64) {
	l := &loadGenerator{testCase: c, rig: rig, all: NewRecorder(), firstClass: NewRecorder(), http: newHTTPClient()}
	defer l.http.CloseIdleConnections()
	for n := range warmUpQueries {
		l.startQuery(n, uint64(n)+seed*warmUpIDStride, c.Load[0].Class, time.Now())
		time.Sleep(warmUpIntervalMs.Duration())
	}
	l.wg.Wait()
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerEntry}}
}

// loadGenerator sends an open-loop load: each query starts at its scheduled time, whether or not earlier ones have ended.
type loadGenerator struct {
	testCase Case
	rig      *Rig
	// all records every query, firstClass those of the first class of the load.
	all, firstClass *Recorder
	http            *http.Client
	wg              sync.WaitGroup
}

// generateLoad runs the load and the events of c. It records every query in all, and those of the first class in firstClass, too.
func generateLoad(c Case, rig *Rig, seed uint64, all, firstClass *Recorder) {
	l := &loadGenerator{testCase: c, rig: rig, all: all, firstClass: firstClass, http: newHTTPClient()}
	defer l.http.CloseIdleConnections()
	start := time.Now()
	for _, e := range c.Events {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			time.Sleep(time.Until(start.Add(e.AtMs.Duration())))
			e.Do(rig)
		}()
	}
	for i, load := range c.Load {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			l.runClass(load, rand.New(rand.NewPCG(seed, uint64(i))), start)
		}()
	}
	l.wg.Wait()
}

// runClass starts the queries of one class as a Poisson process: the times between them are exponentially distributed.
func (l *loadGenerator) runClass(load ClassLoad, rnd *rand.Rand, start time.Time) {
	at := samphirepass.Millis(0)
	for n := 0; ; n++ {
		at += samphirepass.Millis(rnd.ExpFloat64() * 1000 / load.QueriesPerSecond)
		if at > l.testCase.DurationMs {
			return
		}
		due := start.Add(at.Duration())
		time.Sleep(time.Until(due))
		l.startQuery(n, rnd.Uint64(), load.Class, due)
	}
}

// startQuery sends a query in the background.
func (l *loadGenerator) startQuery(n int, id uint64, class samphirepass.Class, due time.Time) {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		l.sendQuery(n, id, class, due)
	}()
}

// sendQuery sends a query to entry n, modulo the number of entries, and records its answer. The latency counts from due, so it
// includes any delay before sending.
func (l *loadGenerator) sendQuery(n int, id uint64, class samphirepass.Class, due time.Time) {
	fleet := l.testCase.Workload.Fleets[0]
	query := json.RawMessage(fmt.Sprintf(`{"class":%q,"id":%d}`, class, id))
	c := Client{Address: l.rig.Addresses[n%len(l.rig.Addresses)], HTTP: l.http}
	ctx, cancel := context.WithTimeout(context.Background(), 2*fleet.DeadlineMs.Duration())
	defer cancel()
	a, err := c.Query(ctx, fleet.Service, samphirepass.Query{Caller: CallerOf(class), Query: query})
	latency := samphirepass.MillisOf(time.Since(due))
	var wrong error
	if err == nil {
		wrong = Check(query, a)
	}
	l.all.Add(latency, a, err, wrong)
	if class == l.testCase.Load[0].Class {
		l.firstClass.Add(latency, a, err, wrong)
	}
}
