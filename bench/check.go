package bench

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"samphirepass"
	"samphirepass/standin"
)

// Check returns an error if an answer of stand-ins is not true to its query, its snapshot and its coverage.
func Check(query json.RawMessage, a samphirepass.Answer) error {
	if a.Whole != a.Coverage.Whole() {
		return eris.Errorf("whole is %v with coverage %+v", a.Whole, a.Coverage)
	}
	if a.Coverage.Answered+len(a.Coverage.Missing) != a.Coverage.Total {
		return eris.Errorf("coverage does not add up: %+v", a.Coverage)
	}
	missing := map[samphirepass.Shard]bool{}
	for _, s := range a.Coverage.Missing {
		missing[s] = true
	}
	seen := map[samphirepass.Shard]bool{}
	for _, item := range a.Items {
		var v standin.ItemValue
		if err := json.Unmarshal(item.Value, &v); err != nil {
			return fmt.Errorf("decode item: %w", err)
		}
		if v.Snapshot != a.Snapshot {
			return eris.Errorf("an item of snapshot %d in an answer of %d", v.Snapshot, a.Snapshot)
		}
		if !bytes.Equal(v.Query, query) {
			return eris.Errorf("an item answers %s, not %s", v.Query, query)
		}
		if seen[v.Shard] {
			return eris.Errorf("shard %d answers twice", v.Shard)
		}
		seen[v.Shard] = true
	}
	for s := range seen {
		if int(s) >= a.Coverage.Total {
			return eris.Errorf("shard %d of %d", s, a.Coverage.Total)
		}
	}
	for s := range a.Coverage.Total {
		shard := samphirepass.Shard(s)
		if !seen[shard] && !missing[shard] {
			return eris.Errorf("shard %d counts as answered and gave no item", s)
		}
	}
	return nil
}
