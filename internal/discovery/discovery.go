// Package discovery follows the backend list that PROTOCOL describes, from one address, over HTTP/1.1, by calls
// that wait for a change. After a failure an agent of this machine, which pushes the list, is asked again at once; another
// discovery when the decision module says so.
package discovery

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
	minWatchInterval = 50 * time.Millisecond // between watches that are answered at once; within 200 ms a watch goes on
	maxListBytes     = 16 << 20              // of an answer
)

// Config is what a source is made from.
type Config struct {
	Engine      *engine.Engine
	Addr        string // host:port
	Push        bool   // the address is an agent of this machine, at which asking costs nothing; else every call is work
	NeedFull    bool   // the list that is known is another discovery's: its versions tell nothing here
	AfterOutage bool   // calls for the list that is known have failed, and none was answered since: see engine.List
	Log         *slog.Logger
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
	plan     schedule
	failing  bool // the log has that no list comes
}

// New returns a source that asks for nothing yet.
func New(cfg Config) *Source {
	d := &Source{engine: cfg.Engine, addr: cfg.Addr, push: cfg.Push, plan: schedule{push: cfg.Push, whole: cfg.NeedFull, doubt: cfg.AfterOutage}, log: cfg.Log,
		http: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
	d.ctx, d.leave = context.WithCancel(context.Background())
	return d
}

// Addr is the address that the source asks.
func (d *Source) Addr() string { return d.addr }

// AfterOutage tells whether the last call for the list has failed, so that what is told next may have counted as told for a while.
func (d *Source) AfterOutage() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.plan.doubt
}

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
	for d.ctx.Err() == nil {
		begun := time.Now()
		d.mu.Lock()
		c, doubt := d.plan.next(rand.Float64()), d.plan.doubt
		d.mu.Unlock()
		since := d.engine.Version()
		query := ""
		if !c.whole {
			query = fmt.Sprintf("?since=%d&timeout_ms=%d", since, c.wait.Milliseconds())
		}
		l, err := d.call(query, c.limit)
		if d.ctx.Err() != nil {
			return
		}
		if err == nil {
			kind := policy.ListDelta
			if c.whole || l.Full {
				kind = policy.ListFull
			}
			behind := !c.whole && !l.Full && l.Version < since // a discovery that counts anew: no watch from here would tell
			l.AfterOutage = doubt
			d.told(err)
			d.mu.Lock()
			d.plan.answered(behind)
			d.mu.Unlock()
			if !behind {
				d.news(l, kind, true)
			}
			if rest := minWatchInterval - time.Since(begun); rest > 0 {
				timing.Sleep(d.ctx, rest)
			}
			continue
		}
		d.told(err)
		d.mu.Lock()
		rest, again := d.plan.failed(errors.Is(err, context.DeadlineExceeded), rand.Float64())
		d.mu.Unlock()
		if !again {
			d.lost()
			return
		}
		timing.Sleep(d.ctx, rest)
	}
}

// told logs the first failure of several, and that they are over.
func (d *Source) told(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err != nil && !d.failing:
		d.log.Warn("discovery tells no list; the one that is known stays in force", "err", err)
	case err == nil && d.failing:
		d.log.Info("discovery tells its list again")
	}
	d.failing = err != nil
}

// lost tells that the watch is over.
func (d *Source) lost() {
	d.mu.Lock()
	d.watching = false
	d.mu.Unlock()
	d.engine.SourceFailed(d)
}

// Fetch asks for the whole list once.
func (d *Source) Fetch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ctx.Err() != nil {
		return
	}
	limit := (&schedule{push: d.push, whole: true}).next(0).limit
	d.wg.Go(func() {
		l, err := d.call("", limit)
		if d.ctx.Err() != nil {
			return
		}
		d.told(err)
		if err == nil {
			d.news(l, policy.ListFull, false)
			return
		}
		d.engine.SourceFailed(d)
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
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
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
	d.engine.UpdateList(d, l, kind, func(known int64) bool {
		if kind == policy.ListFull { // a watch's comes also from a discovery that counts anew
			return l.Version >= known || watched
		}
		return l.Version > known
	})
}
