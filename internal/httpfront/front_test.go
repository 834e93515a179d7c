package httpfront

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"craneglade/internal/admission"
	"craneglade/internal/engine"
	"craneglade/internal/message"
	"craneglade/internal/sock"
	"craneglade/policy"
)

func TestTimesOwedToClients(t *testing.T) {
	if headTime+bodyTime > 2800*time.Millisecond || idleTime < 2*time.Second {
		t.Error("3 s are owed to a bad client, 2 s to a connection between requests")
	}
}

// A body has its second behind the head; a larger one has the time that its size so far allows, but no more than its
// client's patience.
func TestTimeOfABody(t *testing.T) {
	arrived := time.Unix(1000, 0)
	head := arrived.Add(headTime)
	r := &message.Request{Request: engine.Request{Arrived: arrived, ClientTimeout: 4 * time.Second}}
	for _, c := range []struct {
		size int64
		want time.Duration // from the request's first byte
	}{
		{0, 2500 * time.Millisecond},
		{message.MaxBody, 2500 * time.Millisecond},
		{bodyRate / 2, 3 * time.Second},
		{bodyRate, 3500 * time.Millisecond},
		{100 * bodyRate, 4 * time.Second},
	} {
		if got := bodyDeadline(r, head, c.size).Sub(arrived); got != c.want {
			t.Errorf("%d bytes: %v, want %v", c.size, got, c.want)
		}
	}
}

// A node that is far behind refuses the cheapest class, harmlessly, before anything is done for it.
func TestFarBehind(t *testing.T) {
	t.Parallel()
	clock := engine.NewClock()
	e, err := engine.New(engine.Config{Clock: clock, Log: slog.New(slog.DiscardHandler), Settings: policy.Settings{
		Nodes: 1, MaxAttempts: 1, Classes: []policy.Class{{Name: "view", Worth: 1}, {Name: "quote", Worth: 2}, {Name: "save", Worth: 10}}}})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Stop()
	f := New(Config{Engine: e, Clock: clock, Log: slog.New(slog.DiscardHandler)})
	asks := func(class string) *message.Request {
		return &message.Request{Request: engine.Request{Class: class}}
	}
	for i := range 400 { // waits between where the cheapest class is refused and where the next is
		if f.sheds(145*time.Millisecond, asks("save")) {
			t.Fatalf("the dearest class is refused at request %d", i)
		}
	}
	if !f.sheds(145*time.Millisecond, asks("view")) {
		t.Error("the cheapest class is not refused")
	}
}

// A connection whose answer was worded before the node's connections were to end, and written after, does not go on resting: nobody
// would come to end it.
func TestNoConnectionRestsOnceAllAreToEnd(t *testing.T) {
	t.Parallel()
	f := New(Config{Clock: engine.NewClock(), Log: slog.New(slog.DiscardHandler)})
	c := &clientConn{}
	f.account.Add(f.now(), &c.account)
	f.account.Begin(f.now(), &c.account, false)
	f.closing.Store(true)
	f.closeWith(carriesNone) // passes over it: it is being answered
	if f.rest(c) {
		t.Error("it may rest")
	}
}

// tcpPair is both ends of a connection.
func tcpPair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err = net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	server, err = ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return client, server
}

// An attempt sees a client's close on its socket; what a client sends behind its request is none.
func TestLastLookSeesAClose(t *testing.T) {
	t.Parallel()
	client, server := tcpPair(t)
	l := lastLook{look: sock.NewLook(server)}
	if l.ended() {
		t.Error("a connection that stands has ended")
	}
	if _, err := client.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := server.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if l.ended() {
		t.Error("a connection on which something came has ended")
	}
	client.Close()
	if n, err := server.Read(make([]byte, 1)); err != io.EOF { // the close is there, and its front has read it
		t.Fatalf("read %d, %v", n, err)
	}
	if !l.ended() {
		t.Error("a closed connection stands")
	}
}

// A deadline that has passed is no client's close: a request whose connection made room for another while its last bytes came is
// still answered, also where something lies behind it.
func TestAPassedDeadlineIsNoClose(t *testing.T) {
	t.Parallel()
	client, conn := tcpPair(t)
	c := &clientConn{Conn: conn, look: sock.NewLook(conn)}
	c.cap.R, c.cap.N = conn, message.MaxHead
	c.in = bufio.NewReader(&c.cap)
	if _, err := io.WriteString(client, "x"); err != nil {
		t.Fatal(err)
	}
	for c.look.Pending() != sock.Bytes {
		time.Sleep(time.Millisecond)
	}
	c.SetReadDeadline(time.Unix(1, 0))
	if c.left() {
		t.Fatal("it counts as closed")
	}
	client.Close()
	for c.look.Pending() != sock.Ended {
		time.Sleep(time.Millisecond)
	}
	if !c.left() {
		t.Error("a close does not count")
	}
}

// A connection that makes room for another in the middle of a request refuses that one: it is not its client's fault, and nothing ran.
func TestCutInTheMiddleOfARequest(t *testing.T) {
	t.Parallel()
	f := New(Config{Clock: engine.NewClock(), Log: slog.New(slog.DiscardHandler)})
	client, conn := tcpPair(t)
	c := &clientConn{Conn: conn, start: time.Now(), look: sock.NewLook(conn)}
	c.cap.R, c.account.Owner = conn, c
	c.in = bufio.NewReader(&c.cap)
	f.account.Add(f.now(), &c.account)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.talk(c)
		c.Close()
	}()
	if _, err := io.WriteString(client, "GET /api HTTP/1.1\r\nHost"); err != nil {
		t.Fatal(err)
	}
	for cut := false; !cut; time.Sleep(time.Millisecond) {
		f.mu.Lock()
		if cut = c.account.State() == admission.Reading; cut {
			f.drop(c)
		}
		f.mu.Unlock()
	}
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("the client is told %v, %v; want 503 and a close", resp, err)
	}
	client.Close()
	<-done
}
