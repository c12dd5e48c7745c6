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

type gatewayCommand struct {
	nodeOptions
}

// Execute runs a gateway until it is told to stop.
func (c *gatewayCommand) Execute([]string) error {
	cfg, err := c.read(settings.RoleGateway)
	if err != nil {
		return err
	}
	ctx, cancel := untilSignal()
	defer cancel()
	log := logs.New(string(cfg.VM))
	c.reloads(ctx, cfg.Role, log.For("settings"))
	g, err := daemon.NewGateway(cfg, log)
	if err != nil {
		return fmt.Errorf("start gateway: %w", err)
	}
	return g.Run(ctx)
}

type registrarCommand struct {
	nodeOptions
}

// Execute runs a registrar until it is told to stop.
func (c *registrarCommand) Execute([]string) error {
	cfg, err := c.read(settings.RoleRegistrar)
	if err != nil {
		return err
	}
	ctx, cancel := untilSignal()
	defer cancel()
	log := logs.New(string(cfg.VM))
	c.reloads(ctx, cfg.Role, log.For("settings"))
	r, err := daemon.NewRegistrar(cfg, log)
	if err != nil {
		return fmt.Errorf("start registrar: %w", err)
	}
	return r.Run(ctx)
}
