package bench

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"samphirepass"
	"samphirepass/standin"
)

// Check returns an error if an answer of emulated leaves does not match its query or its snapshot, or if its coverage is
// inconsistent or differs from its items.
func Check(query json.RawMessage, a samphirepass.Answer) error {
	if a.Whole != a.Coverage.Whole() {
		return eris.Errorf("answer has whole=%v but coverage %+v", a.Whole, a.Coverage)
	}
	if a.Coverage.Answered+len(a.Coverage.Missing) != a.Coverage.Total {
		return eris.Errorf("answered and missing shards do not add up to the total: %+v", a.Coverage)
	}
	missing := map[samphirepass.Shard]bool{}
	for _, s := range a.Coverage.Missing {
		missing[s] = true
	}
	answered := map[samphirepass.Shard]bool{}
	for _, item := range a.Items {
		var v standin.ItemValue
		if err := json.Unmarshal(item.Value, &v); err != nil {
			return fmt.Errorf("decode item: %w", err)
		}
		if v.Snapshot != a.Snapshot {
			return eris.Errorf("item of snapshot %d in an answer of snapshot %d", v.Snapshot, a.Snapshot)
		}
		if !bytes.Equal(v.Query, query) {
			return eris.Errorf("item answers query %s instead of %s", v.Query, query)
		}
		if answered[v.Shard] {
			return eris.Errorf("shard %d has more than one item", v.Shard)
		}
		answered[v.Shard] = true
	}
	for s := range answered {
		if int(s) >= a.Coverage.Total {
			return eris.Errorf("item of shard %d, but there are only %d shards", s, a.Coverage.Total)
		}
	}
	for s := range a.Coverage.Total {
		shard := samphirepass.Shard(s)
		if !answered[shard] && !missing[shard] {
			return eris.Errorf("shard %d counts as answered but has no item", s)
		}
	}
	return nil
}
