package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"syscall"
	"time"

	"craneglade/internal/membership"
	"craneglade/internal/peers"
	"craneglade/internal/sites"
)

// localTime is how long one who asks on the local socket may take to read the answer.
const localTime = 5 * time.Second

// Member is what a node says of one box on its local socket: one JSON line each.
type Member struct {
	ID       string `json:"id"`
	Addr     string `json:"addr"`
	Zone     string `json:"zone"`
	Used     bool   `json:"used"`
	Why      string `json:"why"`
	Source   string `json:"source"`      // that decided
	ToldMS   int64  `json:"told_ms_ago"` // how long ago it first said so
	Mode     string `json:"mode,omitempty"`
	Ejected  bool   `json:"ejected,omitempty"`
	InFlight int    `json:"in_flight"` // this node's attempts
}

// Shared is what a node that shares state says of the other nodes on its local socket: the last line.
type Shared struct {
	Fleet peers.Report `json:"fleet"`
}

// Sites is what a node that watches sites says of them on its local socket, in a line of its own.
type Sites struct {
	Sites []sites.Report `json:"sites"`
	Alone bool           `json:"cut_off"` // it reaches none: it is the node itself that is cut off
	Asked []Asked        `json:"asked"`
}

// Asked is what a node's clients lately ask of one class.
type Asked struct {
	Class     string  `json:"class"`
	Rate      float64 `json:"rate"`       // requests a second,
	Over      float64 `json:"past_share"` // and of those past their tenants' shares
	Work      float64 `json:"work"`       // of one, in seconds of waiting and work
	Worth     float64 `json:"worth"`
	OverWorth float64 `json:"past_share_worth"` // as a part of worth
}

// local answers on a Unix socket, one answer a connection, until ctx ends. A file that a node left behind when it was killed is
// taken away; one that somebody answers on is not.
func (n *node) local(ctx context.Context, path string) error {
	if path == "" {
		return nil
	}
	ln, err := net.Listen("unix", path)
	if errors.Is(err, syscall.EADDRINUSE) {
		if info, err := os.Lstat(path); err != nil || info.Mode().Type() != fs.ModeSocket {
			return fmt.Errorf("fleet.socket: %s is there and is no socket: give a path at which nothing is", path)
		}
		if c, no := net.Dial("unix", path); no == nil {
			c.Close()
			return fmt.Errorf("fleet.socket: another process answers on %s: give each node a path of its own", path)
		} else if !errors.Is(no, syscall.ECONNREFUSED) {
			return fmt.Errorf("fleet.socket: %s can't be asked whether its node has ended: %w", path, no)
		}
		if err = os.Remove(path); err == nil || errors.Is(err, fs.ErrNotExist) {
			ln, err = net.Listen("unix", path)
		}
	}
	if err != nil {
		return fmt.Errorf("fleet.socket: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil { // its owner alone may ask
		ln.Close()
		return fmt.Errorf("fleet.socket: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	n.wg.Go(func() {
		defer stop()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			c.SetDeadline(time.Now().Add(localTime)) // one at a time: nobody who reads slowly costs more than this
			out := json.NewEncoder(c)
			for _, m := range n.members() {
				if err := out.Encode(m); err != nil {
					n.log.Debug("who asked for the fleet did not read it", "err", err)
					break
				}
			}
			if all, alone := n.engine.Sites(); all != nil {
				if err := out.Encode(Sites{all, alone, n.asked()}); err != nil {
					n.log.Debug("who asked for the fleet did not read it", "err", err)
				}
			}
			if n.control != nil {
				if err := out.Encode(Control{n.control.status()}); err != nil {
					n.log.Debug("who asked for the fleet did not read it", "err", err)
				}
			}
			if n.peers != nil {
				if err := out.Encode(Shared{n.peers.Report()}); err != nil {
					n.log.Debug("who asked for the fleet did not read it", "err", err)
				}
			}
			c.Close()
		}
	})
	return nil
}

// asked is what the node's clients lately ask for.
func (n *node) asked() (out []Asked) {
	set := &n.cfg.Settings.Policy
	for _, d := range n.engine.Demand() {
		x := Asked{Class: d.Class, Rate: d.Rate, Over: d.Over, Work: d.Work, OverWorth: set.OverShare}
		for _, c := range set.Classes {
			if c.Name == d.Class {
				x.Worth = c.Worth
			}
		}
		out = append(out, x)
	}
	return out
}

// members is what the node believes of each box, and why.
func (n *node) members() []Member {
	ids, all := n.engine.Beliefs()
	beliefs := make(map[string]int, len(ids))
	for i, id := range ids {
		beliefs[id] = i
	}
	now := n.clock.Now()
	var out []Member
	for _, s := range n.engine.Members() {
		m := Member{ID: s.Backend.ID, Addr: s.Backend.Addr, Zone: s.Backend.Zone, Used: s.Use, Why: s.Reason, Source: s.Source,
			ToldMS: (now - s.Since).Milliseconds()}
		if i, ok := beliefs[s.Backend.ID]; ok && s.Backend.State != membership.Gone {
			m.Mode, m.Ejected, m.InFlight = all[i].Mode, all[i].Ejected, int(all[i].Own)
		}
		out = append(out, m)
	}
	return out
}
