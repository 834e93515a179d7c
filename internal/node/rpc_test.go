package node

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"reflect"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/channel"
	"github.com/creachadair/jrpc2/handler"

	"craneglade/internal/engine"
	"craneglade/internal/jsonrpc"
	"craneglade/internal/settings"
	"craneglade/policy"
)

// rpcBackend is a JSON-RPC backend whose responses a test decides. It records each call.
type rpcBackend struct {
	http    *stubBackend
	ln      net.Listener
	respond func(c net.Conn, m jsonrpc.Message) bool // false: close the connection

	mu       sync.Mutex
	received []jsonrpc.Message
	conns    []net.Conn
}

func newRPCBackend(t *testing.T, respond func(c net.Conn, m jsonrpc.Message) bool) *rpcBackend {
	t.Helper()
	b := &rpcBackend{http: newStubBackend(t, respondOK), respond: respond}
	b.ln = acceptConns(t, &b.mu, &b.conns, b.serve)
	return b
}

func (b *rpcBackend) serve(c net.Conn) {
	defer c.Close()
	r := jsonrpc.NewReader(bufio.NewReader(c))
	for {
		frame, err := r.Next()
		if err != nil {
			return
		}
		m, err := jsonrpc.Parse(frame, "craneglade")
		if err != nil {
			return
		}
		b.mu.Lock()
		b.received = append(b.received, m)
		b.mu.Unlock()
		if !b.respond(c, m) {
			return
		}
	}
}

func (b *rpcBackend) calls(method string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, m := range b.received {
		if m.Method == method {
			n++
		}
	}
	return n
}

func (b *rpcBackend) connections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns)
}

func (b *rpcBackend) entry(id string) engine.ListedBackend {
	e := b.http.entry(id)
	e.RPC = b.ln.Addr().String()
	return e
}

func writeLine(c net.Conn, format string, args ...any) bool {
	_, err := fmt.Fprintf(c, format+"\n", args...)
	return err == nil
}

// respondRPC answers the methods of the specification's examples as they do, and echoes the params of all others.
func respondRPC(c net.Conn, m jsonrpc.Message) bool {
	var list []float64
	var named struct{ Minuend, Subtrahend float64 }
	var result any = m.Params
	switch m.Method {
	case "subtract":
		if json.Unmarshal(m.Params, &list) != nil {
			json.Unmarshal(m.Params, &named)
			list = []float64{named.Minuend, named.Subtrahend}
		}
		result = list[0] - list[1]
	case "sum":
		json.Unmarshal(m.Params, &list)
		sum := 0.0
		for _, x := range list {
			sum += x
		}
		result = sum
	case "get_data":
		result = []any{"hello", 5}
	}
	text, _ := json.Marshal(result)
	return writeLine(c, `{"jsonrpc":"2.0","id":%s,"result":%s,"craneglade":{"load":{"inflight":1,"queue":0}}}`, m.ID, text)
}

// newBlockingRPCBackend returns a backend that answers calls of some methods only after the returned function was called.
func newBlockingRPCBackend(t *testing.T, methods ...string) (*rpcBackend, func()) {
	t.Helper()
	release, unblock := gate()
	t.Cleanup(unblock)
	return newRPCBackend(t, func(c net.Conn, m jsonrpc.Message) bool {
		if !slices.Contains(methods, m.Method) {
			return respondRPC(c, m)
		}
		go func() {
			<-release
			respondRPC(c, m)
		}()
		return true
	}), unblock
}

// startRPCNode starts a node with both fronts, and returns the address of the one for JSON-RPC.
func startRPCNode(t *testing.T, change func(*settings.JSONRPC), known ...engine.ListedBackend) (*testNode, string) {
	t.Helper()
	return startRPCNodeWith(t, func(*Config) {}, change, known...)
}

