package main

// These tests guard against a node that JSON-RPC takes over its memory limit, so that the platform kills it. A node of 128 MB once
// kept all answers to the members of a batch until the last one was there, then copied them twice into the message to the client:
// three copies that no budget counted. A batch of 900 calls with answers of 60 kB needed over 160 MB.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"craneglade/internal/jsonrpc"
	"craneglade/internal/kit/stand"
	"craneglade/internal/kit/trace"
)

const (
	rpcMemoryMB    = 128    // limits.memory_mb of the node
	rpcAnswerBytes = 60_000 // PROTOCOL: a body holds at most 64 KiB
	rpcBackends    = 12
	longBatch      = 900             // members
	idsPerClient   = 10_000          // distance of the first ids of two clients
	rpcTimeout     = 5 * time.Minute // for a batch, on a machine that is busy with other tests
	refusedCode    = -32001
	failedCode     = -32002

	defaultInflight = 64 // of jsonrpc.inflight
)

// rpcMemorySettings has one class, whose requests are never sent twice.
const rpcMemorySettings = `{"balancers":1,"zone":"n","discovery":"push","grades":[{"name":"quote","aim_s":1,"deadline_s":300,` +
	`"gain":1,"effect":"single_shot","group":"all"}],"policy_limits":{"max_attempts":1,"connect_timeout_s":5}}`

// longAnswers is a set of JSON-RPC backends with answers of rpcAnswerBytes. They record the first parameter of each call.
type longAnswers struct {
	delay  time.Duration // until a call is answered
	answer string
	mu     sync.Mutex
	calls  map[int]int       // number of calls by parameter
	latest map[int]time.Time // when the latest of them was received; nil if that is not recorded

	holdUntil chan struct{} // calls are answered when it is closed, in place of delay; set before the first call, nil for none
}

// serve answers the calls on a node's connection.
func (b *longAnswers) serve(c net.Conn) {
	defer c.Close()
	var writing sync.Mutex
	for in := jsonrpc.NewReader(bufio.NewReader(c)); ; {
		frame, err := in.Next()
		if err != nil {
			return
		}
		m, err := jsonrpc.Parse(frame, "")
		var params []any
		if err != nil || json.Unmarshal(m.Params, &params) != nil {
			return
		}
		b.mu.Lock()
		b.calls[int(params[0].(float64))]++
		if b.latest != nil {
			b.latest[int(params[0].(float64))] = time.Now()
		}
		b.mu.Unlock()
		answer := func() {
			writing.Lock()
			defer writing.Unlock()
			fmt.Fprintf(c, `{"jsonrpc":"2.0","id":%s,"result":"%s"}`+"\n", m.ID, b.answer)
		}
		if b.holdUntil == nil {
			time.AfterFunc(b.delay, answer)
			continue
		}
		go func() {
			<-b.holdUntil
			answer()
		}()
	}
}

// total returns the number of calls that were received.
func (b *longAnswers) total() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := 0
	for _, n := range b.calls {
		total += n
	}
	return total
}

// received returns how often a call with the given parameter was received.
func (b *longAnswers) received(parameter int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.calls[parameter]
}

// rpcNode is a node with a JSON-RPC front, and a reader of its memory.
type rpcNode struct {
	*program
	addr     string
	backends *longAnswers
	usage    *usage
}

// startRPCNode starts a node of rpcMemoryMB in front of backends that answer after delay. Clients wait for clientTimeout.
func startRPCNode(t *testing.T, delay, clientTimeout time.Duration) *rpcNode {
	t.Helper()
	return startLimitedRPCNode(t, limits{rpcMemoryMB, 1024}, delay, clientTimeout, defaultInflight)
}

// startLimitedRPCNode is startRPCNode for a node with the given limits, also on the open calls of a connection.
func startLimitedRPCNode(t *testing.T, l limits, delay, clientTimeout time.Duration, inflight int) *rpcNode {
	t.Helper()
	b := &longAnswers{delay: delay, answer: strings.Repeat("q", rpcAnswerBytes), calls: map[int]int{}}
	return startRPCNodeBefore(t, l, b, fmt.Sprintf("inflight = %d\n[[jsonrpc.method]]\nname = \"sendQuote\"\nclass = \"quote\"\npatience = %q\n", inflight, clientTimeout.String()))
}

