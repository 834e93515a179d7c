// Command craneglade is one HTTP load balancer node. It takes its configuration from GW_* variables and the
// JSON file that GW_CONFIG names, and ends on SIGTERM once all that it has taken is answered.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"springflow/internal/node"
)

func main() {
	cfg, err := node.Load(os.Getenv)
	if err != nil {
		fmt.Fprintln(os.Stderr, "craneglade:", err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("node", cfg.Name)
	if err := node.Run(ctx, cfg, log); err != nil {
		fmt.Fprintln(os.Stderr, "craneglade:", err)
		os.Exit(1)
	}
}