func startRPCNodeWith(t *testing.T, configure func(*Config), change func(*settings.JSONRPC), known ...engine.ListedBackend) (*testNode, string) {
	t.Helper()
	file := &settings.File{JSONRPC: settings.JSONRPC{Listen: "127.0.0.1:0", MaxInflight: 64, MaxBatch: 100, MaxConnsPerBackend: 2, SendMetadata: true}}
	file.JSONRPC.IdleTimeout.UnmarshalText([]byte("1m"))
	for _, name := range []string{"subtract", "sum", "get_data", "update", "notify_hello", "notify_sum", "view"} {
		file.JSONRPC.Methods = append(file.JSONRPC.Methods, settings.Method{Name: name, Class: "view", Deadline: "/deadline_ms"})
	}
	file.JSONRPC.Methods = append(file.JSONRPC.Methods,
		settings.Method{Name: "saveConfig", Class: "save", Key: "/key", Tenant: "/dealer", Deadline: "/deadline_ms"},
		settings.Method{Name: "sendQuote", Class: "quote", Deadline: "/deadline_ms"})
	if change != nil {
		change(&file.JSONRPC)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := startNode(t, newStubDiscovery(t), settingsJSON, func(c *Config) {
		c.LocalSettings = file
		configure(c)
	}, known...)
	ctx, cancel := context.WithCancel(context.Background())
	exited := make(chan error, 1)
	sigterm := r.sigterm
	r.sigterm = func() {
		sigterm()
		cancel()
	}
	go func() { exited <- r.rpcFront.Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		if err := <-exited; err != nil {
			t.Error(err)
		}
	})
	return r, ln.Addr().String()
}

func dialRPC(t *testing.T, addr string) *client {
	t.Helper()
	return (&testNode{addr: addr}).dial(t)
}

func (c *client) line() string {
	c.t.Helper()
	text, err := c.in.ReadString('\n')
	if err != nil {
		c.t.Fatalf("no response: %v", err)
	}
	return strings.TrimSpace(text)
}

// closed reports whether the connection is closed with nothing but white space before.
func (c *client) closed() bool {
	data, err := io.ReadAll(c.in)
	return strings.TrimSpace(string(data)) == "" && !errors.Is(err, os.ErrDeadlineExceeded)
}

// sameJSON reports whether two JSON texts are equivalent. It ignores the data of errors and the order within a batch.
func sameJSON(a, b string) bool {
	read := func(s string) any {
		var v any
		if json.Unmarshal([]byte(s), &v) != nil {
			return s
		}
		list, ok := v.([]any)
		if !ok {
			list = []any{v}
		}
		set := map[string]int{}
		for _, x := range list {
			if o, ok := x.(map[string]any); ok {
				if e, ok := o["error"].(map[string]any); ok {
					delete(e, "data")
				}
			}
			text, _ := json.Marshal(x)
			set[string(text)]++
		}
		return []any{ok, set}
	}
	return reflect.DeepEqual(read(a), read(b))
}

