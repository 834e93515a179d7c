package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"craneglade/internal/controlnet"
	"craneglade/internal/settings"
)

type controlCmd struct {
	Run    controlRunCmd    `cmd:"" default:"withargs" help:"Run a process of the control plane: the writer of a region's log, or a relay. This is what control does without a command."`
	Status controlStatusCmd `cmd:"" help:"Print where each log stands in a process, how old that is, and what each subscriber has in force."`
	Apply  controlApplyCmd  `cmd:"" help:"Apply a file of changes as one transaction, which is taken whole or refused whole."`
	Get    controlGetCmd    `cmd:"" help:"Print resources, as a file of changes that sets them."`
}

// controlSocket holds the flags that locate the operator socket of a control plane process.
type controlSocket struct {
	Config string `placeholder:"FILE" type:"path" help:"The file that the process was started with; socket in it tells where the process answers."`
	Socket string `placeholder:"PATH" type:"path" help:"Where the process answers, in place of what the file says."`
}

func (c *controlSocket) path() (string, error) {
	if c.Socket != "" {
		return c.Socket, nil
	}
	if c.Config == "" {
		return "", usageError("say where the process answers: --socket PATH, or --config FILE")
	}
	cfg, err := settings.LoadControlProcess(c.Config)
	if err != nil {
		return "", exitError{ExitUsage, err}
	}
	return cfg.Socket, nil
}

func (c *controlSocket) call(q controlnet.Request) (*controlnet.Response, error) {
	path, err := c.path()
	if err != nil {
		return nil, err
	}
	return controlnet.Call(path, q)
}

type controlRunCmd struct {
	Config   string     `required:"" placeholder:"FILE" type:"path" help:"What the process is (deploy/control.toml)."`
	LogLevel slog.Level `placeholder:"LEVEL" default:"info" help:"Least level that is logged: debug, info, warn or error."`
}

// Run runs a control plane process until ctx is cancelled.
func (c controlRunCmd) Run(ctx context.Context, a *app) error {
	cfg, err := settings.LoadControlProcess(c.Config)
	if err != nil {
		return exitError{ExitUsage, err}
	}
	log := slog.New(slog.NewTextHandler(a.err, &slog.HandlerOptions{Level: c.LogLevel})).With("control", cfg.Name)
	return controlnet.Serve(ctx, cfg, log)
}

type controlStatusCmd struct {
	controlSocket `embed:""`

	JSON bool `help:"One JSON object, as the process gives it."`
}

// Run prints the status of a control plane process.
func (c controlStatusCmd) Run(a *app) error {
	r, err := c.call(controlnet.Request{Operation: controlnet.OperationStatus})
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(a.out).Encode(r.Status)
	}
	return printControlStatus(a.out, r.Status)
}

func printControlStatus(out io.Writer, s *controlnet.DaemonStatus) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "LOG\tROLE\tPOSITION\tAGE\tRESOURCES\tFROM\tREFUSED")
	for _, l := range s.Logs {
		role, from := "replica", l.Source
		switch {
		case l.Failure != "":
			role = "out: " + l.Failure
		case l.Own:
			role = fmt.Sprintf("writer, epoch %d", l.Epoch)
		case l.Epoch > 0:
			role, from = fmt.Sprintf("member, epoch %d", l.Epoch), l.Writer
		}
		age := (time.Duration(l.AgeMS) * time.Millisecond).Round(100 * time.Millisecond)
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%s\t%s\n", l.Region, role, l.Position, age, l.Resources, orDash(from), orDash(l.Refused))
	}
	fmt.Fprintln(w, "\nSUBSCRIBER\tLOG\tIN FORCE\tSTATE\tREFUSED")
	for _, x := range s.Subscribers {
		state := x.State
		if x.Standby {
			state = "standby"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", x.Name, x.Region, x.Position, state, orDash(x.Refused))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	n := s.Counts
	_, err := fmt.Fprintf(out, "\nSent %d messages and %d bytes, received %d and %d. Dropped %d unreadable and %d wrong ones, passed over %d parts of later versions. "+
		"Connections: %d of strangers, %d turned away, %d ended as too slow.\n",
		n.Sent, n.SentBytes, n.Received, n.ReceivedBytes, n.Invalid, s.Dropped, n.Skipped, n.FailedHandshakes, n.Rejected, n.Slow)
	return err
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

type controlApplyCmd struct {
	controlSocket `embed:""`

	File string `arg:"" help:"The changes, in TOML, or in JSON where the name ends in .json."`
}

// Run applies a file of changes.
func (c controlApplyCmd) Run(a *app) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return exitError{ExitUsage, err}
	}
	r, err := c.call(controlnet.Request{Operation: controlnet.OperationApply, File: filepath.Base(c.File), Text: string(text)})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.out, "applied: position %s\n", r.Position)
	return err
}

type controlGetCmd struct {
	controlSocket `embed:""`

	Region  string `help:"The region whose log is read, in place of the process's own."`
	Service string `arg:"" optional:"" help:"The service whose resources are printed, in place of all."`
	Kind    string `arg:"" optional:"" help:"service, endpoint, route or tenant, in place of all."`
	Name    string `arg:"" optional:"" help:"The resource's name, in place of all."`
}

// Run prints resources.
func (c controlGetCmd) Run(a *app) error {
	r, err := c.call(controlnet.Request{Operation: controlnet.OperationGet, Region: c.Region, Service: c.Service, Kind: c.Kind, Name: c.Name})
	if err != nil {
		return err
	}
	var text bytes.Buffer
	if err := json.Indent(&text, r.Resources, "", "  "); err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.out, "%s\n", text.Bytes())
	return err
}
