// Package discovery follows the backend list of PROTOCOL from one address over HTTP/1.1, by long polling. After a failure it
// retries at once if the address is an agent on this machine, which pushes the list; otherwise the policy decides when.
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
	"syscall"
	"time"

	"craneglade/internal/engine"
	"craneglade/internal/timing"
	"craneglade/policy"
)

const (
	minWatchInterval = 50 * time.Millisecond // between watches that are answered at once; a watch has to continue within 200 ms
	maxListBytes     = 16 << 20              // of a response
)

// Config configures a Source.
type Config struct {
	Engine      *engine.Engine
	Addr        string // host:port
	Push        bool   // the address is an agent on this machine, where calls are cheap; otherwise each call is a load on discovery
	NeedFull    bool   // request the full list first: the current one is from another discovery, whose versions mean nothing here
	AfterOutage bool   // the last call for the current list has failed, see engine.List
	Log         *slog.Logger
}

// Source is an engine.Source that follows the list of one address.
type Source struct {
	engine *engine.Engine
	http   *http.Client
	addr   string
	push   bool
	log    *slog.Logger
	ctx    context.Context // canceled by Stop
	cancel context.CancelFunc
	wg     sync.WaitGroup // running calls

	mu            sync.Mutex
	watching      bool
	schedule      schedule
	failureLogged bool // the current outage has been logged
}

// New returns a source that makes no calls until Watch or Fetch.
func New(cfg Config) *Source {
	d := &Source{engine: cfg.Engine, addr: cfg.Addr, push: cfg.Push, schedule: schedule{push: cfg.Push, needFull: cfg.NeedFull, afterFailure: cfg.AfterOutage}, log: cfg.Log,
		http: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// Addr returns the address of the discovery.
func (d *Source) Addr() string { return d.addr }

// AfterOutage reports whether the last call for the list has failed, so that the next update may have been in force for a while.
func (d *Source) AfterOutage() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.schedule.afterFailure
}

// Stop cancels running calls and waits for them to end.
func (d *Source) Stop() {
	d.cancel()
	d.wg.Wait()
	d.http.CloseIdleConnections()
}

// Watch starts the watch loop unless it is running.
func (d *Source) Watch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.watching || d.ctx.Err() != nil {
		return
	}
	d.watching = true
	d.wg.Go(d.loop)
}

// loop watches until the source is stopped. If lists are pushed it continues after a failure; otherwise it reports the failure
// to the policy, which decides when to retry.
func (d *Source) loop() {
	for d.ctx.Err() == nil {
		start := time.Now()
		d.mu.Lock()
		c, afterOutage := d.schedule.next(rand.Float64()), d.schedule.afterFailure
		d.mu.Unlock()
		since := d.engine.Version()
		query := ""
		if !c.full {
			query = fmt.Sprintf("?since=%d&timeout_ms=%d", since, c.wait.Milliseconds())
		}
		l, err := d.call(query, c.limit)
		if d.ctx.Err() != nil {
			return
		}
		if err == nil {
			kind := policy.ListDelta
			if c.full || l.Full {
				kind = policy.ListFull
			}
			reset := !c.full && !l.Full && l.Version < since // discovery restarted its versions: a watch from since would miss changes
			l.AfterOutage = afterOutage
			d.logResult(err)
			d.mu.Lock()
			d.schedule.answered(reset)
			d.mu.Unlock()
			if !reset {
				d.deliver(l, kind, true)
			}
			if pause := minWatchInterval - time.Since(start); pause > 0 {
				timing.Sleep(d.ctx, pause)
			}
			continue
		}
		d.logResult(err)
		d.mu.Lock()
		if errors.Is(err, syscall.ECONNREFUSED) {
			d.schedule.refused()
		}
		pause, retry := d.schedule.failed(errors.Is(err, context.DeadlineExceeded), rand.Float64())
		d.mu.Unlock()
		if !retry {
			d.watchFailed()
			return
		}
		timing.Sleep(d.ctx, pause)
	}
}

// logResult logs the start and the end of an outage.
func (d *Source) logResult(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err != nil && !d.failureLogged:
		d.log.Warn("discovery request failed; the last known list stays in force", "err", err)
	case err == nil && d.failureLogged:
		d.log.Info("discovery answers again")
	}
	d.failureLogged = err != nil
}

// watchFailed reports that the watch has ended with a failure.
func (d *Source) watchFailed() {
	d.mu.Lock()
	d.watching = false
	d.mu.Unlock()
	d.engine.SourceFailed(d)
}

// Fetch requests the full list once.
func (d *Source) Fetch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ctx.Err() != nil {
		return
	}
	limit := (&schedule{push: d.push, needFull: true}).next(0).limit
	d.wg.Go(func() {
		l, err := d.call("", limit)
		if d.ctx.Err() != nil {
			return
		}
		d.logResult(err)
		if err == nil {
			d.deliver(l, policy.ListFull, false)
			return
		}
		d.engine.SourceFailed(d)
	})
}

// call makes one request for the list.
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

// deliver passes a list to the engine unless it is older than the current one, as a fetch and a watch may overtake each other.
func (d *Source) deliver(l *engine.List, kind policy.ListKind, watched bool) {
	d.engine.UpdateList(d, l, kind, func(known int64) bool {
		if kind == policy.ListFull { // one from a watch may be from a discovery that restarted its versions
			return l.Version >= known || watched
		}
		return l.Version > known
	})
}
