package scenario_test

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"samphirepass/shell"
)

// daemonVariable makes the test binary act as the samphirepass command.
const daemonVariable = "SAMPHIREPASS_SCENARIO_DAEMON"

type systemKey struct{}

func TestMain(m *testing.M) {
	if os.Getenv(daemonVariable) != "" {
		os.Exit(shell.Main(os.Args[1:]))
	}
	testscript.Main(m, map[string]func(){"samphirepass": func() { os.Exit(shell.Main(os.Args[1:])) }})
}

// atOnce bounds the scripts that run at the same time.
var atOnce = make(chan struct{}, 3)

// script runs one file of testdata against a system of its own.
func script(t *testing.T, name string) {
	t.Helper()
	t.Parallel()
	testscript.Run(t, testscript.Params{
		Files: []string{"testdata/" + name + ".txtar"},
		Cmds:  commands(),
		Setup: func(env *testscript.Env) error {
			atOnce <- struct{}{}
			env.Defer(func() { <-atOnce })
			s := newSystem(env.WorkDir, env.Vars)
			env.Values[systemKey{}] = s
			env.Defer(s.close)
			return nil
		},
	})
}

func TestProofWholePath(t *testing.T) { script(t, "whole-path") }

func TestProofSilentControl(t *testing.T) { script(t, "silent-control") }

func TestProofLostDisk(t *testing.T) { script(t, "lost-disk") }

func TestProofOldDisk(t *testing.T) { script(t, "old-disk") }

func TestProofRestartAll(t *testing.T) { script(t, "restart-all") }

func TestProofNoMajority(t *testing.T) { script(t, "no-majority") }

func TestProofCutEntry(t *testing.T) { script(t, "cut-entry") }

func TestProofFrozenEntry(t *testing.T) { script(t, "frozen-entry") }

func TestProofDrain(t *testing.T) { script(t, "drain") }

func TestProofGracefulStop(t *testing.T) { script(t, "graceful-stop") }

func TestProofAtMostOnce(t *testing.T) { script(t, "at-most-once") }

func TestProofSilentLeafRun(t *testing.T) { script(t, "silent-leaf-run") }

func TestProofTrueAnswers(t *testing.T) { script(t, "true-answers") }

func TestProofUnannouncedShard(t *testing.T) { script(t, "unannounced-shard") }

func TestProofRepartition(t *testing.T) { script(t, "repartition") }

func TestProofSilentConnections(t *testing.T) { script(t, "silent-connections") }

func TestProofMembers(t *testing.T) { script(t, "members") }

func TestProofWatch(t *testing.T) { script(t, "watch") }

func TestShell(t *testing.T) { script(t, "shell") }
