package stage

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

// RPCCall is a JSON-RPC call that a backend has received whole.
type RPCCall struct {
	Method string
	Params map[string]any
	At     time.Time
	// RemainingUS is the time that the node told, 0 for none.
	RemainingUS int64
}

// RPCBackend is the stand-in for a box that speaks JSON-RPC. It answers the calls of a connection as they finish.
type RPCBackend struct {
	Addr string

	handle func(RPCCall) (result string, silent bool)
}

// NewRPCBackend starts a box. handle runs for each call in a goroutine of its own; a silent call gets no answer.
func (s *Stage) NewRPCBackend(addr string, handle func(RPCCall) (result string, silent bool)) *RPCBackend {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		s.Fail("%v", err)
	}
	b := &RPCBackend{Addr: l.Addr().String(), handle: handle}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b
}

func (b *RPCBackend) serve(c net.Conn) {
	defer c.Close()
	var mu sync.Mutex
	for in := json.NewDecoder(bufio.NewReader(c)); ; {
		var m struct {
			ID     json.RawMessage `json:"id"`
			Method string          `json:"method"`
			Params map[string]any  `json:"params"`
			Beside struct {
				DeadlineUS int64 `json:"deadline_us"`
			} `json:"craneglade"`
		}
		if in.Decode(&m) != nil {
			return
		}
		at := time.Now()
		go func() {
			result, silent := b.handle(RPCCall{m.Method, m.Params, at, m.Beside.DeadlineUS})
			if silent {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			fmt.Fprintf(c, `{"jsonrpc":"2.0","id":%s,"result":%q}`+"\n", m.ID, result)
		}()
	}
}

// RPCAnswer is the answer to a call.
type RPCAnswer struct {
	ID     int
	Code   int // of an error; 0 for a result
	Result string
	Text   string
	At     time.Time
}

// RPCClient sends calls on one connection and receives their answers as they come.
type RPCClient struct {
	Answers chan RPCAnswer // closed when the connection ends

	conn net.Conn
	out  sync.Mutex
}

// NewRPCClient connects to a node's JSON-RPC address.
func (s *Stage) NewRPCClient(addr string) *RPCClient {
	var conn net.Conn
	var err error
	for range 50 {
		if conn, err = net.Dial("tcp", addr); err == nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if err != nil {
		s.Fail("%v", err)
	}
	c := &RPCClient{Answers: make(chan RPCAnswer, 100000), conn: conn}
	go c.read()
	return c
}

func (c *RPCClient) read() {
	defer close(c.Answers)
	for in := json.NewDecoder(bufio.NewReader(c.conn)); ; {
		var raw json.RawMessage
		if in.Decode(&raw) != nil {
			return
		}
		type answer struct {
			ID     int    `json:"id"`
			Result string `json:"result"`
			Error  *struct {
				Code    int    `json:"code"`
				Message string `json:"message"`
			} `json:"error"`
		}
		all := make([]answer, 1)
		if raw[0] == '[' {
			all = nil
			json.Unmarshal(raw, &all)
		} else {
			json.Unmarshal(raw, &all[0])
		}
		for _, m := range all {
			a := RPCAnswer{ID: m.ID, Result: m.Result, At: time.Now()}
			if m.Error != nil {
				a.Code, a.Text = m.Error.Code, m.Error.Message
			}
			c.Answers <- a
		}
	}
}

// Send sends a text.
func (c *RPCClient) Send(text string) error {
	c.out.Lock()
	defer c.out.Unlock()
	_, err := c.conn.Write([]byte(text))
	return err
}

// Close closes the client's connection.
func (c *RPCClient) Close() { c.conn.Close() }
