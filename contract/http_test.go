package contract_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/bench"
	"samphirepass/operator"
	"samphirepass/policy"
	"samphirepass/standin"
	"samphirepass/web"
)

var rig *bench.Rig

func TestMain(m *testing.M) {
	w := bench.Federation()
	w.Fleets = w.Fleets[:1]
	w.Fleets[0].Shards, w.Fleets[0].Replicas, w.Fleets[0].ProcessingMs = 2, 1, 0
	var err error
	rig, err = bench.StartRig(bench.RigOptions{Workload: w, Entries: 1, Policy: policy.NameMeasured, Seed: 1})
	if err != nil {
		panic(err)
	}
	status := m.Run()
	rig.Stop()
	os.Exit(status)
}

const (
	servicePath = "/v1/services/member-register"
	validCaller = "caller-flight-line"
)

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func expiredKey() string {
	id := uuid.Must(uuid.NewV7())
	copy(id[:6], []byte{0, 0, 0, 0, 0, 1})
	return id.String()
}

func futureKey() string {
	id := uuid.Must(uuid.NewV7())
	id[0], id[1] = 0x7f, 0xff
	return id.String()
}

// systemState is the state that a refused request must leave unchanged.
type systemState struct {
	services, callers operator.ListBody
	leaves            int
	runs              int
	queries           int64
}

func readState(t *testing.T) systemState {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	client := operator.Client{Address: rig.Addresses[0]}
	var s systemState
	var err error
	s.services, err = client.List(ctx, samphirepass.KindService)
	require.NoError(t, err)
	s.callers, err = client.List(ctx, samphirepass.KindCaller)
	require.NoError(t, err)
	status, err := client.Status(ctx)
	require.NoError(t, err)
	s.leaves = len(status.Leaves)
	for _, l := range rig.Leaves {
		c := l.Counts()
		s.queries += c.Queries
		s.runs += len(c.Runs)
	}
	return s
}

type badInput struct {
	method, path, body string
	status             int
	code               samphirepass.Code
	field              string
	// mayHaveRun is set where the answer must not state that nothing was run.
	mayHaveRun bool
}

func putBody(spec string) string {
	return `{"change-id":"x","base-revision":0,"spec":` + spec + `}`
}

const validSpec = `{"classes":["a"],"deadline-ms":100,"partial":"allowed","hedge-budget-percent":5,"merge":{"kind":"concatenate"}}`

// runBody returns the body of a run with a key; extraFields is empty or further JSON fields after a comma.
func runBody(key, extraFields string) string {
	return `{"caller":"` + validCaller + `","key":"` + key + `","route":"r","body":{}` + extraFields + `}`
}

func announcement(replacements ...string) string {
	a := `{"leaf":"l","service":"s","address":"127.0.0.1:9","data-centre":"d","incarnation":1,"sequence":1,"state":"serving",` +
		`"holdings":[{"snapshot":1,"shards":2,"shard":0}],"slots":1,"connections":1}`
	return strings.NewReplacer(replacements...).Replace(a)
}

