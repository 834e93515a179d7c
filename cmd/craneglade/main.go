// Command craneglade is one HTTP load balancer node. It takes its configuration from GW_* variables and the
// JSON file that GW_CONFIG names. SIGHUP makes it read the file again; it ends on SIGTERM once all that it has taken
// is answered.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"craneglade/internal/node"
)

func main() {
	hup := make(chan os.Signal, 1) // holds one: another during a reload makes for one more reading
	signal.Notify(hup, syscall.SIGHUP)
	cfg, err := node.Load(os.Getenv)
	if err != nil {
		fmt.Fprintln(os.Stderr, "craneglade:", err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("node", cfg.Name)
	reload := make(chan node.Config)
	go reread(ctx, hup, reload, log)
	if err := node.Run(ctx, cfg, reload, log); err != nil {
		fmt.Fprintln(os.Stderr, "craneglade:", err)
		os.Exit(1)
	}
}

// reread passes on the configuration as it is after each SIGHUP, until ctx ends. One that is bad changes nothing.
func reread(ctx context.Context, hup <-chan os.Signal, reload chan<- node.Config, log *slog.Logger) {
	for {
		select {
		case <-hup:
		case <-ctx.Done():
			return
		}
		cfg, err := node.Reload(os.Getenv)
		if err != nil {
			log.Error("the new configuration is bad; keeping the old one", "err", err)
			continue
		}
		select {
		case reload <- cfg:
		case <-ctx.Done():
			return
		}
	}
}
