package node

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"craneglade/internal/admission"
	"craneglade/policy"
)

const (
	maxHead = 16 << 10
	maxID   = 256
	// A client is owed an error or a close within 3 s of connecting, whatever it sends or doesn't.
	headTime = 1500 * time.Millisecond // for a first request's head from the connection's start, for others from its first byte
	bodyTime = time.Second             // from there to the last byte
	readTime = 50 * time.Millisecond   // within this of a request's first byte most are there
	// silentTime is how long a new connection may say nothing before it makes room first: a request comes on its heels.
	silentTime = 200 * time.Millisecond
	// idleTime is how long a connection is kept that carries no request. Some clients keep theirs for good.
	idleTime   = 5 * time.Second
	writeTime  = 2 * time.Second        // for an answer: a client may stop reading
	lingerTime = 100 * time.Millisecond // for a rejected client to read why before its connection is reset
	lingerSize = 256 << 10              // and how much of what it goes on sending is read meanwhile
)

// clients are the connections of this node's clients. Past the limit one that carries no request makes room;
// where there is none the new one's request is refused, and far past it new ones wait in the backlog.
type clients struct {
	node  *node
	slots chan struct{}
	wg    sync.WaitGroup // connections

	mu       sync.Mutex
	account  *admission.Clients // decides who may stay
	pressure admission.Pressure
	conns    map[*clientConn]struct{}
}

// clientConn is one of them.
type clientConn struct {
	net.Conn
	start time.Time
	cap   io.LimitedReader // between the socket and in: nobody sends without end
	in    *bufio.Reader
	over  bool // there were too many already when it came

	used bool // a request on it has been answered

	// Guarded by clients.mu.
	account admission.Conn
	closing bool // it made room for another, or the node leaves
}

