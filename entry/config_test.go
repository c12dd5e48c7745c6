package entry_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/blackboard"
	"samphirepass/control"
	"samphirepass/entry"
	"samphirepass/ledger"
)

func caller(name string, at samphirepass.Revision) samphirepass.Resource {
	return samphirepass.Resource{Kind: samphirepass.KindCaller, Name: name, Revision: at, Spec: json.RawMessage(`{"class":"c"}`)}
}

func full(at samphirepass.Revision, resources ...samphirepass.Resource) control.SyncReply {
	return control.SyncReply{Revision: at, Full: true, View: ledger.View{Revision: at, Resources: resources}}
}

func events(at samphirepass.Revision, list ...samphirepass.ResourceEvent) control.SyncReply {
	return control.SyncReply{Revision: at, Events: list, View: ledger.View{Revision: at}}
}

// TestProofConfigurationNeverReverts checks that late or reordered replies never replace the configuration by an older one.
func TestProofConfigurationNeverReverts(t *testing.T) {
	at5, ok := entry.ApplySyncReply(blackboard.Config{}, 0, full(5, caller("a", 3), caller("b", 5)))
	require.True(t, ok)
	tests := map[string]struct {
		since samphirepass.Revision
		reply control.SyncReply
		want  []string
	}{
		"older full state":               {reply: full(4, caller("z", 4)), want: []string{"a", "b"}},
		"same full state":                {reply: full(5), want: []string{"a", "b"}},
		"newer full state":               {reply: full(6, caller("c", 6)), want: []string{"c"}},
		"events that follow on":          {since: 5, reply: events(7, samphirepass.ResourceEvent{Resource: caller("c", 7)}), want: []string{"a", "b", "c"}},
		"deletion":                       {since: 5, reply: events(7, samphirepass.ResourceEvent{Resource: caller("a", 7), Deleted: true}), want: []string{"b"}},
		"events since an older revision": {since: 3, reply: events(7, samphirepass.ResourceEvent{Resource: caller("c", 7)}), want: []string{"a", "b"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, _ := entry.ApplySyncReply(at5, tt.since, tt.reply)
			var names []string
			for name := range got.Callers {
				names = append(names, string(name))
			}
			require.ElementsMatch(t, tt.want, names)
			require.GreaterOrEqual(t, got.Revision, at5.Revision)
		})
	}
}

// TestProofExchangedConfigurationIsTheSame checks that an entry at any older revision gets the same resources
// from another entry as that entry has.
func TestProofExchangedConfigurationIsTheSame(t *testing.T) {
	from, _ := entry.ApplySyncReply(blackboard.Config{}, 0, full(5, caller("a", 3)))
	from, _ = entry.ApplySyncReply(from, 5, events(6, samphirepass.ResourceEvent{Resource: caller("b", 6)}))
	from, _ = entry.ApplySyncReply(from, 6, events(8, samphirepass.ResourceEvent{Resource: caller("a", 8), Deleted: true}))
	tests := map[string]samphirepass.Revision{"no configuration": 0, "before the retained events": 3, "before the first event": 5, "between two events": 6}
	for name, since := range tests {
		t.Run(name, func(t *testing.T) {
			to, _ := entry.ApplySyncReply(blackboard.Config{}, 0, full(since, caller("a", 3)))
			if since == 6 {
				to, _ = entry.ApplySyncReply(blackboard.Config{}, 0, full(6, caller("a", 3), caller("b", 6)))
			}
			got, ok := entry.ApplySyncReply(to, to.Revision, entry.NewSyncReply(from, to.Revision))
			require.True(t, ok)
			require.Equal(t, from.Resources, got.Resources)
			require.Equal(t, from.Revision, got.Revision)
		})
	}
}
