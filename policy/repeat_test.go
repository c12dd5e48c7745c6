package policy_test

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/policy"
)

// TestPartsToRepeat guards against requests that one dead collector fails, and against repeats that double the load when the collectors are
// only slow or the entry itself is.
func TestPartsToRepeat(t *testing.T) {
	// A route with a target of 200 ms, whose parts are repeated after 82 ms.
	const delay = 82
	answered := policy.SentPart{}
	slow := policy.SentPart{Pending: true, Repeatable: true, SilentMs: 30}
	silent := policy.SentPart{Pending: true, Repeatable: true, SilentMs: 82}
	sentLater := policy.SentPart{Pending: true, Repeatable: true, SilentMs: 62}
	lost := policy.SentPart{Pending: true, Repeatable: true, Lost: true, SilentMs: 3}
	hedging := policy.SentPart{Pending: true, SilentMs: 90}
	healthy := policy.RepeatConditions{DelayMs: delay, RemainingMs: 900}
	tests := map[string]struct {
		parts      []policy.SentPart
		conditions policy.RepeatConditions
		want       []int
	}{
		"a collector has frozen":                           {[]policy.SentPart{answered, silent, answered}, healthy, []int{1}},
		"a collector has ended":                            {[]policy.SentPart{slow, slow, lost}, healthy, []int{2}},
		"all leaves are slow":                              {[]policy.SentPart{slow, slow, slow}, healthy, nil},
		"three of nine collectors are cut off":             {[]policy.SentPart{silent, silent, lost, slow, slow, slow, answered, answered, answered}, healthy, []int{0, 1, 2}},
		"four of nine: this entry is cut off":              {[]policy.SentPart{silent, silent, lost, silent, slow, slow, answered, answered, answered}, healthy, nil},
		"four of nine, sent 20 ms apart":                   {[]policy.SentPart{silent, sentLater, sentLater, sentLater, slow, slow, answered, answered, answered}, healthy, nil},
		"one of two tells nothing":                         {[]policy.SentPart{silent, slow}, healthy, nil},
		"the only one tells nothing":                       {[]policy.SentPart{lost}, healthy, nil},
		"the collector took the token and froze":           {[]policy.SentPart{hedging, answered, answered}, healthy, nil},
		"parts without a token count as dead":              {[]policy.SentPart{hedging, silent, answered, answered}, healthy, nil},
		"the timer was late: frames may wait to be read":   {[]policy.SentPart{silent, slow, slow}, policy.RepeatConditions{DelayMs: delay, LateMs: 5, RemainingMs: 900}, nil},
		"the deadline is near":                             {[]policy.SentPart{silent, slow, slow}, policy.RepeatConditions{DelayMs: delay, RemainingMs: 9}, nil},
		"an overloaded entry with many unanswered parts":   {[]policy.SentPart{silent, silent, silent, slow, answered}, healthy, nil},
		"a frozen collector among slow ones of a busy day": {[]policy.SentPart{slow, silent, slow, slow}, healthy, []int{1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, policy.PartsToRepeat(tt.parts, tt.conditions)) })
	}
}

// TestNextRepeatCheck guards against checks that come so late that the repeat misses the target, and against checking without pause.
func TestNextRepeatCheck(t *testing.T) {
	pending := func(silent samphirepass.Millis) policy.SentPart {
		return policy.SentPart{Pending: true, Repeatable: true, SilentMs: silent}
	}
	tests := map[string]struct {
		parts []policy.SentPart
		want  samphirepass.Millis
		ok    bool
	}{
		"just sent":              {[]policy.SentPart{pending(0), pending(0)}, 82, true},
		"the longest silence":    {[]policy.SentPart{pending(10), pending(40)}, 42, true},
		"dead but not repeated":  {[]policy.SentPart{pending(90)}, 15, true},
		"not sent yet":           {[]policy.SentPart{{}, {Pending: true}}, 82, true},
		"all parts are answered": {[]policy.SentPart{{}, {}}, 82, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			next, ok := policy.NextRepeatCheck(tt.parts, 82)
			require.Equal(t, tt.ok, ok)
			if ok {
				require.Equal(t, tt.want, next)
			}
		})
	}
}

// TestTokenHasOneHolder guards against a collector and the entry both making further attempts on a shard.
func TestTokenHasOneHolder(t *testing.T) {
	for range 200 {
		var token policy.AttemptToken
		require.Equal(t, policy.TokenFree, token.Holder())
		var granted atomic.Int64
		var wg sync.WaitGroup
		for _, holder := range []policy.TokenHolder{policy.TokenCollector, policy.TokenEntry, policy.TokenCollector} {
			wg.Go(func() {
				if token.Take(holder) {
					granted.Add(1)
				}
			})
		}
		wg.Wait()
		require.EqualValues(t, 1, granted.Load())
		require.NotEqual(t, policy.TokenFree, token.Holder())
	}
}

// TestLimitsAttempts guards against repeats of requests that may run only once, or whose route allows one attempt.
func TestLimitsAttempts(t *testing.T) {
	tests := map[string]struct {
		route samphirepass.Route
		want  bool
	}{
		"two attempts":   {samphirepass.Route{Kind: samphirepass.Repeatable, MaxAttempts: 2, LatencyTargetMs: 200}, true},
		"one attempt":    {samphirepass.Route{Kind: samphirepass.Repeatable, MaxAttempts: 1, LatencyTargetMs: 200}, false},
		"runs only once": {samphirepass.Route{Kind: samphirepass.AtMostOnce, MaxAttempts: 2, LatencyTargetMs: 200}, false},
		"no target":      {samphirepass.Route{Kind: samphirepass.Repeatable, MaxAttempts: 2}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, policy.LimitsAttempts(tt.route)) })
	}
}
