package scenario_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"samphirepass"
)

// cmdChange: change ENTRY COUNT applies COUNT changes of the caller marshal-N, one after the other.
func cmdChange(s *system, args []string) error {
	n, _ := strconv.Atoi(args[1])
	ctx, cancel := context.WithTimeout(context.Background(), 2*awaitTimeout)
	defer cancel()
	for i := range n {
		name := fmt.Sprintf("marshal-%d", i%7)
		answer, err := s.operator(args[0]).Apply(ctx, samphirepass.KindCaller, name, samphirepass.CallerSpec{Class: "flight-line"})
		if err != nil {
			return fmt.Errorf("change %d: %w", i, err)
		}
		s.mu.Lock()
		s.accepted = append(s.accepted, answer.Revision)
		s.mu.Unlock()
	}
	return nil
}

// cmdInForce: inforce ENTRY CALLER waits until the entry serves with a caller declared.
func cmdInForce(s *system, args []string) error {
	return await(args[1]+" in force at "+args[0], func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		q := samphirepass.Query{Caller: samphirepass.Caller(args[1]), Query: json.RawMessage(`{}`)}
		_, err := s.bench(args[0]).Query(ctx, "desk", q)
		r := samphirepass.AsRefusal(err)
		return err == nil || (r != nil && r.Code != samphirepass.CodeUnknownCaller && r.Code != samphirepass.CodeStaleConfiguration)
	})
}

// cmdCommits: commits ENTRY NAME applies one caller and fails unless it is accepted in time.
func cmdCommits(s *system, args []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, err := s.operator(args[0]).Apply(ctx, samphirepass.KindCaller, args[1], samphirepass.CallerSpec{Class: "flight-line"})
	return err
}
