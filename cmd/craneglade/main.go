// Command craneglade is one HTTP load balancer node and the kit that rehearses it. Without a command it is the node:
// it takes its configuration from GW_* variables and the JSON file that GW_CONFIG names, reads the file again on
// SIGHUP, and ends on SIGTERM once all that it has taken is answered. craneglade --help lists the commands.
package main

import (
	"os"

	"craneglade/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }
