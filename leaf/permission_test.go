package leaf_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
)

// TestFurtherAttemptsNeedPermission guards against a collector that makes a second attempt on a shard although its entry may have delivered the
// part again. The first leaf of each shard fails in some way, and the answer to the question comes after 4 ms.
func TestFurtherAttemptsNeedPermission(t *testing.T) {
	tests := map[string]struct {
		// kind is the failure of the first leaf, empty for a leaf that hangs.
		kind    samphirepass.FailureKind
		granted bool
		// second is the number of attempts on the second leaves, asked that of questions.
		second, asked int
		// took is how long the request takes at most.
		took time.Duration
	}{
		"hedge":                          {"", true, 3, 1, 38 * time.Millisecond},
		"hedge without permission":       {"", false, 0, 1, 510 * time.Millisecond},
		"lost":                           {samphirepass.FailureLost, true, 3, 1, 5 * time.Millisecond},
		"lost without permission":        {samphirepass.FailureLost, false, 0, 1, 5 * time.Millisecond},
		"refused without permission":     {samphirepass.FailureShed, false, 0, 1, 5 * time.Millisecond},
		"answered without permission":    {samphirepass.FailureAnswered, false, 0, 1, 5 * time.Millisecond},
		"not sent":                       {samphirepass.FailureNotSent, false, 3, 0, time.Millisecond},
		"silent: it may have arrived":    {samphirepass.FailureSilent, false, 0, 1, 5 * time.Millisecond},
		"silent with permission":         {samphirepass.FailureSilent, true, 3, 1, 5 * time.Millisecond},
		"crashed leaf":                   {samphirepass.FailureCrashed, false, 0, 1, 5 * time.Millisecond},
		"crashed leaf with permission":   {samphirepass.FailureCrashed, true, 3, 1, 5 * time.Millisecond},
		"another leaf at the address":    {samphirepass.FailureGone, false, 0, 1, 5 * time.Millisecond},
		"answer of another, and granted": {samphirepass.FailureMismatch, true, 3, 1, 5 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedSender{answer: func(ctx context.Context, to samphirepass.Leaf, _ int, _ samphirepass.Attempt) (samphirepass.Reply, error) {
					switch {
					case strings.HasSuffix(string(to), "-1"):
						return okReply()
					case tt.kind == "":
						return waitForCancel(ctx)
					}
					return samphirepass.Reply{}, attemptError(tt.kind)
				}}
				d, _ := newDelivererAt(bubbleClock{started: time.Now()}, s, &fixedBudget{remaining: 10})
				delivery := newDelivery(testRoute)
				var asked atomic.Int64
				delivery.FurtherAttempts = func(context.Context) bool {
					asked.Add(1)
					time.Sleep(4 * time.Millisecond)
					return tt.granted
				}
				result, took := deliver(d, delivery)
				time.Sleep(time.Second)
				require.Equal(t, tt.second, s.count("0-1")+s.count("1-1")+s.count("2-1"))
				require.Equal(t, tt.second, result.Answered)
				require.EqualValues(t, tt.asked, asked.Load())
				require.LessOrEqual(t, took, tt.took, "a hedge is delayed by the question only")
			})
		})
	}
}

// TestPromptAnswersAskNothing guards against a question for each part, where only those that want a further attempt need one.
func TestPromptAnswersAskNothing(t *testing.T) {
	s := &scriptedSender{answer: func(context.Context, samphirepass.Leaf, int, samphirepass.Attempt) (samphirepass.Reply, error) {
		return okReply()
	}}
	d, _ := newDeliverer(s, &fixedBudget{remaining: 10})
	delivery := newDelivery(testRoute)
	delivery.FurtherAttempts = func(context.Context) bool { panic("asked") }
	result, _ := deliver(d, delivery)
	require.Equal(t, 3, result.Answered)
}

// TestExtraDeliveryDrawsOnBudget guards against repeated parts that double the load of an overloaded service: their first attempts count as
// extra ones.
func TestExtraDeliveryDrawsOnBudget(t *testing.T) {
	s := &scriptedSender{answer: func(context.Context, samphirepass.Leaf, int, samphirepass.Attempt) (samphirepass.Reply, error) {
		return okReply()
	}}
	d, _ := newDeliverer(s, &fixedBudget{remaining: 2})
	delivery := newDelivery(testRoute)
	delivery.Extra = true
	result, _ := deliver(d, delivery)
	require.Equal(t, 2, result.Answered)
	require.Equal(t, 2, result.Extra)
	require.Equal(t, 2, result.Attempts)
	result, _ = deliver(d, delivery)
	require.Zero(t, result.Attempts, "the budget is spent")
}
