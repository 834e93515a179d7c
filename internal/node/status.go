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

// statusTimeout is how long a client of the status socket may take to read the status.
const statusTimeout = 5 * time.Second

// Member is the state of one backend on the status socket: one JSON line for each.
type Member struct {
	ID        string `json:"id"`
	Addr      string `json:"addr"`
	Zone      string `json:"zone"`
	Used      bool   `json:"used"`
	Reason    string `json:"why"`
	Source    string `json:"source"`      // the source whose report was decisive
	DecidedMS int64  `json:"told_ms_ago"` // time since it first reported this state
	Mode      string `json:"mode,omitempty"`
	Ejected   bool   `json:"ejected,omitempty"`
	InFlight  int    `json:"in_flight"` // attempts of this node
}

// FleetStatus is the JSON line about the other nodes on the status socket, the last one. Only nodes that share state send it.
type FleetStatus struct {
	Fleet peers.Report `json:"fleet"`
}

// SitesStatus is the JSON line about the sites on the status socket. Only nodes that watch sites send it.
type SitesStatus struct {
	Sites  []sites.Report `json:"sites"`
	CutOff bool           `json:"cut_off"` // no site is reachable: the node itself is cut off
	Demand []ClassDemand  `json:"asked"`
}

// ClassDemand is the recent demand of a node's clients in one class.
type ClassDemand struct {
	Class            string  `json:"class"`
	Rate             float64 `json:"rate"`       // requests a second
	OverQuota        float64 `json:"past_share"` // requests a second over the quota of their tenant
	Work             float64 `json:"work"`       // seconds of queueing and processing of one request
	Utility          float64 `json:"worth"`
	OverQuotaUtility float64 `json:"past_share_worth"` // utility over quota, as a fraction of the class's utility
}

// serveStatus writes the node's status to each connection to a Unix socket until ctx ends. A socket file left behind by a node that
// was killed is removed; one that another process listens on is an error.
func (n *node) serveStatus(ctx context.Context, path string) error {
	if path == "" {
		return nil
	}
	ln, err := net.Listen("unix", path)
	if errors.Is(err, syscall.EADDRINUSE) {
		if info, err := os.Lstat(path); err != nil || info.Mode().Type() != fs.ModeSocket {
			return fmt.Errorf("fleet.socket: %s exists and is not a socket: use a path that does not exist", path)
		}
		if c, dialErr := net.Dial("unix", path); dialErr == nil {
			c.Close()
			return fmt.Errorf("fleet.socket: another process answers on %s: use a different path for each node", path)
		} else if !errors.Is(dialErr, syscall.ECONNREFUSED) {
			return fmt.Errorf("fleet.socket: cannot check whether another process listens on %s: %w", path, dialErr)
		}
		if err = os.Remove(path); err == nil || errors.Is(err, fs.ErrNotExist) {
			ln, err = net.Listen("unix", path)
		}
	}
	if err != nil {
		return fmt.Errorf("fleet.socket: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil { // only its owner may connect
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
			c.SetDeadline(time.Now().Add(statusTimeout)) // connections are served one at a time: this bounds how long a slow reader delays the next
			enc := json.NewEncoder(c)
			for _, m := range n.members() {
				if err := enc.Encode(m); err != nil {
					n.log.Debug("status client did not read the status", "err", err)
					break
				}
			}
			if reports, cutOff := n.engine.Sites(); reports != nil {
				if err := enc.Encode(SitesStatus{reports, cutOff, n.demand()}); err != nil {
					n.log.Debug("status client did not read the status", "err", err)
				}
			}
			if n.control != nil {
				if err := enc.Encode(ControlLine{n.control.status()}); err != nil {
					n.log.Debug("status client did not read the status", "err", err)
				}
			}
			if n.peers != nil {
				if err := enc.Encode(FleetStatus{n.peers.Report()}); err != nil {
					n.log.Debug("status client did not read the status", "err", err)
				}
			}
			c.Close()
		}
	})
	return nil
}

// demand returns the recent demand of the node's clients, by class.
func (n *node) demand() (out []ClassDemand) {
	policy := &n.cfg.Settings.Policy
	for _, d := range n.engine.Demand() {
		entry := ClassDemand{Class: d.Class, Rate: d.Rate, OverQuota: d.OverQuota, Work: d.Work, OverQuotaUtility: policy.OverShare}
		for _, c := range policy.Classes {
			if c.Name == d.Class {
				entry.Utility = c.Worth
			}
		}
		out = append(out, entry)
	}
	return out
}

// members returns the state of each backend, and the reason for it.
func (n *node) members() []Member {
	ids, beliefs := n.engine.Beliefs()
	index := make(map[string]int, len(ids))
	for i, id := range ids {
		index[id] = i
	}
	now := n.clock.Now()
	var out []Member
	for _, s := range n.engine.Members() {
		m := Member{ID: s.Backend.ID, Addr: s.Backend.Addr, Zone: s.Backend.Zone, Used: s.Use, Reason: s.Reason, Source: s.Source,
			DecidedMS: (now - s.Since).Milliseconds()}
		if i, ok := index[s.Backend.ID]; ok && s.Backend.State != membership.Gone {
			m.Mode, m.Ejected, m.InFlight = beliefs[i].Mode, beliefs[i].Ejected, int(beliefs[i].Own)
		}
		out = append(out, m)
	}
	return out
}
