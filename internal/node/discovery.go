package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"craneglade/policy"
)

const (
	pushWait  = 2 * time.Second         // how long a watch waits where it costs nothing: a silent agent is noticed soon
	askWait   = 20 * time.Second        // and where each call is work for all nodes' discovery
	pushOver  = 1500 * time.Millisecond // an answer that is later than the wait by this has failed
	askOver   = 5 * time.Second         // where it may stand in line behind other nodes' calls
	fetchWait = 5 * time.Second
	watchRest = 50 * time.Millisecond // between watches that are answered at once; within 200 ms a watch goes on
	backoff   = 100 * time.Millisecond
	backoffTo = 2 * time.Second
	maxList   = 16 << 20
)

// list is discovery's answer.
type list struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []listed `json:"servers"`
}

type listed struct {
	ID        string `json:"id"`
	Addr      string `json:"addr"`
	Zone      string `json:"zone"`
	Kind      string `json:"kind"`
	Cell      int64  `json:"cell"`
	State     string `json:"state"`
	StartedMS int64  `json:"started_ms"`
}

// discovery keeps a node's list up to date from one address. Another address means another discovery.
type discovery struct {
	node  *node
	http  *http.Client
	addr  string
	ctx   context.Context // ends when this discovery is left; only under node.mu
	leave context.CancelFunc

	watching bool // guarded by node.mu
	whole    bool // its whole list is still to be asked for: its versions tell nothing before; guarded by node.mu
}

func newDiscovery(n *node, addr string) *discovery {
	d := &discovery{node: n, addr: addr, http: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
	d.ctx, d.leave = context.WithCancel(n.ctx)
	return d
}

// reload takes in a configuration that was read again. The backends stay until the new discovery tells its list.
func (n *node) reload(cfg Config) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil || cfg.Discovery == n.disc.addr {
		return
	}
	n.log.Info("following another discovery", "from", n.disc.addr, "to", cfg.Discovery)
	old := n.disc
	old.leave()
	n.disc = newDiscovery(n, cfg.Discovery)
	n.disc.whole = true
	n.disc.watch()
	old.http.CloseIdleConnections()
}

// watch starts the watch loop unless it runs. node.mu is held.
func (d *discovery) watch() {
	if d.watching {
		return
	}
	d.watching = true
	d.node.wg.Add(1)
	go func() {
		defer d.node.wg.Done()
		d.loop()
	}()
}

// loop watches until the discovery is left. Where lists are pushed it goes on after a failure; elsewhere a failure
// is told to the policy, which says when to ask again.
func (d *discovery) loop() {
	wait, over := askWait, askOver
	push := !d.node.cfg.Settings.Policy.MustAsk
	if push {
		wait, over = pushWait, pushOver
	}
	pause := backoff
	for d.ctx.Err() == nil {
		begun := time.Now()
		d.node.mu.Lock()
		since, whole := d.node.version, d.whole
		d.node.mu.Unlock()
		query, limit := fmt.Sprintf("?since=%d&timeout_ms=%d", since, wait.Milliseconds()), wait+over
		if whole {
			query, limit = "", fetchWait
		}
		l, err := d.call(query, limit)
		if err == nil {
			pause = backoff
			kind := policy.ListDelta
			if whole || l.Full {
				kind = policy.ListFull
			}
			d.news(l, kind, true)
			if rest := watchRest - time.Since(begun); rest > 0 {
				sleep(d.ctx, rest)
			}
			continue
		}
		if d.ctx.Err() != nil {
			return
		}
		d.node.log.Warn("watching discovery failed", "err", err)
		if !push {
			d.lost()
			return
		}
		sleep(d.ctx, time.Duration(float64(pause)*(0.5+rand.Float64())))
		pause = min(2*pause, backoffTo)
	}
}

// lost tells the policy that the watch is over.
func (d *discovery) lost() {
	n := d.node
	n.mu.Lock()
	defer n.mu.Unlock()
	d.watching = false
	if d.ctx.Err() == nil {
		n.handle(n.clock.now(), &policy.Event{Kind: policy.EvList, List: policy.ListFailed})
	}
}

// fetch asks for the whole list once. node.mu is held.
func (d *discovery) fetch() {
	n := d.node
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		l, err := d.call("", fetchWait)
		if err == nil {
			d.news(l, policy.ListFull, false)
			return
		}
		n.log.Warn("asking discovery failed", "err", err)
		n.mu.Lock()
		defer n.mu.Unlock()
		if d.ctx.Err() == nil {
			n.handle(n.clock.now(), &policy.Event{Kind: policy.EvList, List: policy.ListFailed})
		}
	}()
}

