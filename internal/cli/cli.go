// Package cli is the command line of craneglade: the daemon and the rehearsal kit that ships with it.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
)

// Exit statuses.
const (
	ExitKept   = 0 // the daemon ended as it was told to; a rehearsal kept all rules
	ExitBroken = 1 // the daemon failed; a rule was broken or a node crashed
	ExitUsage  = 2 // bad usage, configuration, scenario or trace
	ExitVoid   = 3 // the rehearsal proves nothing: the kit itself ran late, or the evidence does not decide
)

type commands struct {
	Version   kong.VersionFlag `help:"Print the version and exit."`
	Serve     serveCmd         `cmd:"" default:"1" help:"Run a load balancer node, as GW_CONFIG and the other GW_* variables say. This is what craneglade does without a command."`
	Rehearse  rehearseCmd      `cmd:"" help:"Play a scenario on this machine: nodes, boxes, a box list and clients; judge the four rules."`
	Lab       labCmd           `cmd:"" help:"Play a scenario in virtual time, over seeds and settings of the decision module, and compare them."`
	Judge     judgeCmd         `cmd:"" help:"Judge the trace of a rehearsal again."`
	Fleet     fleetCmd         `cmd:"" help:"Print what a running node believes of each box, and why."`
	Control   controlCmd       `cmd:"" help:"The control plane: run one of its processes, or ask one."`
	Plan      planCmd          `cmd:"" help:"Work a plan through before the day."`
	Scale     scaleCmd         `cmd:"" help:"Play the fleet at several sizes up to the target, measure what each process and each change costs, and tell the slopes."`
	ScaleHost scaleHostCmd     `cmd:"" hidden:"" help:"A process of craneglade scale."`
	Check     checkCmd         `cmd:"" help:"Check a scenario file (.toml) or a node's configuration (.json) and start nothing."`
}

// app is what a command works with.
type app struct {
	out, err io.Writer
	getenv   func(string) string
}

// exit is an error that ends the program with a status of its own.
type exit struct {
	status int
	err    error // nil: all is said
}

func (e exit) Error() string {
	if e.err == nil {
		return "exit"
	}
	return e.err.Error()
}

func (e exit) Unwrap() error { return e.err }

func usage(format string, args ...any) error { return exit{ExitUsage, fmt.Errorf(format, args...)} }

// Main runs the program and returns its exit status. Errors are one line on errOut.
func Main(args []string, getenv func(string) string, out, errOut io.Writer) int {
	// Before anything else: a reload that comes early must not end the daemon.
	hup := make(chan os.Signal, 1) // holds one: another during a reload makes for one more reading
	signal.Notify(hup, syscall.SIGHUP)
	a := &app{out, errOut, getenv}
	base, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var err error
	if len(args) == 0 {
		err = serveCmd{}.Run(base, a, hup) // the daemon does without the parser, and the memory that it takes
	} else {
		err = parsed(base, a, args, hup)
	}
	var e exit
	switch {
	case err == nil:
		return ExitKept
	case !errors.As(err, &e):
		e = exit{ExitBroken, err}
	}
	if e.err != nil {
		fmt.Fprintln(errOut, "craneglade:", e.err)
	}
	return e.status
}

// parsed runs the command that args name.
func parsed(ctx context.Context, a *app, args []string, hup <-chan os.Signal) error {
	var cmds commands
	ended := -1
	parser, err := kong.New(&cmds, kong.Name("craneglade"), kong.Writers(a.out, a.err),
		kong.Description("An HTTP load balancer node, and the kit that rehearses it."),
		kong.Vars{"version": version(), "figures": figureNames()}, kong.Exit(func(status int) { ended = status }), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		return exit{ExitUsage, err}
	}
	cmd, err := parser.Parse(args)
	if ended >= 0 { // --help or --version
		return exit{status: ended}
	}
	if err != nil {
		return exit{ExitUsage, err}
	}
	cmd.BindTo(ctx, (*context.Context)(nil))
	return cmd.Run(a, hup)
}

// version is that of the module, with the revision that it was built from where the tool chain tells.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && v == "(devel)" {
			v = s.Value
		}
	}
	return "craneglade " + v + " " + info.GoVersion
}
