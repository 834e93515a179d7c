package stand

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"craneglade/internal/jsonrpc"
	"craneglade/internal/kit/trace"
)

// JSON-RPC at the stand-ins. A backend tells a connection's protocol by its first byte and handles a call as the
// equivalent HTTP request; a client sends a try as a call on a connection that carries only JSON-RPC. The trace and the
// judge need no case for it: a call is a request, the error "refused" is a 503, any other error of the node a 500.

const (
	rpcMember      = "craneglade" // member of a message for data between node and backend
	rpcCodeRefused = -32001       // error code of the node: refused, nothing has run
)

// rpcParams is the params object of a call. Body has the same bytes as the body of the HTTP request.
type rpcParams struct {
	Body     json.RawMessage `json:"body,omitempty"`
	Request  string          `json:"request"`
	Class    string          `json:"class"`
	Key      string          `json:"key"`
	Work     int64           `json:"w"`
	Tenant   string          `json:"tenant"`
	Deadline float64         `json:"deadline_ms"`
	Idem     string          `json:"idem,omitempty"`
}

// serveRPC reads the calls of one connection. Each call has its own backendConn in b.conns for as long as it is open.
func (b *Backend) serveRPC(c *backendConn, in *bufio.Reader) {
	r := jsonrpc.NewReader(in)
	defer func() {
		b.mu.Lock()
		var open []*backendConn
		for o := range b.conns {
			if o.shared == c {
				open = append(open, o)
				delete(b.conns, o)
			}
		}
		b.mu.Unlock()
		for _, o := range open {
			b.handleDisconnect(o)
		}
	}()
	for {
		if err := r.Wait(); err != nil {
			return
		}
		first := b.clock.us()
		frame, err := r.Next()
		if !b.waitReachable(c) {
			return // bytes that arrived during the cut are lost
		}
		if err != nil {
			b.out.Add(&trace.Record{Kind: trace.Partial, T: b.clock.us(), T0: first, Backend: b.cfg.ID, Node: c.node.Name})
			return
		}
		m, err := jsonrpc.Parse(frame, rpcMember)
		var p rpcParams
		var extension struct {
			DeadlineUS int64 `json:"deadline_us"`
		}
		if err == nil {
			err = json.Unmarshal(m.Params, &p)
		}
		if err == nil && m.Extra != nil {
			err = json.Unmarshal(m.Extra, &extension)
		}
		if err != nil {
			return
		}
		v := &backendConn{Conn: c.Conn, link: c.link, node: c.node, isNew: c.isNew, overLimit: c.overLimit, shared: c, rpcID: string(m.ID)}
		c.isNew = false
		b.mu.Lock()
		b.conns[v] = struct{}{}
		b.mu.Unlock()
		method := http.MethodPost
		if p.Body == nil {
			method = http.MethodGet
		}
		text := fmt.Sprintf("%s /api?key=%s&w=%d HTTP/1.1\r\nHost: box\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline: %du\r\nContent-Length: %d\r\n\r\n%s",
			method, p.Key, p.Work, p.Request, p.Class, extension.DeadlineUS, len(p.Body), p.Body)
		if !b.handleRequest(v, bufio.NewReader(strings.NewReader(text)), first) {
			return
		}
	}
}

// rpcText converts an HTTP response into a JSON-RPC response. Text that is not a valid HTTP response is left as it is.
func rpcText(id, text string) string {
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
	if err != nil {
		return text
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return text
	}
	extension := ""
	if load := resp.Header.Get("X-Load"); load != "" {
		extension = `"load":` + load
	}
	if resp.Header.Get("X-Not-Run") == "1" {
		extension = strings.TrimPrefix(extension+`,"not_run":true`, ",")
	}
	if extension != "" {
		extension = `,"` + rpcMember + `":{` + extension + "}"
	}
	if resp.StatusCode == http.StatusOK {
		return fmt.Sprintf(`{"jsonrpc":"2.0","id":%s,"result":%s%s}`+"\n", id, body, extension)
	}
	return fmt.Sprintf(`{"jsonrpc":"2.0","id":%s,"error":{"code":-32000,"message":%q}%s}`+"\n", id, strings.TrimSpace(string(body)), extension)
}

