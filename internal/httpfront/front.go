// Package httpfront answers clients over HTTP/1.1, as PROTOCOL has it between clients and nodes: it reads requests, hands
// them to the engine and writes the one answer of each. Who may hold a connection is decided by package admission.
package httpfront

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"craneglade/internal/admission"
	"craneglade/internal/engine"
	"craneglade/internal/message"
	"craneglade/internal/quota"
	"craneglade/internal/sock"
	"craneglade/policy"
)

const (
	maxID = 256
	// bodyRate is what a body beyond the usual size has to come at, in bytes a second.
	bodyRate = 1 << 20
	// acceptFor is how long after SIGTERM connections are still accepted: whoever deals them out notices only after a while.
	acceptFor = 500 * time.Millisecond
	// A client is owed an error or a close within 3 s of connecting, whatever it sends or doesn't.
	headTime = 1500 * time.Millisecond // for a first request's head from the connection's start, for others from its first byte
	bodyTime = time.Second             // from there to the last byte
	readTime = 50 * time.Millisecond   // within this of a request's first byte most are there
	// silentTime is how long a new connection may say nothing before it makes room first: a request comes on its heels.
	silentTime = 200 * time.Millisecond
	// idleTime is how long a connection is kept that carries no request. Some clients keep theirs for good.
	idleTime   = 5 * time.Second
	lingerTime = 100 * time.Millisecond // for a client to read its last answer before its connection is reset
	lingerSize = 256 << 10              // and how much of what it goes on sending is read meanwhile
	// Of what comes behind a request that is being answered, a connection's buffer is kept; the rest is read and dropped, as a
	// client's close can lie behind it: so much as fast as it comes, and then at a pace that leaves a core to others.
	floodSize = 1 << 20
	floodRest = time.Millisecond
)

// Config is what a front is made from.
type Config struct {
	Engine *engine.Engine
	Bodies *message.Store
	Clock  engine.Clock
	Quota  *quota.Quota                 // descriptors for connections of clients,
	Extra  int                          // and so many beyond them, for telling clients that there is no room
	Asking int                          // connections that carry requests at a time
	Shares map[string]float64           // requests a second that each tenant has a share in this node of
	Waited func(net.Conn) time.Duration // how long a connection's latest bytes lay in the kernel; nil for sock.Waited
	Log    *slog.Logger
}

// Front is the connections of this node's clients. Where no descriptor is left for one, another that carries no request
// makes room; where there is none the new one's request is refused, and while all that are kept for that are in use new
// ones wait in the backlog.
type Front struct {
	engine  *engine.Engine
	bodies  *message.Store
	clock   engine.Clock
	waited  func(net.Conn) time.Duration
	log     *slog.Logger
	leaving atomic.Bool     // the node is to end
	closing atomic.Bool     // and connections are to
	ctx     context.Context // ends when the front has
	stop    context.CancelFunc

	quota *quota.Quota
	extra chan struct{}
	wg    sync.WaitGroup // connections

	mu       sync.Mutex
	account  *admission.Clients // decides who may stay
	pressure admission.Pressure
	tenants  *admission.Tenants
	conns    map[*clientConn]struct{}
}

// clientConn is one of them.
type clientConn struct {
	net.Conn
	start time.Time
	cap   io.LimitedReader // between the socket and in: nobody sends without end
	in    *bufio.Reader
	over  bool // there were too many already when it came
	extra bool // it is one of those beyond the room

	look    *sock.Look
	used    bool   // a request on it has been answered
	flooded []byte // where what came behind a request and can't be kept was read to; nil where nothing was dropped

	// Guarded by clients.mu.
	account admission.Conn
	closing bool // it made room for another, or the node leaves
	granted bool // it has a descriptor of the room
}

