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

type nodeOptions struct {
	Settings string `long:"settings" env:"SAMPHIREPASS_NODE_FILE" required:"true" description:"The settings file."`
}

// read reads a file that must be for the given role.
func (o nodeOptions) read(role settings.Role) (settings.Node, error) {
	n, err := settings.ReadNode(o.Settings)
	if err != nil {
		return n, err
	}
	if n.Role != role {
		return n, fmt.Errorf("settings %s: role: is %q (allowed: %s)", o.Settings, n.Role, role)
	}
	return n, nil
}

// reloads checks the settings file at each SIGHUP until ctx ends; what changed takes effect at the next start.
func (o nodeOptions) reloads(ctx context.Context, role settings.Role, log logs.Logger) {
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	go func() {
		for {
			select {
			case <-hangUp:
			case <-ctx.Done():
				return
			}
			if _, err := o.read(role); err != nil {
				log.Errorf("Changed settings are not valid; the present ones stay: %v.", err)
				continue
			}
			log.Event("Changed settings are valid; they take effect at the next start.", "file", o.Settings)
		}
	}()
}

// daemonProcess is a process that runs until its context ends.
type daemonProcess interface {
	Run(ctx context.Context) error
}

// run starts the daemon of a role from the settings and runs it until it is told to stop.
func (o nodeOptions) run(role settings.Role, start func(settings.Node, logs.Logger) (daemonProcess, error)) error {
	cfg, err := o.read(role)
	if err != nil {
		return err
	}
	ctx, cancel := untilSignal()
	defer cancel()
	log := logs.New(string(cfg.VM))
	o.reloads(ctx, role, log.For("settings"))
	d, err := start(cfg, log)
	if err != nil {
		return fmt.Errorf("start %s: %w", role, err)
	}
	return d.Run(ctx)
}

type gatewayCommand struct {
	nodeOptions
}

// Execute runs a gateway until it is told to stop.
func (c *gatewayCommand) Execute([]string) error {
	return c.run(settings.RoleGateway, func(cfg settings.Node, log logs.Logger) (daemonProcess, error) { return daemon.NewGateway(cfg, log) })
}

type registrarCommand struct {
	nodeOptions
}

// Execute runs a registrar until it is told to stop.
func (c *registrarCommand) Execute([]string) error {
	return c.run(settings.RoleRegistrar, func(cfg settings.Node, log logs.Logger) (daemonProcess, error) { return daemon.NewRegistrar(cfg, log) })
}