// rpcCall returns the request as a JSON-RPC call.
func (t *clientTry) rpcCall(pad string) string {
	p := rpcParams{Request: t.id, Class: t.class.Name, Key: t.key, Work: t.op.Work.Microseconds(), Tenant: t.rec.Tenant,
		Deadline: float64(t.timeout.Microseconds()) / 1000}
	if t.class.Effect != "safe" {
		p.Body = json.RawMessage(fmt.Sprintf(`{"id":%q,"of":%q,"pad":%q}`, t.id, t.firstID, pad))
	}
	if t.class.Effect == "keyed" {
		p.Idem = t.idempotencyKey
	}
	params, err := json.Marshal(p)
	if err != nil {
		panic(err) // all fields can be encoded
	}
	text := fmt.Sprintf(`{"jsonrpc":"2.0","id":%q,"method":%q,"params":%s}`, t.id, t.class.Name, params)
	if t.op.Seed%2 == 0 { // half of the calls go in a batch with a notification, which gets no response
		text = `[` + text + `,{"jsonrpc":"2.0","method":"nobody's"}]`
	}
	return text + "\n"
}

// readRPC reads JSON-RPC responses, as readHTTP does for HTTP.
func (k *clientConn) readRPC(in *bufio.Reader, counted *byteCounter) {
	r := jsonrpc.NewReader(in)
	for {
		err := r.Wait()
		first := k.clients.clock.us()
		counted.n = int64(in.Buffered())
		k.mu.Lock()
		idle, last, dead := k.current == nil, k.lastID, k.ended
		k.mu.Unlock()
		if err == nil && idle {
			if !dead {
				k.clients.out.Add(&trace.Record{Kind: trace.Extra, T: first, Node: k.node.Name, Conn: k.number, ID: last, Bytes: int64(in.Buffered())})
			}
			k.handleEnd(nil, 0)
			return
		}
		var frame []byte
		if err == nil {
			frame, err = r.Next()
		}
		var m jsonrpc.Message
		if err == nil {
			var members []jsontext.Value
			if members, _, err = jsonrpc.Split(frame); err == nil && len(members) != 1 {
				err = errors.New("not one answer for one call")
			}
			if err == nil {
				m, err = jsonrpc.Parse(members[0], "")
			}
		}
		if err != nil {
			k.handleEnd(err, counted.n)
			return
		}
		t := k.takeCurrent()
		if t == nil {
			return // the client has just disconnected
		}
		e := tryEnd{status: http.StatusOK, bytes: counted.n, why: "keep"}
		body := m.Result
		if m.Error != nil {
			var object struct {
				Code int
				Data struct {
					After float64 `json:"retry_after_s"`
				}
			}
			e.status = http.StatusInternalServerError
			if json.Unmarshal(m.Error, &object) == nil && object.Code == rpcCodeRefused {
				e.status, e.retryAfter = http.StatusServiceUnavailable, time.Duration(object.Data.After*float64(time.Second))
			}
		}
		if id, ok := jsonrpc.Text(m.ID); !ok || id != t.id {
			body = slices.Concat(body, m.ID) // a response to another call: change the digest, so that the judge sees it
		}
		k.clients.out.Add(&trace.Record{Kind: trace.Got, T: k.clients.clock.us(), T0: first, Node: k.node.Name, Conn: k.number, ID: t.id,
			Status: e.status, Digest: digest(body), Bytes: int64(len(body))})
		t.ended <- e
	}
}

// SetRPCAddr sets a node's address for JSON-RPC.
func (c *Clients) SetRPCAddr(i int, addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[i].rpcAddr = addr
}
