package reach

import (
	"context"
	"errors"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	v4, v6, local = "127.0.0.1:9000", "[::1]:9000", "unix:/run/box.sock"
	ms            = time.Millisecond
)

func TestNetwork(t *testing.T) {
	for addr, want := range map[string]string{v4: "tcp " + v4, v6: "tcp " + v6, local: "unix /run/box.sock", "unix:box.sock": "", "host:80": "",
		"127.0.0.1": "", "unix:/" + strings.Repeat("a", 107): ""} {
		network, address, err := Network(addr)
		if want == "" && err == nil || want != "" && (err != nil || network+" "+address != want) {
			t.Errorf("%s: %s %s, %v", addr, network, address, err)
		}
	}
}

// The order of addresses after each recorded result.
func TestOrder(t *testing.T) {
	var m History
	now := time.Minute
	all := []string{v4, "127.0.0.2:9000", v6, local}
	for i, step := range []struct {
		event func()
		wait  time.Duration
		want  []string
	}{
		{func() {}, 0, []string{local, v6, v4, "127.0.0.2:9000"}},
		{func() { m.RecordAnswer(now, v4) }, 0, []string{v4, local, v6, "127.0.0.2:9000"}},
		{func() { m.RecordFailure(now, v4) }, 500 * ms, []string{local, v6, "127.0.0.2:9000", v4}},
		{func() { m.RecordFailure(now, local) }, 0, []string{v6, "127.0.0.2:9000", v4, local}},
		{func() {}, 600 * ms, []string{v6, v4, "127.0.0.2:9000", local}}, // the backoff of v4 is over, that of local is not
		{func() { m.RecordSilence(now, v6) }, 0, []string{v6, v4, "127.0.0.2:9000", local}},
		{func() { m.RecordSilence(now, v6) }, 0, []string{v4, "127.0.0.2:9000", local, v6}}, // twice in a row: counts as failed
		{func() { m.RecordAnswer(now, v6) }, 0, []string{v6, v4, "127.0.0.2:9000", local}},
		{func() {}, historyRetention + time.Second, []string{local, v6, v4, "127.0.0.2:9000"}},
	} {
		step.event()
		now += step.wait
		if got := m.Order(now, all); !slices.Equal(got, step.want) {
			t.Errorf("step %d: %v, want %v", i, got, step.want)
		}
	}
	for i := range 2 * maxHistory {
		m.RecordFailure(now, string(rune(i)))
	}
	if len(m.records) > maxHistory {
		t.Errorf("%d addresses are kept, more than maxHistory", len(m.records))
	}
}

func TestDialSchedule(t *testing.T) {
	r := NewDialSchedule(0, time.Minute, 3)
	if i, start, _, _ := r.Next(0); i != 0 || !start {
		t.Error("the first address is not dialled at once")
	}
	if _, start, wait, _ := r.Next(100 * ms); start || wait != 150*ms {
		t.Errorf("second address at 100 ms: start %v, wait %v", start, wait)
	}
	if i, start, _, _ := r.Next(250 * ms); i != 1 || !start {
		t.Error("the second address is not dialled after the delay")
	}
	r.AttemptFailed(260 * ms)
	if i, start, _, _ := r.Next(260 * ms); i != 2 || !start {
		t.Error("the third address waits though one failed")
	}
	r.AttemptFailed(270 * ms)
	if _, _, _, done := r.Next(270 * ms); done {
		t.Error("done with a dial still running")
	}
	r.AttemptFailed(280 * ms)
	if _, _, _, done := r.Next(280 * ms); !done {
		t.Error("not done with all failed")
	}
	// The delays take at most half of a short attempt's time.
	if r = NewDialSchedule(0, 100*ms, 3); r.delay != 25*ms {
		t.Errorf("delay of %v in 100 ms", r.delay)
	}
}

// stub simulates a network with addresses that connect, refuse or hang.
type stub struct {
	behaviour   map[string]string
	open        atomic.Int32 // open connections
	descriptors atomic.Int32 // free descriptors
}