// The examples of section 7 of the specification, each on a connection of its own. After each, another call checks that the
// connection is still open, or a read checks that it was closed.
func TestSpecificationExamples(t *testing.T) {
	t.Parallel()
	b := newRPCBackend(t, respondRPC)
	_, addr := startRPCNode(t, nil, b.entry("s-1"))
	parse := `{"jsonrpc": "2.0", "error": {"code": -32700, "message": "Parse error"}, "id": null}`
	invalid := `{"jsonrpc": "2.0", "error": {"code": -32600, "message": "Invalid Request"}, "id": null}`
	for _, x := range []struct{ name, send, want string }{
		{"positional", `{"jsonrpc": "2.0", "method": "subtract", "params": [42, 23], "id": 1}`, `{"jsonrpc": "2.0", "result": 19, "id": 1}`},
		{"positional, other order", `{"jsonrpc": "2.0", "method": "subtract", "params": [23, 42], "id": 2}`, `{"jsonrpc": "2.0", "result": -19, "id": 2}`},
		{"named", `{"jsonrpc": "2.0", "method": "subtract", "params": {"subtrahend": 23, "minuend": 42}, "id": 3}`, `{"jsonrpc": "2.0", "result": 19, "id": 3}`},
		{"named, other order", `{"jsonrpc": "2.0", "method": "subtract", "params": {"minuend": 42, "subtrahend": 23}, "id": 4}`, `{"jsonrpc": "2.0", "result": 19, "id": 4}`},
		{"a notification", `{"jsonrpc": "2.0", "method": "update", "params": [1,2,3,4,5]}`, ""},
		{"a notification of an unknown method", `{"jsonrpc": "2.0", "method": "foobar"}`, ""},
		{"unknown method", `{"jsonrpc": "2.0", "method": "foobar", "id": "1"}`, `{"jsonrpc": "2.0", "error": {"code": -32601, "message": "Method not found"}, "id": "1"}`},
		{"invalid JSON", `{"jsonrpc": "2.0", "method": "foobar, "params": "bar", "baz]`, parse},
		{"invalid request", `{"jsonrpc": "2.0", "method": 1, "params": "bar"}`, invalid},
		{"a batch of invalid JSON", `[{"jsonrpc": "2.0", "method": "sum", "params": [1,2,4], "id": "1"}, {"jsonrpc": "2.0", "method"]`, parse},
		{"an empty batch", `[]`, invalid},
		{"a batch of one invalid request", `[1]`, "[" + invalid + "]"},
		{"a batch of invalid requests", `[1,2,3]`, "[" + invalid + "," + invalid + "," + invalid + "]"},
		{"a mixed batch", `[
        {"jsonrpc": "2.0", "method": "sum", "params": [1,2,4], "id": "1"},
        {"jsonrpc": "2.0", "method": "notify_hello", "params": [7]},
        {"jsonrpc": "2.0", "method": "subtract", "params": [42,23], "id": "2"},
        {"foo": "boo"},
        {"jsonrpc": "2.0", "method": "foo.get", "params": {"name": "myself"}, "id": "5"},
        {"jsonrpc": "2.0", "method": "get_data", "id": "9"} ]`,
			`[{"jsonrpc": "2.0", "result": 7, "id": "1"}, {"jsonrpc": "2.0", "result": 19, "id": "2"}, ` + invalid + `,
         {"jsonrpc": "2.0", "error": {"code": -32601, "message": "Method not found"}, "id": "5"},
         {"jsonrpc": "2.0", "result": ["hello", 5], "id": "9"}]`},
		{"a batch of notifications", `[{"jsonrpc": "2.0", "method": "notify_sum", "params": [1,2,4]}, {"jsonrpc": "2.0", "method": "notify_hello", "params": [7]}]`, ""},
	} {
		for _, headed := range []bool{false, true} {
			c := dialRPC(t, addr)
			last := `{"jsonrpc":"2.0","method":"sum","params":[1],"id":"last"}`
			if headed {
				c.send(string(jsonrpc.AppendFrame(nil, jsonrpc.HeaderDelimited, []byte(x.send))))
			} else {
				c.send(x.send + "\n")
			}
			read := func() string {
				if !headed {
					return c.line()
				}
				frame, err := jsonrpc.NewReader(c.in).Next()
				if err != nil {
					t.Fatalf("%s: %v", x.name, err)
				}
				return string(frame)
			}
			if x.want != "" {
				if got := read(); !sameJSON(got, x.want) {
					t.Errorf("%s (headed %v): %s, want %s", x.name, headed, got, x.want)
				}
			}
			if x.want == parse {
				if !c.closed() {
					t.Errorf("%s: the connection stays open, though the next message cannot be delimited", x.name)
				}
				continue
			}
			if headed {
				c.send(string(jsonrpc.AppendFrame(nil, jsonrpc.HeaderDelimited, []byte(last))))
			} else {
				c.send(last)
			}
			if got := read(); !sameJSON(got, `{"jsonrpc":"2.0","result":1,"id":"last"}`) {
				t.Errorf("%s (headed %v): then %s", x.name, headed, got)
			}
		}
	}
	if n := b.calls("update"); n != 2 {
		t.Errorf("the backend got %d notifications, want one for each framing", n)
	}
}

// The node works between an independent JSON-RPC client and an independent JSON-RPC server.
func TestInteropWithIndependentRPCPeers(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s := jrpc2.NewServer(handler.Map{
				"sum":       handler.New(func(_ context.Context, v []int) (int, error) { return v[0] + v[1], nil }),
				"sendQuote": handler.New(func(context.Context, map[string]any) (string, error) { return "", jrpc2.Errorf(7, "no such design") }),
			}, nil).Start(channel.Line(c, c))
			t.Cleanup(s.Stop)
		}
	}()
	e := newStubBackend(t, respondOK).entry("s-1")
	e.RPC = ln.Addr().String()
	_, addr := startRPCNode(t, func(j *settings.JSONRPC) { j.SendMetadata = false }, e) // a strict server rejects the additional member
	for name, framing := range map[string]channel.Framing{"lines": channel.Line, "headed": channel.LSP} {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		cl := jrpc2.NewClient(framing(conn, conn), nil)
		var wg sync.WaitGroup
		for i := range 50 {
			wg.Go(func() {
				var got int
				if err := cl.CallResult(context.Background(), "sum", []int{i, 1}, &got); err != nil || got != i+1 {
					t.Errorf("%s: %d, %v", name, got, err)
				}
			})
		}
		wg.Wait()
		all, err := cl.Batch(context.Background(), []jrpc2.Spec{{Method: "sum", Params: []int{1, 2}}, {Method: "sum", Params: []int{3, 4}},
			{Method: "sum", Params: []int{5, 6}, Notify: true}})
		if err != nil || len(all) != 2 {
			t.Errorf("%s: a batch: %v, %v", name, all, err)
		}
		// An application error is the response, not an error of the node.
		_, err = cl.Call(context.Background(), "sendQuote", map[string]int{"design": 1})
		if j := (*jrpc2.Error)(nil); !errors.As(err, &j) || j.Code != 7 || j.Message != "no such design" {
			t.Errorf("%s: %v", name, err)
		}
		cl.Close()
	}
}

