package shell

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"samphirepass/buildinfo"
	"samphirepass/daemon"
	"samphirepass/demo"
	"samphirepass/logs"
	"samphirepass/settings"
)

// Exit statuses.
const (
	exitFailure = 1
	exitUsage   = 2
)

// options declares the subcommands of samphirepass.
type options struct {
	Entry     entryCommand     `command:"entry" description:"Run the daemon of an entry VM."`
	Control   controlCommand   `command:"control" description:"Run the daemon of a control VM."`
	Gateway   gatewayCommand   `command:"gateway" description:"Run a gateway between clients and leaves, for platforms with service discovery."`
	Registrar registrarCommand `command:"registrar" description:"Run a registrar, the control process for platforms with service discovery."`
	Check     checkCommand     `command:"check" description:"Check the settings file of an entry or control VM and list all invalid fields."`
	Explain   explainCommand   `command:"explain" description:"Print the log lines of several processes about one request, routing document, leaf or collector, sorted by time."`
	Demo      demoCommand      `command:"demo" description:"Run a control VM, entries and emulated leaves in one process, and send queries."`
	Version   versionCommand   `command:"version" description:"Print which build this is."`
	Operator  operatorCommand  `command:"operator" description:"Read and change resources." subcommands-optional:"false"`
}

// Main runs the subcommand of samphirepass selected by args and returns the exit status.
func Main(args []string) int {
	return Run("samphirepass", &options{}, args)
}

// Run runs the subcommand selected by args and returns the exit status. The subcommands are the fields of the struct to which
// commands points, with the tags of go-flags. Errors of a subcommand are printed to standard error with the prefix name.
func Run(name string, commands any, args []string) int {
	_, err := flags.NewParser(commands, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args)
	var flagError *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &flagError) && flagError.Type == flags.ErrHelp:
		fmt.Println(err)
		return 0
	case errors.As(err, &flagError):
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	default:
		fmt.Fprintln(os.Stderr, name+":", err)
		return exitFailure
	}
}

// signalContext returns a context that is cancelled at SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// readSettings reads the settings file at path and returns an error unless it is for role.
func readSettings(path string, role settings.Role) (settings.File, error) {
	f, err := settings.Read(path)
	if err != nil {
		return f, err
	}
	if f.Role != role {
		return f, fmt.Errorf("settings %s: role: is %q (allowed: %s)", path, f.Role, role)
	}
	return f, nil
}

type entryCommand struct {
	Settings string `long:"settings" required:"true" description:"Path of the settings file."`
}

// Execute runs an entry until SIGTERM or SIGINT.
func (c *entryCommand) Execute([]string) error {
	cfg, err := readSettings(c.Settings, settings.RoleEntry)
	if err != nil {
		return err
	}
	e, err := daemon.NewEntry(cfg, logs.New(string(cfg.VM)))
	if err != nil {
		return fmt.Errorf("start entry: %w", err)
	}
	ctx, cancel := signalContext()
	defer cancel()
	return e.Run(ctx)
}

type controlCommand struct {
	Settings string `long:"settings" required:"true" description:"Path of the settings file."`
}

// Execute runs a control member until SIGTERM or SIGINT.
func (c *controlCommand) Execute([]string) error {
	cfg, err := readSettings(c.Settings, settings.RoleControl)
	if err != nil {
		return err
	}
	m, err := daemon.NewControl(cfg, logs.New(string(cfg.VM)))
	if err != nil {
		return fmt.Errorf("start control: %w", err)
	}
	ctx, cancel := signalContext()
	defer cancel()
	return m.Run(ctx)
}

type checkCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute validates a settings file without starting a daemon.
func (c *checkCommand) Execute([]string) error {
	if _, err := settings.Read(c.Args.File); err != nil {
		return err
	}
	fmt.Println("settings are valid")
	return nil
}

type versionCommand struct{}

// Execute prints the version, the build ID, and the toolchain and platform of the build.
func (c *versionCommand) Execute([]string) error {
	fmt.Printf("samphirepass %s, build %s, %s, %s/%s\n", buildinfo.Version(), buildinfo.ID(), runtime.Version(), runtime.GOOS, runtime.GOARCH)
	return nil
}

type demoCommand struct {
	Requests    int  `long:"requests" default:"2000" description:"Number of queries to send."`
	KeepRunning bool `long:"keep-running" description:"Keep the system running after the queries, until interrupted."`
}

// Execute runs the demo. The last line on standard output is a JSON object with the figures of the run.
func (c *demoCommand) Execute([]string) error {
	if c.Requests < 1 {
		return eris.New("--requests: is out of range (allowed: at least 1)")
	}
	d, err := demo.Start(logs.Logger{})
	if err != nil {
		return fmt.Errorf("start demo: %w", err)
	}
	defer d.Stop()
	ctx, cancel := signalContext()
	defer cancel()
	figures, err := d.SendQueries(ctx, c.Requests)
	if c.KeepRunning {
		for _, address := range d.EntryAddresses() {
			fmt.Println("entry on http://" + address)
		}
	}
	line, encodeErr := json.Marshal(figures)
	if encodeErr != nil {
		return fmt.Errorf("encode figures: %w", encodeErr)
	}
	fmt.Println(string(line))
	if c.KeepRunning {
		<-ctx.Done()
	}
	return err
}