func (d *discovery) call(query string, limit time.Duration) (*list, error) {
	ctx, cancel := context.WithTimeout(d.ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.addr+"/v1/endpoints"+query, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.New("discovery answered " + strconv.Itoa(resp.StatusCode))
	}
	l := &list{}
	if err := json.Unmarshal(text, l); err != nil {
		return nil, fmt.Errorf("discovery's list: %w", err)
	}
	return l, nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// news takes in an answer of discovery, unless it has been left or what it tells is older than what is known: a
// whole list asked for and a watch may cross.
func (d *discovery) news(l *list, kind policy.ListKind, watched bool) {
	n := d.node
	n.mu.Lock()
	defer n.mu.Unlock()
	old := l.Version <= n.version
	if kind == policy.ListFull { // a watch's comes also from a discovery that counts anew
		old = l.Version < n.version && !watched && !d.whole
	}
	if old || d.ctx.Err() != nil {
		return
	}
	d.whole = false
	n.takeList(l, kind)
}

// takeList brings the node's backends up to date and hands the list to the policy. n.mu is held.
func (n *node) takeList(l *list, kind policy.ListKind) {
	now := n.clock.now()
	n.version = l.Version
	entries := make([]policy.Entry, 0, len(l.Servers))
	seen := map[string]bool{}
	for i := range l.Servers {
		seen[l.Servers[i].ID] = true
	}
	for i := range l.Servers {
		s := &l.Servers[i]
		e := policy.Entry{Zone: s.Zone, Cell: s.Cell, Kind: s.Kind, Launched: time.Duration(s.StartedMS) * time.Millisecond}
		switch s.State {
		case "Ready":
		case "Gone":
			e.State = policy.Left
		default: // Terminating, or a state that is not known here: nothing new for either
			e.State = policy.Leaving
		}
		b := n.names[s.ID]
		if b != nil && b.addr != s.Addr && s.Addr != "" {
			// Another address is another process, even where the start time does not tell.
			entries = append(entries, policy.Entry{ID: b.number, State: policy.Left})
			n.drop(b)
			b = nil
		}
		switch {
		case b == nil && e.State == policy.Left:
			continue
		case b == nil:
			for _, o := range n.names {
				if o.addr == s.Addr && !o.left && !seen[o.id] {
					// Its process can't be there any more: what goes to its address reaches the new one.
					entries = append(entries, policy.Entry{ID: o.number, State: policy.Left})
					n.drop(o)
				}
			}
			n.nextNum++
			b = &backend{number: n.nextNum, id: s.ID, addr: s.Addr, started: s.StartedMS}
		case b.started != s.StartedMS:
			old := b
			b = &backend{number: old.number, id: s.ID, addr: s.Addr, started: s.StartedMS} // the policy tells the two apart by the start
			n.pool.clear(old, true)
		}
		n.names[s.ID], n.backends[b.number] = b, b
		e.ID = b.number
		entries = append(entries, e)
		switch e.State {
		case policy.Active:
			b.left = false
			b.stop.Store(0)
		case policy.Leaving:
			n.drain(b)
		case policy.Left:
			n.drop(b)
		}
	}
	if kind != policy.ListDelta {
		for id, b := range n.names {
			if !seen[id] {
				n.drop(b)
			}
		}
	}
	n.handle(now, &policy.Event{Kind: policy.EvList, List: kind, Entries: entries})
	n.ready = false
	for _, b := range n.names {
		n.ready = n.ready || b.stop.Load() == 0
	}
}

// drain lets nothing new be written to a backend once its grace is over, less the time that the news took.
func (n *node) drain(b *backend) {
	grace := n.cfg.Settings.Policy.DrainGrace * 9 / 10
	b.stop.CompareAndSwap(0, time.Now().Add(grace).UnixNano())
}

// drop takes a backend off the list. It stays known until its grace is over: the policy may go on with the
// last of a list that came empty, and a backend that is listed again keeps its number and its connections.
func (n *node) drop(b *backend) {
	if b.left {
		return
	}
	b.left = true
	n.drain(b)
	stop := b.stop.Load()
	time.AfterFunc(n.cfg.Settings.Policy.DrainGrace, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if !b.left || b.stop.Load() != stop {
			return // listed again meanwhile
		}
		if n.names[b.id] == b {
			delete(n.names, b.id)
		}
		if n.backends[b.number] == b {
			delete(n.backends, b.number)
		}
		n.pool.clear(b, true)
	})
}