func TestProofBadInput(t *testing.T) {
	const invalid = samphirepass.CodeInvalid
	put, post := http.MethodPut, http.MethodPost
	tests := map[string]badInput{
		"query that is not JSON":               {post, servicePath + "/query", `{`, 400, invalid, "document", false},
		"query without a body":                 {post, servicePath + "/query", ``, 400, invalid, "document", false},
		"query without a caller":               {post, servicePath + "/query", `{"query":{}}`, 400, invalid, "caller", false},
		"query of an unknown caller":           {post, servicePath + "/query", `{"caller":"nobody","query":{}}`, 403, samphirepass.CodeUnknownCaller, "caller", false},
		"query with an unknown field":          {post, servicePath + "/query", `{"caller":"x","query":{},"limit":1}`, 400, invalid, "limit", false},
		"query with a string as deadline":      {post, servicePath + "/query", `{"caller":"x","query":{},"deadline-ms":"1"}`, 400, invalid, "deadline-ms", false},
		"query with a negative deadline":       {post, servicePath + "/query", `{"caller":"x","query":{},"deadline-ms":-1}`, 400, invalid, "deadline-ms", false},
		"query with a deadline over the limit": {post, servicePath + "/query", `{"caller":"` + validCaller + `","query":{},"deadline-ms":9000}`, 400, invalid, "deadline-ms", false},
		"query with a duplicate field":         {post, servicePath + "/query", `{"caller":"x","caller":"y","query":{}}`, 400, invalid, "caller", false},
		"query that is too large":              {post, servicePath + "/query", `{"caller":"x","query":"` + strings.Repeat("x", 1<<20) + `"}`, 400, invalid, "document", false},
		"query of an unknown service":          {post, "/v1/services/nothing/query", `{"caller":"` + validCaller + `","query":{}}`, 404, samphirepass.CodeNotFound, "", false},

		"run without a key":                 {post, servicePath + "/run", `{"caller":"x","route":"r","body":{}}`, 400, invalid, "key", false},
		"run with a key that is not a UUID": {post, servicePath + "/run", runBody("abc", ""), 400, invalid, "key", false},
		"run with a random UUID as key":     {post, servicePath + "/run", runBody(uuid.NewString(), ""), 400, invalid, "key", false},
		"run with a key in upper case":      {post, servicePath + "/run", runBody(strings.ToUpper(newKey()), ""), 400, invalid, "key", false},
		"run with an expired key":           {post, servicePath + "/run", runBody(expiredKey(), ""), 410, samphirepass.CodeKeyExpired, "key", false},
		"run with a key from the future":    {post, servicePath + "/run", runBody(futureKey(), ""), 400, invalid, "key", false},
		"run with an unknown field":         {post, servicePath + "/run", runBody(newKey(), `,"again":true`), 400, invalid, "again", false},
		"run without a route":               {post, servicePath + "/run", `{"caller":"x","key":"` + newKey() + `","body":{}}`, 400, invalid, "route", false},
		"state of a malformed key":          {http.MethodGet, "/v1/runs/abc", ``, 400, invalid, "key", false},
		"state of an unused key":            {http.MethodGet, "/v1/runs/" + newKey(), ``, 404, samphirepass.CodeNotFound, "", true},

		"resource with an unknown field":        {put, "/v1/services/new", putBody(`{"classes":["a"],"colour":1}`), 400, invalid, "spec.colour", false},
		"resource with an unknown nested field": {put, "/v1/services/new", putBody(strings.Replace(validSpec, `"kind"`, `"m":1,"kind"`, 1)), 400, invalid, "spec.merge.m", false},
		"resource with a value out of range":    {put, "/v1/services/new", putBody(strings.Replace(validSpec, ":5", ":101", 1)), 400, invalid, "spec.hedge-budget-percent", false},
		"resource with a deadline of 0":         {put, "/v1/services/new", putBody(strings.Replace(validSpec, ":100", ":0", 1)), 400, invalid, "spec.deadline-ms", false},
		"resource with an unknown merge":        {put, "/v1/services/new", putBody(strings.Replace(validSpec, "concatenate", "sum", 1)), 400, invalid, "spec.merge.kind", false},
		"resource with merge top without n":     {put, "/v1/services/new", putBody(strings.Replace(validSpec, "concatenate", "top", 1)), 400, invalid, "spec.merge.n", false},
		"resource without classes":              {put, "/v1/services/new", putBody(strings.Replace(validSpec, `["a"]`, `[]`, 1)), 400, invalid, "spec.classes", false},
		"resource with a duplicate class":       {put, "/v1/services/new", putBody(strings.Replace(validSpec, `["a"]`, `["a","a"]`, 1)), 400, invalid, "spec.classes", false},
		"resource with a class not a string":    {put, "/v1/services/new", putBody(strings.Replace(validSpec, `["a"]`, `[1]`, 1)), 400, invalid, "spec.classes[0]", false},
		"resource without a change id":          {put, "/v1/services/new", `{"base-revision":0,"spec":` + validSpec + `}`, 400, invalid, "change-id", false},
		"resource with a negative revision":     {put, "/v1/services/new", `{"change-id":"x","base-revision":-1,"spec":{}}`, 400, invalid, "base-revision", false},
		"resource with an invalid name":         {put, "/v1/services/New", putBody(validSpec), 400, invalid, "name", false},
		"resource with an old base revision":    {put, "/v1/services/member-register", `{"change-id":"y","base-revision":1,"spec":` + validSpec + `}`, 409, samphirepass.CodeConflict, "base-revision", false},
		"caller without a class":                {put, "/v1/callers/new", putBody(`{}`), 400, invalid, "spec.class", false},
		"deletion without a revision":           {http.MethodDelete, "/v1/callers/new?change-id=x", ``, 400, invalid, "base-revision", false},
		"deletion without a change id":          {http.MethodDelete, "/v1/callers/new?base-revision=1", ``, 400, invalid, "change-id", false},
		"deletion of a missing resource":        {http.MethodDelete, "/v1/callers/new?base-revision=0&change-id=d0", ``, 404, samphirepass.CodeNotFound, "", false},
		"get of a missing resource":             {http.MethodGet, "/v1/callers/new", ``, 404, samphirepass.CodeNotFound, "", false},
		"watch from a revision not a number":    {http.MethodGet, "/v1/callers?watch=x", ``, 400, invalid, "watch", false},
		"watch from a discarded revision":       {http.MethodGet, "/v1/callers?watch=0", ``, 410, samphirepass.CodeRestartWatch, "", false},
		"member with a host name as address":    {post, "/v1/members", `{"vm":"m","address":"host:1"}`, 400, invalid, "address", false},
		"member that already exists":            {post, "/v1/members", `{"vm":"control-1","address":"127.0.0.1:1"}`, 409, samphirepass.CodeConflict, "", false},
		"release of a seat that is not held":    {http.MethodDelete, "/v1/seats/nobody", ``, 404, samphirepass.CodeNotFound, "", false},
		"announcement that is not JSON":         {post, "/v1/announcements", `[]`, 400, invalid, "document", false},
		"announcement without a leaf":           {post, "/v1/announcements", announcement(`"leaf":"l",`, ``), 400, invalid, "leaf", false},
		"announcement with a host name":         {post, "/v1/announcements", announcement("127.0.0.1:9", "localhost:9"), 400, invalid, "address", false},
		"announcement in an unknown state":      {post, "/v1/announcements", announcement("serving", "resting"), 400, invalid, "state", false},
		"announcement without slots":            {post, "/v1/announcements", announcement(`"slots":1`, `"slots":0`), 400, invalid, "slots", false},
		"announcement with a shard over total":  {post, "/v1/announcements", announcement(`"shard":0`, `"shard":2`), 400, invalid, "holdings.shard", false},
		"announcement of snapshot 0":            {post, "/v1/announcements", announcement(`"snapshot":1`, `"snapshot":0`), 400, invalid, "holdings[0].snapshot", false},
		"announcement with an unknown field":    {post, "/v1/announcements", announcement(`"slots"`, `"rack":1,"slots"`), 400, invalid, "rack", false},
	}
	before := readState(t)
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			req, err := http.NewRequestWithContext(t.Context(), tt.method, "http://"+rig.Addresses[0]+tt.path, strings.NewReader(tt.body))
			require.NoError(t, err)
			resp, err := http.DefaultClient.Do(req)
			require.NoError(t, err)
			defer resp.Body.Close()
			data, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, tt.status, resp.StatusCode, string(data))
			var body web.ErrorBody
			require.NoError(t, json.Unmarshal(data, &body), string(data))
			require.NotNil(t, body.Error)
			require.Equal(t, tt.code, body.Error.Code)
			require.Equal(t, tt.field, body.Error.Field)
			require.Equal(t, !tt.mayHaveRun, body.Error.NotRun)
			if tt.field != "" {
				require.NotEmpty(t, body.Error.Allowed, "the refusal does not state the allowed values")
			}
		})
	}
	require.Equal(t, before, readState(t), "a refused request changed the state of the system")
}

