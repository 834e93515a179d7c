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

// The order after each thing that is learnt of addresses.
func TestOrder(t *testing.T) {
	var m History
	now := time.Minute
	all := []string{v4, "127.0.0.2:9000", v6, local}
	for i, step := range []struct {
		learn func()
		wait  time.Duration
		want  []string
	}{
		{func() {}, 0, []string{local, v6, v4, "127.0.0.2:9000"}},
		{func() { m.RecordAnswer(now, v4) }, 0, []string{v4, local, v6, "127.0.0.2:9000"}},
		{func() { m.RecordFailure(now, v4) }, 500 * ms, []string{local, v6, "127.0.0.2:9000", v4}},
		{func() { m.RecordFailure(now, local) }, 0, []string{v6, "127.0.0.2:9000", v4, local}},
		{func() {}, 600 * ms, []string{v6, v4, "127.0.0.2:9000", local}}, // v4's time is up, local's is not
		{func() { m.RecordSilence(now, v6) }, 0, []string{v6, v4, "127.0.0.2:9000", local}},
		{func() { m.RecordSilence(now, v6) }, 0, []string{v4, "127.0.0.2:9000", local, v6}}, // twice in a row: it hangs
		{func() { m.RecordAnswer(now, v6) }, 0, []string{v6, v4, "127.0.0.2:9000", local}},
		{func() {}, remember + time.Second, []string{local, v6, v4, "127.0.0.2:9000"}},
	} {
		step.learn()
		now += step.wait
		if got := m.Order(now, all); !slices.Equal(got, step.want) {
			t.Errorf("step %d: %v, want %v", i, got, step.want)
		}
	}
	for i := range 2 * most {
		m.RecordFailure(now, string(rune(i)))
	}
	if len(m.of) > most {
		t.Errorf("%d addresses are remembered", len(m.of))
	}
}

func TestRace(t *testing.T) {
	r := NewDialSchedule(0, time.Minute, 3)
	if i, begin, _, _ := r.Next(0); i != 0 || !begin {
		t.Error("the first does not begin at once")
	}
	if _, begin, wait, _ := r.Next(100 * ms); begin || wait != 150*ms {
		t.Errorf("the second at 100 ms: %v, wait %v", begin, wait)
	}
	if i, begin, _, _ := r.Next(250 * ms); i != 1 || !begin {
		t.Error("the second does not begin after the stagger")
	}
	r.AttemptFailed(260 * ms)
	if i, begin, _, _ := r.Next(260 * ms); i != 2 || !begin {
		t.Error("the third waits though one failed")
	}
	r.AttemptFailed(270 * ms)
	if _, _, _, over := r.Next(270 * ms); over {
		t.Error("it is over with one under way")
	}
	r.AttemptFailed(280 * ms)
	if _, _, _, over := r.Next(280 * ms); !over {
		t.Error("it is not over with all failed")
	}
	// Waits for addresses take half of a short attempt's time at most.
	if r = NewDialSchedule(0, 100*ms, 3); r.stagger != 25*ms {
		t.Errorf("stagger of %v in 100 ms", r.stagger)
	}
}

// net stands in for the network: addresses that answer, refuse or hang.
type stub struct {
	does map[string]string
	open atomic.Int32 // connections
	room atomic.Int32 // descriptors
}

type stubConn struct {
	net.Conn
	s *stub
}

func (c *stubConn) Close() error { c.s.open.Add(-1); return c.Conn.Close() }

func (s *stub) dial(ctx context.Context, _, address string) (net.Conn, error) {
	switch s.does[address] {
	case "refuse":
		return nil, errors.New("refused")
	case "hang":
		<-ctx.Done()
		return nil, ctx.Err()
	case "late": // up in the moment in which it has lost
		<-ctx.Done()
	}
	a, b := net.Pipe()
	b.Close()
	s.open.Add(1)
	return &stubConn{a, s}, nil
}

func (s *stub) dialer() *Dialer {
	begun := time.Now()
	return &Dialer{Base: s.dial, Now: func() time.Duration { return time.Since(begun) },
		AcquireDescriptor: func() bool { return s.room.Add(-1) >= 0 || s.room.Add(1) < 0 }, ReleaseDescriptor: func() { s.room.Add(1) }}
}

func yes() bool { return true }

func TestOneWinner(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 200*ms)
	defer cancel()
	for _, first := range []string{"refuse", "hang", "late"} {
		s := &stub{does: map[string]string{v6: first}}
		s.room.Store(1)
		d := s.dialer()
		c, addr, err := d.Dial(ctx, []string{v4, v6}, yes)
		if err != nil || addr != v4 || s.open.Load() != 1 || s.room.Load() != 1 {
			t.Errorf("%s: %s, %v; %d open, room for %d", first, addr, err, s.open.Load(), s.room.Load())
			continue
		}
		c.Close()
		if got := d.memory.Order(d.Now(), []string{v4, v6}); got[0] != v4 {
			t.Errorf("%s: next time %v", first, got)
		}
	}
}

func TestAllHang(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 60*ms)
	defer cancel()
	s := &stub{does: map[string]string{v4: "hang", v6: "hang", "/run/box.sock": "late"}}
	s.room.Store(9)
	if _, _, err := s.dialer().Dial(ctx, []string{v4, v6, local}, yes); !errors.Is(err, context.DeadlineExceeded) || s.open.Load() != 0 || s.room.Load() != 9 {
		t.Errorf("%v; %d open, room for %d", err, s.open.Load(), s.room.Load())
	}
	if _, _, err := s.dialer().Dial(t.Context(), []string{"nonsense", "unix:x"}, yes); err == nil || !strings.Contains(err.Error(), "nonsense") {
		t.Errorf("%v", err)
	}
}

// A drain that is told while the first address hangs: none is begun any more, and nothing is returned.
func TestNotAllowedAnyMore(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	s := &stub{does: map[string]string{v6: "hang"}}
	asked := 0
	_, _, err := s.dialer().Dial(ctx, []string{v4, v6}, func() bool { asked++; return asked < 3 })
	if !errors.Is(err, ErrStopped) || s.open.Load() != 0 {
		t.Errorf("%v, %d open", err, s.open.Load())
	}
}

// What a bad first address costs: the first time, and once it is known.
func BenchmarkDial(b *testing.B) {
	for _, first := range []string{"sound", "refuse", "hang"} {
		s := &stub{does: map[string]string{v6: first}}
		s.room.Store(9)
		ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
		defer cancel()
		dial := func(d *Dialer) {
			c, _, err := d.Dial(ctx, []string{v4, v6}, yes)
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
