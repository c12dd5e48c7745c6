package shell

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"samphirepass/daemon"
	"samphirepass/logs"
	"samphirepass/settings"
)

// nodeOptions are the flags of the gateway and registrar commands.
type nodeOptions struct {
	Settings string `long:"settings" env:"SAMPHIREPASS_NODE_FILE" required:"true" description:"Path of the settings file."`
}

// readNode reads the settings file and returns an error unless it is for role.
func (o nodeOptions) readNode(role settings.Role) (settings.Node, error) {
	n, err := settings.ReadNode(o.Settings)
	if err != nil {
		return n, err
	}
	if n.Role != role {
		return n, fmt.Errorf("settings %s: role: is %q (allowed: %s)", o.Settings, n.Role, role)
	}
	return n, nil
}

// checkOnSIGHUP validates the settings file at each SIGHUP until ctx ends. Changed settings take effect at the next start only.
func (o nodeOptions) checkOnSIGHUP(ctx context.Context, role settings.Role, log logs.Logger) {
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	go func() {
		for {
			select {
			case <-hangUp:
			case <-ctx.Done():
				return
			}
			if _, err := o.readNode(role); err != nil {
				log.Errorf("Changed settings are invalid; the process keeps its current settings: %v.", err)
				continue
			}
			log.Event("Changed settings are valid; they take effect at the next start.", "file", o.Settings)
		}
	}()
}

// daemonProcess is a daemon that runs until its context ends.
type daemonProcess interface {
	Run(ctx context.Context) error
}

// run starts the daemon of role with the settings file and runs it until SIGTERM or SIGINT.
func (o nodeOptions) run(role settings.Role, start func(settings.Node, logs.Logger) (daemonProcess, error)) error {
	cfg, err := o.readNode(role)
	if err != nil {
		return err
	}
	ctx, cancel := signalContext()
	defer cancel()
	log := logs.New(string(cfg.VM))
	o.checkOnSIGHUP(ctx, role, log.For("settings"))
	d, err := start(cfg, log)
	if err != nil {
		return fmt.Errorf("start %s: %w", role, err)
	}
	return d.Run(ctx)
}

type gatewayCommand struct {
	nodeOptions
}

// Execute runs a gateway until SIGTERM or SIGINT.
func (c *gatewayCommand) Execute([]string) error {
	return c.run(settings.RoleGateway, func(cfg settings.Node, log logs.Logger) (daemonProcess, error) { return daemon.NewGateway(cfg, log) })
}

type registrarCommand struct {
	nodeOptions
}

// Execute runs a registrar until SIGTERM or SIGINT.
func (c *registrarCommand) Execute([]string) error {
	return c.run(settings.RoleRegistrar, func(cfg settings.Node, log logs.Logger) (daemonProcess, error) { return daemon.NewRegistrar(cfg, log) })
}