func TestOutdatedAnnouncementIsRefused(t *testing.T) {
	a := announcement(`"leaf":"l"`, `"leaf":"outdated"`, `"service":"s"`, `"service":"other"`)
	send := func(body string) int {
		resp, err := http.Post("http://"+rig.Addresses[0]+"/v1/announcements", "application/json", bytes.NewBufferString(body))
		require.NoError(t, err)
		defer resp.Body.Close()
		return resp.StatusCode
	}
	require.Equal(t, 200, send(strings.Replace(a, `"sequence":1`, `"sequence":5`, 1)))
	require.Equal(t, 409, send(a))
}

func TestMetricsHaveHistogramsForEachCaller(t *testing.T) {
	c := bench.Client{Address: rig.Addresses[0], HTTP: http.DefaultClient}
	query := json.RawMessage(`{"x":1}`)
	a, err := c.Query(t.Context(), "member-register", samphirepass.Query{Caller: validCaller, Query: query})
	require.NoError(t, err)
	require.NoError(t, bench.Check(query, a))
	resp, err := http.Get("http://" + rig.Addresses[0] + "/metrics")
	require.NoError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Contains(t, string(data), `samphirepass_query_seconds_count{caller="caller-flight-line",class="flight-line",result="whole",service="member-register"}`)
}

