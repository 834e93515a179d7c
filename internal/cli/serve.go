package cli

import (
	"context"
	"fmt"
	"log/slog"
	"os"

	"craneglade/internal/node"
	"craneglade/internal/settings"
)

type serveCmd struct {
	LogLevel slog.Level `placeholder:"LEVEL" default:"info" help:"Least level that is logged: debug, info, warn or error. Debug tells once a second what is believed of each box."`

	Config string `placeholder:"FILE" type:"path" help:"Settings of our own (deploy/craneglade.toml): what the platform does not set."`
}

// Run runs the daemon, which reloads its configuration on SIGHUP. Once ctx is cancelled it finishes its requests and returns.
func (c serveCmd) Run(ctx context.Context, a *app, hup <-chan os.Signal) error {
	cfg, err := node.Load(a.getenv)
	if err != nil {
		return exitError{ExitUsage, err}
	}
	if c.Config != "" {
		if cfg.LocalSettings, err = settings.Load(c.Config); err != nil {
			return exitError{ExitUsage, err}
		}
		if err := cfg.CheckLocalSettings(); err != nil {
			return usageError("%s: %w", c.Config, err)
		}
	}
	log := slog.New(slog.NewTextHandler(a.err, &slog.HandlerOptions{Level: c.LogLevel})).With("node", cfg.Name)
	reload := make(chan node.Config)
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer close(done)
		forwardReloads(ctx, a, hup, reload, log)
	}()
	defer func() {
		cancel()
		<-done
	}()
	return node.Run(ctx, cfg, reload, log)
}

// forwardReloads sends the configuration read after each SIGHUP to reload, until ctx is cancelled. An invalid one is logged and dropped.
func forwardReloads(ctx context.Context, a *app, hup <-chan os.Signal, reload chan<- node.Config, log *slog.Logger) {
	for {
		select {
		case <-hup:
		case <-ctx.Done():
			return
		}
		cfg, err := node.Reload(a.getenv)
		if err != nil {
			log.Error("new configuration is invalid; keeping the old one", "err", err)
			continue
		}
		select {
		case reload <- cfg:
		case <-ctx.Done():
			return
		}
	}
}

type checkCmd struct {
	File string `arg:"" help:"A scenario (.toml, or the name of a shipped one), a node's configuration (.json), or, with --settings, a file of our own settings."`

	Settings bool `help:"The file holds settings of our own, as serve --config reads them."`
	Control  bool `help:"The file describes a process of the control plane, as control --config reads it."`
}

// Run validates a file.
func (c checkCmd) Run(a *app) error {
	if isJSON(c.File) {
		_, err := node.Load(func(name string) string {
			if name == "GW_CONFIG" {
				return c.File
			}
			return ""
		})
		if err != nil {
			return usageError("%s: %w", c.File, err)
		}
	} else if c.Control {
		if _, err := settings.LoadControlProcess(c.File); err != nil {
			return exitError{ExitUsage, err}
		}
	} else if c.Settings {
		if _, err := settings.Load(c.File); err != nil {
			return exitError{ExitUsage, err}
		}
	} else if _, err := loadScenario(c.File); err != nil {
		return err
	}
	_, err := fmt.Fprintf(a.out, "%s: good\n", c.File)
	return err
}
