package httpcarrier

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"craneglade/internal/admission"
	"craneglade/internal/engine"
	"craneglade/internal/message"
	"craneglade/internal/quota"
	"craneglade/internal/settings"
	"craneglade/policy"
)

// breaks is a connection that breaks after so many bytes of what is written.
type breaks struct {
	net.Conn
	after int
	pause time.Duration
}

func (c *breaks) Write(p []byte) (int, error) {
	time.Sleep(c.pause)
	if len(p) <= c.after {
		return c.Conn.Write(p)
	}
	return c.after, errors.New("broken pipe")
}

// A connection that breaks before a request's last byte has it go on to the box's next address, once and with what is left of its time;
// one that breaks after it ends the attempt as one that may have run.
func TestTheLastByteDecides(t *testing.T) {
	for _, c := range []struct {
		after int
		want  policy.Outcome
		sent  int // requests that the second address gets
	}{{10, policy.OK, 1}, {1 << 20, policy.Reset, 0}} {
		var mu sync.Mutex
		var got []*http.Request
		var wg sync.WaitGroup
		serve := func(c net.Conn, answers bool) {
			defer c.Close()
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body)
			if answers {
				mu.Lock()
				got = append(got, r)
				mu.Unlock()
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			}
		}
		dial := func(_ context.Context, _, addr string) (net.Conn, error) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return nil, err
			}
			wg.Go(func() {
				defer ln.Close()
				if its, err := ln.Accept(); err == nil {
					serve(its, addr != "/first")
				}
			})
			mine, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				return nil, err
			}
			if addr == "/first" {
				return &breaks{mine, c.after, 50 * time.Millisecond}, nil
			}
			return mine, nil
		}
		bodies, err := message.NewStore(0, &settings.Bodies{}, engine.NewClock())
		if err != nil {
			t.Fatal(err)
		}
		n := New(Config{Quota: quota.New(0, 0).Side(admission.BackendSide), Bodies: bodies, DialOn: dial, Log: slog.New(slog.DiscardHandler)})
		box := &engine.Backend{ID: "b"}
		box.SetAddrs([]string{"unix:/first", "127.0.0.1:1"})
		in, _ := http.NewRequest("POST", "http://x/api", strings.NewReader("a door"))
		m := &message.Request{In: in, Body: &message.Body{Memory: []byte("a door")}}
		m.Payload = m
		res := n.Carry(t.Context(), &engine.Attempt{Request: &m.Request, Backend: box, Wait: time.Second, Effect: policy.Unsafe})
		n.Stop()
		wg.Wait()
		if res.Outcome != c.want || len(got) != c.sent {
			t.Errorf("broken after %d bytes: %v, %d at the second address; want %v, %d", c.after, res.Outcome, len(got), c.want, c.sent)
		}
		for _, r := range got {
			left, _ := strconv.Atoi(strings.TrimSuffix(r.Header.Get("X-Deadline"), "u"))
			if left <= 0 || left > 950_000 {
				t.Errorf("the second address was told %d us of 1 s, 50 ms of which had gone", left)
			}
		}
		bodies.Stop()
	}
}
