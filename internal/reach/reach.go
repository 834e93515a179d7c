// Package reach decides in which order the addresses of one box are tried, when the next one starts, and which are set back. It
// has no clock, no I/O and no goroutine, and is not safe for concurrent use: its caller tells it the time. It follows RFC 8305
// in spirit: one address after the other, the next one early when the one before is slow, one winner.
package reach

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
)

const (
	// AttemptDelay is how long an address has before the next one is begun beside it (RFC 8305, section 5: 250 ms is recommended). A
	// connection that loses has cost its box a handshake, a quarter of a request's work or more, so it is not less.
	AttemptDelay = 250 * time.Millisecond
	// share of an attempt's time that all waits for addresses together may take: whichever works still has the rest.
	share = 0.5

	setBack  = time.Second // for an address that failed, doubled with each failure in a row
	setMost  = 30 * time.Second
	hangs    = 2                // attempts in a row that nothing came back for, after which an address counts as hanging
	remember = 10 * time.Minute // what worked is preferred for so long
	most     = 8192             // addresses that are remembered
)

// Network splits an address as lists have it: an IP address with a port, or "unix:" and a path. An error says what is wrong.
func Network(addr string) (network, address string, err error) {
	if path, ok := strings.CutPrefix(addr, "unix:"); ok {
		if !strings.HasPrefix(path, "/") || len(path) > 107 { // sockaddr_un, unix(7)
			return "", "", fmt.Errorf("%q is not unix: and a path from / of at most 107 bytes", addr)
		}
		return "unix", path, nil
	}
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return "", "", fmt.Errorf("%q is not an IP address with a port, nor unix: and a path", addr)
	}
	return "tcp", addr, nil
}

// family ranks kinds of addresses: a socket of this machine costs no network, then IPv6 before IPv4 (RFC 6724).
func family(addr string) int {
	switch {
	case strings.HasPrefix(addr, "unix:"):
		return 0
	case strings.HasPrefix(addr, "["):
		return 1
	}
	return 2
}

type record struct {
	fails  int           // in a row
	silent int           // attempts in a row that nothing came back for
	back   time.Duration // set back until then
	worked time.Duration // when an answer last came; 0 for never
	seen   time.Duration
}

// History is what is known of addresses. The zero value knows none.
type History struct {
	of map[string]*record
}

func (m *History) at(now time.Duration, addr string) *record {
	r := m.of[addr]
	if r == nil {
		if m.of == nil {
			m.of = map[string]*record{}
		}
		if len(m.of) >= most {
			m.prune(now)
		}
		r = &record{}
		m.of[addr] = r
	}
	r.seen = now
	return r
}

// prune drops what is too old to count, or all where nothing is.
func (m *History) prune(now time.Duration) {
	for addr, r := range m.of {
		if now-r.seen > remember {
			delete(m.of, addr)
		}
	}
	if len(m.of) >= most {
		clear(m.of)
	}
}

// RecordFailure notes that a connection to an address did not come up, or broke before a request was written to it whole.
func (m *History) RecordFailure(now time.Duration, addr string) {
	r := m.at(now, addr)
	r.back = now + min(setMost, setBack<<min(r.fails, 10))
	r.fails++
	r.worked = 0
}

// RecordSilence notes that an attempt ended by its time with nothing from an address.
func (m *History) RecordSilence(now time.Duration, addr string) {
	r := m.at(now, addr)
	if r.silent++; r.silent >= hangs {
		m.RecordFailure(now, addr) // it accepts, and then hangs; the box itself may be well
	}
}

// RecordAnswer notes that something came back from an address.
func (m *History) RecordAnswer(now time.Duration, addr string) {
	*m.at(now, addr) = record{worked: max(now, 1), seen: now}
}

// Order is the order in which a box's addresses are tried: the one that worked last, then one of each family in turn, and those that
// are set back at the end, the one whose time is up first in front. None is left out.
func (m *History) Order(now time.Duration, addrs []string) []string {
	type place struct {
		addr       string
		back       time.Duration
		worked     time.Duration
		turn, kind int
	}
	var turns [3]int
	all := make([]place, 0, len(addrs))
	for _, a := range addrs {
		p := place{addr: a, kind: family(a)}
		p.turn = turns[p.kind]
		turns[p.kind]++
		if r := m.of[a]; r != nil {
			if r.back > now {
				p.back = r.back
			}
			if now-r.worked < remember {
				p.worked = r.worked
			}
		}
		all = append(all, p)
	}
	slices.SortStableFunc(all, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.back, b.back), -cmp.Compare(a.worked, b.worked), cmp.Compare(a.turn, b.turn), cmp.Compare(a.kind, b.kind))
	})
	out := make([]string, len(all))
	for i := range all {
		out[i] = all[i].addr
	}
	return out
}

// DialSchedule is one connecting to a box: which address is begun when.
type DialSchedule struct {
	n, next, open int
	due           time.Duration // when the next one may begin
	stagger       time.Duration
}

// NewDialSchedule is a race over n addresses, in their order, that must be over at a time.
func NewDialSchedule(now, end time.Duration, n int) *DialSchedule {
	stagger := AttemptDelay
	if n > 1 {
		stagger = min(stagger, time.Duration(float64(end-now)*share)/time.Duration(n-1))
	}
	return &DialSchedule{n: n, due: now, stagger: max(stagger, time.Millisecond)}
}

// Next tells whether the next address is to begin now, and which. Where it is not, wait is when to ask again if nothing fails
// before; 0 where no address is left. over tells that all have failed.
func (r *DialSchedule) Next(now time.Duration) (i int, begin bool, wait time.Duration, over bool) {
	switch {
	case r.next == r.n:
		return 0, false, 0, r.open == 0
	case now < r.due && r.open > 0:
		return 0, false, r.due - now, false
	}
	i = r.next
	r.next++
	r.open++
	r.due = now + r.stagger
	return i, true, 0, false
}

// AttemptFailed notes that an address that was begun has failed: the next one need not wait.
func (r *DialSchedule) AttemptFailed(now time.Duration) {
	r.open--
	r.due = now
}