// startRPCNodeBefore starts a node in front of rpcBackends of one kind. settings follow the address in the node's section jsonrpc.
func startRPCNodeBefore(t *testing.T, l limits, b *longAnswers, settings string) *rpcNode {
	t.Helper()
	var listed []stand.Entry
	for i := range rpcBackends {
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
				go b.serve(c)
			}
		}()
		listed = append(listed, stand.Entry{ID: fmt.Sprint("s-", i), Addr: ln.Addr().String(), RPC: ln.Addr().String(), Zone: "n", Kind: "k", State: trace.Ready, Weight: 1})
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	agent := stand.NewAgent("n0", false, stand.Clock{Start: time.Now()}, trace.NewWriter(io.Discard, trace.Head{}), listed)
	agent.Apply(listed[0]) // newer than the list in the node's file
	discovery := stand.ServeAgent(agent, ln)
	t.Cleanup(discovery.Close)
	own := filepath.Join(t.TempDir(), "own.toml")
	n := &rpcNode{addr: freeAddr(t), backends: b}
	if err := os.WriteFile(own, fmt.Appendf(nil, "[jsonrpc]\nlisten = %q\n%s", n.addr, settings), 0o600); err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(config(""), platformSettings, rpcMemorySettings, 1)
	text = l.inConfig(text)
	n.program = startCommand(t, exec.Command(buildForDeployment(t), "serve", "--config", own), discovery.Addr, text)
	n.usage = watchUsage(t, n.cmd.Process.Pid)
	return n
}

// checkMemory fails the test if the node has ever been over its limit.
func (n *rpcNode) checkMemory(t *testing.T) {
	t.Helper()
	n.usage.checkAnonymous(t, rpcMemoryMB)
}

// rpcAnswer is an answer as a client gets it.
type rpcAnswer struct {
	ID     *int
	Result *string
	Error  *struct{ Code int }
}

// rpcClient is a connection of a client.
type rpcClient struct {
	net.Conn
	in      *bufio.Reader
	framing jsonrpc.Framing
}

