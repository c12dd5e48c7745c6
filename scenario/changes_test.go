package scenario_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"samphirepass"
)

// cmdChangeCallers implements "change-callers ENTRY COUNT": it applies COUNT changes, one after another, to the callers
// marshal-0 to marshal-6 in turn.
func cmdChangeCallers(s *system, args []string) error {
	n, _ := strconv.Atoi(args[1])
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitTimeout)
	defer cancel()
	for i := range n {
		name := fmt.Sprintf("marshal-%d", i%7)
		answer, err := s.operatorClient(args[0]).Apply(ctx, samphirepass.KindCaller, name, samphirepass.CallerSpec{Class: "flight-line"})
		if err != nil {
			return fmt.Errorf("apply change %d: %w", i, err)
		}
		s.mu.Lock()
		s.acceptedRevisions = append(s.acceptedRevisions, answer.Revision)
		s.mu.Unlock()
	}
	return nil
}

// cmdAwaitCaller implements "await-caller ENTRY CALLER": it waits until the entry serves with a configuration that declares
// the caller.
func cmdAwaitCaller(s *system, args []string) error {
	return waitFor(args[0]+" to serve with caller "+args[1], func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		q := samphirepass.Query{Caller: samphirepass.Caller(args[1]), Query: json.RawMessage(`{}`)}
		_, err := s.benchClient(args[0]).Query(ctx, "desk", q)
		r := samphirepass.AsRefusal(err)
		return err == nil || (r != nil && r.Code != samphirepass.CodeUnknownCaller && r.Code != samphirepass.CodeStaleConfiguration)
	})
}

// cmdDeclareCaller implements "declare-caller ENTRY CALLER": it applies a caller and fails unless that is accepted within
// 3 s.
func cmdDeclareCaller(s *system, args []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, err := s.operatorClient(args[0]).Apply(ctx, samphirepass.KindCaller, args[1], samphirepass.CallerSpec{Class: "flight-line"})
	return err
}
