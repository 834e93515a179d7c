// Package boxlist follows the box list that PROTOCOL describes, from one address, over HTTP/1.1: watched where it is
// pushed, asked where it must be.
package boxlist

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"craneglade/internal/engine"
	"craneglade/internal/timing"
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

// Config is what a source is made from.
type Config struct {
	Engine *engine.Engine
	Addr   string // host:port
	Push   bool   // the address is an agent of this machine, at which asking costs nothing; else every call is work
	Whole  bool   // the list that is known is another discovery's: its versions tell nothing here
	Log    *slog.Logger
}

// Source is an engine.Source. Another address means another Source.
type Source struct {
	engine *engine.Engine
	http   *http.Client
	addr   string
	push   bool
	log    *slog.Logger
	ctx    context.Context // ends when this source is left
	leave  context.CancelFunc
	wg     sync.WaitGroup // calls

	mu       sync.Mutex
	watching bool
	whole    bool // its whole list is still to be asked for
}

// New returns a source that asks for nothing yet.
func New(cfg Config) *Source {
	d := &Source{engine: cfg.Engine, addr: cfg.Addr, push: cfg.Push, whole: cfg.Whole, log: cfg.Log,
		http: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
	d.ctx, d.leave = context.WithCancel(context.Background())
	return d
}

// Addr is the address that the source asks.
func (d *Source) Addr() string { return d.addr }

// Stop ends what the source has under way, and returns once it has ended.
func (d *Source) Stop() {
	d.leave()
	d.wg.Wait()
	d.http.CloseIdleConnections()
}

// Watch starts the watch loop unless it runs.
func (d *Source) Watch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.watching || d.ctx.Err() != nil {
		return
	}
	d.watching = true
	d.wg.Go(d.loop)
}

// loop watches until the discovery is left. Where lists are pushed it goes on after a failure; elsewhere a failure
// is told to the policy, which says when to ask again.
func (d *Source) loop() {
	wait, over := askWait, askOver
	if d.push {
		wait, over = pushWait, pushOver
	}
	pause := backoff
	for d.ctx.Err() == nil {
		begun := time.Now()
		d.mu.Lock()
		whole := d.whole
		d.mu.Unlock()
		since := d.engine.Version()
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
				timing.Sleep(d.ctx, rest)
			}
			continue
		}
		if d.ctx.Err() != nil {
			return
		}
		d.log.Warn("watching discovery failed", "err", err)
		if !d.push {
			d.lost()
			return
		}
		timing.Sleep(d.ctx, time.Duration(float64(pause)*(0.5+rand.Float64())))
		pause = min(2*pause, backoffTo)
	}
}

// lost tells that the watch is over.
func (d *Source) lost() {
	d.mu.Lock()
	d.watching = false
	d.mu.Unlock()
	d.engine.Lost(d)
}

// Fetch asks for the whole list once.
func (d *Source) Fetch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ctx.Err() != nil {
		return
	}
	d.wg.Go(func() {
		l, err := d.call("", fetchWait)
		if err == nil {
			d.news(l, policy.ListFull, false)
			return
		}
		d.log.Warn("asking discovery failed", "err", err)
		d.engine.Lost(d)
	})
}

func (d *Source) call(query string, limit time.Duration) (*engine.List, error) {
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
	l := &engine.List{}
	if err := json.Unmarshal(text, l); err != nil {
		return nil, fmt.Errorf("discovery's list: %w", err)
	}
	return l, nil
}

// news hands in an answer, unless what it tells is older than what is known: a whole list asked for and a watch may cross.
func (d *Source) news(l *engine.List, kind policy.ListKind, watched bool) {
	if d.ctx.Err() != nil {
		return
	}
	d.engine.News(d, l, kind, func(known int64) bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		old := l.Version <= known
		if kind == policy.ListFull { // a watch's comes also from a discovery that counts anew
			old = l.Version < known && !watched && !d.whole
		}
		if !old {
			d.whole = false
		}
		return !old
	})
}
