// Package cli implements the command line of craneglade: the daemon and the rehearsal kit that ships with it.
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

// Exit statuses of the program.
const (
	ExitOK           = 0 // the daemon shut down as requested; a rehearsal broke no rule
	ExitFailure      = 1 // the daemon failed; a rule was broken or a node crashed
	ExitUsage        = 2 // invalid usage, configuration, scenario or trace
	ExitInconclusive = 3 // the kit itself ran late, or the evidence decides no verdict
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

// app holds the output streams and the environment of a command.
type app struct {
	out, err io.Writer
	getenv   func(string) string
}

// exitError is an error that determines the program's exit status.
type exitError struct {
	status int
	err    error // nil: no message to print
}

func (e exitError) Error() string {
	if e.err == nil {
		return "exit"
	}
	return e.err.Error()
}

func (e exitError) Unwrap() error { return e.err }

func usageError(format string, args ...any) error {
	return exitError{ExitUsage, fmt.Errorf(format, args...)}
}

// Main runs the program and returns its exit status. An error is printed as one line on errOut.
func Main(args []string, getenv func(string) string, out, errOut io.Writer) int {
	// First of all, so that an early SIGHUP does not terminate the daemon.
	hup := make(chan os.Signal, 1) // buffers one: a signal during a reload causes one more
	signal.Notify(hup, syscall.SIGHUP)
	a := &app{out, errOut, getenv}
	base, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var err error
	if len(args) == 0 {
		err = serveCmd{}.Run(base, a, hup) // without the parser, to save the daemon its memory
	} else {
		err = runCommand(base, a, args, hup)
	}
	var e exitError
	switch {
	case err == nil:
		return ExitOK
	case !errors.As(err, &e):
		e = exitError{ExitFailure, err}
	}
	if e.err != nil {
		fmt.Fprintln(errOut, "craneglade:", e.err)
	}
	return e.status
}

// runCommand parses args and runs the command that they name.
func runCommand(ctx context.Context, a *app, args []string, hup <-chan os.Signal) error {
	var cmds commands
	parserStatus := -1
	parser, err := kong.New(&cmds, kong.Name("craneglade"), kong.Writers(a.out, a.err),
		kong.Description("An HTTP load balancer node, and the kit that rehearses it."),
		kong.Vars{"version": version(), "figures": figureNames()}, kong.Exit(func(status int) { parserStatus = status }), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		return exitError{ExitUsage, err}
	}
	cmd, err := parser.Parse(args)
	if parserStatus >= 0 { // --help or --version
		return exitError{status: parserStatus}
	}
	if err != nil {
		return exitError{ExitUsage, err}
	}
	cmd.BindTo(ctx, (*context.Context)(nil))
	return cmd.Run(a, hup)
}

// version returns the module's version, or the revision of a development build where the build info has it.
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
