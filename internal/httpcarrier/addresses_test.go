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

// breakingConn is a connection whose writes fail after a number of bytes.
type breakingConn struct {
	net.Conn
	after int
	pause time.Duration
}

func (c *breakingConn) Write(p []byte) (int, error) {
	time.Sleep(c.pause)
	if len(p) <= c.after {
		return c.Conn.Write(p)
	}
	return c.after, errors.New("broken pipe")
}

// If a connection breaks before the last byte of a request is written, the request is sent to the backend's next address, once
// and with the remaining time. If it breaks later, the attempt ends as one that may have run.
func TestNextAddressOnlyBeforeLastByteIsWritten(t *testing.T) {
	for _, c := range []struct {
		after int
		want  policy.Outcome
		sent  int // requests that the second address receives
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
				if accepted, err := ln.Accept(); err == nil {
					serve(accepted, addr != "/first")
				}
			})
			conn, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				return nil, err
			}
			if addr == "/first" {
				return &breakingConn{conn, c.after, 50 * time.Millisecond}, nil
			}
			return conn, nil
		}
		bodies, err := message.NewStore(0, &settings.Bodies{}, engine.NewClock())
		if err != nil {
			t.Fatal(err)
		}
		n := New(Config{Quota: quota.New(0, 0).Side(admission.BackendSide), Bodies: bodies, DialNetwork: dial, Log: slog.New(slog.DiscardHandler)})
		backend := &engine.Backend{ID: "b"}
		backend.SetAddrs([]string{"unix:/first", "127.0.0.1:1"})
		in, _ := http.NewRequest("POST", "http://x/api", strings.NewReader("a door"))
		m := &message.Request{In: in, Body: &message.Body{Memory: []byte("a door")}}
		m.Payload = m
		res := n.Carry(t.Context(), &engine.Attempt{Request: &m.Request, Backend: backend, Timeout: time.Second, Effect: policy.Unsafe})
		n.Stop()
		wg.Wait()
		if res.Outcome != c.want || len(got) != c.sent {
			t.Errorf("broken after %d bytes: %v, %d at the second address; want %v, %d", c.after, res.Outcome, len(got), c.want, c.sent)
		}
		for _, r := range got {
			remaining, _ := strconv.Atoi(strings.TrimSuffix(r.Header.Get("X-Deadline"), "u"))
			if remaining <= 0 || remaining > 950_000 {
				t.Errorf("the deadline sent to the second address is %d us; want at most 950 ms, as 50 ms of 1 s had passed", remaining)
			}
		}
		bodies.Stop()
	}
}
