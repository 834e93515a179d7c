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
	"craneglade/internal/quota"
	"craneglade/internal/sock"
	"craneglade/policy"
)

// The protocol guarantees that a client with a bad request is answered within 3 s and an idle connection stays for 2 s.
func TestTimeoutsKeepProtocolGuarantees(t *testing.T) {
	if headTimeout+bodyTimeout > 2800*time.Millisecond || idleTimeout < 2*time.Second {
		t.Error("head and body timeouts must end before 3 s, and an idle connection must stay for 2 s")
	}
}

// A body has one second after the head's deadline. A larger one has the time that its size so far allows, but no more than
// the client timeout.
func TestBodyDeadline(t *testing.T) {
	arrived := time.Unix(1000, 0)
	head := arrived.Add(headTimeout)
	r := &message.Request{Request: engine.Request{Arrived: arrived, ClientTimeout: 4 * time.Second}}
	for _, c := range []struct {
		size int64
		want time.Duration // from the request's first byte
	}{
		{0, 2500 * time.Millisecond},
		{message.MaxBodyBytes, 2500 * time.Millisecond},
		{minBodyBytesPerSecond / 2, 3 * time.Second},
		{minBodyBytesPerSecond, 3500 * time.Millisecond},
		{100 * minBodyBytesPerSecond, 4 * time.Second},
	} {
		if got := bodyDeadline(r, head, c.size).Sub(arrived); got != c.want {
			t.Errorf("%d bytes: %v, want %v", c.size, got, c.want)
		}
	}
}

// An overloaded node refuses the class of the lowest utility before it spends any work on a request, and keeps serving others.
func TestOverloadShedsCheapestClassFirst(t *testing.T) {
	t.Parallel()
	clock := engine.NewClock()
	e, err := engine.New(engine.Config{Clock: clock, Log: slog.New(slog.DiscardHandler), Settings: policy.Settings{
		Nodes: 1, MaxAttempts: 1, Classes: []policy.Class{{Name: "view", Worth: 1}, {Name: "quote", Worth: 2}, {Name: "save", Worth: 10}}}})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Stop()
	f := New(Config{Engine: e, Clock: clock, Log: slog.New(slog.DiscardHandler)})
	request := func(class string) *message.Request {
		return &message.Request{Request: engine.Request{Class: class}}
	}
	for i := range 400 { // a delay above the limit of the cheapest class and below that of the next
		if f.shouldShed(145*time.Millisecond, request("save")) {
			t.Fatalf("the class of the highest utility is refused at request %d", i)
		}
	}
	if !f.shouldShed(145*time.Millisecond, request("view")) {
		t.Error("the class of the lowest utility is not refused")
	}
}

// A connection whose answer was prepared before the shutdown closed the idle connections, and written after it, must not
// become idle: nothing would close it any more.
func TestNoConnectionBecomesIdleDuringShutdown(t *testing.T) {
	t.Parallel()
	f := New(Config{Clock: engine.NewClock(), Log: slog.New(slog.DiscardHandler)})
	c := &clientConn{}
	f.account.Add(f.now(), &c.account)
	f.account.Begin(f.now(), &c.account, false)
	f.closing.Store(true)
	f.closeMatching(hasNoRequest) // skips this connection: it is being answered
	if f.markIdle(c) {
		t.Error("the connection may become idle")
	}
}

// tcpPair returns both ends of a TCP connection.
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

// newStore returns a store without limits.
func newStore(t *testing.T) *message.Store {
	t.Helper()
	store, err := message.NewStore(0, nil, engine.NewClock())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Stop)
	return store
}

// An attempt notices the client's close on its socket. Data that the client sends after its request is not a close.
func TestCloseProbeSeesAClose(t *testing.T) {
	t.Parallel()
	client, server := tcpPair(t)
	l := closeProbe{probe: sock.NewPeeker(server)}
	if l.mayBeClosed() {
		t.Error("an open connection counts as closed")
	}
	if _, err := client.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := server.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if l.mayBeClosed() {
		t.Error("an open connection counts as closed after data arrived")
	}
	client.Close()
	if n, err := server.Read(make([]byte, 1)); err != io.EOF { // the close has arrived and the front has read it
		t.Fatalf("read %d, %v", n, err)
	}
	if !l.mayBeClosed() || !l.closed() {
		t.Error("a closed connection counts as open")
	}
}

// An expired read deadline is not a close by the client: a request whose connection was evicted while its last bytes arrived
// is still answered, even if more data follows it.
func TestExpiredDeadlineIsNotAClose(t *testing.T) {
	t.Parallel()
	client, conn := tcpPair(t)
	c := New(Config{Bodies: newStore(t), Log: slog.New(slog.DiscardHandler)}).newClientConn(conn)
	if _, err := io.WriteString(client, "x"); err != nil {
		t.Fatal(err)
	}
	for c.probe.Pending() != sock.Readable {
		time.Sleep(time.Millisecond)
	}
	c.SetReadDeadline(time.Unix(1, 0))
	if c.peerAfterRequest() != sock.PeerPresent {
		t.Fatal("an expired deadline counts as a close")
	}
	client.Close()
	for c.probe.Peer() != sock.PeerClosed { // the data before it is still unread
		time.Sleep(time.Millisecond)
	}
	if c.peerAfterRequest() != sock.PeerClosed {
		t.Error("the close is not noticed")
	}
}

// A connection that is evicted in the middle of a request answers it with 503: the client is not at fault, and nothing ran.
func TestEvictionMidRequestAnswers503(t *testing.T) {
	t.Parallel()
	bodies := newStore(t)
	f := New(Config{Clock: engine.NewClock(), Bodies: bodies, Parsing: quota.NewConcurrency(1), Log: slog.New(slog.DiscardHandler)})
	client, conn := tcpPair(t)
	c := f.newClientConn(conn)
	f.account.Add(f.now(), &c.account)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.serveConn(c)
		c.Close()
	}()
	if _, err := io.WriteString(client, "GET /api HTTP/1.1\r\nHost"); err != nil {
		t.Fatal(err)
	}
	for cut := false; !cut; time.Sleep(time.Millisecond) {
		f.mu.Lock()
		if cut = c.account.State() == admission.Reading; cut {
			f.evict(c)
		}
		f.mu.Unlock()
	}
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("got %v, %v; want 503 and a close", resp, err)
	}
	client.Close()
	<-done
}