func (n *rpcNode) dial(t *testing.T, framing jsonrpc.Framing) *rpcClient {
	t.Helper()
	c, err := net.Dial("tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &rpcClient{c, bufio.NewReader(c), framing}
}

// quoteCall returns a call whose first parameter is its id.
func quoteCall(id int) string {
	return fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"sendQuote","params":[%d]}`, id, id)
}

// send sends a message in the client's framing, after which answers have rpcTimeout to arrive.
func (c *rpcClient) send(message string) error {
	if err := c.SetDeadline(time.Now().Add(rpcTimeout)); err != nil {
		return err
	}
	_, err := c.Write(jsonrpc.AppendFrame(nil, c.framing, []byte(message)))
	return err
}

// receive reads a message into v. Unlike jsonrpc.Reader it has no limit.
func (c *rpcClient) receive(v any) error {
	message, err := c.in.ReadBytes('\n')
	if length, headed := strings.CutPrefix(string(message), "Content-Length: "); headed && err == nil {
		var size int
		if size, err = strconv.Atoi(strings.TrimSpace(length)); err != nil {
			return err
		}
		message = make([]byte, len("\r\n")+size)
		_, err = io.ReadFull(c.in, message)
	}
	if err != nil {
		return err
	}
	if err := json.Unmarshal(message, v); err != nil {
		return fmt.Errorf("%w: %.200s", err, message)
	}
	return nil
}

// batch sends a batch and returns its answers by id.
func (c *rpcClient) batch(first, size int) (map[int]rpcAnswer, error) {
	members := make([]string, size)
	for i := range members {
		members[i] = quoteCall(first + i)
	}
	if err := c.send("[" + strings.Join(members, ",") + "]"); err != nil {
		return nil, err
	}
	var all []rpcAnswer
	if err := c.receive(&all); err != nil {
		return nil, fmt.Errorf("no answer to a batch: %w", err)
	}
	return answersByID(all)
}

func answersByID(all []rpcAnswer) (map[int]rpcAnswer, error) {
	byID := map[int]rpcAnswer{}
	for _, a := range all {
		if a.ID == nil {
			return nil, fmt.Errorf("an answer without an id: %+v", a)
		}
		if _, twice := byID[*a.ID]; twice {
			return nil, fmt.Errorf("call %d has two answers", *a.ID)
		}
		byID[*a.ID] = a
	}
	return byID, nil
}

// checkAnswers checks that each call has one answer and ran at most once, and that refused ones have not run. A call that was
// sent may fail on a busy machine. It returns the number of served calls.
func (n *rpcNode) checkAnswers(t *testing.T, answers map[int]rpcAnswer, first, size int) (served int) {
	t.Helper()
	failed := 0
	for id := first; id < first+size; id++ {
		a, ok := answers[id]
		received := n.backends.received(id)
		switch {
		case !ok:
			t.Errorf("call %d has no answer", id)
		case received > 1:
			t.Errorf("call %d was received %d times", id, received)
		case a.Result != nil:
			served++
			if len(*a.Result) != rpcAnswerBytes || received == 0 {
				t.Errorf("call %d is answered with %d bytes and was received %d times", id, len(*a.Result), received)
			}
		case a.Error == nil:
			t.Errorf("call %d is answered with neither a result nor an error", id)
		case a.Error.Code == refusedCode && received == 0:
		case a.Error.Code == failedCode: // the backend may have it still to read
			failed++
		default:
			t.Errorf("call %d is answered with error %d and was received %d times", id, a.Error.Code, received)
		}
	}
	if failed > 0 {
		t.Logf("%d calls failed", failed)
	}
	return served
}

// runClients runs f for each of count clients at the same time. It checks that calls were served, of which f returns the number, and
// that the node has stayed within its memory.
func (n *rpcNode) runClients(t *testing.T, count int, framing jsonrpc.Framing, f func(client int, c *rpcClient) (served int)) {
	t.Helper()
	var wg sync.WaitGroup
	var served atomic.Int64
	for client := range count {
		c := n.dial(t, framing)
		wg.Go(func() { served.Add(int64(f(client, c))) })
	}
	wg.Wait()
	t.Logf("%d calls were served", served.Load())
	if served.Load() == 0 {
		t.Error("no call was served")
	}
	n.checkMemory(t)
	if t.Failed() {
		t.Logf("the node's log:\n%s", n.log.String())
	}
}

// sendBatches sends batches of longBatch calls one after the other, and returns the number of calls that were served.
func (n *rpcNode) sendBatches(t *testing.T, batches, client int, c *rpcClient) (served int) {
	for i := range batches {
		first := client*idsPerClient + i*longBatch
		answers, err := c.batch(first, longBatch)
		if err != nil {
			t.Errorf("client %d: %v", client, err)
			return served
		}
		served += n.checkAnswers(t, answers, first, longBatch)
	}
	return served
}

// A batch whose answers together are larger than the node's memory: what does not fit is refused before it runs.
func TestBatchWithLongAnswersStaysWithinMemory(t *testing.T) {
	t.Parallel()
	for name, framing := range map[string]jsonrpc.Framing{"lines": jsonrpc.Lines, "headers": jsonrpc.HeaderDelimited} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := startRPCNode(t, 20*time.Millisecond, rpcTimeout)
			n.runClients(t, 1, framing, func(client int, c *rpcClient) int { return n.sendBatches(t, 3, client, c) })
		})
	}
}

// Ten clients send such batches at the same time. Each gets an answer to each call.
func TestConcurrentBatchesWithLongAnswersStayWithinMemory(t *testing.T) {
	t.Parallel()
	n := startRPCNode(t, 20*time.Millisecond, rpcTimeout)
	n.runClients(t, 10, jsonrpc.Lines, func(client int, c *rpcClient) int { return n.sendBatches(t, 2, client, c) })
}

// steadyReader reads up to steadyBytes every steadyPause.
type steadyReader struct{ io.Reader }

const (
	steadyBytes = 64 << 10
	steadyPause = 30 * time.Millisecond
)

func (r steadyReader) Read(p []byte) (int, error) {
	time.Sleep(steadyPause)
	return r.Reader.Read(p[:min(len(p), steadyBytes)])
}

// A client that reads all the time gets the whole answer to a batch, though it needs longer for it than a client may pause. The node
// once gave it 2 s for the whole message, and then closed its connection.
func TestSteadyReaderGetsWholeBatchAnswer(t *testing.T) {
	t.Parallel()
	n := startRPCNode(t, 20*time.Millisecond, rpcTimeout)
	n.sendBatches(t, 3, 1, n.dial(t, jsonrpc.Lines)) // the node serves more of a batch when it knows its backends
	n.runClients(t, 1, jsonrpc.Lines, func(client int, c *rpcClient) int {
		if err := c.Conn.(*net.TCPConn).SetReadBuffer(steadyBytes); err != nil { // little is buffered below it
			t.Fatal(err)
		}
		c.in = bufio.NewReaderSize(steadyReader{c.Conn}, steadyBytes)
		return n.sendBatches(t, 1, client, c)
	})
}

// Many clients have many calls open, none of them in a batch, and read their answers late. The node may end the connection of one that
// reads nothing for 2 s.
func TestLateReadersOfLongAnswersStayWithinMemory(t *testing.T) {
	t.Parallel()
	const (
		calls     = defaultInflight
		readDelay = 1500 * time.Millisecond
	)
	n := startRPCNode(t, 20*time.Millisecond, rpcTimeout)
	n.runClients(t, 100, jsonrpc.Lines, func(client int, c *rpcClient) (served int) {
		first := client * idsPerClient
		for i := range calls {
			if c.send(quoteCall(first+i)) != nil {
				return 0
			}
		}
		time.Sleep(readDelay)
		var all []rpcAnswer
		for range calls {
			var a rpcAnswer
			if c.receive(&a) != nil {
				return served
			}
			if a.Result != nil {
				served++
			}
			all = append(all, a)
		}
		answers, err := answersByID(all)
		if err != nil {
			t.Error(err)
			return served
		}
		return n.checkAnswers(t, answers, first, calls)
	})
}

// waitServed waits until a call is served.
func (n *rpcNode) waitServed(t *testing.T) {
	t.Helper()
	served := func() bool {
		c := n.dial(t, jsonrpc.Lines)
		defer c.Close()
		var a rpcAnswer
		return c.send(quoteCall(1)) == nil && c.receive(&a) == nil && a.Result != nil
	}
	for end := time.Now().Add(testTimeout); !served(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no call is served")
		}
	}
}

// Many clients send most of a long message and stop. Calls are served again once the node has closed their connections.
func TestUnfinishedRPCMessagesStayWithinMemory(t *testing.T) {
	t.Parallel()
	const clients = 550
	n := startRPCNode(t, 20*time.Millisecond, rpcTimeout)
	unfinished := `{"jsonrpc":"2.0","id":1,"method":"sendQuote","params":["` + strings.Repeat("x", 60<<10)
	for range clients {
		if _, err := io.WriteString(n.dial(t, jsonrpc.Lines), unfinished); err != nil {
			t.Logf("a client: %v", err)
		}
	}
	n.waitServed(t)
	n.checkMemory(t)
}

// Many clients send messages of 64 KiB that take many times their size to parse. A batch was split into its members before they were
// counted, and package jsontext keeps over 200 bytes for each level of nesting.
func TestMessagesThatAreCostlyToParseStayWithinMemory(t *testing.T) {
	t.Parallel()
	const (
		clients  = 500
		messages = 4 // of each client
		levels   = 9000
	)
	nested := func(opening, closing string) string {
		return `{"jsonrpc":"2.0","id":1,"method":"sendQuote","params":[1,` + strings.Repeat(opening, levels) + "1" + strings.Repeat(closing, levels) + "]}"
	}
	var names strings.Builder
	for i := range 6000 {
		fmt.Fprintf(&names, `"%x":1,`, i)
	}
	for name, text := range map[string]string{
		"many names":               `{"jsonrpc":"2.0","id":1,"method":"unknown","params":{` + names.String() + `"z":1}}`,
		"a batch of small members": "[" + strings.Repeat("1,", 32_000) + "1]",
		"nested arrays":            nested("[", "]"),
		"nested objects":           nested(`{"a":`, "}"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := startRPCNode(t, 20*time.Millisecond, rpcTimeout)
			var wg sync.WaitGroup
			var rejected atomic.Int64
			for range clients {
				c := n.dial(t, jsonrpc.Lines)
				wg.Go(func() {
					for range messages {
						if c.send(text) != nil {
							return // its connection has ended
						}
					}
				})
				wg.Go(func() {
					for range messages {
						var a rpcAnswer
						if c.receive(&a) != nil {
							return
						}
						if a.Error == nil {
							t.Errorf("answered with %+v", a)
							return
						}
						rejected.Add(1)
					}
				})
			}
			wg.Wait()
			t.Logf("%d messages were rejected", rejected.Load())
			n.checkMemory(t)
			n.waitServed(t)
		})
	}
}

// Many clients have calls with long parameters open at backends that do not answer. Each call gets an answer, or its connection ends with one.
func TestOpenCallsWithLongParametersStayWithinMemory(t *testing.T) {
	t.Parallel()
	const (
		clients = 100
		calls   = 40
	)
	n := startRPCNode(t, time.Hour, 3*time.Second)
	padding := strings.Repeat("x", 60<<10)
	var wg sync.WaitGroup
	var refused, failed, ended atomic.Int64
	for k := range clients {
		c := n.dial(t, jsonrpc.Lines)
		wg.Go(func() {
			for i := range calls {
				id := k*idsPerClient + i
				if c.send(fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"sendQuote","params":[%d,%q]}`, id, id, padding)) != nil {
					return // its connection has ended
				}
			}
		})
		wg.Go(func() {
			for range calls {
				var a rpcAnswer
				switch err := c.receive(&a); {
				case err != nil:
					t.Errorf("client %d: a call without an answer: %v", k, err)
					return
				case a.Error == nil:
					t.Errorf("client %d: answered with %+v", k, a)
				case a.ID == nil: // its message could not be read
					ended.Add(1)
					return
				case a.Error.Code == refusedCode && n.backends.received(*a.ID) > 0:
					t.Errorf("call %d was refused and has run", *a.ID)
				case a.Error.Code == refusedCode:
					refused.Add(1)
				case a.Error.Code == failedCode:
					failed.Add(1)
				default:
					t.Errorf("client %d: error %d", k, a.Error.Code)
				}
			}
		})
	}
	wg.Wait()
	t.Logf("%d calls were refused, %d failed, %d connections ended with an error", refused.Load(), failed.Load(), ended.Load())
	n.checkMemory(t)
}