// TestProofCheckRejectsWrongAnswers guards against a bench.Check that accepts wrong answers, as the benchmarks and the scenarios rely
// on it.
func TestProofCheckRejectsWrongAnswers(t *testing.T) {
	item := func(snapshot samphirepass.Snapshot, shard samphirepass.Shard, query string) samphirepass.Item {
		v, err := json.Marshal(standin.ItemValue{Leaf: "l", Snapshot: snapshot, Shard: shard, Query: json.RawMessage(query)})
		require.NoError(t, err)
		return samphirepass.Item{Value: v}
	}
	valid := func() samphirepass.Answer {
		return samphirepass.Answer{
			Snapshot: 1, Whole: true, Coverage: samphirepass.Coverage{Answered: 2, Total: 2, Missing: []samphirepass.Shard{}},
			Items: []samphirepass.Item{item(1, 0, `{}`), item(1, 1, `{}`)},
		}
	}
	tests := map[string]func(a *samphirepass.Answer){
		"an item of another snapshot":     func(a *samphirepass.Answer) { a.Items[1] = item(2, 1, `{}`) },
		"an item of another query":        func(a *samphirepass.Answer) { a.Items[1] = item(1, 1, `{"n":1}`) },
		"a duplicate shard":               func(a *samphirepass.Answer) { a.Items[1] = a.Items[0] },
		"an answered shard without items": func(a *samphirepass.Answer) { a.Items = a.Items[:1] },
		"a shard outside the total":       func(a *samphirepass.Answer) { a.Items[1] = item(1, 7, `{}`) },
		"a partial answer marked as whole": func(a *samphirepass.Answer) {
			a.Items = a.Items[:1]
			a.Coverage.Answered, a.Coverage.Missing = 1, []samphirepass.Shard{1}
		},
		"coverage that does not add up": func(a *samphirepass.Answer) { a.Coverage.Total = 3 },
	}
	require.NoError(t, bench.Check(json.RawMessage(`{}`), valid()))
	for name, corrupt := range tests {
		t.Run(name, func(t *testing.T) {
			a := valid()
			corrupt(&a)
			require.Error(t, bench.Check(json.RawMessage(`{}`), a))
		})
	}
}
