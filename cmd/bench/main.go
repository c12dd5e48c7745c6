package main

import (
	"encoding/json"
	"fmt"
	"os"

	"samphirepass/bench"
	"samphirepass/policy"
	"samphirepass/shell"
)

type options struct {
	List    listCommand    `command:"list" description:"Print the cases and the policies."`
	Run     runCommand     `command:"run" description:"Run one case under one policy."`
	Compare compareCommand `command:"compare" description:"Run one case under the baseline and a policy."`
	Report  reportCommand  `command:"report" description:"Run all cases under the baseline and the measured policy, and write a table and plots."`
}

func main() {
	os.Exit(shell.Run("bench", &options{}, os.Args[1:]))
}

// printLine prints v as one line of JSON.
func printLine(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode result: %w", err)
	}
	fmt.Println(string(b))
	return nil
}

type listCommand struct{}

// Execute prints the cases and the policies.
func (*listCommand) Execute([]string) error {
	for _, c := range bench.Cases() {
		fmt.Println("case", c.Name)
	}
	for _, n := range policy.Names() {
		fmt.Println("policy", n)
	}
	return nil
}

// caseOptions selects a case, a policy and a seed.
type caseOptions struct {
	Policy string `long:"policy" default:"measured" choice:"measured" choice:"baseline" choice:"measured-random-choice" choice:"measured-no-hedge" choice:"measured-open-admission" description:"Policy to run the case under."`
	Seed   uint64 `long:"seed" default:"1" description:"Seed of the random arrivals and stragglers."`
	Args   struct {
		Case string `positional-arg-name:"CASE" required:"true"`
	} `positional-args:"true"`
}

type runCommand struct{ caseOptions }

// Execute runs one case under one policy.
func (c *runCommand) Execute([]string) error {
	benchCase, err := bench.FindCase(bench.CaseName(c.Args.Case))
	if err != nil {
		return err
	}
	outcome, err := bench.Run(benchCase, policy.Name(c.Policy), c.Seed)
	if err != nil {
		return err
	}
	return printLine(outcome)
}

type compareCommand struct{ caseOptions }

// Execute runs one case under the baseline and a policy.
func (c *compareCommand) Execute([]string) error {
	benchCase, err := bench.FindCase(bench.CaseName(c.Args.Case))
	if err != nil {
		return err
	}
	comparison, outcomes, err := bench.Compare(benchCase, policy.Name(c.Policy), c.Seed)
	if err != nil {
		return err
	}
	for _, o := range outcomes {
		if err := printLine(o); err != nil {
			return err
		}
	}
	return printLine(comparison)
}

type reportCommand struct {
	Seeds []uint64 `long:"seed" description:"Seed of the random arrivals and stragglers; can be repeated. (default: 1, 2, 3)"`
	Args  struct {
		Folder string `positional-arg-name:"DIR" required:"true"`
	} `positional-args:"true"`
}

// Execute compares all cases and writes the report to a folder.
func (c *reportCommand) Execute([]string) error {
	if len(c.Seeds) == 0 {
		c.Seeds = []uint64{1, 2, 3}
	}
	return bench.Report(c.Args.Folder, c.Seeds, func(r bench.Comparison) { _ = printLine(r) })
}