// A batch has a save and a quote, and the backend dies after both may have run. The save is retried with its key and the quote is not, so the
// response has one result and one error.
func TestBackendDiesDuringBatch(t *testing.T) {
	t.Parallel()
	one := newRPCBackend(t, func(net.Conn, jsonrpc.Message) bool { return true })
	two := newRPCBackend(t, respondRPC)
	r, addr := startRPCNode(t, nil, one.entry("s-1"))
	c := dialRPC(t, addr)
	c.send(`[{"jsonrpc":"2.0","id":1,"method":"saveConfig","params":{"key":"k-1","dealer":"d"}},` +
		`{"jsonrpc":"2.0","id":2,"method":"sendQuote","params":{"design":7}}]` + "\n")
	wait(t, "both calls at the backend", func() bool { return one.calls("saveConfig") == 1 && one.calls("sendQuote") == 1 })
	r.engine.UpdateList(r.listSource, &engine.List{Version: 9, Full: true, Backends: []engine.ListedBackend{one.entry("s-1"), two.entry("s-2")}},
		policy.ListFull, func(int64) bool { return true })
	one.mu.Lock()
	for _, c := range one.conns {
		c.Close()
	}
	one.mu.Unlock()
	got := c.line()
	want := `[{"jsonrpc":"2.0","id":1,"result":{"key":"k-1","dealer":"d"}},{"jsonrpc":"2.0","id":2,"error":{"code":-32002,"message":"failed"}}]`
	if !sameJSON(got, want) {
		t.Errorf("%s, want %s", got, want)
	}
	if s, q := two.calls("saveConfig"), one.calls("sendQuote")+two.calls("sendQuote"); s != 1 || q != 1 {
		t.Errorf("the save was sent to the second backend %d times, and the quote to any %d times, want 1 and 1", s, q)
	}
	for _, m := range append(one.received, two.received...) {
		var extra struct{ Key, Request string }
		json.Unmarshal(m.Extra, &extra)
		if m.Method == "saveConfig" && extra.Key != "k-1" || extra.Request == "" {
			t.Errorf("%s was sent with the additional member %s", m.Method, m.Extra)
		}
	}
	wait(t, "no open requests", func() bool { return r.engine.OpenRequests() == 0 })
}

// A backend responds twice, late, or with an unknown id: each call gets only its own response.
func TestResponsesMatchTheirCalls(t *testing.T) {
	t.Parallel()
	var lateID atomic.Value // id of the call with the late response
	b := newRPCBackend(t, func(c net.Conn, m jsonrpc.Message) bool {
		if strings.Contains(string(m.Params), "late") {
			lateID.Store(string(m.ID))
			return true
		}
		if id, ok := lateID.Load().(string); ok {
			writeLine(c, `{"jsonrpc":"2.0","id":%s,"result":"too late"}`, id)
		}
		writeLine(c, `{"jsonrpc":"2.0","id":"none-of-yours","result":"astray"}`)
		respondRPC(c, m)
		return respondRPC(c, m)
	})
	_, addr := startRPCNode(t, func(j *settings.JSONRPC) { j.MaxConnsPerBackend = 1 }, b.entry("s-1"))
	c := dialRPC(t, addr)
	c.send(`{"jsonrpc":"2.0","id":1,"method":"sendQuote","params":{"late":true,"deadline_ms":300}}`)
	if got := c.line(); !sameJSON(got, `{"jsonrpc":"2.0","id":1,"error":{"code":-32002,"message":"failed"}}`) {
		t.Errorf("late: %s", got)
	}
	for i := range 20 {
		c.send(fmt.Sprintf(`{"jsonrpc":"2.0","id":"c%d","method":"sum","params":[%d,1]}`, i, i))
		if got := c.line(); !sameJSON(got, fmt.Sprintf(`{"jsonrpc":"2.0","id":"c%d","result":%d}`, i, i+1)) {
			t.Errorf("call %d: %s", i, got)
		}
	}
}

// Ids are returned byte for byte. A call with an id that is open is rejected and does not end the first. The same id of two clients does not
// conflict.
func TestCallIDs(t *testing.T) {
	t.Parallel()
	b, unblock := newBlockingRPCBackend(t, "view")
	_, addr := startRPCNode(t, nil, b.entry("s-1"))
	c, other := dialRPC(t, addr), dialRPC(t, addr)
	c.send(`{"jsonrpc":"2.0","id":"same","method":"view","params":["first"]}`)
	wait(t, "the first call at the backend", func() bool { return b.calls("view") == 1 })
	c.send(`{"jsonrpc":"2.0","id":"same","method":"sum","params":[1]}`)
	if got := c.line(); !sameJSON(got, `{"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"Invalid Request"}}`) {
		t.Errorf("an id that is open: %s", got)
	}
	other.send(`{"jsonrpc":"2.0","id":"same","method":"sum","params":[5]}`)
	if got := other.line(); !sameJSON(got, `{"jsonrpc":"2.0","id":"same","result":5}`) {
		t.Errorf("the same id of another client: %s", got)
	}
	for _, id := range []string{"1.50", "-0", "1e3", `"\u0061\/"`, "123456789012345678901234567890", "null"} {
		c.send(`{"jsonrpc":"2.0","id":` + id + `,"method":"sum","params":[2]}`)
		if got := c.line(); !strings.Contains(got, `"id":`+id+`,`) {
			t.Errorf("id %s came back in %s", id, got)
		}
	}
	unblock()
	if got := c.line(); !sameJSON(got, `{"jsonrpc":"2.0","id":"same","result":["first"]}`) {
		t.Errorf("the first: %s", got)
	}
}

// A malformed call gets the error code for it, and its connection is closed if the next message cannot be delimited. Other calls are not
// affected.
func TestMalformedCalls(t *testing.T) {
	t.Parallel()
	b := newRPCBackend(t, respondRPC)
	_, addr := startRPCNode(t, nil, b.entry("s-1"))
	deep := strings.Repeat("[", 10001) + strings.Repeat("]", 10001)
	many := "[" + strings.TrimSuffix(strings.Repeat(`1,`, 101), ",") + "]"
	for _, x := range []struct {
		name, send string
		code       int
		ends       bool
	}{
		{"over 64 KiB", `{"jsonrpc":"2.0","id":1,"method":"sum","params":["` + strings.Repeat("x", 64<<10) + `"]}`, -32700, true},
		{"nested 10,000 deep", deep, -32700, true},
		{"nested 129 deep", strings.Repeat("[", 129) + strings.Repeat("]", 129), -32700, true},
		{"a batch of too many", many, -32600, false},
		{"a member twice", `{"jsonrpc":"2.0","id":1,"id":2,"method":"sum","params":[1]}`, -32700, true},
		{"a param twice", `{"jsonrpc":"2.0","id":1,"method":"saveConfig","params":{"key":"a","key":"b"}}`, -32700, true},
		{"invalid UTF-8", "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"\xff\"}", -32700, true},
		{"a lone surrogate", `{"jsonrpc":"2.0","id":1,"method":"\ud800"}`, -32700, true},
		{"an HTTP request", "GET / HTTP/1.1\r\n\r\n", -32700, true},
		{"version 1.0", `{"id":1,"method":"sum","params":[1]}`, -32600, false},
		{"an id that is an object", `{"jsonrpc":"2.0","id":{},"method":"sum","params":[1]}`, -32600, false},
		{"params that are a string", `{"jsonrpc":"2.0","id":1,"method":"sum","params":"x"}`, -32600, false},
		{"an answer", `{"jsonrpc":"2.0","id":1,"result":1}`, -32600, false},
		{"a number", "17\n", -32600, false},
		{"a save without a key", `{"jsonrpc":"2.0","id":1,"method":"saveConfig","params":{}}`, -32602, false},
		{"a negative deadline", `{"jsonrpc":"2.0","id":1,"method":"sum","params":{"deadline_ms":-1}}`, -32602, false},
		{"a wrong Content-Length", "Content-Length: 10\r\n\r\n{\"jsonrpc\":\"2.0\"}", -32700, true},
		{"two Content-Lengths", "Content-Length: 2\r\nContent-Length: 2\r\n\r\n{}", -32700, true},
		{"a Content-Length of 3 GB", "Content-Length: 3000000000\r\n\r\n{}", -32700, true},
		{"a truncated message", `{"jsonrpc":"2.0","id":1,`, -32700, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			c := dialRPC(t, addr)
			go io.WriteString(c, x.send)
			r := jsonrpc.NewReader(c.in)
			frame, err := r.Next()
			if err != nil {
				t.Fatal(err)
			}
			var got struct{ Error struct{ Code int } }
			json.Unmarshal(frame, &got)
			if got.Error.Code != x.code {
				t.Errorf("%s, want code %d", frame, x.code)
			}
			if x.ends && !c.closed() {
				t.Error("the connection stays open")
			}
			if !x.ends {
				c.send(`{"jsonrpc":"2.0","id":9,"method":"sum","params":[1]}`)
				if frame, err := r.Next(); err != nil || !sameJSON(string(frame), `{"jsonrpc":"2.0","id":9,"result":1}`) {
					t.Errorf("then: %s, %v", frame, err)
				}
			}
		})
	}
}

