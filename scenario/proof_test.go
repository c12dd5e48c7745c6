package scenario_test

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"samphirepass/shell"
)

// daemonEnv is the environment variable that makes the test binary run as the samphirepass command.
const daemonEnv = "SAMPHIREPASS_SCENARIO_DAEMON"

type systemKey struct{}

func TestMain(m *testing.M) {
	if os.Getenv(daemonEnv) != "" {
		os.Exit(shell.Main(os.Args[1:]))
	}
	testscript.Main(m, map[string]func(){"samphirepass": func() { os.Exit(shell.Main(os.Args[1:])) }})
}

// scriptSlots limits the number of scripts that run concurrently.
var scriptSlots = make(chan struct{}, 3)

// runScript runs one script of testdata with its own system.
func runScript(t *testing.T, name string) {
	t.Helper()
	t.Parallel()
	testscript.Run(t, testscript.Params{
		Files: []string{"testdata/" + name + ".txtar"},
		Cmds:  commands(),
		Setup: func(env *testscript.Env) error {
			scriptSlots <- struct{}{}
			env.Defer(func() { <-scriptSlots })
			s := newSystem(env.WorkDir, env.Vars)
			env.Values[systemKey{}] = s
			env.Defer(s.close)
			return nil
		},
	})
}

func TestProofEndToEnd(t *testing.T) { runScript(t, "end-to-end") }

func TestProofSilentControl(t *testing.T) { runScript(t, "silent-control") }

func TestProofLostDisk(t *testing.T) { runScript(t, "lost-disk") }

func TestProofOldDisk(t *testing.T) { runScript(t, "old-disk") }

func TestProofRestartAll(t *testing.T) { runScript(t, "restart-all") }

func TestProofNoMajority(t *testing.T) { runScript(t, "no-majority") }

func TestProofPartitionedEntry(t *testing.T) { runScript(t, "partitioned-entry") }

func TestProofPausedEntry(t *testing.T) { runScript(t, "paused-entry") }

func TestProofDrain(t *testing.T) { runScript(t, "drain") }

func TestProofGracefulStop(t *testing.T) { runScript(t, "graceful-stop") }

func TestProofAtMostOnce(t *testing.T) { runScript(t, "at-most-once") }

func TestProofSilentLeafRun(t *testing.T) { runScript(t, "silent-leaf-run") }

func TestProofInvalidAnswers(t *testing.T) { runScript(t, "invalid-answers") }

func TestProofUnannouncedShard(t *testing.T) { runScript(t, "unannounced-shard") }

func TestProofRepartition(t *testing.T) { runScript(t, "repartition") }

func TestProofSilentConnections(t *testing.T) { runScript(t, "silent-connections") }

func TestProofMembers(t *testing.T) { runScript(t, "members") }

func TestProofWatch(t *testing.T) { runScript(t, "watch") }

func TestShell(t *testing.T) { runScript(t, "shell") }