// New returns a front that answers nobody yet.
func New(cfg Config) *Front {
	s := &Front{engine: cfg.Engine, bodies: cfg.Bodies, clock: cfg.Clock, log: cfg.Log,
		quota: cfg.Quota, extra: make(chan struct{}, max(1, cfg.Extra)), conns: map[*clientConn]struct{}{},
		tenants: admission.NewTenants(cfg.Shares),
		account: admission.NewClients(admission.Limits{Asking: cfg.Asking, Silent: silentTime, Slow: readTime})}
	if s.waited = cfg.Waited; s.waited == nil {
		s.waited = sock.Waited
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// Serve answers clients on ln until ctx ends and then until all that was taken is answered.
func (s *Front) Serve(ctx context.Context, ln net.Listener) error {
	defer s.stop()
	failed := make(chan error, 1)
	go func() { failed <- s.accept(ln) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	// Connections go on coming for a while, and clients go on using those that they have. What a node answers until it
	// is killed is not missing elsewhere: it serves them for as long as their answers can still be in time.
	begun := time.Now()
	shutdown := s.engine.Shutdown()
	s.leaving.Store(true)
	s.log.Info("leaving: serving the connections that there are, then finishing what was taken", "serves", shutdown.Serves)
	time.Sleep(acceptFor)
	err := ln.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		// The loop may wait for one of the connections beyond the room to end before it sees that: the steps below don't.
		if e := <-failed; !errors.Is(e, net.ErrClosed) {
			err = errors.Join(err, e)
		}
		s.wg.Wait()
	}()
	for _, step := range []struct {
		after time.Duration
		do    func()
	}{
		{max(acceptFor, shutdown.Serves), func() {
			s.closing.Store(true) // each answer now tells its client to close
			s.closeAll(false)     // and the clients of connections that carry no request turn to other nodes
		}},
		{shutdown.Last, func() { s.closeAll(true) }}, // the last deadline has passed
	} {
		select {
		case <-done:
			return err
		case <-time.After(time.Until(begun.Add(step.after))):
			step.do()
		}
	}
	<-done
	return err
}

// Leaving tells whether the front was told to end.
func (s *Front) Leaving() bool { return s.leaving.Load() }

// accept takes in connections until ln is closed.
func (s *Front) accept(ln net.Listener) error {
	for {
		s.extra <- struct{}{}
		conn, err := ln.Accept()
		if err != nil {
			<-s.extra
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED) {
				time.Sleep(5 * time.Millisecond)
				continue
			}
			return err
		}
		c := &clientConn{Conn: conn, start: time.Now(), look: sock.NewLook(conn)}
		c.cap.R, c.account.Owner, c.account.From = conn, c, host(conn.RemoteAddr())
		c.in = bufio.NewReader(&c.cap)
		c.granted = s.quota.Claim(s.Yield)
		s.mu.Lock()
		if c.extra = !c.granted; c.extra {
			c.over = !s.account.Behind(c.account.From) // one of a client that holds little is served all the same
		} else {
			<-s.extra
		}
		s.conns[c] = struct{}{}
		s.account.Add(s.now(), &c.account)
		s.mu.Unlock()
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.talk(c)
			c.Close()
			s.mu.Lock()
			s.forget(c)
			s.release(c)
			s.mu.Unlock()
			if c.extra {
				<-s.extra
			}
		}()
	}
}

// now is the time for the account.
func (s *Front) now() time.Duration { return s.clock.Since() }

// host is an address without its port.
func host(a net.Addr) string {
	if t, ok := a.(*net.TCPAddr); ok {
		return t.IP.String()
	}
	return a.String()
}

// Yield closes a connection that carries no request, for another client's sake, and tells whether there was one.
func (s *Front) Yield() bool { return s.yield(true) }

// Lend is Yield for a box's sake: the last few new connections stay.
func (s *Front) Lend() bool { return s.yield(false) }

func (s *Front) yield(client bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	spare := s.account.Spare(s.now(), client, func(c *admission.Conn) bool { return sock.Pending(c.Owner.(*clientConn).Conn) != sock.Nothing })
	if spare != nil {
		s.drop(spare.Owner.(*clientConn))
	}
	return spare != nil
}

// release gives a connection's descriptor back. s.mu is held.
func (s *Front) release(c *clientConn) {
	if c.granted {
		c.granted = false
		s.quota.Give()
	}
}