type stubConn struct {
	net.Conn
	s *stub
}

func (c *stubConn) Close() error { c.s.open.Add(-1); return c.Conn.Close() }

func (s *stub) dial(ctx context.Context, _, address string) (net.Conn, error) {
	switch s.behaviour[address] {
	case "refuse":
		return nil, errors.New("refused")
	case "hang":
		<-ctx.Done()
		return nil, ctx.Err()
	case "late": // connects at the moment when it is canceled
		<-ctx.Done()
	}
	a, b := net.Pipe()
	b.Close()
	s.open.Add(1)
	return &stubConn{a, s}, nil
}

func (s *stub) dialer() *Dialer {
	start := time.Now()
	return &Dialer{Base: s.dial, Now: func() time.Duration { return time.Since(start) },
		AcquireDescriptor: func() bool { return s.descriptors.Add(-1) >= 0 || s.descriptors.Add(1) < 0 }, ReleaseDescriptor: func() { s.descriptors.Add(1) }}
}

func alwaysAllowed() bool { return true }

func TestOneConnectionIsKept(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 200*ms)
	defer cancel()
	for _, first := range []string{"refuse", "hang", "late"} {
		s := &stub{behaviour: map[string]string{v6: first}}
		s.descriptors.Store(1)
		d := s.dialer()
		c, addr, err := d.Dial(ctx, []string{v4, v6}, alwaysAllowed)
		if err != nil || addr != v4 || s.open.Load() != 1 || s.descriptors.Load() != 1 {
			t.Errorf("%s: %s, %v; %d open, %d descriptors", first, addr, err, s.open.Load(), s.descriptors.Load())
			continue
		}
		c.Close()
		if got := d.history.Order(d.Now(), []string{v4, v6}); got[0] != v4 {
			t.Errorf("%s: next order %v", first, got)
		}
	}
}

func TestNoAddressAnswers(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 60*ms)
	defer cancel()
	s := &stub{behaviour: map[string]string{v4: "hang", v6: "hang", "/run/box.sock": "late"}}
	s.descriptors.Store(9)
	if _, _, err := s.dialer().Dial(ctx, []string{v4, v6, local}, alwaysAllowed); !errors.Is(err, context.DeadlineExceeded) || s.open.Load() != 0 || s.descriptors.Load() != 9 {
		t.Errorf("%v; %d open, %d descriptors", err, s.open.Load(), s.descriptors.Load())
	}
	if _, _, err := s.dialer().Dial(t.Context(), []string{"nonsense", "unix:x"}, alwaysAllowed); err == nil || !strings.Contains(err.Error(), "nonsense") {
		t.Errorf("%v", err)
	}
}

// A drain that starts while the first address hangs: no further address is dialled, and no connection is returned.
func TestDialStopsWhenDisallowed(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	s := &stub{behaviour: map[string]string{v6: "hang"}}
	calls := 0
	_, _, err := s.dialer().Dial(ctx, []string{v4, v6}, func() bool { calls++; return calls < 3 })
	if !errors.Is(err, ErrStopped) || s.open.Load() != 0 {
		t.Errorf("%v, %d open", err, s.open.Load())
	}
}

// BenchmarkDial measures the cost of a failing first address, at first and once it is known.
func BenchmarkDial(b *testing.B) {
	for _, first := range []string{"sound", "refuse", "hang"} {
		s := &stub{behaviour: map[string]string{v6: first}}
		s.descriptors.Store(9)
		ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
		defer cancel()
		dial := func(d *Dialer) {
			c, _, err := d.Dial(ctx, []string{v4, v6}, alwaysAllowed)
			if err != nil {
				b.Fatal(err)
			}
			c.Close()
		}
		b.Run(first+"/unknown", func(b *testing.B) {
			for b.Loop() {
				dial(s.dialer())
			}
		})
		b.Run(first+"/known", func(b *testing.B) {
			d := s.dialer()
			dial(d)
			for b.Loop() {
				dial(d)
				d.RecordAnswer(v4)
			}
		})
	}
}
