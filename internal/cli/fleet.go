package cli

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"craneglade/internal/node"
	"craneglade/internal/peers"
	"craneglade/internal/settings"
	"craneglade/internal/shared/escrow"
	"craneglade/internal/shared/roster"
)

type fleetCmd struct {
	Config string `placeholder:"FILE" type:"path" help:"The settings that the node was started with; fleet.socket in it tells where the node answers."`
	Socket string `placeholder:"PATH" type:"path" help:"Where the node answers, in place of what the settings say."`
	JSON   bool   `help:"One JSON object a line, as the node gives it."`
}

// fleetTimeout bounds the dial of a node's socket and, separately, the reading of its response.
const fleetTimeout = 5 * time.Second

// Run prints a running node's state of each backend with the reason, and the state of its sites, configuration and peers.
func (c fleetCmd) Run(a *app) error {
	path := c.Socket
	if path == "" {
		if c.Config == "" {
			return usageError("say where the node answers: --socket PATH, or --config FILE with fleet.socket in it")
		}
		localSettings, err := settings.Load(c.Config)
		if err != nil {
			return exitError{ExitUsage, err}
		}
		if path = localSettings.Fleet.Socket; path == "" {
			return usageError("%s: fleet.socket is not set: the node serves no status", c.Config)
		}
	}
	conn, err := net.DialTimeout("unix", path, fleetTimeout)
	if err != nil {
		return fmt.Errorf("no node answers on %s: %w", path, err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(fleetTimeout))
	if c.JSON {
		_, err := io.Copy(a.out, conn)
		return err
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "BOX\tADDRESS\tZONE\tUSED\tMODE\tOUT\tSINCE\tBY\tWHY")
	decoder := json.NewDecoder(conn)
	for {
		var m struct {
			node.Member
			node.SitesStatus
			Control *node.ControlStatus `json:"control"`
			Fleet   *peers.Report       `json:"fleet"`
		}
		if err := decoder.Decode(&m); errors.Is(err, io.EOF) {
			return w.Flush()
		} else if err != nil {
			return errors.Join(w.Flush(), fmt.Errorf("incomplete response from the node: %w", err))
		}
		if m.SitesStatus.Sites != nil {
			if err := errors.Join(w.Flush(), printSites(a.out, &m.SitesStatus)); err != nil {
				return err
			}
			continue
		}
		if m.Control != nil {
			if err := errors.Join(w.Flush(), printConfiguration(a.out, m.Control)); err != nil {
				return err
			}
			continue
		}
		if m.Fleet != nil {
			if err := w.Flush(); err != nil {
				return err
			}
			if err := printShared(a.out, m.Fleet); err != nil {
				return err
			}
			continue
		}
		used, mode := "no", m.Mode
		if m.Used {
			used = "yes"
		}
		if m.Ejected {
			mode = "ejected"
		}
		since := (time.Duration(m.DecidedMS) * time.Millisecond).Round(100 * time.Millisecond)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%v\t%s\t%s\n", m.ID, m.Addr, m.Zone, used, mode, m.InFlight, since, m.Source, m.Reason)
	}
}

// printConfiguration prints the position, age and source of the node's configuration.
func printConfiguration(out io.Writer, c *node.ControlStatus) error {
	position, age := "none yet", "-"
	if c.Version > 0 {
		position = fmt.Sprintf("%d.%d", c.Epoch, c.Version)
		age = (time.Duration(c.AgeMS) * time.Millisecond).Round(100 * time.Millisecond).String()
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nCONFIGURATION\tREGION\tIN FORCE\tAGE\tFROM\tPARENTS\tREFUSED")
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", c.Service, c.Region, position, age, cmp.Or(c.Source, "-"),
		cmp.Or(strings.Join(c.Parents, ", "), "-"), cmp.Or(c.Refused, "-"))
	return w.Flush()
}

// printSites prints the state and load of each site.
func printSites(out io.Writer, status *node.SitesStatus) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nSITE\tSTANDING\tFOR\tGETS\tCARRIES\tOF OTHERS\tUP TO\tREFUSED\tWHY")
	for _, s := range status.Sites {
		refused := "-"
		if len(s.Refused) > 0 {
			var parts []string
			for _, class := range slices.Sorted(maps.Keys(s.Refused)) {
				parts = append(parts, fmt.Sprintf("%s %.0f%%", class, 100*s.Refused[class]))
			}
			refused = strings.Join(parts, ", ")
		}
		why := s.Reason
		if s.HaltReason != "" {
			why += "; it stands still: " + s.HaltReason
		}
		if s.HoldSeconds > 0 {
			why += fmt.Sprintf("; held out for %.1f s more, after %d losses", s.HoldSeconds, s.Losses)
		}
		fmt.Fprintf(w, "%s\t%s\t%.1fs\t%.0f%%\t%.1f/s\t%.1f/s\t%.1f/s\t%s\t%s\n", cmp.Or(s.Site, "(no site)"), s.State, s.SecondsInState, 100*s.Fraction, s.Own, s.Moved, s.Limit, refused, cmp.Or(why, "-"))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if status.CutOff {
		_, err := fmt.Fprintln(out, "This node reaches no site: it is cut off itself.")
		return err
	}
	return nil
}

// printShared prints the state that nodes share, as one of them has it.
func printShared(out io.Writer, r *peers.Report) error {
	round := func(d time.Duration) time.Duration { return d.Round(10 * time.Millisecond) }
	count := func(c roster.Count) string {
		if c.Lower == c.Upper {
			return fmt.Sprintf("%d, by word of at most %v ago", c.Lower, round(c.Age))
		}
		return fmt.Sprintf("%d to %d, by word of at most %v ago", c.Lower, c.Upper, round(c.Age))
	}
	fmt.Fprintf(out, "\nNodes: %s\n", count(r.Count))
	for _, site := range slices.Sorted(maps.Keys(r.Sites)) {
		fmt.Fprintf(out, "  %s: %s\n", cmp.Or(site, "(no site)"), count(r.Sites[site]))
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nNODE\tNUMBER\tSITE\tSTATE\tHEARD")
	for _, m := range r.Members {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%v ago\n", m.Name, m.Number, m.Site, m.State, round(m.SinceHeard))
	}
	if len(r.Budgets) > 0 {
		fmt.Fprintln(w, "\nBUDGET\tSPENDABLE\tOWNED\tHELD OF\tLENT TO")
		for _, p := range r.Budgets {
			fmt.Fprintf(w, "%s\t%.2f%%\t%.2f%%\t%s\t%s\n", p.Budget, 100*p.Spendable, 100*p.Base, formatLoans(p.Borrowed), formatLoans(p.Lent))
		}
	}
	if len(r.Votes) > 0 {
		fmt.Fprintln(w, "\nBOX\tSITE\tFIND IT BROKEN\tSAY IT ANSWERS\tOUT BY HEARSAY")
		for _, v := range r.Votes {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%v\n", v.Name, v.Site, v.Unhealthy, v.Healthy, v.Ejected)
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if r.Capped > 0 {
		fmt.Fprintf(out, "%d more would be out, and the ceilings keep them in\n", r.Capped)
	}
	_, err := fmt.Fprintf(out, "\nTold %d, passed on %d, heard %d; %d not known here, %d could not be read, %d of earlier lives. Sent %d bytes, dropped %d datagrams for want of budget.\n",
		r.Stats.Told, r.Stats.Forwarded, r.Stats.Received, r.Stats.Skipped, r.Stats.Bad, r.Stats.Stale, r.Traffic.SentBytes, r.Traffic.Dropped)
	return err
}

// formatLoans formats loans as one table cell.
func formatLoans(loans []escrow.Loan) string {
	var out []string
	for _, l := range loans {
		out = append(out, fmt.Sprintf("%d: %.2f%%", l.With, 100*float64(l.Grains)/float64(escrow.BudgetGrains)))
	}
	return cmp.Or(strings.Join(out, ", "), "-")
}
