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

// rpcBox is a box that speaks JSON-RPC as a test decides. It records each call.
type rpcBox struct {
	http   *box
	ln     net.Listener
	answer func(c net.Conn, m jsonrpc.Message) bool // false: close the connection

	mu    sync.Mutex
	got   []jsonrpc.Message
	conns []net.Conn
}

func newRPCBox(t *testing.T, answer func(c net.Conn, m jsonrpc.Message) bool) *rpcBox {
	t.Helper()
	b := &rpcBox{http: newBox(t, served), answer: answer}
	b.ln = accept(t, &b.mu, &b.conns, b.talk)
	return b
}

func (b *rpcBox) talk(c net.Conn) {
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
		b.got = append(b.got, m)
		b.mu.Unlock()
		if !b.answer(c, m) {
			return
		}
	}
}

func (b *rpcBox) calls(method string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, m := range b.got {
		if m.Method == method {
			n++
		}
	}
	return n
}

func (b *rpcBox) connections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns)
}

func (b *rpcBox) entry(id string) engine.Listed {
	e := b.http.entry(id)
	e.RPC = b.ln.Addr().String()
	return e
}

func say(c net.Conn, format string, args ...any) bool {
	_, err := fmt.Fprintf(c, format+"\n", args...)
	return err == nil
}

// works answers as the examples of the specification have it, and echoes the params of everything else.
func works(c net.Conn, m jsonrpc.Message) bool {
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
	return say(c, `{"jsonrpc":"2.0","id":%s,"result":%s,"craneglade":{"load":{"inflight":1,"queue":0}}}`, m.ID, text)
}

// heldRPCBox works, but answers calls of some methods only once the returned function was called.
func heldRPCBox(t *testing.T, methods ...string) (*rpcBox, func()) {
	t.Helper()
	release, let := gate()
	t.Cleanup(let)
	return newRPCBox(t, func(c net.Conn, m jsonrpc.Message) bool {
		if !slices.Contains(methods, m.Method) {
			return works(c, m)
		}
		go func() {
			<-release
			works(c, m)
		}()
		return true
	}), let
}

// rpcRig is a node with both fronts.
func rpcRig(t *testing.T, change func(*settings.JSONRPC), known ...engine.Listed) (*rig, string) {
	t.Helper()
	return rpcRigWith(t, func(*Config) {}, change, known...)
}