// serve answers clients on ln until ctx ends and then until all that was taken is answered.
func (n *node) serve(ctx context.Context, ln net.Listener) error {
	limit := (n.cfg.Sockets - ownSockets) / 2
	if n.cfg.Sockets == 0 {
		limit = 1 << 20
	}
	s := &clients{node: n, slots: make(chan struct{}, limit+limit/8), conns: map[*clientConn]struct{}{},
		account: admission.NewClients(admission.Limits{Open: limit, Asking: n.cfg.Sockets / 3, Silent: silentTime, Slow: readTime})}
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
	serves, killed, last := n.departure()
	n.killed.Store(begun.Add(killed).UnixNano())
	n.leaving.Store(true)
	n.log.Info("leaving: serving the connections that there are, then finishing what was taken", "serves", serves)
	time.Sleep(acceptFor)
	err := ln.Close()
	if e := <-failed; !errors.Is(e, net.ErrClosed) {
		err = errors.Join(err, e)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.wg.Wait()
	}()
	for _, step := range []struct {
		after time.Duration
		do    func()
	}{
		{serves, func() {
			n.closing.Store(true) // each answer now tells its client to close
			s.closeAll(false)     // and the clients of connections that carry no request turn to other nodes
		}},
		{last, func() { s.closeAll(true) }}, // the last deadline has passed
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

// departure is for how long after SIGTERM connections are served, when the node may be killed, and when nobody waits any
// more for what it took. It may be killed once the longest deadline, of longestTold at the most, and killSlack have
// passed; what it takes last still has the longest aim until then.
func (n *node) departure() (serves, killed, last time.Duration) {
	var longest, aim time.Duration
	for _, c := range n.cfg.Settings.Policy.Classes {
		longest, aim = max(longest, c.Deadline), max(aim, c.Aim)
	}
	longest = cmp.Or(longest, longestTold)
	killed = min(longest, longestTold) + killSlack
	return max(acceptFor, killed-aim-5*transit), killed, max(killed, longest+transit)
}

// accept takes in connections until ln is closed.
func (s *clients) accept(ln net.Listener) error {
	for {
		s.slots <- struct{}{}
		conn, err := ln.Accept()
		if err != nil {
			<-s.slots
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED) {
				time.Sleep(5 * time.Millisecond)
				continue
			}
			return err
		}
		c := &clientConn{Conn: conn, start: time.Now()}
		c.cap.R, c.account.Owner = conn, c
		c.in = bufio.NewReader(&c.cap)
		s.mu.Lock()
		if s.account.Full() {
			c.over = !s.makeRoom()
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
			s.mu.Unlock()
			<-s.slots
		}()
	}
}

// now is the time for the account.
func (s *clients) now() time.Duration { return time.Since(s.node.clock.start) }

// makeRoom closes a connection that carries no request, if there is one. s.mu is held.
func (s *clients) makeRoom() bool {
	spare := s.account.Spare(s.now(), func(c *admission.Conn) bool { return pending(c.Owner.(*clientConn).Conn) != nothing })
	if spare != nil {
		s.drop(spare.Owner.(*clientConn))
	}
	return spare != nil
}

// sheds notes how long a request had waited to be read, and tells whether the node is so far behind that it should refuse
// it at once.
func (s *clients) sheds(late time.Duration, r *request) bool {
	rank, classes := s.node.rank(r.in.Header.Get("X-Class"))
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.pressure.Seen(now, late)
	part := s.pressure.Shed(now, rank, classes)
	return part > 0 && rand.Float64() < part
}

// forget takes a connection off those that count. s.mu is held.
func (s *clients) forget(c *clientConn) {
	delete(s.conns, c)
	s.account.Close(&c.account)
}

// drop takes a connection off those that count and ends its reading, so that it closes. A request that has just been
// read is still answered. s.mu is held.
func (s *clients) drop(c *clientConn) {
	if !c.closing {
		c.closing = true
		s.forget(c)
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// deadline bounds the next reads from a connection, unless it is closing.
func (s *clients) deadline(c *clientConn, t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.closing {
		c.SetReadDeadline(t)
	}
}

// reading notes the first byte of a request, whose head is to come by a time.
func (s *clients) reading(c *clientConn, end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account.Read(s.now(), &c.account)
	if !c.closing {
		c.SetReadDeadline(end)
	}
}

// closeAll closes the connections that carry no request; with cut it breaks off the others too.
func (s *clients) closeAll(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if cut {
			c.Close()
		} else if c.account.State() != admission.Busy {
			s.drop(c)
		}
	}
}

// begin notes that a request is to be answered, and tells whether its connection still counts.
func (s *clients) begin(c *clientConn, r *request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account.Begin(s.now(), &c.account, r.id == "")
	return !c.closing
}

// leaves tells whether a connection's next answer is to be its last. Where clients' room for requests runs short, an
// idle one is closed for it, or this one leaves.
func (s *clients) leaves(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	leave, drop := s.account.Answer(&c.account)
	if drop != nil {
		s.drop(drop.Owner.(*clientConn))
	}
	return leave
}

// rest notes that a connection waits for its next request, and tells whether it may.
func (s *clients) rest(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.used = true
	s.account.Idle(s.now(), &c.account)
	return !c.closing
}

// rejection is the answer to a request that is not handed to the policy. Its connection is closed: what follows on
// it can't be told from the rest of that request.
type rejection struct {
	status     int
	text       string
	retryAfter time.Duration
}

// talk answers one request after the other.
func (s *clients) talk(c *clientConn) {
	for {
		r, no := s.read(c)
		if no != nil {
			c.reject(no)
			return
		}
		if r == nil {
			return
		}
		if !s.begin(c, r) && !s.node.leaving.Load() {
			c.over = true
		}
		a, ok := s.answer(c, r)
		last := r.in.Close || c.over || s.node.closing.Load() || !r.body.isDrained() || ok && s.leaves(c)
		if !ok || c.write(r.in, a, last) != nil || last || !s.rest(c) {
			return
		}
	}
}

// read reads the next request. Both results are nil where there is none, or nobody to tell what is wrong with it.
func (s *clients) read(c *clientConn) (*request, *rejection) {
	c.cap.N = maxHead
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
	r := &request{arrived: time.Now()}
	if c.used {
		end = r.arrived.Add(headTime)
	}
	// Its client's time has run since it came to this machine, not since it was read here.
	late := time.Duration(0)
	if !behind {
		late = waited(c.Conn)
	}
	r.arrived = r.arrived.Add(-late)
	s.reading(c, end)
	in, err := http.ReadRequest(c.in)
	switch {
	case err != nil && !time.Now().Before(end): // the parser may hide the time-out
		return nil, &rejection{status: http.StatusRequestTimeout, text: "the head did not come in time"}
	case err != nil && c.cap.N <= 0:
		return nil, &rejection{status: http.StatusRequestHeaderFieldsTooLarge, text: "the head is too large"}
	case err != nil:
		return nil, &rejection{status: http.StatusBadRequest, text: err.Error()}
	}
	r.in = in
	if no := s.node.check(r); no != nil {
		return nil, no
	}
	r.shed = r.id != "" && s.sheds(late, r)
	if in.ContentLength > 0 {
		if in.Header.Get("Expect") != "" {
			c.SetWriteDeadline(end.Add(bodyTime))
			io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") // an error shows when the body is read
		}
		by := end.Add(bodyTime)
		if in.ContentLength > maxBody { // takes longer, but not longer than anybody waits for the answer
			by = by.Add(time.Duration(in.ContentLength) * time.Second / bodyRate)
			if up := r.arrived.Add(r.patience); up.Before(by) {
				by = up
			}
		}
		s.deadline(c, by)
		c.cap.N = in.ContentLength
		var no *rejection
		if r.body, no = s.node.bodies.read(s.node.ctx, in.Header.Get("X-Class"), in); no != nil {
			return nil, no
		}
	}
	return r, nil
}

// once are the headers that a request may carry; PROTOCOL knows no others.
var once = []string{"X-Request-Id", "X-Class", "X-Tenant", "X-Deadline", "X-Retry", "X-Cost-Hint", "X-Extras", "Idempotency-Key"}

// check tells what is wrong with a request, by its head alone.
func (n *node) check(r *request) *rejection {
	in := r.in
	no := func(status int, format string, args ...any) *rejection {
		return &rejection{status: status, text: fmt.Sprintf(format, args...)}
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
		return nil
	}
	for _, name := range once {
		if len(in.Header[name]) > 1 {
			return no(bad, "%s: more than one", name)
		}
	}
	r.id = in.Header.Get("X-Request-Id")
	if r.id == "" || len(r.id) > maxID {
		return no(bad, "X-Request-Id: missing or too long")
	}
	var err error
	if r.patience, err = parseDeadline(in.Header.Get("X-Deadline")); err != nil {
		return no(bad, "X-Deadline: %v", err)
	}
	effect, known := n.effects[in.Header.Get("X-Class")]
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
func (s *clients) answer(c *clientConn, r *request) (answer, bool) {
	n := s.node
	if r.id == "" {
		return answer{status: n.readiness()}, true
	}
	if c.over || r.shed { // nothing was sent: refusing is harmless, whatever the class
		r.body.free()
		return answer{status: http.StatusServiceUnavailable, body: []byte("too much at once\n"), retryAfter: 250 * time.Millisecond}, true
	}
	if !n.begin(r) {
		r.body.free()
		c.reject(&rejection{status: http.StatusConflict, text: "X-Request-Id: a request with this id is open"})
		return answer{}, false
	}
	select {
	case a := <-r.done:
		return a, true
	default:
	}
	if !r.body.isDrained() { // an attempt reads the client's connection
		select {
		case a := <-r.done:
			return a, true
		case <-r.body.drained:
		}
	}
	c.SetReadDeadline(time.Time{}) // no bound on waiting, also where the connection is to close behind this answer
	c.cap.N = maxHead
	left := make(chan bool, 1)
	go func() {
		_, err := c.in.Peek(1)
		left <- err != nil
	}()
	select {
	case a := <-r.done:
		c.SetReadDeadline(time.Unix(1, 0)) // ends the look for a client that leaves
		<-left
		return a, true
	case gone := <-left:
		if gone {
			n.gone(r)
			select {
			case a := <-r.done:
				if a.flow != nil { // it began to come at this moment
					a.flow.end(errCanceled)
				}
			default:
			}
			return answer{}, false
		}
		return <-r.done, true // the next request is here already, and waits
	}
}

func (n *node) readiness() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.ready || n.leaving.Load() {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

// reject answers what is no request.
func (c *clientConn) reject(no *rejection) {
	if c.write(nil, answer{status: no.status, body: []byte(no.text + "\n"), retryAfter: no.retryAfter}, true) != nil {
		return
	}
	// Closing resets a connection on which something is unread, and with it what the client has not read.
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
		resp.ContentLength, resp.Body = f.size, io.NopCloser(f)
		out := bufio.NewWriterSize(paced{c.Conn}, chunkSize)
		err := resp.Write(out)
		if err == nil {
			err = out.Flush()
		}
		f.end(err)
		return err
	}
	var b bytes.Buffer
	b.Grow(512 + len(a.body))
	if err := resp.Write(&b); err != nil {
		return err
	}
	c.SetWriteDeadline(time.Now().Add(writeTime))
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
