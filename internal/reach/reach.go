// Package reach connects to backends that have several addresses, in the manner of RFC 8305 (Happy Eyeballs): it dials one address
// after the other, starts the next one early if the one before is slow, and keeps the first connection.
//
// History and DialSchedule decide the order of the addresses, when the next one is dialled and which are in backoff. They have no
// clock, I/O or goroutines and are not safe for concurrent use: their caller passes in the time. Dialer does the I/O.
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
	// AttemptDelay is the time before the next address is dialled beside one that is still connecting (RFC 8305, section 5:
	// 250 ms is recommended). It is not shorter because each surplus connection costs the backend a handshake, a quarter of a
	// request's work or more.
	AttemptDelay = 250 * time.Millisecond
	// maxDelayShare is the fraction of an attempt's time that all delays together may take, so that an address that works still
	// has the remainder.
	maxDelayShare = 0.5

	initialBackoff    = time.Second // for an address that failed, doubled with each consecutive failure
	maxBackoff        = 30 * time.Second
	maxSilentAttempts = 2                // consecutive attempts without a response, after which an address counts as failed
	historyRetention  = 10 * time.Minute // how long an address that has worked is preferred
	maxHistory        = 8192             // number of addresses
)

// Network splits an address of a backend list, an IP address with a port or "unix:" and a path, into the arguments of net.Dial.
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

// family ranks address families: first a Unix socket, which needs no network, then IPv6 before IPv4 (RFC 6724).
func family(addr string) int {
	switch {
	case strings.HasPrefix(addr, "unix:"):
		return 0
	case strings.HasPrefix(addr, "["):
		return 1
	}
	return 2
}

// record is what is known of an address.
type record struct {
	fails        int           // consecutive failures
	unanswered   int           // consecutive attempts without a response
	backoffUntil time.Duration // end of its backoff
	answeredAt   time.Duration // when it last responded; 0 for never
	lastUsed     time.Duration
}

// History holds the recent results of addresses. The zero value is empty.
type History struct {
	records map[string]*record
}

// record returns the record of an address, creating it if there is none.
func (m *History) record(now time.Duration, addr string) *record {
	r := m.records[addr]
	if r == nil {
		if m.records == nil {
			m.records = map[string]*record{}
		}
		if len(m.records) >= maxHistory {
			m.prune(now)
		}
		r = &record{}
		m.records[addr] = r
	}
	r.lastUsed = now
	return r
}

// prune drops expired records, or all of them if too many remain.
func (m *History) prune(now time.Duration) {
	for addr, r := range m.records {
		if now-r.lastUsed > historyRetention {
			delete(m.records, addr)
		}
	}
	if len(m.records) >= maxHistory {
		clear(m.records)
	}
}

// RecordFailure records that a connection to an address failed, or broke before a request was completely written to it.
func (m *History) RecordFailure(now time.Duration, addr string) {
	r := m.record(now, addr)
	r.backoffUntil = now + min(maxBackoff, initialBackoff<<min(r.fails, 10))
	r.fails++
	r.answeredAt = 0
}

// RecordSilence records that an attempt timed out without any response from an address.
func (m *History) RecordSilence(now time.Duration, addr string) {
	r := m.record(now, addr)
	if r.unanswered++; r.unanswered >= maxSilentAttempts {
		m.RecordFailure(now, addr) // it accepts connections and then hangs; the backend may be healthy at other addresses
	}
}

// RecordAnswer records a response from an address.
func (m *History) RecordAnswer(now time.Duration, addr string) {
	*m.record(now, addr) = record{answeredAt: max(now, 1), lastUsed: now}
}

// Order returns a backend's addresses in the order in which to dial them: the one that responded last, then one of each family in
// turn, and at the end those in backoff, by the end of their backoff. It omits none.
func (m *History) Order(now time.Duration, addrs []string) []string {
	type candidate struct {
		addr         string
		backoffUntil time.Duration
		answeredAt   time.Duration
		turn, kind   int
	}
	var turns [3]int
	all := make([]candidate, 0, len(addrs))
	for _, a := range addrs {
		p := candidate{addr: a, kind: family(a)}
		p.turn = turns[p.kind]
		turns[p.kind]++
		if r := m.records[a]; r != nil {
			if r.backoffUntil > now {
				p.backoffUntil = r.backoffUntil
			}
			if now-r.answeredAt < historyRetention {
				p.answeredAt = r.answeredAt
			}
		}
		all = append(all, p)
	}
	slices.SortStableFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.backoffUntil, b.backoffUntil), -cmp.Compare(a.answeredAt, b.answeredAt), cmp.Compare(a.turn, b.turn), cmp.Compare(a.kind, b.kind))
	})
	out := make([]string, len(all))
	for i := range all {
		out[i] = all[i].addr
	}
	return out
}

// DialSchedule decides when each address of a backend is dialled, for one connection.
type DialSchedule struct {
	n, next, open int
	due           time.Duration // when the next address may be dialled
	delay         time.Duration
}

// NewDialSchedule returns a schedule for n addresses, in their order, to be completed by end.
func NewDialSchedule(now, end time.Duration, n int) *DialSchedule {
	delay := AttemptDelay
	if n > 1 {
		delay = min(delay, time.Duration(float64(end-now)*maxDelayShare)/time.Duration(n-1))
	}
	return &DialSchedule{n: n, due: now, delay: max(delay, time.Millisecond)}
}

// Next reports whether to dial the next address now, and its index i. If not, wait is the time until the next call, unless a dial
// fails before; it is 0 if no address is left. done is set if all addresses have failed.
func (r *DialSchedule) Next(now time.Duration) (i int, start bool, wait time.Duration, done bool) {
	switch {
	case r.next == r.n:
		return 0, false, 0, r.open == 0
	case now < r.due && r.open > 0:
		return 0, false, r.due - now, false
	}
	i = r.next
	r.next++
	r.open++
	r.due = now + r.delay
	return i, true, 0, false
}

// AttemptFailed records that a dial has failed: the next one may start at once.
func (r *DialSchedule) AttemptFailed(now time.Duration) {
	r.open--
	r.due = now
}