func rpcRigWith(t *testing.T, more func(*Config), change func(*settings.JSONRPC), known ...engine.Listed) (*rig, string) {
	t.Helper()
	own := &settings.File{JSONRPC: settings.JSONRPC{Listen: "127.0.0.1:0", Inflight: 64, Batch: 100, BackendConns: 2, SendMetadata: true}}
	own.JSONRPC.Idle.UnmarshalText([]byte("1m"))
	for _, name := range []string{"subtract", "sum", "get_data", "update", "notify_hello", "notify_sum", "view"} {
		own.JSONRPC.Methods = append(own.JSONRPC.Methods, settings.Method{Name: name, Class: "view", Deadline: "/deadline_ms"})
	}
	own.JSONRPC.Methods = append(own.JSONRPC.Methods,
		settings.Method{Name: "saveConfig", Class: "save", Key: "/key", Tenant: "/dealer", Deadline: "/deadline_ms"},
		settings.Method{Name: "sendQuote", Class: "quote", Deadline: "/deadline_ms"})
	if change != nil {
		change(&own.JSONRPC)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := newRig(t, newRegistry(t), settingsJSON, func(c *Config) {
		c.Own = own
		more(c)
	}, known...)
	ctx, leave := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	first := r.leave
	r.leave = func() {
		first()
		leave()
	}
	go func() { ended <- r.rpcs.Serve(ctx, ln) }()
	t.Cleanup(func() {
		leave()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return r, ln.Addr().String()
}

func dialRPC(t *testing.T, addr string) *client {
	t.Helper()
	return (&rig{addr: addr}).dial(t)
}

func (c *client) line() string {
	c.t.Helper()
	text, err := c.in.ReadString('\n')
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	return strings.TrimSpace(text)
}

// closed tells whether nothing but white space comes before the connection's end.
func (c *client) closed() bool {
	rest, err := io.ReadAll(c.in)
	return strings.TrimSpace(string(rest)) == "" && !errors.Is(err, os.ErrDeadlineExceeded)
}

// same tells whether two JSON texts mean the same, leaving out an error's data; the members of a batch stand in any order.
func same(a, b string) bool {
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

// The examples of section 7 of the specification, each on a connection of its own, behind them a call that shows that the
// connection goes on, or that it was closed.
func TestExamplesOfTheSpecification(t *testing.T) {
	t.Parallel()
	b := newRPCBox(t, works)
	_, addr := rpcRig(t, nil, b.entry("s-1"))
	parse := `{"jsonrpc": "2.0", "error": {"code": -32700, "message": "Parse error"}, "id": null}`
	invalid := `{"jsonrpc": "2.0", "error": {"code": -32600, "message": "Invalid Request"}, "id": null}`
	for _, x := range []struct{ name, send, want string }{
		{"positional", `{"jsonrpc": "2.0", "method": "subtract", "params": [42, 23], "id": 1}`, `{"jsonrpc": "2.0", "result": 19, "id": 1}`},
		{"positional, the other way", `{"jsonrpc": "2.0", "method": "subtract", "params": [23, 42], "id": 2}`, `{"jsonrpc": "2.0", "result": -19, "id": 2}`},
		{"named", `{"jsonrpc": "2.0", "method": "subtract", "params": {"subtrahend": 23, "minuend": 42}, "id": 3}`, `{"jsonrpc": "2.0", "result": 19, "id": 3}`},
		{"named, the other way", `{"jsonrpc": "2.0", "method": "subtract", "params": {"minuend": 42, "subtrahend": 23}, "id": 4}`, `{"jsonrpc": "2.0", "result": 19, "id": 4}`},
		{"a notification", `{"jsonrpc": "2.0", "method": "update", "params": [1,2,3,4,5]}`, ""},
		{"a notification of no method", `{"jsonrpc": "2.0", "method": "foobar"}`, ""},
		{"no such method", `{"jsonrpc": "2.0", "method": "foobar", "id": "1"}`, `{"jsonrpc": "2.0", "error": {"code": -32601, "message": "Method not found"}, "id": "1"}`},
		{"no JSON", `{"jsonrpc": "2.0", "method": "foobar, "params": "bar", "baz]`, parse},
		{"no request", `{"jsonrpc": "2.0", "method": 1, "params": "bar"}`, invalid},
		{"a batch that is no JSON", `[{"jsonrpc": "2.0", "method": "sum", "params": [1,2,4], "id": "1"}, {"jsonrpc": "2.0", "method"]`, parse},
		{"an empty batch", `[]`, invalid},
		{"a batch of nothing", `[1]`, "[" + invalid + "]"},
		{"a batch of nothings", `[1,2,3]`, "[" + invalid + "," + invalid + "," + invalid + "]"},
		{"a batch of all sorts", `[
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
				c.send(string(jsonrpc.Append(nil, jsonrpc.Headed, []byte(x.send))))
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
				if got := read(); !same(got, x.want) {
					t.Errorf("%s (headed %v): %s, want %s", x.name, headed, got, x.want)
				}
			}
			if x.want == parse {
				if !c.closed() {
					t.Errorf("%s: the connection goes on, though what follows can't be told apart", x.name)
				}
				continue
			}
			if headed {
				c.send(string(jsonrpc.Append(nil, jsonrpc.Headed, []byte(last))))
			} else {
				c.send(last)
			}
			if got := read(); !same(got, `{"jsonrpc":"2.0","result":1,"id":"last"}`) {
				t.Errorf("%s (headed %v): then %s", x.name, headed, got)
			}
		}
	}
	if n := b.calls("update"); n != 2 {
		t.Errorf("the box got %d notifications, want one of each framing", n)
	}
}

// An independent client on one side of the node and an independent server on the other.
func TestInterop(t *testing.T) {
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
	e := newBox(t, served).entry("s-1")
	e.RPC = ln.Addr().String()
	_, addr := rpcRig(t, func(j *settings.JSONRPC) { j.SendMetadata = false }, e) // a strict server turns such members away
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
		// An error of the application is its own answer, not the node's.
		_, err = cl.Call(context.Background(), "sendQuote", map[string]int{"design": 1})
		if j := (*jrpc2.Error)(nil); !errors.As(err, &j) || j.Code != 7 || j.Message != "no such design" {
			t.Errorf("%s: %v", name, err)
		}
		cl.Close()
	}
}

// A batch mixes a save with a quote send, and the box dies after both may have run: the save goes again with its key, the
// quote does not, and one array holds one result and one failure.
func TestBoxDiesUnderABatch(t *testing.T) {
	t.Parallel()
	one := newRPCBox(t, func(net.Conn, jsonrpc.Message) bool { return true })
	two := newRPCBox(t, works)
	r, addr := rpcRig(t, nil, one.entry("s-1"))
	c := dialRPC(t, addr)
	c.send(`[{"jsonrpc":"2.0","id":1,"method":"saveConfig","params":{"key":"k-1","dealer":"d"}},` +
		`{"jsonrpc":"2.0","id":2,"method":"sendQuote","params":{"design":7}}]` + "\n")
	wait(t, "both at the box", func() bool { return one.calls("saveConfig") == 1 && one.calls("sendQuote") == 1 })
	r.engine.News(r.list, &engine.List{Version: 9, Full: true, Servers: []engine.Listed{one.entry("s-1"), two.entry("s-2")}},
		policy.ListFull, func(int64) bool { return true })
	one.mu.Lock()
	for _, c := range one.conns {
		c.Close()
	}
	one.mu.Unlock()
	got := c.line()
	want := `[{"jsonrpc":"2.0","id":1,"result":{"key":"k-1","dealer":"d"}},{"jsonrpc":"2.0","id":2,"error":{"code":-32002,"message":"failed"}}]`
	if !same(got, want) {
		t.Errorf("%s, want %s", got, want)
	}
	if s, q := two.calls("saveConfig"), one.calls("sendQuote")+two.calls("sendQuote"); s != 1 || q != 1 {
		t.Errorf("the save went to the second box %d times, and the quote out %d times, want 1 and 1", s, q)
	}
	for _, m := range append(one.got, two.got...) {
		var beside struct{ Key, Request string }
		json.Unmarshal(m.Extra, &beside)
		if m.Method == "saveConfig" && beside.Key != "k-1" || beside.Request == "" {
			t.Errorf("%s went out beside %s", m.Method, m.Extra)
		}
	}
	wait(t, "an empty table", func() bool { return r.engine.Open() == 0 })
}

// A box answers twice, late, or with another's id: each call gets the one answer that was made for it.
func TestAnswersMeetTheirCalls(t *testing.T) {
	t.Parallel()
	var held atomic.Value // the id of a call that is answered late
	b := newRPCBox(t, func(c net.Conn, m jsonrpc.Message) bool {
		if strings.Contains(string(m.Params), "late") {
			held.Store(string(m.ID))
			return true
		}
		if id, ok := held.Load().(string); ok {
			say(c, `{"jsonrpc":"2.0","id":%s,"result":"too late"}`, id)
		}
		say(c, `{"jsonrpc":"2.0","id":"none-of-yours","result":"astray"}`)
		works(c, m)
		return works(c, m)
	})
	_, addr := rpcRig(t, func(j *settings.JSONRPC) { j.BackendConns = 1 }, b.entry("s-1"))
	c := dialRPC(t, addr)
	c.send(`{"jsonrpc":"2.0","id":1,"method":"sendQuote","params":{"late":true,"deadline_ms":300}}`)
	if got := c.line(); !same(got, `{"jsonrpc":"2.0","id":1,"error":{"code":-32002,"message":"failed"}}`) {
		t.Errorf("late: %s", got)
	}
	for i := range 20 {
		c.send(fmt.Sprintf(`{"jsonrpc":"2.0","id":"c%d","method":"sum","params":[%d,1]}`, i, i))
		if got := c.line(); !same(got, fmt.Sprintf(`{"jsonrpc":"2.0","id":"c%d","result":%d}`, i, i+1)) {
			t.Errorf("call %d: %s", i, got)
		}
	}
}

// Ids come back byte for byte, one that is open is refused without ending the first, and two clients' ids never meet.
func TestIDsOfCalls(t *testing.T) {
	t.Parallel()
	b, let := heldRPCBox(t, "view")
	_, addr := rpcRig(t, nil, b.entry("s-1"))
	c, other := dialRPC(t, addr), dialRPC(t, addr)
	c.send(`{"jsonrpc":"2.0","id":"same","method":"view","params":["first"]}`)
	wait(t, "the first at the box", func() bool { return b.calls("view") == 1 })
	c.send(`{"jsonrpc":"2.0","id":"same","method":"sum","params":[1]}`)
	if got := c.line(); !same(got, `{"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"Invalid Request"}}`) {
		t.Errorf("an id that is open: %s", got)
	}
	other.send(`{"jsonrpc":"2.0","id":"same","method":"sum","params":[5]}`)
	if got := other.line(); !same(got, `{"jsonrpc":"2.0","id":"same","result":5}`) {
		t.Errorf("another client's: %s", got)
	}
	for _, id := range []string{"1.50", "-0", "1e3", `"\u0061\/"`, "123456789012345678901234567890", "null"} {
		c.send(`{"jsonrpc":"2.0","id":` + id + `,"method":"sum","params":[2]}`)
		if got := c.line(); !strings.Contains(got, `"id":`+id+`,`) {
			t.Errorf("id %s came back in %s", id, got)
		}
	}
	let()
	if got := c.line(); !same(got, `{"jsonrpc":"2.0","id":"same","result":["first"]}`) {
		t.Errorf("the first: %s", got)
	}
}

// What is no call has a clear error, or an end, and a call beside it loses nothing.
func TestBadCalls(t *testing.T) {
	t.Parallel()
	b := newRPCBox(t, works)
	_, addr := rpcRig(t, nil, b.entry("s-1"))
	deep := strings.Repeat("[", 10001) + strings.Repeat("]", 10001)
	many := "[" + strings.TrimSuffix(strings.Repeat(`1,`, 101), ",") + "]"
	for _, x := range []struct {
		name, send string
		code       int
		ends       bool
	}{
		{"over 64 KiB", `{"jsonrpc":"2.0","id":1,"method":"sum","params":["` + strings.Repeat("x", 64<<10) + `"]}`, -32700, true},
		{"nested 10,000 deep", deep, -32700, true},
		{"a batch of too many", many, -32600, false},
		{"a member twice", `{"jsonrpc":"2.0","id":1,"id":2,"method":"sum","params":[1]}`, -32700, true},
		{"a param twice", `{"jsonrpc":"2.0","id":1,"method":"saveConfig","params":{"key":"a","key":"b"}}`, -32700, true},
		{"no UTF-8", "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"\xff\"}", -32700, true},
		{"a lone surrogate", `{"jsonrpc":"2.0","id":1,"method":"\ud800"}`, -32700, true},
		{"an HTTP request", "GET / HTTP/1.1\r\n\r\n", -32700, true},
		{"version 1.0", `{"id":1,"method":"sum","params":[1]}`, -32600, false},
		{"an id that is an object", `{"jsonrpc":"2.0","id":{},"method":"sum","params":[1]}`, -32600, false},
		{"params that are a string", `{"jsonrpc":"2.0","id":1,"method":"sum","params":"x"}`, -32600, false},
		{"an answer", `{"jsonrpc":"2.0","id":1,"result":1}`, -32600, false},
		{"a number", "17\n", -32600, false},
		{"a save without a key", `{"jsonrpc":"2.0","id":1,"method":"saveConfig","params":{}}`, -32602, false},
		{"a deadline that is none", `{"jsonrpc":"2.0","id":1,"method":"sum","params":{"deadline_ms":-1}}`, -32602, false},
		{"a Content-Length that lies", "Content-Length: 10\r\n\r\n{\"jsonrpc\":\"2.0\"}", -32700, true},
		{"two Content-Lengths", "Content-Length: 2\r\nContent-Length: 2\r\n\r\n{}", -32700, true},
		{"a Content-Length of 3 GB", "Content-Length: 3000000000\r\n\r\n{}", -32700, true},
		{"half a message and silence", `{"jsonrpc":"2.0","id":1,`, -32700, true},
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
				t.Error("the connection goes on")
			}
			if !x.ends {
				c.send(`{"jsonrpc":"2.0","id":9,"method":"sum","params":[1]}`)
				if frame, err := r.Next(); err != nil || !same(string(frame), `{"jsonrpc":"2.0","id":9,"result":1}`) {
					t.Errorf("then: %s, %v", frame, err)
				}
			}
		})
	}
}

// A box is drained while many calls share its connection: they are answered, and nothing new goes out on it.
func TestDrainOnASharedConnection(t *testing.T) {
	t.Parallel()
	held, let := heldRPCBox(t, "sendQuote", "saveConfig")
	r, addr := rpcRig(t, func(j *settings.JSONRPC) { j.Inflight, j.BackendConns = 300, 1 }, held.entry("s-1"))
	c := dialRPC(t, addr)
	for i := range 200 {
		c.send(fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"saveConfig","params":{"key":"k%d"}}`, i, i))
	}
	before := 0
	wait(t, "calls at the box that no longer come", func() bool {
		n := held.calls("saveConfig")
		open := r.engine.Open()
		still := n > 20 && n == before && open == n
		before = n
		return still
	})
	taken := held.calls("saveConfig")
	fresh := newRPCBox(t, works)
	gone := held.entry("s-1")
	gone.State = "Terminating"
	r.engine.News(r.list, &engine.List{Version: 9, Full: true, Servers: []engine.Listed{gone, fresh.entry("s-2")}},
		policy.ListFull, func(int64) bool { return true })
	for i := range 20 {
		d := dialRPC(t, addr)
		d.send(fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"sendQuote","params":{"n":%d}}`, i, i))
		if got := d.line(); !same(got, fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"result":{"n":%d}}`, i, i)) && !strings.Contains(got, "-32001") {
			t.Errorf("quote %d: %s", i, got)
		}
	}
	if n := held.calls("sendQuote"); n != 0 {
		t.Errorf("the draining box got %d quotes", n)
	}
	if fresh.calls("sendQuote") == 0 {
		t.Error("the new box got none")
	}
	let()
	answered := 0
	for range 200 {
		if strings.Contains(c.line(), "result") {
			answered++
		}
	}
	if answered < taken || held.connections() != 1 {
		t.Errorf("%d of %d calls that the box had were answered, on %d connections", answered, taken, held.connections())
	}
}

// A client that leaves in the middle of a batch leaves nothing behind, and a notification gets no answer though its end
// is known.
func TestClientLeavesABatch(t *testing.T) {
	t.Parallel()
	hold := newRPCBox(t, func(c net.Conn, m jsonrpc.Message) bool { return m.Method == "sendQuote" || works(c, m) })
	r, addr := rpcRig(t, nil, hold.entry("s-1"))
	c := dialRPC(t, addr)
	c.send(`[{"jsonrpc":"2.0","id":1,"method":"sendQuote","params":{}},{"jsonrpc":"2.0","id":2,"method":"sum","params":[1]}]`)
	wait(t, "the quote at the box", func() bool { return hold.calls("sendQuote") == 1 })
	c.Close()
	wait(t, "an empty table", func() bool { return r.engine.Open() == 0 })
	d := dialRPC(t, addr)
	d.send(`{"jsonrpc":"2.0","method":"update","params":[1]}{"jsonrpc":"2.0","id":3,"method":"sum","params":[1]}`)
	if got := d.line(); !same(got, `{"jsonrpc":"2.0","id":3,"result":1}`) {
		t.Errorf("behind a notification: %s", got)
	}
	wait(t, "the notification at the box", func() bool { return hold.calls("update") == 1 })
	wait(t, "an empty table", func() bool { return r.engine.Open() == 0 })
}

// A box that speaks HTTP alone gets no call, and without another the client hears so at once, harmlessly.
func TestBoxWithoutRPC(t *testing.T) {
	t.Parallel()
	plain := newBox(t, served)
	r, addr := rpcRig(t, nil, plain.entry("s-1"))
	c := dialRPC(t, addr)
	c.send(`{"jsonrpc":"2.0","id":1,"method":"sendQuote","params":{}}`)
	if got := c.line(); !strings.Contains(got, `"code":-32001`) || !strings.Contains(got, `"repeat":"harmless"`) || !strings.Contains(got, "retry_after_s") {
		t.Errorf("answered %s", got)
	}
	if resp, _ := r.dial(t).ask(quote("q")); resp.StatusCode != 200 {
		t.Errorf("HTTP beside it: %d", resp.StatusCode)
	}
}

// Connections with no open call make room, the longest first, and one with an open call stays.
func TestSilentCallersMakeRoom(t *testing.T) {
	t.Parallel()
	b, let := heldRPCBox(t, "view")
	own := func(c *Config) { c.Sockets = 80 }
	r, addr := rpcRigWith(t, own, nil, b.entry("s-1"))
	busy := dialRPC(t, addr)
	busy.send(`{"jsonrpc":"2.0","id":1,"method":"view","params":[1]}`)
	wait(t, "the call at the box", func() bool { return b.calls("view") == 1 })
	silent := []*client{}
	for range 100 { // says nothing
		silent = append(silent, dialRPC(t, addr))
	}
	for i := range 20 {
		c := dialRPC(t, addr)
		c.send(fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"sum","params":[%d]}`, i, i))
		if got := c.line(); !same(got, fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"result":%d}`, i, i)) {
			t.Errorf("call %d behind a hundred silent connections: %s", i, got)
		}
	}
	if !silent[0].closed() {
		t.Error("the longest silent one stays")
	}
	if resp, _ := r.dial(t).ask(view("v")); resp.StatusCode != 200 && resp.StatusCode != 503 {
		t.Errorf("HTTP beside them: %d", resp.StatusCode)
	}
	let()
	if got := busy.line(); !same(got, `{"jsonrpc":"2.0","id":1,"result":[1]}`) {
		t.Errorf("the call that was open: %s", got)
	}
}

// A node that is told to end answers the calls that are open, refuses new ones harmlessly, and ends its connections once
// nothing is open on them.
func TestLeavingWithCalls(t *testing.T) {
	t.Parallel()
	b, let := heldRPCBox(t, "sendQuote", "saveConfig")
	r, addr := rpcRig(t, nil, b.entry("s-1"))
	c, idle := dialRPC(t, addr), dialRPC(t, addr)
	c.send(`{"jsonrpc":"2.0","id":1,"method":"sendQuote","params":{"n":1}}`)
	wait(t, "the quote at the box", func() bool { return b.calls("sendQuote") == 1 })
	r.leave()
	wait(t, "the front's leaving", r.rpcs.Leaving)
	c.send(`{"jsonrpc":"2.0","id":2,"method":"sendQuote","params":{"n":2}}`)
	if got := c.line(); !strings.Contains(got, `"code":-32001`) || !strings.Contains(got, `"id":2`) {
		t.Errorf("a call after SIGTERM: %s", got)
	}
	if !idle.closed() {
		t.Error("an idle connection goes on")
	}
	let()
	if got := c.line(); !same(got, `{"jsonrpc":"2.0","id":1,"result":{"n":1}}`) {
		t.Errorf("the call that was open: %s", got)
	}
	if !c.closed() {
		t.Error("the connection goes on with nothing open")
	}
	if n := b.calls("sendQuote"); n != 1 {
		t.Errorf("the box got %d quotes", n)
	}
}