// A backend is drained while many calls share its connection: they are answered, and no new call is sent on it.
func TestDrainWithSharedConnection(t *testing.T) {
	t.Parallel()
	old, unblock := newBlockingRPCBackend(t, "sendQuote", "saveConfig")
	r, addr := startRPCNode(t, func(j *settings.JSONRPC) { j.MaxInflight, j.MaxConnsPerBackend = 300, 1 }, old.entry("s-1"))
	c := dialRPC(t, addr)
	for i := range 200 {
		c.send(fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"saveConfig","params":{"key":"k%d"}}`, i, i))
	}
	before := 0
	wait(t, "a steady number of calls at the backend", func() bool {
		n := old.calls("saveConfig")
		open := r.engine.OpenRequests()
		still := n > 20 && n == before && open == n
		before = n
		return still
	})
	accepted := old.calls("saveConfig")
	fresh := newRPCBackend(t, respondRPC)
	entry := old.entry("s-1")
	entry.State = "Terminating"
	r.engine.UpdateList(r.listSource, &engine.List{Version: 9, Full: true, Backends: []engine.ListedBackend{entry, fresh.entry("s-2")}},
		policy.ListFull, func(int64) bool { return true })
	for i := range 20 {
		d := dialRPC(t, addr)
		d.send(fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"sendQuote","params":{"n":%d}}`, i, i))
		if got := d.line(); !sameJSON(got, fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"result":{"n":%d}}`, i, i)) && !strings.Contains(got, "-32001") {
			t.Errorf("quote %d: %s", i, got)
		}
	}
	if n := old.calls("sendQuote"); n != 0 {
		t.Errorf("the draining backend got %d quotes", n)
	}
	if fresh.calls("sendQuote") == 0 {
		t.Error("the new backend got no quote")
	}
	unblock()
	answered := 0
	for range 200 {
		if strings.Contains(c.line(), "result") {
			answered++
		}
	}
	if answered < accepted || old.connections() != 1 {
		t.Errorf("%d of %d calls at the backend were answered, on %d connections", answered, accepted, old.connections())
	}
}

// A client that disconnects during a batch leaves no open request. A notification gets no response, though its outcome is known.
func TestClientDisconnectsDuringBatch(t *testing.T) {
	t.Parallel()
	backend := newRPCBackend(t, func(c net.Conn, m jsonrpc.Message) bool { return m.Method == "sendQuote" || respondRPC(c, m) })
	r, addr := startRPCNode(t, nil, backend.entry("s-1"))
	c := dialRPC(t, addr)
	c.send(`[{"jsonrpc":"2.0","id":1,"method":"sendQuote","params":{}},{"jsonrpc":"2.0","id":2,"method":"sum","params":[1]}]`)
	wait(t, "the quote at the backend", func() bool { return backend.calls("sendQuote") == 1 })
	c.Close()
	wait(t, "no open requests", func() bool { return r.engine.OpenRequests() == 0 })
	d := dialRPC(t, addr)
	d.send(`{"jsonrpc":"2.0","method":"update","params":[1]}{"jsonrpc":"2.0","id":3,"method":"sum","params":[1]}`)
	if got := d.line(); !sameJSON(got, `{"jsonrpc":"2.0","id":3,"result":1}`) {
		t.Errorf("after a notification: %s", got)
	}
	wait(t, "the notification at the backend", func() bool { return backend.calls("update") == 1 })
	wait(t, "no open requests", func() bool { return r.engine.OpenRequests() == 0 })
}

// A backend without JSON-RPC gets no call. If there is no other, the client gets an error at once that says that a retry is harmless.
func TestBackendWithoutRPC(t *testing.T) {
	t.Parallel()
	plain := newStubBackend(t, respondOK)
	r, addr := startRPCNode(t, nil, plain.entry("s-1"))
	c := dialRPC(t, addr)
	c.send(`{"jsonrpc":"2.0","id":1,"method":"sendQuote","params":{}}`)
	if got := c.line(); !strings.Contains(got, `"code":-32001`) || !strings.Contains(got, `"repeat":"harmless"`) || !strings.Contains(got, "retry_after_s") {
		t.Errorf("answered %s", got)
	}
	if resp, _ := r.dial(t).roundTrip(quote("q")); resp.StatusCode != 200 {
		t.Errorf("the same over HTTP: %d", resp.StatusCode)
	}
}

// Connections without an open call are evicted at the limit, the longest idle first. One with an open call stays.
func TestIdleRPCClientsAreEvicted(t *testing.T) {
	t.Parallel()
	b, unblock := newBlockingRPCBackend(t, "view")
	configure := func(c *Config) { c.Sockets = 80 }
	r, addr := startRPCNodeWith(t, configure, nil, b.entry("s-1"))
	busy := dialRPC(t, addr)
	busy.send(`{"jsonrpc":"2.0","id":1,"method":"view","params":[1]}`)
	wait(t, "the call at the backend", func() bool { return b.calls("view") == 1 })
	silent := []*client{}
	for range 100 { // these send nothing
		silent = append(silent, dialRPC(t, addr))
	}
	for i := range 20 {
		c := dialRPC(t, addr)
		c.send(fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"sum","params":[%d]}`, i, i))
		if got := c.line(); !sameJSON(got, fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"result":%d}`, i, i)) {
			t.Errorf("call %d after a hundred silent connections: %s", i, got)
		}
	}
	if !silent[0].closed() {
		t.Error("the longest idle connection stays open")
	}
	if resp, _ := r.dial(t).roundTrip(view("v")); resp.StatusCode != 200 && resp.StatusCode != 503 {
		t.Errorf("HTTP meanwhile: %d", resp.StatusCode)
	}
	unblock()
	if got := busy.line(); !sameJSON(got, `{"jsonrpc":"2.0","id":1,"result":[1]}`) {
		t.Errorf("the call that was open: %s", got)
	}
}

// During shutdown a node answers the open calls, rejects new ones with an error that says that a retry is harmless, and closes connections
// without open calls.
func TestShutdownWithOpenCalls(t *testing.T) {
	t.Parallel()
	b, unblock := newBlockingRPCBackend(t, "sendQuote", "saveConfig")
	r, addr := startRPCNode(t, nil, b.entry("s-1"))
	c, idle := dialRPC(t, addr), dialRPC(t, addr)
	c.send(`{"jsonrpc":"2.0","id":1,"method":"sendQuote","params":{"n":1}}`)
	wait(t, "the quote at the backend", func() bool { return b.calls("sendQuote") == 1 })
	r.sigterm()
	wait(t, "the shutdown", r.rpcFront.ShuttingDown)
	c.send(`{"jsonrpc":"2.0","id":2,"method":"sendQuote","params":{"n":2}}`)
	if got := c.line(); !strings.Contains(got, `"code":-32001`) || !strings.Contains(got, `"id":2`) {
		t.Errorf("a call after SIGTERM: %s", got)
	}
	if !idle.closed() {
		t.Error("an idle connection stays open")
	}
	unblock()
	if got := c.line(); !sameJSON(got, `{"jsonrpc":"2.0","id":1,"result":{"n":1}}`) {
		t.Errorf("the call that was open: %s", got)
	}
	if !c.closed() {
		t.Error("the connection stays open without an open call")
	}
	if n := b.calls("sendQuote"); n != 1 {
		t.Errorf("the backend got %d quotes", n)
	}
}