// sheds notes how long a request had waited to be read, and tells whether the node is so far behind that it should refuse
// it at once.
func (s *Front) sheds(late time.Duration, r *message.Request) bool {
	rank, classes := s.engine.Rank(r.Class)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.pressure.Seen(now, late)
	part := s.pressure.Shed(now, rank, classes)
	return part > 0 && rand.Float64() < part
}

// forget takes a connection off those that count. s.mu is held.
func (s *Front) forget(c *clientConn) {
	delete(s.conns, c)
	s.account.Close(&c.account)
}

// drop takes a connection off those that count and ends its reading, so that it closes. A request that has just been
// read is still answered. s.mu is held.
func (s *Front) drop(c *clientConn) {
	if !c.closing {
		c.closing = true
		s.forget(c)
		s.release(c)
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// deadline bounds the next reads from a connection, unless it is closing.
func (s *Front) deadline(c *clientConn, t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.closing {
		c.SetReadDeadline(t)
	}
}

// reading notes the first byte of a request, whose head is to come by a time.
func (s *Front) reading(c *clientConn, end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account.Read(s.now(), &c.account)
	if !c.closing {
		c.SetReadDeadline(end)
	}
}

// closeAll closes the connections that carry no request, not even one that is coming; with cut it breaks off the others too.
func (s *Front) closeAll(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if cut {
			c.Close()
		} else if st := c.account.State(); st != admission.Busy && st != admission.Reading && sock.Pending(c.Conn) != sock.Bytes {
			s.drop(c)
		}
	}
}

// ChangeShares changes the shares of tenants in this node. The lock that it takes is that of all connections: the caller
// hands in few changes at a time.
func (s *Front) ChangeShares(changes []admission.ShareChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tenants.Change(changes)
}

// begin notes that a request is to be answered, and tells whether its connection still counts.
func (s *Front) begin(c *clientConn, r *message.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.ID != "" {
		c.account.Past = s.tenants.Past(s.now(), r.Tenant)
	}
	s.account.Begin(s.now(), &c.account, r.ID == "")
	return !c.closing
}

// leaves tells whether a connection's next answer is to be its last. Where clients' room for requests runs short, an
// idle one is closed for it, or this one leaves.
func (s *Front) leaves(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	leave, drop := s.account.Answer(&c.account)
	if drop != nil {
		s.drop(drop.Owner.(*clientConn))
	}
	return leave
}

// dropped tells whether a connection has made room for another, or for the node's end.
func (s *Front) dropped(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.closing
}

// rejected notes that a connection brought no request.
func (s *Front) rejected(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.closing { // one that made room said nothing for want of time
		s.account.Rejected(s.now(), &c.account)
	}
}

// rest notes that a connection waits for its next request, and tells whether it may.
func (s *Front) rest(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.used = true
	s.account.Idle(s.now(), &c.account)
	return !c.closing && !s.closing.Load() // its answer may have been worded just before the node's connections were to end
}

// answer is what a client is told.
type answer struct {
	status     int
	header     http.Header // of a served request: what the box sent
	body       []byte
	flow       *message.Flow // in place of body, for one that is still coming
	retryAfter time.Duration
	reply      *message.Reply // whose room it holds; nil for none
}

// talk answers one request after the other.
func (s *Front) talk(c *clientConn) {
	for {
		r, no := s.read(c)
		if no != nil {
			if s.dropped(c) { // its client was cut off in the middle of a request, by no fault of its own
				no = &message.Rejection{Status: http.StatusServiceUnavailable, Text: "this connection ends"}
			}
			if no.Status != http.StatusServiceUnavailable { // want of room here is not its client's doing
				s.rejected(c)
			}
			c.reject(no)
			return
		}
		if r == nil {
			if !c.used {
				s.rejected(c)
			}
			return
		}
		if !s.begin(c, r) && !s.leaving.Load() {
			c.over = true
		}
		a, ok := s.answer(c, r)
		last := r.In.Close || c.over || c.extra || s.closing.Load() || !r.Body.IsDrained() || c.flooded != nil || ok && s.leaves(c)
		if !ok {
			return
		}
		err := c.write(r.In, a, last)
		a.reply.Release()
		if err == nil && last {
			c.linger()
		}
		if err != nil || last || !s.rest(c) {
			return
		}
	}
}

// read reads the next request. Both results are nil where there is none, or nobody to tell what is wrong with it.
func (s *Front) read(c *clientConn) (*message.Request, *message.Rejection) {
	c.cap.N = message.MaxHead
	end := c.start.Add(headTime)
	if c.used {
		s.deadline(c, time.Now().Add(idleTime))
	} else {
		s.deadline(c, end)
	}
	behind := c.in.Buffered() > 0 // it came while the one before was answered
	if _, err := c.in.Peek(1); err != nil {
		return nil, nil
	}
	r := &message.Request{Request: engine.Request{Arrived: time.Now()}}
	r.Payload = r
	if c.used {
		end = r.Arrived.Add(headTime)
	}
	// Its client's time has run since it came to this machine, not since it was read here.
	late := time.Duration(0)
	if !behind {
		late = s.waited(c.Conn)
	}
	r.Arrived = r.Arrived.Add(-late)
	s.reading(c, end)
	in, err := http.ReadRequest(c.in)
	switch {
	case err != nil && !time.Now().Before(end): // the parser may hide the time-out
		return nil, &message.Rejection{Status: http.StatusRequestTimeout, Text: "the head did not come in time"}
	case err != nil && c.cap.N <= 0:
		return nil, &message.Rejection{Status: http.StatusRequestHeaderFieldsTooLarge, Text: "the head is too large"}
	case err != nil:
		return nil, &message.Rejection{Status: http.StatusBadRequest, Text: err.Error()}
	}
	r.In = in
	if no := s.check(r); no != nil {
		return nil, no
	}
	if r.ID == "" { // a question for the node's readiness
		return r, nil
	}
	r.Shed = s.sheds(late, r)
	if !s.bodies.Admit(r) {
		return nil, &message.Rejection{Status: http.StatusServiceUnavailable, Text: "no memory is left for a request", RetryAfter: 250 * time.Millisecond}
	}
	if in.ContentLength > 0 {
		if in.Header.Get("Expect") != "" {
			c.SetWriteDeadline(end.Add(bodyTime))
			io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") // an error shows when the body is read
		}
		by := end.Add(bodyTime)
		if in.ContentLength > message.MaxBody { // takes longer, but not longer than anybody waits for the answer
			by = by.Add(time.Duration(in.ContentLength) * time.Second / bodyRate)
			if up := r.Arrived.Add(r.Patience); up.Before(by) {
				by = up
			}
		}
		s.deadline(c, by)
		c.cap.N = in.ContentLength
		var no *message.Rejection
		if r.Body, no = s.bodies.Read(s.ctx, r.Class, in); no != nil {
			r.Release()
			return nil, no
		}
	}
	return r, nil
}

// check tells what is wrong with a request, by its head alone.
func (s *Front) check(r *message.Request) *message.Rejection {
	in := r.In
	no := func(status int, format string, args ...any) *message.Rejection {
		return &message.Rejection{Status: status, Text: fmt.Sprintf(format, args...)}
	}
	bad := http.StatusBadRequest
	switch expect := in.Header.Get("Expect"); {
	case !in.ProtoAtLeast(1, 1):
		return no(http.StatusHTTPVersionNotSupported, "only HTTP/1.1 is spoken here")
	case len(in.TransferEncoding) > 0:
		// net/http drops a Content-Length beside it: a request hidden by the one or the other would go unseen.
		return no(http.StatusLengthRequired, "Transfer-Encoding: tell the length")
	case in.Host == "":
		return no(bad, "Host: missing")
	case expect != "" && !strings.EqualFold(expect, "100-continue"):
		return no(http.StatusExpectationFailed, "Expect: %q is not known", expect)
	case in.Method != http.MethodGet && in.Method != http.MethodPost:
		return no(http.StatusMethodNotAllowed, "a request is a GET or a POST")
	case in.Method == http.MethodGet && in.ContentLength != 0:
		return no(bad, "Content-Length: a GET has no body")
	case in.Method == http.MethodPost && in.Header.Get("Content-Length") == "":
		return no(http.StatusLengthRequired, "Content-Length: missing")
	}
	for name := range in.Header {
		if strings.Contains(name, " ") { // net/http lets it pass, so that "Transfer-Encoding :" is not one
			return no(bad, "%q is no name of a header", name)
		}
	}
	if in.URL.Path == "/ready" {
		if in.ContentLength > 0 {
			return no(bad, "Content-Length: a question for readiness has no body")
		}
		return nil
	}
	for _, name := range message.Headers {
		if len(in.Header[name]) > 1 {
			return no(bad, "%s: more than one", name)
		}
	}
	r.ID, r.Class, r.Tenant = in.Header.Get("X-Request-Id"), in.Header.Get("X-Class"), in.Header.Get("X-Tenant")
	r.Repeat = in.Header.Get("X-Retry") == "1"
	if r.ID == "" || len(r.ID) > maxID {
		return no(bad, "X-Request-Id: missing or too long")
	}
	var err error
	if r.Patience, err = parseDeadline(in.Header.Get("X-Deadline")); err != nil {
		return no(bad, "X-Deadline: %v", err)
	}
	effect, known := s.engine.Effect(r.Class)
	if !known {
		return no(bad, "X-Class: no such class")
	}
	key := in.Header.Get("Idempotency-Key") != ""
	if (in.Method == http.MethodGet) != (effect == policy.Safe) || effect == policy.Keyed && !key || effect == policy.Unsafe && key {
		return no(bad, "method or Idempotency-Key: not those of the class")
	}
	return nil
}

// answer gives a request exactly one answer, unless its client leaves before.
func (s *Front) answer(c *clientConn, r *message.Request) (answer, bool) {
	if r.ID == "" {
		return answer{status: s.readiness()}, true
	}
	if c.over || r.Shed { // nothing was sent: refusing is harmless, whatever the class
		r.Release()
		return answer{status: http.StatusServiceUnavailable, body: []byte("too much at once\n"), retryAfter: 250 * time.Millisecond}, true
	}
	if r.Body.IsDrained() {
		c.cap.N = message.MaxHead
		if c.left() {
			r.Release()
			return answer{}, false
		}
	}
	if !s.engine.Begin(&r.Request) {
		r.Release()
		c.reject(&message.Rejection{Status: http.StatusConflict, Text: "X-Request-Id: a request with this id is open"})
		return answer{}, false
	}
	select {
	case a := <-r.Done():
		return told(a), true
	default:
	}
	if !r.Body.IsDrained() { // an attempt reads the client's connection
		select {
		case a := <-r.Done():
			return told(a), true
		case <-r.Body.Drained:
		}
	}
	c.SetReadDeadline(time.Time{}) // no bound on waiting, also where the connection is to close behind this answer
	c.cap.N = message.MaxHead
	left := make(chan bool, 1)
	go func() { left <- c.watch() }()
	select {
	case a := <-r.Done():
		c.SetReadDeadline(time.Unix(1, 0)) // ends the look for a client that leaves
		<-left
		return told(a), true
	case gone := <-left:
		if !gone { // by nobody but the node's end
			return told(<-r.Done()), true
		}
		s.engine.Cancel(&r.Request)
		select {
		case a := <-r.Done():
			t := told(a)
			if t.flow != nil { // it began to come at this moment
				t.flow.End(context.Canceled)
			}
			t.reply.Release()
		default:
		}
		return answer{}, false
	}
}

// more reads some of what comes behind a request.
func (c *clientConn) more() error {
	if n := c.in.Buffered(); n < c.in.Size() {
		_, err := c.in.Peek(n + 1)
		return err
	}
	if c.flooded == nil {
		c.flooded = make([]byte, 16<<10)
	}
	_, err := c.Conn.Read(c.flooded)
	return err
}

// left tells, without waiting, whether the client has closed its connection behind the request that was read.
func (c *clientConn) left() bool {
	for read := 0; read < floodSize; read += len(c.flooded) {
		switch c.look.Pending() {
		case sock.Nothing:
			return false
		case sock.Ended:
			return true
		}
		c.SetReadDeadline(time.Time{}) // what bounded the request's reading, or made room for another, is no close
		if c.more() != nil {
			return true
		}
	}
	return false
}

// watch reads on while a request is being answered, and tells whether the client has closed its connection; not where a
// deadline in the past ends it.
func (c *clientConn) watch() (gone bool) {
	for read := 0; ; read += len(c.flooded) {
		if err := c.more(); err != nil {
			return !errors.Is(err, os.ErrDeadlineExceeded)
		}
		if read >= floodSize {
			time.Sleep(floodRest)
		}
	}
}

// told is an answer of the engine as clients are told it.
func told(a engine.Answer) answer {
	switch p := a.Payload.(type) {
	case *message.Reply:
		return answer{status: http.StatusOK, header: p.Header, body: p.Body, flow: p.Flow, reply: p}
	case *message.Rejection:
		return answer{status: p.Status, body: []byte(p.Text + "\n")}
	}
	if a.Kind == engine.Refused {
		return answer{status: http.StatusServiceUnavailable, retryAfter: a.RetryAfter}
	}
	return answer{status: http.StatusInternalServerError}
}

func (s *Front) readiness() int {
	if !s.engine.Ready() || s.leaving.Load() {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

// reject answers what is no request.
func (c *clientConn) reject(no *message.Rejection) {
	if c.write(nil, answer{status: no.Status, body: []byte(no.Text + "\n"), retryAfter: no.RetryAfter}, true) == nil {
		c.linger()
	}
}

// linger waits a little for the client to close after its last answer. Closing resets a connection on which something is
// unread, or comes later, and with it what the client has not read.
func (c *clientConn) linger() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerTime))
	io.CopyN(io.Discard, c.Conn, lingerSize)
}

