// Command craneglade is an HTTP load balancer node and its rehearsal kit. Without a command it runs the node, which
// takes its configuration from GW_* variables and the JSON file that GW_CONFIG names, reloads the file on SIGHUP, and
// exits after SIGTERM once it has responded to all accepted requests. craneglade --help lists the commands.
package main

import (
	"os"

	"craneglade/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }
