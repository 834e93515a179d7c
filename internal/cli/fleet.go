package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"text/tabwriter"
	"time"

	"craneglade/internal/node"
	"craneglade/internal/settings"
)

type fleetCmd struct {
	Config string `placeholder:"FILE" type:"path" help:"The settings that the node was started with; fleet.socket in it tells where the node answers."`
	Socket string `placeholder:"PATH" type:"path" help:"Where the node answers, in place of what the settings say."`
	JSON   bool   `help:"One JSON object a line, as the node gives it."`
}

// fleetTime is how long a node may take to answer.
const fleetTime = 5 * time.Second

// Run prints what a running node believes of each box, and why.
func (c fleetCmd) Run(a *app) error {
	path := c.Socket
	if path == "" {
		if c.Config == "" {
			return usage("say where the node answers: --socket PATH, or --config FILE with fleet.socket in it")
		}
		own, err := settings.Load(c.Config)
		if err != nil {
			return exit{ExitUsage, err}
		}
		if path = own.Fleet.Socket; path == "" {
			return usage("%s: fleet.socket is not set: the node answers nowhere", c.Config)
		}
	}
	conn, err := net.DialTimeout("unix", path, fleetTime)
	if err != nil {
		return fmt.Errorf("no node answers on %s: %w", path, err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(fleetTime))
	if c.JSON {
		_, err := io.Copy(a.out, conn)
		return err
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "BOX\tADDRESS\tZONE\tUSED\tMODE\tOUT\tSINCE\tBY\tWHY")
	in := json.NewDecoder(conn)
	for {
		var m node.Member
		if err := in.Decode(&m); errors.Is(err, io.EOF) {
			return w.Flush()
		} else if err != nil {
			return errors.Join(w.Flush(), fmt.Errorf("the node's answer broke off: %w", err))
		}
		used, mode := "no", m.Mode
		if m.Used {
			used = "yes"
		}
		if m.Ejected {
			mode = "ejected"
		}
		since := (time.Duration(m.ToldMS) * time.Millisecond).Round(100 * time.Millisecond)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%v\t%s\t%s\n", m.ID, m.Addr, m.Zone, used, mode, m.InFlight, since, m.Source, m.Why)
	}
}