// write sends an answer; an error means that the client has left or does not read.
func (c *clientConn) write(in *http.Request, a answer, last bool) error {
	h := http.Header{"Date": {time.Now().UTC().Format(http.TimeFormat)}}
	if t := a.header.Get("Content-Type"); t != "" {
		h.Set("Content-Type", t)
	}
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
	}
	resp := http.Response{StatusCode: a.status, ProtoMajor: 1, ProtoMinor: 1, Header: h, Request: in, Close: last,
		ContentLength: int64(len(a.body)), Body: io.NopCloser(bytes.NewReader(a.body))}
	if f := a.flow; f != nil {
		resp.ContentLength, resp.Body = f.Size, io.NopCloser(f)
		out := bufio.NewWriterSize(message.Paced{Conn: c.Conn}, 32<<10)
		err := resp.Write(out)
		if err == nil {
			err = out.Flush()
		}
		f.End(err)
		return err
	}
	var b bytes.Buffer
	b.Grow(512 + len(a.body))
	if err := resp.Write(&b); err != nil {
		return err
	}
	c.SetWriteDeadline(time.Now().Add(message.WriteTime))
	_, err := c.Write(b.Bytes())
	return err
}

// parseDeadline reads a number and its unit: m for milliseconds or u for microseconds.
func parseDeadline(s string) (time.Duration, error) {
	unit := time.Millisecond
	digits, ok := strings.CutSuffix(s, "m")
	if !ok {
		unit = time.Microsecond
		if digits, ok = strings.CutSuffix(s, "u"); !ok {
			return 0, fmt.Errorf("%q has no unit m or u", s)
		}
	}
	f, err := strconv.ParseFloat(digits, 64)
	if err != nil || !(f > 0 && f <= 1e12) {
		return 0, fmt.Errorf("%q is no time", s)
	}
	return time.Duration(f * float64(unit)), nil
}
